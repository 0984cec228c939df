"""Attempts whose answer has not been delivered yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.target.gate.records import AttemptRecord

log = get_logger(__name__)


class OpenAttempts:
    """Attempts for whose answer an entry is waiting.

    `on_orphan` is called with an attempt that has had no link for `orphan_timeout`
    seconds.
    """

    def __init__(
        self, orphan_timeout: float, on_orphan: Callable[[AttemptRecord], None]
    ) -> None:
        self._orphan_timeout = orphan_timeout
        self._on_orphan = on_orphan
        self._records: dict[str, AttemptRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt: str) -> AttemptRecord | None:
        """Return an open attempt, or None."""
        return self._records.get(attempt)

    def add(self, record: AttemptRecord) -> None:
        """Add an attempt, or reopen one that an entry fetches."""
        self._stop_timer(record)
        self._records[record.start.attempt] = record

    def remove(self, record: AttemptRecord) -> None:
        """Remove an attempt that was answered or abandoned."""
        self._stop_timer(record)
        self._records.pop(record.start.attempt, None)

    def drop_link(self, link: Link) -> None:
        """Detach a lost link from its attempts and start their orphan timers."""
        for record in list(self._records.values()):
            if record.link is link:
                record.link = None
            self.start_orphan_timer(record)

    def start_orphan_timer(self, record: AttemptRecord) -> None:
        """Start the orphan timer of an open attempt that has no link."""
        is_open = record.start.attempt in self._records
        if is_open and not record.is_attached() and record.orphan_timer is None:
            loop = asyncio.get_running_loop()
            record.orphan_timer = loop.call_later(
                self._orphan_timeout, self._expire, record
            )

    def _expire(self, record: AttemptRecord) -> None:
        record.orphan_timer = None
        if not record.is_attached():
            log.event("attempt_orphaned", attempt=record.start.attempt)
            self._on_orphan(record)

    def _stop_timer(self, record: AttemptRecord) -> None:
        if record.orphan_timer is not None:
            record.orphan_timer.cancel()
            record.orphan_timer = None
