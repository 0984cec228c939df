"""Hybrid logical clock.

A reading is one integer: milliseconds of the wall clock in the upper bits and a
counter in the lower 16. The readings of a process increase strictly, and a reading
taken after a message was received is greater than the one that the message carries.
Sorting events by reading therefore puts a cause before its effects.
"""

from __future__ import annotations

import time
from collections.abc import Callable

COUNTER_BITS = 16
MAXIMUM_AHEAD_MS = 60_000


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class HybridClock:
    """Hybrid logical clock of one process.

    `wall` returns milliseconds since 1970 and can be replaced in tests.
    """

    __slots__ = ("_last", "_wall")

    def __init__(self, wall: Callable[[], int] = _wall_ms) -> None:
        self._wall = wall
        self._last = 0

    def now(self) -> int:
        """Return a reading greater than all earlier ones."""
        self._last = max(self._wall() << COUNTER_BITS, self._last + 1)
        return self._last

    def observe(self, reading: int) -> None:
        """Advance the clock to the reading of a received message.

        A reading more than a minute ahead of the wall clock is ignored, so that one
        process with a wrong clock does not advance the clocks of all others.
        """
        limit = (self._wall() + MAXIMUM_AHEAD_MS) << COUNTER_BITS
        if self._last < reading <= limit:
            self._last = reading


def get_clock_ms(reading: int) -> int:
    """Return the wall-clock part of a reading, in milliseconds since 1970."""
    return reading >> COUNTER_BITS
