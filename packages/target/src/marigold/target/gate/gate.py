"""Executes attempts at the back end, each at most once.

Each link from an entry has one task, `Gate.serve`. An attempt is addressed to
one incarnation of the gate; any other incarnation refuses it without executing it.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable
from typing import Any

from marigold.core.exceptions import LinkClosedError
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    AnswerTaken,
    CancelAttempt,
    FetchAttempt,
    Leaving,
    LeavingSeen,
    RefuseAttempt,
    SlotFree,
    StartAttempt,
    TargetReport,
    VoidAnswer,
    VoidAttempt,
)
from marigold.core.schema.generated.settings import TargetSettings
from marigold.target.exceptions import OldFenceError
from marigold.target.gate.delivery import deliver, send
from marigold.target.gate.drivers import Driver
from marigold.target.gate.fences import ClaimFences
from marigold.target.gate.open_attempts import OpenAttempts
from marigold.target.gate.records import AttemptRecord, AttemptTable
from marigold.target.gate.runner import AttemptRunner

log = get_logger(__name__)

LinkHandler = Callable[[Link], Awaitable[None]]
MessageHandler = Callable[[Link, Any], Awaitable[None]]


class Gate:
    """Attempts at the back end of one host, and the links to the entries.

    Other modules add handlers for their own message types:

        gate.subscribe(LoadOrder, orders.on_order)

    A handler runs in the task of its link, so it must not block for long; an error
    that it raises closes the link.
    """

    def __init__(self, cfg: TargetSettings, incarnation: int, driver: Driver) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._table = AttemptTable(cfg.answer_retention, cfg.void_retention)
        self._links: set[Link] = set()
        self._handlers: dict[type, list[MessageHandler]] = defaultdict(list)
        self._open_handlers: list[LinkHandler] = []
        self._refused_links: deque[Link] = deque()
        self._runner = AttemptRunner(driver, self._table, self._on_ended)
        self._claim_fences = ClaimFences()
        self._open = OpenAttempts(cfg.orphan_timeout, self._stop_or_abandon)
        self._unacknowledged_links: set[Link] = set()
        self._drained = asyncio.Event()
        self._drained.set()
        self.leaving = False
        self.versions: list[str] = []
        self.fence = 0

    @property
    def running(self) -> int:
        """Number of attempts that are executed now."""
        return self._runner.running

    @property
    def limit(self) -> int:
        """Maximum number of concurrent attempts."""
        return self._cfg.engine.limit

    def subscribe(self, cls: type, handler: MessageHandler) -> None:
        """Register a handler for the messages of a type from any link."""
        self._handlers[cls].append(handler)

    def on_open(self, handler: LinkHandler) -> None:
        """Register a handler for newly opened links."""
        self._open_handlers.append(handler)

    def check_fence(self, fence: int) -> None:
        """Check and record the fencing number of an order.

        Raise `OldFenceError` if an order with a higher number was received. Call
        this right before each effect on the back end, not only on receipt.
        """
        if fence < self.fence:
            log.event("order_fenced", fence=fence, highest=self.fence)
            raise OldFenceError(fence, self.fence)
        self.fence = fence

    def count_running(self, version: str) -> int:
        """Return the number of attempts that run on a version."""
        return self._table.count_running(version)

    async def serve(self, link: Link) -> None:
        """Serve one link until it closes."""
        self._links.add(link)
        log.event("link_opened", peer=link.peer.process)
        try:
            await link.send(self.make_report())
            if self.leaving:
                self._unacknowledged_links.add(link)
                await link.send(Leaving(incarnation=self._incarnation))
            for handler in self._open_handlers:
                await handler(link)
            async for message in link:
                await self._handle(link, message)
        except LinkClosedError:
            pass
        finally:
            self._links.discard(link)
            self._drop_link(link)
            log.event("link_closed", peer=link.peer.process)

    async def _handle(self, link: Link, message: Any) -> None:
        match message:
            case StartAttempt():
                await self._start(link, message)
            case VoidAttempt():
                await self._void_attempt(link, message)
            case FetchAttempt():
                await self._fetch(link, message)
            case CancelAttempt():
                self._cancel(link, message.attempt)
            case AnswerTaken():
                self._acknowledge(message)
            case LeavingSeen():
                self._unacknowledged_links.discard(link)
                self._check_drained()
            case _:
                for handler in self._handlers.get(type(message), ()):
                    await handler(link, message)

    def make_report(self) -> TargetReport:
        """Return a report of what this target can serve."""
        return TargetReport(
            service=self._cfg.engine.service,
            kind=self._cfg.engine.kind,
            limit=self.limit,
            versions=list(self.versions),
            fence=self.fence,
        )

    async def set_versions(self, versions: list[str]) -> None:
        """Update the confirmed versions and report changes to the entries."""
        if versions == self.versions:
            return
        self.versions = versions
        log.event("versions_confirmed", versions=",".join(versions))
        await self._broadcast(self.make_report())

    async def _broadcast(self, message: Any) -> None:
        # Sent concurrently, so that a slow link does not delay the others.
        sends = [link.send(message) for link in self._links]
        await asyncio.gather(*sends, return_exceptions=True)

    def _get_refusal_reason(self, start: StartAttempt) -> str:
        if start.incarnation != self._incarnation:
            return "incarnation"
        if self._table.get_state(start.attempt, start.created) != "unseen":
            return "void"
        if self.leaving:
            return "leaving"
        if start.service != self._cfg.engine.service:
            return "service"
        if start.version and start.version not in self.versions:
            return "version"
        if start.deadline <= 0:
            return "expired"
        if not self._claim_fences.accept(start.claim, start.claim_fence):
            return "fenced"
        if self.running >= self.limit:
            return "busy"
        return ""

    async def _start(self, link: Link, start: StartAttempt) -> None:
        if self._table.get(start.attempt) is not None:
            log.event("attempt_repeated", attempt=start.attempt)
            return
        reason = self._get_refusal_reason(start)
        if reason:
            await self._refuse(link, start, reason)
            return
        record = AttemptRecord(start, link)
        self._table.add(record)
        self._open.add(record)
        self._drained.clear()
        log.event("attempt_started", request=start.request, attempt=start.attempt)
        self._runner.start(record)

    async def _refuse(self, link: Link, start: StartAttempt, reason: str) -> None:
        # A StartAttempt is sent once, so a refused attempt needs no tombstone.
        if reason == "busy" and link not in self._refused_links:
            self._refused_links.append(link)
        log.event(
            "attempt_refused",
            request=start.request,
            attempt=start.attempt,
            reason=reason,
        )
        await link.send(RefuseAttempt(attempt=start.attempt, reason=reason))

    async def _on_ended(self, record: AttemptRecord) -> None:
        if record.end is not None:
            record.end.running = self.running
            record.end.limit = self.limit
        is_sent = await send(record, record.end or record.refusal)
        if is_sent or record.refusal is not None:
            self._close_attempt(record)
        self._check_drained()
        await self._offer_slot()

    async def _offer_slot(self) -> None:
        while self._refused_links and self.running < self.limit:
            link = self._refused_links.popleft()
            try:
                await link.send(SlotFree(running=self.running, limit=self.limit))
                return
            except LinkClosedError:
                continue

    async def _void_attempt(self, link: Link, message: VoidAttempt) -> None:
        attempt = message.attempt
        if message.incarnation != self._incarnation:
            state = "forgotten"
        else:
            self._claim_fences.accept(message.claim, message.claim_fence)
            state = self._table.get_state(attempt, message.created)
        if state == "unseen":
            self._table.mark_void(attempt, message.created)
            state = "void"
        log.event("attempt_void_requested", attempt=attempt, state=state)
        await link.send(VoidAnswer(attempt=attempt, state=state))

    async def _fetch(self, link: Link, message: FetchAttempt) -> None:
        record = self._table.get(message.attempt)
        is_held = record is not None and message.sequence >= record.first_sequence
        if not is_held or message.incarnation != self._incarnation:
            await link.send(VoidAnswer(attempt=message.attempt, state="forgotten"))
            return
        self._open.add(record)
        self._drained.clear()
        record.is_abandoned = False
        record.acknowledge(message.sequence)
        record.fetch_count += 1
        record.link = None
        record.delivery_task = asyncio.create_task(
            self._deliver(record, link, message.sequence)
        )

    async def _deliver(self, record: AttemptRecord, link: Link, sequence: int) -> None:
        try:
            if await deliver(record, link, sequence):
                self._close_attempt(record)
        except LinkClosedError:
            log.event("delivery_lost", attempt=record.start.attempt)
        if record.delivery_task is asyncio.current_task():
            record.delivery_task = None
            self._open.start_orphan_timer(record)

    def _acknowledge(self, message: AnswerTaken) -> None:
        record = self._table.get(message.attempt)
        if record is not None:
            record.acknowledge(message.sequence)

    def _cancel(self, link: Link, attempt: str) -> None:
        record = self._open.get(attempt)
        # Another entry may have fetched the attempt and be waiting for it.
        if record is not None and record.link is link:
            self._stop_or_abandon(record)

    def _stop_or_abandon(self, record: AttemptRecord) -> None:
        # Stopping a call of a plain service could leave its effects incomplete. A
        # model request has no effects and only uses capacity that others wait for.
        if self._cfg.engine.kind == "model":
            self._runner.stop(record, "cancelled")
        else:
            record.abandon()
        self._close_attempt(record)

    def _drop_link(self, link: Link) -> None:
        self._unacknowledged_links.discard(link)
        self._open.drop_link(link)
        self._check_drained()

    def _close_attempt(self, record: AttemptRecord) -> None:
        self._open.remove(record)
        self._check_drained()

    def _check_drained(self) -> None:
        if not len(self._open) and not self._unacknowledged_links and not self.running:
            self._drained.set()

    async def drain(self) -> None:
        """Refuse new attempts, notify the entries and wait for running attempts.

        Return when every linked entry has acknowledged that it sends no more and
        every answer was delivered. Attempts that still run after `stop_timeout`
        seconds are stopped and answered with the outcome "stopped".
        """
        self.leaving = True
        log.event("leaving", running=self.running)
        self._unacknowledged_links |= self._links
        if self._unacknowledged_links:
            self._drained.clear()
        await self._broadcast(Leaving(incarnation=self._incarnation))
        try:
            async with asyncio.timeout(self._cfg.stop_timeout):
                await self._drained.wait()
        except TimeoutError:
            log.event("stop_timeout_passed", running=self.running)
            await self._runner.stop_all()
