"""Persistence of refused requests in the platform's store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from marigold.core.exceptions import PlatformError, PlatformUnreachableError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Registry
from marigold.core.schema.generated.deployment import QuarantinedRequest
from marigold.core.schema.generated.messages import SuspectCase
from marigold.entry.suspicion.suspects import (
    PROBATION_S,
    REFUSED_MAXIMUM_S,
    SuspectTable,
)

log = get_logger(__name__)

# Seconds before a failed call is retried; doubles up to the maximum.
RETRY_S = 0.3
RETRY_MAXIMUM_S = 3.0
# Seconds between removals of expired refusals.
CLEANUP_INTERVAL_S = 30.0
# Limit on the objects that one process keeps in the store. Beyond it, refusals are only
# exchanged between entries.
OBJECTS_MAXIMUM = 256


class QuarantineStore:
    """Loads refused requests when a hub becomes active, and stores new ones.

    Objects contain the wall-clock time until which a request is refused. Refusals last
    minutes, so that clock skew of some seconds does no harm.
    """

    def __init__(
        self,
        table: SuspectTable,
        registry: Registry[QuarantinedRequest],
        on_read: Callable[[str], None],
        monotonic: Callable[[], float] = time.monotonic,
        walltime: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._registry = registry
        self._on_read = on_read
        self._monotonic = monotonic
        self._walltime = walltime
        # Number of crashes that the store has for each request.
        self._stored: dict[str, int] = {}
        # Requests that were deleted last.
        self._deleted: dict[str, None] = {}
        self._is_restored = False
        self._has_changes = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        table.subscribe(self._on_change)

    def sync(self, is_active: bool) -> None:
        """Keep the store up to date while this process is an active hub."""
        if is_active and self._task is None:
            self._task = asyncio.create_task(self._run())
        elif not is_active and self._task is not None:
            self._task.cancel()
            self._task = None

    async def stop(self) -> None:
        """Stop calling the store."""
        if self._task is not None:
            await cancel_tasks(self._task)

    def mark_restored(self) -> None:
        """Bring the store up to date again after it came back from a copy."""
        self._is_restored = True
        self._has_changes.set()

    def _on_change(self, fingerprint: str) -> None:
        verdict = self._table.get_verdict(fingerprint, self._monotonic())
        if verdict == "refused" or fingerprint in self._stored:
            self._has_changes.set()

    async def _run(self) -> None:
        await self._retry(self._load)
        while True:
            # Changes during the calls count for the next round.
            self._has_changes.clear()
            await self._retry(self._synchronise)
            try:
                async with asyncio.timeout(CLEANUP_INTERVAL_S):
                    await self._has_changes.wait()
            except TimeoutError:
                continue

    async def _retry(self, call: Callable[[], Awaitable[None]]) -> None:
        """Repeat a call with backoff until it succeeds."""
        delay = RETRY_S
        while True:
            try:
                await call()
                return
            except PlatformError as exc:
                log.event("quarantine_unreachable", reason=exc, seconds=delay)
            await asyncio.sleep(delay)
            delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def _load(self) -> None:
        # What was stored while this process was no active hub may be gone.
        self._is_restored = False
        listing = await self._registry.read(False)
        self._stored = {item.fingerprint: item.ends for item in listing.items.values()}
        now = self._monotonic()
        for item in listing.items.values():
            seconds = item.until_ms / 1000 - self._walltime()
            if seconds <= 0:
                continue
            seconds = min(seconds, REFUSED_MAXIMUM_S)
            case = SuspectCase(
                fingerprint=item.fingerprint,
                ends=item.ends,
                runners=item.runners,
                refused=seconds,
                left=seconds + PROBATION_S,
            )
            if self._table.merge(case, now):
                self._on_read(item.fingerprint)
        log.event("quarantine_read", count=len(listing.items))

    async def _list_again(self) -> None:
        """Find out what a restored store has, without taking its cases.

        A case of the copy may have been cleared since. What is known neither as stored
        nor as deleted is of the hub of another cell, which looks after it.
        """
        self._is_restored = False
        try:
            listing = await self._registry.read(False)
        except PlatformError:
            self._is_restored = True
            raise
        now = self._walltime()
        self._stored = {
            item.fingerprint: item.ends
            for item in listing.items.values()
            if item.fingerprint in self._stored
            or item.fingerprint in self._deleted
            or item.until_ms / 1000 <= now
        }
        log.event("quarantine_restored", count=len(listing.items))

    async def _synchronise(self) -> None:
        if self._is_restored:
            await self._list_again()
        now = self._monotonic()
        refused = {
            case.fingerprint: case
            for case in self._table.describe_all(now)
            if case.refused > 0
        }
        for fingerprint in self._stored - refused.keys():
            try:
                await self._registry.delete(fingerprint)
            except PlatformUnreachableError:
                raise
            except PlatformError as exc:
                # An object that cannot be deleted must not hold up the others.
                log.event("quarantine_kept", fingerprint=fingerprint, reason=exc)
            del self._stored[fingerprint]
            self._deleted[fingerprint] = None
            if len(self._deleted) > OBJECTS_MAXIMUM:
                del self._deleted[next(iter(self._deleted))]
            log.event("quarantine_deleted", fingerprint=fingerprint)
        for fingerprint, case in refused.items():
            known = self._stored.get(fingerprint, 0)
            if known >= case.ends or len(self._stored) >= OBJECTS_MAXIMUM:
                continue
            until = self._walltime() + case.refused
            await self._registry.put(
                QuarantinedRequest(
                    fingerprint=fingerprint,
                    ends=case.ends,
                    runners=case.runners,
                    until_ms=int(until * 1000),
                ),
                known > 0,
            )
            self._stored[fingerprint] = case.ends
            log.event("quarantine_written", fingerprint=fingerprint, ends=case.ends)
