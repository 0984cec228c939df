"""Dispatch of a request: admission, attempts and retries."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

from expression import Error, Ok, Result

from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import AnswerHead, StartAttempt
from marigold.core.schema.generated.settings import EntrySettings
from marigold.entry.admission.controller import AdmissionController, Grant
from marigold.entry.exceptions import (
    AnswerError,
    NoCapacityError,
    QuarantinedError,
    TargetFailedError,
    TimeoutPassedError,
    UnreachableError,
)
from marigold.entry.membership.pool import TargetPool
from marigold.entry.metrics import EntryMetrics
from marigold.entry.routing.calls import (
    AttemptCall,
    AttemptFailure,
    CallConnection,
)
from marigold.entry.routing.isolation import SuspectIsolation
from marigold.entry.routing.requests import Answer, Request
from marigold.entry.routing.retries import AttemptHistory, RetryPolicy

log = get_logger(__name__)

MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1.0
EVENT_STREAM = "text/event-stream"


def is_event_stream(head: AnswerHead) -> bool:
    """Return whether an answer is an event stream, which can end in an error event."""
    items = head.headers.items()
    return any(
        name.lower() == "content-type" and value.startswith(EVENT_STREAM)
        for name, value in items
    )


EndHandler = Callable[[AttemptFailure | None], Awaitable[None]]


class StreamedAnswer:
    """Answer whose parts are forwarded as they arrive."""

    __slots__ = ("_call", "_first", "head", "on_ended")

    def __init__(self, call: AttemptCall, head: AnswerHead, first: bytes) -> None:
        self._call = call
        self._first = first
        self.head = head
        self.on_ended: EndHandler | None = None

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts; raise `TargetFailedError` when the answer is truncated."""
        yield self._first
        while True:
            step = await self._call.read()
            if step.is_error():
                await self._notify_end(step.error)
                raise TargetFailedError(f"the answer was cut: {step.error.reason}")
            if step.ok is None:
                await self._notify_end(None)
                return
            yield step.ok

    async def _notify_end(self, failure: AttemptFailure | None) -> None:
        if self.on_ended is not None:
            await self.on_ended(failure)

    async def cancel(self) -> None:
        """Cancel the attempt because the caller has disconnected."""
        await self._call.cancel()


class Dispatcher:
    """Runs requests: admission, attempts and retries."""

    def __init__(
        self,
        cfg: EntrySettings,
        admission: AdmissionController,
        pool: TargetPool,
        retries: RetryPolicy,
        isolation: SuspectIsolation,
        metrics: EntryMetrics,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._admission = admission
        self._pool = pool
        self._retries = retries
        self._isolation = isolation
        self._metrics = metrics
        self._rng = rng

    async def run(self, req: Request) -> Answer | StreamedAnswer:
        """Return the answer to a request; raise `AnswerError`.

        Call `finish` once the answer has been forwarded to the caller.
        """
        await self._admission.enter(req)
        self._retries.record_request(req.service, time.monotonic())
        history = AttemptHistory(req.service, req.is_idempotent)
        while True:
            grant = await self._acquire_grant(req, history)
            result = await self._attempt(req, grant, history.total + 1)
            if result.is_ok():
                await self._record_answer(req, grant, result.ok)
                return result.ok
            self._record_failure(req, grant, history, result.error)
            await self._isolation.record_outcome(req, grant.target, result.error)
            delay = self._retries.get_delay(
                history, req.get_time_left(), time.monotonic(), self._rng
            )
            if delay is None:
                raise self._make_error(history, req)
            await asyncio.sleep(delay)

    async def _record_answer(
        self, req: Request, grant: Grant, answer: Answer | StreamedAnswer
    ) -> None:
        if isinstance(answer, StreamedAnswer):
            answer.on_ended = partial(self._isolation.record_outcome, req, grant.target)
        else:
            await self._isolation.record_outcome(req, grant.target, None)

    def _record_failure(
        self,
        req: Request,
        grant: Grant,
        history: AttemptHistory,
        failure: AttemptFailure,
    ) -> None:
        host = grant.target.host
        history.add(failure, host)
        self._metrics.attempts.add(host, failure.reason)
        log.event(
            "attempt_ended",
            request=req.id,
            target=host,
            reason=failure.reason,
            executed=failure.executed,
        )

    def finish(self, req: Request) -> None:
        """Release the reservation, the permit and the slot that the request held."""
        self._isolation.release(req)
        self._admission.leave(req)

    async def _acquire_grant(self, req: Request, history: AttemptHistory) -> Grant:
        try:
            grant = await self._acquire_by_suspicion(req, history.excluded)
        except QuarantinedError as exc:
            exc.executed = history.executed
            raise
        except AnswerError as exc:
            if history.executed != "no":
                raise self._make_error(history, req) from exc
            raise
        self._metrics.queue_wait.record(grant.waited, req.customer.name)
        return grant

    async def _acquire_by_suspicion(
        self, req: Request, excluded: frozenset[str]
    ) -> Grant:
        while True:
            if not self._isolation.is_suspect(req):
                grant = await self._acquire_target(req, excluded)
                if not self._isolation.is_suspect(req):
                    return grant
                # The request became a suspect while it waited.
                grant.target.outstanding -= 1
                self._admission.admit_waiting()
            isolated = await self._isolation.acquire(req, excluded)
            if isolated is not None:
                return isolated

    async def _acquire_target(self, req: Request, excluded: frozenset[str]) -> Grant:
        """Wait for a target outside `excluded`, or for any when no other is left."""
        try:
            return await self._admission.acquire(req, excluded)
        except UnreachableError:
            if not excluded:
                raise
        return await self._admission.acquire(req, frozenset())

    def _make_error(self, history: AttemptHistory, req: Request) -> AnswerError:
        failure = history.last
        executed = history.executed
        if failure.executed == "no":
            message = f"{req.service} did not take the request: {failure.reason}"
            return NoCapacityError(message, RETRY_AFTER_S, executed)
        cls = TimeoutPassedError if "timeout" in failure.reason else TargetFailedError
        message = f"{req.service} gave no whole answer: {failure.reason}"
        # Suggest a retry of a request that may have run only if it is idempotent.
        retry_after = RETRY_AFTER_S if req.is_idempotent else 0.0
        return cls(message, retry_after, executed)

    def _make_start(
        self, req: Request, grant: Grant, conn: CallConnection, number: int
    ) -> StartAttempt:
        return StartAttempt(
            attempt=f"{req.id}.{number}",
            request=req.id,
            incarnation=conn.incarnation,
            customer=req.customer.name,
            service=req.service,
            version=grant.version,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            priority=req.customer.precedence,
            deadline=max(req.get_time_left(), 0.0),
        )

    async def _attempt(
        self, req: Request, grant: Grant, number: int
    ) -> Result[Answer | StreamedAnswer, AttemptFailure]:
        try:
            conn = self._pool.get(grant.target.host)
        except KeyError:
            return Error(AttemptFailure("target removed", "no"))
        start = self._make_start(req, grant, conn, number)
        await self._record_attempt(req, grant, start)
        call = AttemptCall(start, conn, self._cfg.limits.progress_timeout)
        # The grant already counted the attempt; from here the connection counts it.
        grant.target.outstanding -= 1
        conn.add(call)
        try:
            opened = await call.open()
            if opened.is_error():
                return Error(opened.error)
            result = await self.read_answer(req, call, opened.ok)
        except BaseException:
            await call.cancel()
            raise
        if result.is_ok():
            self._metrics.attempts.add(grant.target.host, "done")
            self._metrics.first_token.record(
                time.monotonic() - req.arrived_at, req.customer.name
            )
        return result

    async def _record_attempt(
        self, req: Request, grant: Grant, start: StartAttempt
    ) -> None:
        if req.claim is None:
            return
        try:
            await req.claim.record_attempt(start, grant.target.host)
        except BaseException:
            grant.target.outstanding -= 1
            self._admission.admit_waiting()
            raise

    async def read_answer(
        self, req: Request, call: AttemptCall, head: AnswerHead
    ) -> Result[Answer | StreamedAnswer, AttemptFailure]:
        """Return the answer of an attempt whose head has arrived."""
        first = await call.read()
        if first.is_error():
            return Error(first.error)
        if req.is_streamed and first.ok is not None and is_event_stream(head):
            return Ok(StreamedAnswer(call, head, first.ok))
        parts = []
        size = 0
        step = first
        while step.is_ok() and step.ok is not None:
            parts.append(step.ok)
            size += len(step.ok)
            if size > MAXIMUM_ANSWER_BYTES:
                await call.cancel()
                return Error(AttemptFailure("answer too large", "yes"))
            step = await call.read()
        if step.is_error():
            return Error(step.error)
        return Ok(Answer(head.status, head.headers, b"".join(parts)))
