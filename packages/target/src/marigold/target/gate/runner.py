"""Executes attempts at the back end and records their answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Literal

from aiohttp import ClientResponse

from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    AnswerEnd,
    AnswerHead,
    RefuseAttempt,
)
from marigold.target.gate.bodies import is_event_stream, read_body, read_events
from marigold.target.gate.delivery import send
from marigold.target.gate.drivers import (
    BackEndError,
    BackEndUnreachableError,
    Driver,
    VersionNotLoadedError,
    get_answer_headers,
)
from marigold.target.gate.records import AttemptRecord, AttemptTable

log = get_logger(__name__)

Outcome = Literal["done", "cut", "failed", "timeout", "cancelled", "stopped", "lost"]


class AttemptRunner:
    """Executes attempts, each in its own task.

    `on_ended` is called in the attempt's task after its end or refusal was
    recorded.
    """

    def __init__(
        self,
        driver: Driver,
        table: AttemptTable,
        on_ended: Callable[[AttemptRecord], Awaitable[None]],
    ) -> None:
        self._driver = driver
        self._table = table
        self._on_ended = on_ended
        self._running: dict[str, AttemptRecord] = {}

    @property
    def running(self) -> int:
        """Number of attempts that are executed now."""
        return len(self._running)

    def start(self, record: AttemptRecord) -> None:
        """Start to execute an attempt in its own task."""
        self._running[record.start.attempt] = record
        record.task = asyncio.create_task(self._run(record))

    def stop(
        self, record: AttemptRecord, outcome: Literal["cancelled", "stopped"]
    ) -> None:
        """Stop an attempt early, unless it is already ending."""
        if record.is_ending or record.stop_outcome:
            return
        record.stop_outcome = outcome
        # A task that is cancelled before its first step never runs, and its slot
        # would not be released.
        if record.has_begun:
            record.task.cancel()

    async def stop_all(self) -> None:
        """Stop all running attempts and wait until they were answered."""
        records = list(self._running.values())
        for record in records:
            self.stop(record, "stopped")
        if records:
            await asyncio.wait([record.task for record in records])

    async def _run(self, record: AttemptRecord) -> None:
        record.has_begun = True
        try:
            if record.stop_outcome:
                self._refuse(record, "void")
            else:
                await self._execute(record)
        finally:
            if record.end is None and record.refusal is None:
                self._finish(record, "failed")
            record.is_ending = True
            del self._running[record.start.attempt]
            await self._on_ended(record)

    async def _execute(self, record: AttemptRecord) -> None:
        try:
            async with asyncio.timeout(record.start.deadline):
                async with self._driver.run(record.start) as resp:
                    await self._relay(record, resp)
            self._finish(record, "done")
        except BackEndUnreachableError:
            self._refuse(record, "unreachable")
        except VersionNotLoadedError:
            self._refuse(record, "version")
        except BackEndError as exc:
            log.event("attempt_failed", attempt=record.start.attempt, reason=exc)
            self._finish(record, await self._classify_failure(record))
        except TimeoutError:
            self._finish(record, "timeout")
        except asyncio.CancelledError:
            self._finish(record, record.stop_outcome or "cancelled")

    async def _classify_failure(self, record: AttemptRecord) -> Outcome:
        if not await self._driver.is_listening():
            return "lost"
        return "cut" if record.head else "failed"

    async def _relay(self, record: AttemptRecord, resp: ClientResponse) -> None:
        headers = get_answer_headers(resp)
        record.head = AnswerHead(
            attempt=record.start.attempt, status=resp.status, headers=headers
        )
        await send(record, record.head)
        async for data in self._read(record, resp):
            await record.wait_for_window()
            chunk = record.append(data)
            if not record.is_abandoned:
                await send(record, chunk)

    def _read(
        self, record: AttemptRecord, resp: ClientResponse
    ) -> AsyncIterator[bytes]:
        if record.start.version and is_event_stream(resp):
            return read_events(resp)
        return read_body(resp, record.start.method)

    def _refuse(
        self,
        record: AttemptRecord,
        reason: Literal["unreachable", "version", "void"],
    ) -> None:
        attempt = record.start.attempt
        record.refusal = RefuseAttempt(attempt=attempt, reason=reason)
        self._table.remove(record)
        log.event("attempt_refused", attempt=attempt, reason=reason)

    def _finish(self, record: AttemptRecord, outcome: Outcome) -> None:
        record.end = AnswerEnd(
            attempt=record.start.attempt,
            outcome=outcome,
            chunks=record.next_sequence,
            running=0,
            limit=0,
        )
        self._table.mark_finished(record)
        log.event("attempt_finished", attempt=record.start.attempt, outcome=outcome)
