"""Batching of updates on suspects for other processes.

When a runner ends, each of the many requests on it becomes a suspect.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from marigold.core.schema.generated.messages import SuspectNews
from marigold.entry.suspicion.suspects import SuspectTable

# Seconds for which changes are gathered; requests on the same runner fail within a few
# milliseconds of each other.
BATCH_INTERVAL_S = 0.02
# Limit on the cases in one message; each takes about 150 bytes.
BATCH_CASES_MAXIMUM = 100


def make_update(
    table: SuspectTable, fingerprints: list[str], now: float
) -> SuspectNews:
    """Return an update with the cases of some requests; those without are cleared."""
    found = {name: table.describe(name, now) for name in fingerprints}
    return SuspectNews(
        cases=[case for case in found.values() if case is not None],
        cleared=[name for name, case in found.items() if case is None],
    )


def make_full_update(table: SuspectTable, now: float) -> list[SuspectNews]:
    """Return updates with all cases, for a process that joins."""
    cases = table.describe_all(now)
    return [
        SuspectNews(cases=cases[first : first + BATCH_CASES_MAXIMUM])
        for first in range(0, len(cases), BATCH_CASES_MAXIMUM)
    ]


class UpdateBatcher:
    """Gathers changed requests and passes updates on them to `send`."""

    def __init__(
        self,
        table: SuspectTable,
        send: Callable[[SuspectNews], None],
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._send = send
        self._monotonic = monotonic
        self._pending: dict[str, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, fingerprint: str) -> None:
        """Include a request in the next update."""
        self._pending[fingerprint] = None
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Send all pending updates now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        names = list(self._pending)
        self._pending.clear()
        for first in range(0, len(names), BATCH_CASES_MAXIMUM):
            batch = names[first : first + BATCH_CASES_MAXIMUM]
            self._send(make_update(self._table, batch, self._monotonic()))
