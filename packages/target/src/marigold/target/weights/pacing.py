"""Rate limit for chunks that this host sends or fetches."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

BUSY_RATIO = 0.25


class RatePacer:
    """Limits all transfers in one direction to a rate in bytes per second.

    While `is_busy` returns that live requests run on this host, the limit is
    `BUSY_RATIO` of the rate.
    """

    __slots__ = ("_free_at", "_is_busy", "_monotonic", "_rate")

    def __init__(
        self,
        rate: float,
        is_busy: Callable[[], bool],
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = rate
        self._is_busy = is_busy
        self._monotonic = monotonic
        self._free_at = 0.0

    def reserve(self, size: int) -> float:
        """Reserve `size` bytes; return the seconds to wait before the transfer."""
        now = self._monotonic()
        rate = self._rate * (BUSY_RATIO if self._is_busy() else 1.0)
        start = max(self._free_at, now)
        self._free_at = start + size / rate
        return start - now

    async def wait(self, size: int) -> None:
        """Reserve `size` bytes and wait until they may be transferred."""
        seconds = self.reserve(size)
        if seconds > 0:
            await asyncio.sleep(seconds)
