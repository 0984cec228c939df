"""One request of a caller, from its place in the queue to its answer."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import CallerHead, Dialect, RunnerTerms
from marigold.entry.relay.desk import PlacementDesk
from marigold.entry.relay.exceptions import (
    AnswerCutError,
    AnswerLateError,
    AnswerLostError,
    BrokenAnswerError,
    NotRunError,
    NotSentError,
    NotServedError,
    RunnerError,
    WithdrawnError,
)
from marigold.entry.relay.forwarding import CallerRequest, Forwarder, RunnerAnswer
from marigold.entry.relay.health import UNREACHABLE_WEIGHT
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.patience import Patience
from marigold.entry.relay.repeats import RepeatPolicy
from marigold.entry.relay.streams import (
    EventSequence,
    EventSplitter,
    StreamOrderError,
)
from marigold.entry.relay.tickets import Ticket
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Runners that a request is offered to where each could not be reached.
UNSENT_MAXIMUM = 4
# Retry-After when runners state that they have not run the request.
REFUSED_RETRY_S = 0.3
# Urgency that is added for requests that can no longer be in time.
LATE_URGENCY = 4
MAXIMUM_URGENCY = 9
# Seconds of a deadline below which nothing is worth sending.
MINIMUM_REMAINING_S = 0.01
# Seconds that a runner gets nothing after it stated that it is another one, or
# holds other weights; its entry in the list is then about to change.
MISDIRECTED_HOLD_S = 0.5


class RequestServer:
    """Serves requests that have passed their checks.

    Its attributes are what the attempts of one request need.
    """

    def __init__(
        self,
        desk: PlacementDesk,
        forwarder: Forwarder,
        dialect: Dialect,
        repeats: RepeatPolicy,
        metrics: RelayMetrics,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.desk = desk
        self.forwarder = forwarder
        self.dialect = dialect
        self.repeats = repeats
        self.metrics = metrics
        self.rng = rng
        self.monotonic = monotonic

    async def serve(
        self,
        http: web.BaseRequest,
        head: CallerHead,
        ticket: Ticket,
        req: CallerRequest,
        is_closing: Callable[[], bool],
    ) -> web.StreamResponse:
        """Answer a request; raise `RelayError` when no answer can be given."""
        self.repeats.note_request(ticket.service, self.monotonic())
        run = _Run(self, http, head, ticket, req, is_closing)
        try:
            async with asyncio.timeout(ticket.ends_at - self.monotonic()):
                return await run.serve()
        except TimeoutError as exc:
            if run.response is not None:
                raise AnswerCutError(
                    "the answer was not whole in time", run.response
                ) from exc
            if run.may_have_run:
                raise AnswerLateError("no answer in time") from exc
            raise NotServedError("no runner in time", REFUSED_RETRY_S) from exc


class _Run:
    """The attempts of one request."""

    __slots__ = (
        "_head",
        "_http",
        "_is_closing",
        "_req",
        "_sequence",
        "_server",
        "_ticket",
        "_unsent",
        "may_have_run",
        "response",
    )

    def __init__(
        self,
        server: RequestServer,
        http: web.BaseRequest,
        head: CallerHead,
        ticket: Ticket,
        req: CallerRequest,
        is_closing: Callable[[], bool],
    ) -> None:
        self._server = server
        self._http = http
        self._head = head
        self._ticket = ticket
        self._req = req
        self._is_closing = is_closing
        last = head.last_event
        self._sequence = EventSequence(int(last) if last.isdigit() else None)
        self._unsent = 0
        self.may_have_run = False
        self.response: web.StreamResponse | None = None

    async def serve(self) -> web.StreamResponse:
        server = self._server
        while True:
            view = await self._acquire()
            try:
                return await self._attempt(view)
            except RunnerError as exc:
                self._note_failure(view, exc)
                self._decide_repeat(exc)
            finally:
                server.desk.release(self._ticket, view)

    async def _acquire(self) -> RunnerView:
        try:
            return await self._server.desk.acquire(self._ticket)
        except NotServedError as exc:
            if self.response is not None:
                raise AnswerCutError(
                    f"no runner to go on at: {exc}", self.response
                ) from exc
            if self.may_have_run:
                raise AnswerLostError(f"no runner to repeat it at: {exc}") from exc
            raise

    def _note_failure(self, view: RunnerView, exc: RunnerError) -> None:
        now = self._server.monotonic()
        self._ticket.tried.add(view.id)
        self._server.metrics.attempts_failed.add(type(exc).__name__)
        log.event(
            "attempt_failed",
            request=self._ticket.id,
            runner=view.id,
            reason=exc,
            kind=type(exc).__name__,
            sends=self._ticket.sends,
            after=now - self._ticket.sent_at,
        )
        match exc:
            case NotRunError(is_misdirected=False):
                self._server.desk.block(view)
            case NotRunError():
                view.blocked_until = now + MISDIRECTED_HOLD_S
            case NotSentError():
                view.health.note_failure(now, UNREACHABLE_WEIGHT)
            case WithdrawnError():
                # The runner did nothing wrong.
                pass
            case _:
                view.health.note_failure(now)

    def _decide_repeat(self, exc: RunnerError) -> None:
        """Return when another runner is to be tried; else raise `RelayError`."""
        ticket = self._ticket
        if isinstance(exc, NotSentError):
            self._unsent += 1
            if self._unsent < UNSENT_MAXIMUM:
                return
        elif self._may_try_again(exc):
            return
        if self.response is not None:
            raise AnswerCutError(str(exc), self.response) from exc
        if self.may_have_run:
            raise AnswerLostError(str(exc)) from exc
        retry_after = REFUSED_RETRY_S * (1.0 + self._server.rng.random())
        raise NotServedError(f"{ticket.service}: {exc}", retry_after) from exc

    def _may_try_again(self, exc: RunnerError) -> bool:
        ticket = self._ticket
        if isinstance(exc, BrokenAnswerError):
            if not ticket.may_repeat():
                return False
        elif ticket.sends >= ticket.route.maximum_attempts:
            return False
        return self._server.repeats.take(ticket.service, self._server.monotonic())

    async def _attempt(self, view: RunnerView) -> web.StreamResponse:
        server, ticket = self._server, self._ticket
        now = server.monotonic()
        remaining = ticket.ends_at - now
        if remaining < MINIMUM_REMAINING_S:
            raise TimeoutError
        terms = self._make_terms(view, now, remaining)
        ticket.is_started = False
        ticket.sent_at = now
        ticket.sends += 1
        patience = Patience(
            ticket, view, server.desk.get_time_to_begin(ticket, view), server.monotonic
        )
        log.routine(
            "request_sent",
            request=ticket.id,
            runner=view.id,
            load=view.get_load(now),
            version=terms.version,
            waited=now - ticket.arrived_at,
            sends=ticket.sends,
        )
        # From here on the runner may have run it, also when this task is ended.
        had_run, self.may_have_run = self.may_have_run, True
        try:
            answer = await patience.guard(
                server.forwarder.send(view, ticket, self._req, terms)
            )
        except NotSentError:
            ticket.sends -= 1
            self.may_have_run = had_run
            raise
        except NotRunError:
            self.may_have_run = had_run
            raise
        try:
            return await self._relay(view, answer, patience)
        except BaseException:
            answer.abort()
            raise

    def _make_terms(
        self, view: RunnerView, now: float, remaining: float
    ) -> RunnerTerms:
        ticket = self._ticket
        urgency = ticket.precedence + (LATE_URGENCY if now > ticket.target_at else 0)
        last = self._sequence.last
        return RunnerTerms(
            runner=view.id,
            remaining=remaining,
            organisation=ticket.organisation,
            urgency=min(urgency, MAXIMUM_URGENCY) if view.runner.is_engine else None,
            version=self._get_expected_version(view),
            last_event="" if last is None else str(last),
        )

    def _get_expected_version(self, view: RunnerView) -> int | None:
        """Return the version that the runner has to hold, None for any."""
        floor = self._server.desk.get_floor(self._ticket)
        if floor is None:
            return None
        return max(floor, view.get_version(self._ticket.model) or 0)

    async def _relay(
        self, view: RunnerView, answer: RunnerAnswer, patience: Patience
    ) -> web.StreamResponse:
        self._note_head(view, answer)
        if self._ticket.route.is_stream and answer.status == 200:
            return await self._relay_stream(view, answer, patience)
        body = await patience.guard(answer.read_all())
        answer.finish()
        now = self._server.monotonic()
        view.note_progress(now)
        if answer.status >= 500:
            view.health.note_failure(now)
            if self.response is not None:
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
            if self._may_replace(answer):
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
        else:
            view.health.note_success(now)
        if self.response is not None:
            raise BrokenAnswerError(f"{view.id}: status {answer.status} on resuming")
        if answer.status < 300 and not answer.head.is_sealed:
            raise BrokenAnswerError(f"{view.id}: a success without a signature")
        headers = self._server.dialect.make_caller_headers(answer.headers)
        resp = web.Response(status=answer.status, headers=headers, body=body)
        await self._send_head(resp)
        await resp.write_eof()
        return resp

    def _may_replace(self, answer: RunnerAnswer) -> bool:
        """Tell whether a failure of the runner is worth another try."""
        ticket = self._ticket
        return ticket.may_repeat() and self._server.monotonic() < ticket.target_at

    def _note_head(self, view: RunnerView, answer: RunnerAnswer) -> None:
        now = self._server.monotonic()
        view.note_progress(now)
        if answer.head.load is not None:
            view.note_load(answer.head.load, now)
        if answer.head.version is not None:
            view.version_seen = answer.head.version
        self._server.metrics.head_time.record(now - self._ticket.sent_at)

    async def _send_head(self, resp: web.StreamResponse) -> None:
        if self._is_closing():
            resp.force_close()
        self.response = resp
        await resp.prepare(self._http)

    async def _relay_stream(
        self, view: RunnerView, answer: RunnerAnswer, patience: Patience
    ) -> web.StreamResponse:
        if not answer.head.is_sealed:
            raise BrokenAnswerError(f"{view.id}: a stream without a signature")
        splitter = EventSplitter()
        while True:
            data = await patience.guard(answer.read())
            view.note_progress(self._server.monotonic())
            if not data:
                break
            await self._pass_on(view, answer, splitter, data)
        if splitter.has_part:
            raise BrokenAnswerError(f"{view.id}: ended within an event")
        if self.response is None:
            raise BrokenAnswerError(f"{view.id}: a stream without events")
        answer.finish()
        view.health.note_success(self._server.monotonic())
        await self.response.write_eof()
        return self.response

    async def _pass_on(
        self,
        view: RunnerView,
        answer: RunnerAnswer,
        splitter: EventSplitter,
        data: bytes,
    ) -> None:
        try:
            events = splitter.feed(data)
            for event in events:
                self._sequence.take(event)
        except StreamOrderError as exc:
            raise BrokenAnswerError(f"{view.id}: {exc}") from exc
        if not events:
            return
        if not self._ticket.is_started:
            self._ticket.is_started = True
            self._note_first(view)
        if self.response is None:
            headers = self._server.dialect.make_caller_headers(answer.headers)
            resp = web.StreamResponse(status=answer.status, headers=headers)
            resp.enable_chunked_encoding()
            await self._send_head(resp)
        await self.response.write(b"".join(event.data for event in events))

    def _note_first(self, view: RunnerView) -> None:
        seconds = self._server.monotonic() - self._ticket.arrived_at
        self._server.metrics.first_event_time.record(seconds)
