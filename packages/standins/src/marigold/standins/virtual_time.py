"""An event loop whose clock advances to the next timer instead of waiting.

    result = run_virtual(main())

Code that waits only for timers and other tasks runs as fast as the machine allows,
and deterministically. `get_time` reads the loop's clock.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualClockSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock that starts at 0."""

    def __init__(self) -> None:
        self._selector_clock = _VirtualClockSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        """Return the time of the virtual clock in seconds."""
        return self._selector_clock.now


def get_time() -> float:
    """Return the time of the running loop's clock in seconds."""
    return asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
