"""End of the requests that still run when the time of a planned stop is over."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from marigold.entry.exceptions import AnswerError


class StopLimit:
    """Limits the work on requests by the end of a planned stop."""

    def __init__(self) -> None:
        self._timers: set[asyncio.Timeout] = set()
        self._is_over = False

    @asynccontextmanager
    async def limit(self, error: AnswerError) -> AsyncIterator[None]:
        """Raise `error` once the time of the stop is over."""
        if self._is_over:
            raise error
        timer = asyncio.timeout(None)
        self._timers.add(timer)
        try:
            async with timer:
                yield
        except TimeoutError as exc:
            if not timer.expired():
                raise
            raise error from exc
        finally:
            self._timers.discard(timer)

    def end(self) -> None:
        """End all work under the limit, now and later."""
        self._is_over = True
        now = asyncio.get_running_loop().time()
        for timer in self._timers:
            timer.reschedule(now)
