"""Relaying of runners' answers to the caller."""

from __future__ import annotations

import time
from collections.abc import Callable

from aiohttp import web

from marigold.core.numbers import parse_number
from marigold.core.platform.adapter import HeaderCodec
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.relay.exceptions import BrokenAnswerError
from marigold.entry.relay.forwarding import RunnerAnswer
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.streams import (
    EventSequence,
    EventSplitter,
    StreamOrderError,
)
from marigold.entry.relay.views import RunnerView
from marigold.entry.relay.watchdog import AttemptWatchdog

# Bounds in bytes of an answer, which is buffered until it is complete, and of what a
# stream may send before its first event. Usual answers have some thousand bytes.
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
MAXIMUM_PREAMBLE_BYTES = 64 * 1024
# Statuses that tell callers that a request has not run, which only the runner knows.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class AttemptOutcome:
    """Outcome of one attempt, named as in the `PlaceEnd` message.

    `backoff` is the seconds for which the runner should get no requests.
    """

    __slots__ = ("backoff", "name")

    def __init__(self) -> None:
        self.name = "unused"
        self.backoff = 0.0


class AnswerRelay:
    """Relays the answer to one request, which may come from several runners in turn.

    `response` is the response to the caller, None before its head is sent; `sequence`
    tracks the events that have been relayed.
    """

    __slots__ = (
        "_ctx",
        "_header_codec",
        "_http",
        "_is_closing",
        "_metrics",
        "_monotonic",
        "_preamble",
        "_scheduler",
        "response",
        "sequence",
    )

    def __init__(
        self,
        scheduler: EntryScheduler,
        header_codec: HeaderCodec,
        metrics: RelayMetrics,
        http: web.BaseRequest,
        ctx: RequestContext,
        last_event: str,
        is_closing: Callable[[], bool],
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler = scheduler
        self._header_codec = header_codec
        self._metrics = metrics
        self._http = http
        self._ctx = ctx
        self._is_closing = is_closing
        self._monotonic = monotonic
        self._preamble = b""
        self.sequence = EventSequence(parse_number(last_event))
        self.response: web.StreamResponse | None = None

    async def relay(
        self,
        view: RunnerView,
        answer: RunnerAnswer,
        watchdog: AttemptWatchdog,
        outcome: AttemptOutcome,
    ) -> web.StreamResponse:
        """Relay the whole answer of a runner.

        Raise `BrokenAnswerError` when it is incomplete or not trustworthy.
        """
        self._preamble = b""
        self._record_head(view, answer, outcome)
        if self._ctx.route.is_stream and answer.status == 200:
            return await self._relay_stream(view, answer, watchdog)
        body = await watchdog.guard(answer.read_all(MAXIMUM_ANSWER_BYTES))
        answer.finish()
        now = self._monotonic()
        view.record_progress(now)
        if answer.status >= 500:
            view.health.record_failure(now)
            if not outcome.backoff:
                outcome.name = "failed"
            if self.response is not None:
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
            if self._may_retry_failure(answer):
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
        else:
            view.health.record_success(now)
        if self.response is not None:
            raise BrokenAnswerError(f"{view.id}: status {answer.status} on resuming")
        if not answer.head.is_signed and answer.status < 300:
            raise BrokenAnswerError(f"{view.id}: a success without a signature")
        if not answer.head.is_signed and answer.status in NOT_EXECUTED_STATUSES:
            raise BrokenAnswerError(f"{view.id}: {answer.status} without a statement")
        headers = self._header_codec.make_caller_headers(answer.headers)
        resp = web.Response(status=answer.status, headers=headers, body=body)
        await self._send_head(resp)
        await resp.write_eof()
        return resp

    def _may_retry_failure(self, answer: RunnerAnswer) -> bool:
        """Return whether a failed answer may be replaced by a retry."""
        ctx = self._ctx
        return ctx.may_retry() and self._monotonic() < ctx.soft_deadline

    def _record_head(
        self, view: RunnerView, answer: RunnerAnswer, outcome: AttemptOutcome
    ) -> None:
        now = self._monotonic()
        if answer.head.retry_after:
            outcome.name = "full"
            outcome.backoff = answer.head.retry_after
            self._scheduler.block(view, outcome.backoff)
        view.record_progress(now)
        if answer.head.load is not None:
            view.update_load(answer.head.load, now)
        if answer.head.version is not None:
            view.version_seen = answer.head.version
        self._metrics.head_time.record(now - self._ctx.sent_at)

    async def _send_head(self, resp: web.StreamResponse) -> None:
        if self._is_closing():
            resp.force_close()
        self.response = resp
        await resp.prepare(self._http)

    async def _relay_stream(
        self, view: RunnerView, answer: RunnerAnswer, watchdog: AttemptWatchdog
    ) -> web.StreamResponse:
        if not answer.head.is_signed:
            raise BrokenAnswerError(f"{view.id}: a stream without a signature")
        splitter = EventSplitter()
        while True:
            data = await watchdog.guard_read(answer.read)
            if not data:
                break
            await self._relay_data(view, answer, splitter, data, watchdog)
        if splitter.has_partial_event:
            raise BrokenAnswerError(f"{view.id}: ended within an event")
        if self.response is None:
            raise BrokenAnswerError(f"{view.id}: a stream without events")
        answer.finish()
        view.health.record_success(self._monotonic())
        await self.response.write_eof()
        return self.response

    async def _relay_data(
        self,
        view: RunnerView,
        answer: RunnerAnswer,
        splitter: EventSplitter,
        data: bytes,
        watchdog: AttemptWatchdog,
    ) -> None:
        try:
            events = splitter.feed(data)
            for event in events:
                self.sequence.check(event)
        except StreamOrderError as exc:
            raise BrokenAnswerError(f"{view.id}: {exc}") from exc
        if not events:
            return
        data = b"".join(event.data for event in events)
        if any(event.id is not None for event in events):
            # Comments are no progress: a stalled stream sends them as keep-alives.
            view.record_progress(self._monotonic())
            watchdog.record_event()
        elif not self._ctx.is_started:
            self._preamble += data
            if len(self._preamble) > MAXIMUM_PREAMBLE_BYTES:
                raise BrokenAnswerError(f"{view.id}: no event, but bytes without end")
            return
        data, self._preamble = self._preamble + data, b""
        if not self._ctx.is_started:
            self._scheduler.mark_started(self._ctx)
            self._record_first_event(view)
        if self.response is None:
            headers = self._header_codec.make_caller_headers(answer.headers)
            resp = web.StreamResponse(status=answer.status, headers=headers)
            resp.enable_chunked_encoding()
            await self._send_head(resp)
        await self.response.write(data)

    def _record_first_event(self, view: RunnerView) -> None:
        seconds = self._monotonic() - self._ctx.arrived_at
        self._metrics.first_event_time.record(seconds)
