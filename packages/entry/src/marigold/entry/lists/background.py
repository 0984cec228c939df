"""Long computations in threads while the event loop serves requests."""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")

# While a thread computes, the event loop waits at most this long for the GIL.
SWITCH_INTERVAL_S = 0.0005


class _ComputationMode:
    """Context in which threads switch often and the cyclic collector is off.

    The collector would stop all threads to traverse the many objects of a parsed
    list, none of which is garbage yet.
    """

    def __init__(self) -> None:
        self._users = 0
        self._interval = 0.0

    def __enter__(self) -> None:
        if self._users == 0:
            gc.disable()
            self._interval = sys.getswitchinterval()
            sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._users += 1

    def __exit__(self, *exc: object) -> None:
        self._users -= 1
        if self._users == 0:
            gc.enable()
            sys.setswitchinterval(self._interval)


_COMPUTATION_MODE = _ComputationMode()


async def run_in_background(func: Callable[..., T], *args: Any) -> T:
    """Run a CPU-bound function without I/O in a thread."""
    with _COMPUTATION_MODE:
        return await asyncio.to_thread(func, *args)
