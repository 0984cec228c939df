"""An event loop whose clock jumps to the next timer instead of waiting.

    result = run_virtual(main())

Code that only waits for timers and for other tasks runs as fast as the machine
lets it, and twice the same. `get_time` reads the loop's clock.
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
    """Event loop with a clock of its own, which starts at 0."""

    def __init__(self) -> None:
        self._selector_clock = _VirtualClockSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        """Return the seconds of the loop's clock."""
        return self._selector_clock.now


def get_time() -> float:
    """Return the seconds of the running loop's clock."""
    return asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
