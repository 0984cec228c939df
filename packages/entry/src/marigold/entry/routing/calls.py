"""Client side of one attempt of a request at one target."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections import deque
from typing import Any, Literal

from expression import Error, Ok, Result

from marigold.core.exceptions import LinkClosedError
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerTaken,
    CancelAttempt,
    FetchAttempt,
    RefuseAttempt,
    StartAttempt,
    VoidAnswer,
    VoidAttempt,
)
from marigold.entry.exceptions import Executed

log = get_logger(__name__)

RESUME_TIMEOUT_S = 5.0
VOID_TIMEOUT_S = 1.0
RESUME_POLL_S = 0.02
# Failure reasons of attempts that the target has proved it never received.
LOST_BEFORE_START = "link lost before start"
NOT_ARRIVED = "never arrived"
# No link was open, or the back end accepted no connection from its gate.
UNREACHABLE = "unreachable"
ACK_INTERVAL_BYTES = 128 * 1024
"""Bytes read between two acknowledgements: half of the gate's send window."""


class AttemptFailure:
    """Reason why an attempt got no complete answer, and whether it was executed."""

    __slots__ = ("executed", "reason")

    def __init__(self, reason: str, executed: Executed) -> None:
        self.reason = reason
        self.executed = executed

    def __repr__(self) -> str:
        return f"AttemptFailure({self.reason}, executed={self.executed})"


class LinkLost:
    """Event that reports that the link to the target closed."""

    __slots__ = ()


class CallConnection(ABC):
    """Interface of the connection that a call uses to reach its target."""

    incarnation: int

    @abstractmethod
    async def send(self, message: Any) -> None:
        """Send a message; raise `LinkClosedError`."""

    @abstractmethod
    def is_open(self) -> bool:
        """Return whether a link is open now."""

    @abstractmethod
    def is_leaving(self) -> bool:
        """Return whether the target accepts no new attempts."""

    @abstractmethod
    def read_clock(self) -> int:
        """Return a reading of the hybrid clock."""

    @abstractmethod
    async def wait_open(self, timeout: float) -> bool:
        """Wait until a link is open; return False on timeout."""

    @abstractmethod
    def remove(self, call: AttemptCall) -> None:
        """Stop delivering messages to a call."""


class AttemptCall:
    """Attempt that resumes after a lost link and returns its answer in order."""

    __slots__ = (
        "_conn",
        "_event_added",
        "_events",
        "_incarnation",
        "_progress_timeout",
        "_state",
        "_unacknowledged_bytes",
        "head",
        "next_sequence",
        "start",
    )

    def __init__(
        self, start: StartAttempt, conn: CallConnection, progress_timeout: float
    ) -> None:
        self.start = start
        self.head: AnswerHead | None = None
        self.next_sequence = 0
        self._conn = conn
        self._incarnation = start.incarnation
        self._progress_timeout = progress_timeout
        self._events: deque[Any] = deque()
        self._event_added = asyncio.Event()
        self._unacknowledged_bytes = 0
        self._state: Literal["unsent", "sent", "ended"] = "unsent"

    def put(self, event: Any) -> None:
        """Queue a message about this attempt from the connection."""
        if isinstance(event, LinkLost) and self._ends_with_link_lost():
            return
        self._events.append(event)
        self._event_added.set()

    def _ends_with_link_lost(self) -> bool:
        return bool(self._events) and isinstance(self._events[-1], LinkLost)

    async def open(self) -> Result[AnswerHead, AttemptFailure]:
        """Start the attempt and wait for the head of its answer."""
        if not self._conn.is_open():
            return self._fail(UNREACHABLE, "no")
        if self._conn.is_leaving():
            # The entry has acknowledged that it sends the target no further attempts.
            return self._fail("leaving", "no")
        if not self.start.created:
            self.start.created = self._conn.read_clock()
        self._state = "sent"
        try:
            await self._conn.send(self.start)
        except LinkClosedError:
            # Part of the message may have been sent, so query the target's state.
            self.put(LinkLost())
        return await self._wait_for_head()

    async def resume(self) -> Result[AnswerHead, AttemptFailure]:
        """Fetch the answer of an attempt that another call may have sent.

        An attempt that has not started is voided, so that it can never start.
        """
        self._state = "sent"
        self.put(LinkLost())
        return await self._wait_for_head()

    async def _wait_for_head(self) -> Result[AnswerHead, AttemptFailure]:
        while self.head is None:
            step = await self._process_event()
            if step.is_error():
                return Error(step.error)
            if step.ok is None:
                return Error(AttemptFailure("no answer", "unknown"))
        return Ok(self.head)

    async def read(self) -> Result[bytes | None, AttemptFailure]:
        """Return the next bytes of the body, or None at its end."""
        while True:
            step = await self._process_event()
            if step.is_error() or step.ok is None:
                return step
            if step.ok:
                await self._acknowledge(len(step.ok))
                return step

    async def _acknowledge(self, size: int) -> None:
        self._unacknowledged_bytes += size
        if self._unacknowledged_bytes < ACK_INTERVAL_BYTES:
            return
        self._unacknowledged_bytes = 0
        await self._send(
            AnswerTaken(attempt=self.start.attempt, sequence=self.next_sequence)
        )

    async def _process_event(self) -> Result[bytes | None, AttemptFailure]:
        if not await self._wait_for_event(self._progress_timeout):
            return await self._handle_progress_timeout()
        match self._events.popleft():
            case AnswerChunk() as chunk:
                return Ok(self._collect_chunks(chunk))
            case AnswerHead() as head:
                self.head = self.head or head
                return Ok(b"")
            case AnswerEnd() as end:
                return self._handle_end(end)
            case RefuseAttempt() as refusal:
                return self._fail(refusal.reason, "no")
            case VoidAnswer() as answer:
                return await self._handle_void_answer(answer)
            case _:
                return await self._resume()

    async def _handle_progress_timeout(self) -> Result[bytes | None, AttemptFailure]:
        # The target may never have received the attempt, which it can prove.
        is_sent = self.head is None and await self._send(self._make_void_request())
        if is_sent and await self._wait_for_event(VOID_TIMEOUT_S):
            if not isinstance(self._events[0], VoidAnswer):
                return Ok(b"")
            if self._events.popleft().state == "void":
                return self._fail(NOT_ARRIVED, "no")
        await self.cancel()
        return self._fail("progress timeout", "unknown")

    def _make_void_request(self) -> VoidAttempt:
        return VoidAttempt(
            attempt=self.start.attempt,
            incarnation=self._incarnation,
            created=self.start.created,
            claim=self.start.claim,
            claim_fence=self.start.claim_fence,
        )

    async def _wait_for_event(self, timeout: float) -> bool:
        if self._events:
            return True
        self._event_added.clear()
        try:
            async with asyncio.timeout(timeout):
                await self._event_added.wait()
        except TimeoutError:
            return False
        return True

    def _collect_chunks(self, chunk: AnswerChunk) -> bytes:
        parts = []
        while True:
            if chunk.sequence == self.next_sequence:
                parts.append(chunk.data)
                self.next_sequence += 1
            if not self._events or type(self._events[0]) is not AnswerChunk:
                return parts[0] if len(parts) == 1 else b"".join(parts)
            chunk = self._events.popleft()

    def _handle_end(self, end: AnswerEnd) -> Result[bytes | None, AttemptFailure]:
        if end.outcome == "done" and end.chunks == self.next_sequence and self.head:
            self._end()
            return Ok(None)
        return self._fail(end.outcome, "unknown")

    def _fail(
        self, reason: str, executed: Executed
    ) -> Result[bytes | None, AttemptFailure]:
        self._end()
        return Error(AttemptFailure(reason, executed))

    def _end(self) -> None:
        if self._state != "ended":
            self._state = "ended"
            self._conn.remove(self)

    async def _resume(self) -> Result[bytes | None, AttemptFailure]:
        attempt = self.start.attempt
        log.event("attempt_link_lost", attempt=attempt, request=self.start.request)
        deadline = time.monotonic() + RESUME_TIMEOUT_S
        while (time_left := deadline - time.monotonic()) > 0:
            if not await self._conn.wait_open(time_left):
                break
            if self._conn.incarnation != self._incarnation:
                return self._fail("target restarted", "unknown")
            if await self._send(self._make_void_request()):
                return Ok(b"")
            # A closing link reports itself open for one event loop turn or more.
            await asyncio.sleep(RESUME_POLL_S)
        return self._fail("target unreachable", "unknown")

    async def _handle_void_answer(
        self, answer: VoidAnswer
    ) -> Result[bytes | None, AttemptFailure]:
        if answer.state == "void":
            return self._fail(LOST_BEFORE_START, "no")
        if answer.state == "forgotten":
            return self._fail("answer no longer held", "unknown")
        fetch = FetchAttempt(
            attempt=self.start.attempt,
            incarnation=self._incarnation,
            sequence=self.next_sequence,
        )
        if not await self._send(fetch):
            self.put(LinkLost())
        return Ok(b"")

    async def _send(self, message: Any) -> bool:
        try:
            await self._conn.send(message)
        except LinkClosedError:
            return False
        return True

    async def cancel(self) -> None:
        """Cancel the attempt because nothing waits for its answer any more."""
        if self._state != "sent":
            return
        self._end()
        await self._send(CancelAttempt(attempt=self.start.attempt))
