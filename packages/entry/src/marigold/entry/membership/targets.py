"""Connections to targets."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from marigold.core.exceptions import LinkClosedError, LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.dialing import open_link_hedged
from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Heartbeat,
    Leaving,
    LeavingSeen,
    OrderProgress,
    RefuseAttempt,
    SlotFree,
    TargetReport,
    VoidAnswer,
)
from marigold.core.schema.generated.records import HostRecord
from marigold.entry.routing.calls import AttemptCall, CallConnection, LinkLost
from marigold.entry.routing.load import TargetView

log = get_logger(__name__)

RECONNECT_S = 0.1
RECONNECT_MAXIMUM_S = 2.0
LINK_AGE_JITTER = 0.2
DRAIN_POLL_S = 0.1
# A target without a link for this long gets a substitute in the subset.
UNREACHABLE_S = 3.0
FAILED_OUTCOMES = frozenset({"cut", "failed", "lost", "timeout"})

ProgressHandler = Callable[[str, OrderProgress], None]


class TargetConnection(CallConnection):
    """Connection to one target, which reconnects whenever its link closes."""

    def __init__(
        self,
        record: HostRecord,
        ctx: LinkContext,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        is_local = record.data_centre == ctx.identity.data_centre
        self.view = TargetView(record.host, record.service, is_local)
        self.incarnation = 0
        self._record = record
        self._ctx = ctx
        self._rng = rng
        self._on_change = on_change
        self._link: Link | None = None
        self._opened = asyncio.Event()
        self._calls: dict[str, AttemptCall] = {}
        self._ended: set[str] = set()
        self._leaving_incarnation = 0
        self._is_record_leaving = record.state == "leaving"
        self.is_excluded = False
        self._has_moved = False
        self._moved = asyncio.Event()
        self._closed_at = time.monotonic()
        self.on_progress: ProgressHandler = lambda host, progress: None

    async def run(self) -> None:
        """Keep a link open until cancelled."""
        delay = RECONNECT_S
        while True:
            try:
                link = await open_link_hedged(self._record.address, self._ctx)
            except LinkError:
                delay = min(delay * 2, RECONNECT_MAXIMUM_S)
            else:
                delay = RECONNECT_S
                await self._serve_with_renewal(link)
            await self._wait_to_reconnect(delay * (0.5 + self._rng.random()))

    async def _wait_to_reconnect(self, seconds: float) -> None:
        """Wait before a reconnection, at most until the host's address changes."""
        try:
            async with asyncio.timeout(seconds):
                await self._moved.wait()
        except TimeoutError:
            return
        self._moved.clear()

    async def _serve_with_renewal(self, link: Link) -> None:
        """Serve a link; replace it before it reaches its maximum age.

        The new link is opened before the old one closes, so that the target stays
        reachable.
        """
        serving = asyncio.create_task(self._serve(link))
        try:
            while not serving.done():
                age = self._ctx.cfg.maximum_age * (
                    1 - LINK_AGE_JITTER * self._rng.random()
                )
                await asyncio.wait({serving}, timeout=age)
                if not serving.done():
                    serving = await self._renew(link, serving)
                    link = self._link or link
        finally:
            await cancel_tasks(serving)

    async def _renew(
        self, old: Link, old_serving: asyncio.Task[None]
    ) -> asyncio.Task[None]:
        """Open a new link and close the old one once its attempts have ended.

        Return the task that serves the link in use.
        """
        try:
            link = await open_link(self._record.address, self._ctx)
        except LinkError:
            return old_serving
        calls = list(self._calls.values())
        serving = asyncio.create_task(self._serve(link))
        log.event("target_link_renewed", target=self.view.host)
        while any(call.start.attempt in self._calls for call in calls):
            if old_serving.done():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await old.close()
        await asyncio.wait({old_serving})
        for call in calls:
            if call.start.attempt in self._calls:
                call.put(LinkLost())
        return serving

    async def _serve(self, link: Link) -> None:
        self._link = link
        self.incarnation = link.peer.incarnation
        self.view.is_open = True
        self.view.heard_at = time.monotonic()
        self._has_moved = False
        self._update_leaving()
        self._opened.set()
        log.event("target_linked", target=self.view.host, incarnation=self.incarnation)
        try:
            async for message in link:
                self._handle(message)
                if type(message) is Leaving:
                    # This entry sends no attempt after the acknowledgement, so
                    # that the target can close safely.
                    await link.send(LeavingSeen(incarnation=message.incarnation))
        except LinkClosedError:
            pass
        finally:
            self._close(link)

    def _close(self, link: Link) -> None:
        if self._link is not link:
            return
        self._link = None
        self._closed_at = self.view.lost_at = time.monotonic()
        self._opened.clear()
        self.view.is_open = False
        log.event("target_unlinked", target=self.view.host)
        for call in list(self._calls.values()):
            call.put(LinkLost())
        self._on_change()

    def _handle(self, message: Any) -> None:
        now = self.view.heard_at = time.monotonic()
        match message:
            case AnswerChunk():
                self.view.health.record_progress(message.attempt, now)
                self._forward(message)
            case AnswerHead() | VoidAnswer():
                self._forward(message)
            case AnswerEnd():
                self._on_end(message, now)
            case RefuseAttempt():
                self._on_refusal(message, now)
            case Heartbeat() | SlotFree():
                self._update_load(message.running, message.limit, now)
            case TargetReport():
                self._on_report(message)
            case Leaving():
                self.mark_leaving(message.incarnation)
            case OrderProgress():
                self.on_progress(self.view.host, message)

    def _forward(self, message: Any) -> None:
        call = self._calls.get(message.attempt)
        if call is not None:
            call.put(message)

    def _on_report(self, message: TargetReport) -> None:
        self.view.kind = message.kind
        self.view.limit = max(message.limit, 1)
        self.view.versions = message.versions
        self._on_change()

    def _on_end(self, message: AnswerEnd, now: float) -> None:
        if message.outcome in FAILED_OUTCOMES:
            self.view.health.record_failure(message.attempt, now)
        elif message.outcome == "done":
            self.view.health.record_progress(message.attempt, now)
        # The load in the message excludes this attempt. `outstanding` has to
        # exclude it as well before the two are compared.
        self._release_slot(message.attempt)
        self._forward(message)
        self._update_load(message.running, message.limit, now)

    def _release_slot(self, attempt: str) -> None:
        if attempt in self._calls and attempt not in self._ended:
            self._ended.add(attempt)
            self.view.outstanding -= 1

    def _update_load(self, running: int, limit: int, now: float) -> None:
        self.view.record_load(running, limit, now)
        self._on_change()

    def _on_refusal(self, message: RefuseAttempt, now: float) -> None:
        if message.reason == "busy":
            self.view.record_refusal(now)
        elif message.reason == "leaving":
            self.mark_leaving(self.incarnation)
        elif message.reason == "unreachable":
            self.view.health.record_failure(message.attempt, now)
        self._forward(message)

    def mark_leaving(self, incarnation: int) -> None:
        """Send no new work to this incarnation."""
        self._leaving_incarnation = max(self._leaving_incarnation, incarnation)
        self._update_leaving()

    def _update_leaving(self) -> None:
        has_left = self.incarnation <= self._leaving_incarnation
        leaving = (
            has_left or self._is_record_leaving or self.is_excluded or self._has_moved
        )
        if leaving and not self.view.leaving:
            log.event("target_leaving", target=self.view.host)
        if leaving != self.view.leaving:
            self.view.leaving = leaving
            self._on_change()

    def update_record(self, record: HostRecord) -> None:
        """Update the connection from a new record of the host list.

        A leaving state in the record applies until the list clears it. It is not
        stored for the incarnation, because a stale list may still show the state
        of the previous incarnation.
        """
        is_new_address = record.address != self._record.address
        self._record = record
        self._is_record_leaving = record.state == "leaving"
        if is_new_address:
            log.event("target_moved", target=record.host, address=record.address)
            self._moved.set()
            self._has_moved = self._link is not None
        self._update_leaving()
        self._close_if_moved()

    def _close_if_moved(self) -> None:
        """Close the link to the former address once no attempt uses it."""
        if self._has_moved and not self._calls:
            self.abort()

    def set_excluded(self, is_excluded: bool) -> None:
        """Set whether the target is outside this entry's subset and gets no work."""
        self.is_excluded = is_excluded
        self._update_leaving()

    def is_idle(self) -> bool:
        """Return whether no attempt uses this connection."""
        return not self._calls

    def is_unreachable(self, now: float) -> bool:
        """Return whether there has been no link for `UNREACHABLE_S` seconds."""
        return self._link is None and now - self._closed_at >= UNREACHABLE_S

    def add(self, call: AttemptCall) -> None:
        """Register a call to receive the messages of its attempt."""
        attempt = call.start.attempt
        self._calls[attempt] = call
        self.view.outstanding += 1
        self.view.health.record_start(attempt, time.monotonic())

    def remove(self, call: AttemptCall) -> None:
        """Unregister a call."""
        attempt = call.start.attempt
        if self._calls.pop(attempt, None) is None:
            return
        self.view.health.discard(attempt)
        if attempt in self._ended:
            self._ended.discard(attempt)
        else:
            self.view.outstanding -= 1
        self._on_change()
        self._close_if_moved()

    async def send(self, message: Any) -> None:
        """Send a message; raise `LinkClosedError`."""
        if self._link is None:
            raise LinkClosedError(f"no link to {self.view.host}")
        await self._link.send(message)

    async def wait_open(self, timeout: float) -> bool:
        """Wait until a link is open; return false on a timeout."""
        try:
            async with asyncio.timeout(timeout):
                await self._opened.wait()
        except TimeoutError:
            return False
        return True

    def read_clock(self) -> int:
        """Return the current time of the hybrid clock."""
        return self._ctx.clock.now()

    def is_leaving(self) -> bool:
        """Return whether the target accepts no new work."""
        return self.view.leaving

    def is_open(self) -> bool:
        """Return whether a link is open."""
        return self._link is not None

    def abort(self) -> None:
        """Close the link at once."""
        if self._link is not None:
            self._link.abort()
