"""News of suspects on their way to other processes, gathered for a moment.

A runner that ends takes many requests with it, each of which becomes a suspect.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from marigold.core.schema.generated.messages import SuspectNews
from marigold.entry.suspicion.suspects import SuspectTable

# Seconds for which news gather; the requests that broke together fail within some
# milliseconds.
GATHER_S = 0.02
# Cases of one message; each takes some 150 bytes.
CASES_MAXIMUM = 100


def make_news(book: SuspectTable, fingerprints: list[str], now: float) -> SuspectNews:
    """Return what is held against some requests, or that nothing is."""
    found = {name: book.describe(name, now) for name in fingerprints}
    return SuspectNews(
        cases=[case for case in found.values() if case is not None],
        cleared=[name for name, case in found.items() if case is None],
    )


def make_all_news(book: SuspectTable, now: float) -> list[SuspectNews]:
    """Return all that is held against requests, for a process that joins."""
    cases = book.describe_all(now)
    return [
        SuspectNews(cases=cases[first : first + CASES_MAXIMUM])
        for first in range(0, len(cases), CASES_MAXIMUM)
    ]


class UpdateBatcher:
    """Sends news of the requests that were noted, by calls of `send`."""

    def __init__(
        self,
        book: SuspectTable,
        send: Callable[[SuspectNews], None],
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self._send = send
        self._monotonic = monotonic
        self._noted: dict[str, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def note(self, fingerprint: str) -> None:
        """Tell the others of a request soon."""
        self._noted[fingerprint] = None
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(GATHER_S, self.flush)

    def flush(self) -> None:
        """Tell the others now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        names = list(self._noted)
        self._noted.clear()
        for first in range(0, len(names), CASES_MAXIMUM):
            chosen = names[first : first + CASES_MAXIMUM]
            self._send(make_news(self._book, chosen, self._monotonic()))
