"""Exponential backoff with jitter."""

from __future__ import annotations

import asyncio
import random

FIRST_S = 0.1
MAXIMUM_S = 5.0


class Backoff:
    """Delay that doubles with each consecutive failure, up to a maximum."""

    __slots__ = ("_delay", "_first", "_maximum", "_rng")

    def __init__(
        self, rng: random.Random, first: float = FIRST_S, maximum: float = MAXIMUM_S
    ) -> None:
        self._rng = rng
        self._first = first
        self._maximum = maximum
        self._delay = first

    def reset(self) -> None:
        """Reset to the first delay after a success."""
        self._delay = self._first

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt."""
        delay = self._delay * (0.5 + self._rng.random())
        self._delay = min(self._delay * 2, self._maximum)
        return delay

    async def wait(self) -> None:
        """Wait before the next attempt."""
        await asyncio.sleep(self.next_delay())
