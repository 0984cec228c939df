"""Relaying of runners' answers to the caller."""

from __future__ import annotations

import copy
import math
import time
from collections.abc import Callable

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.core.numbers import parse_number
from marigold.core.platform.adapter import HeaderCodec
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.relay.exceptions import BrokenAnswerError, ConnectionLostError
from marigold.entry.relay.forwarding import RunnerAnswer
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.requests import RequestContext, get_stream_timeout
from marigold.entry.relay.streams import (
    Event,
    EventSequence,
    EventSplitter,
    StreamOrderError,
)
from marigold.entry.relay.views import RunnerView
from marigold.entry.relay.watchdog import AttemptWatchdog

log = get_logger(__name__)

# Bounds in bytes of an answer, which is buffered until it is complete, and of what a
# stream may send before its first event. Usual answers have some thousand bytes.
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
MAXIMUM_PREAMBLE_BYTES = 64 * 1024
EVENT_STREAM_TYPE = "text/event-stream"
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


class AnswerReader:
    """Reads one answer, and can go on after a stall.

    `last_event` is the id of the last event that was relayed before this answer, and
    `preamble` what came before its own first event.
    """

    __slots__ = ("_ahead", "_body", "answer", "last_event", "preamble", "splitter")

    def __init__(self, answer: RunnerAnswer, last_event: int | None) -> None:
        self.answer = answer
        self.last_event = last_event
        self.splitter = EventSplitter()
        self.preamble = b""
        self._ahead = b""
        self._body: bytes | None = None

    async def read(self) -> bytes:
        """Return the next bytes, or empty bytes at the end."""
        if self._ahead:
            data, self._ahead = self._ahead, b""
            return data
        return await self.answer.read()

    async def read_ahead(self, watchdog: AttemptWatchdog) -> None:
        """Wait for the next event, or the end; `read` returns the bytes again."""
        splitter = copy.copy(self.splitter)
        try:
            while data := await watchdog.guard_read(self.answer.read):
                watchdog.record_bytes()
                self._ahead += data
                if any(event.id is not None for event in splitter.feed(data)):
                    return
                if len(self._ahead) > MAXIMUM_PREAMBLE_BYTES:
                    raise BrokenAnswerError("no event, but bytes without end")
        except StreamOrderError as exc:
            raise BrokenAnswerError(str(exc)) from exc

    async def read_all(self) -> bytes:
        """Return the whole body."""
        if self._body is None:
            self._body = await self.answer.read_all(MAXIMUM_ANSWER_BYTES)
        return self._body


class AnswerRelay:
    """Relays the answer to one request, which may come from several runners in turn.

    `on_start` is called with the first event of each runner.
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
        "_on_start",
        "_relayed_at",
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
        on_start: Callable[[RunnerView], None],
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_start = on_start
        self._scheduler = scheduler
        self._header_codec = header_codec
        self._metrics = metrics
        self._http = http
        self._ctx = ctx
        self._is_closing = is_closing
        self._monotonic = monotonic
        self._relayed_at: float | None = None
        self.sequence = EventSequence(parse_number(last_event))
        self.response: web.StreamResponse | None = None

    def extend_patience(self) -> None:
        """Let the caller of a stream that has begun wait from its last event on."""
        if self._relayed_at is not None:
            ctx = self._ctx
            leaves_at = self._relayed_at + get_stream_timeout(ctx.route)
            ctx.start_deadline = min(leaves_at, ctx.deadline)

    def start(
        self, view: RunnerView, answer: RunnerAnswer, outcome: AttemptOutcome
    ) -> AnswerReader:
        """Return a reader for an answer whose head has been received."""
        self._record_head(view, answer, outcome)
        return AnswerReader(answer, self.sequence.last)

    async def relay(
        self,
        view: RunnerView,
        reader: AnswerReader,
        watchdog: AttemptWatchdog,
        outcome: AttemptOutcome,
    ) -> web.StreamResponse:
        """Relay the whole answer of a runner.

        Raise `BrokenAnswerError` when it is incomplete or not trustworthy. After
        `SilentRunnerError`, the same call goes on with the answer.
        """
        answer = reader.answer
        if self._ctx.route.is_stream and answer.status == 200:
            return await self._relay_stream(view, reader, watchdog)
        if self.response is not None:
            # The stream has begun, so that the body is of no use.
            raise BrokenAnswerError(f"{view.id}: status {answer.status} on resuming")
        body = await watchdog.guard(reader.read_all)
        answer.finish()
        now = self._monotonic()
        view.record_progress(now)
        if answer.status >= 500:
            view.health.record_failure(now)
            if not outcome.backoff:
                outcome.name = "failed"
            if self._may_retry_failure(answer):
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
        else:
            view.health.record_success(now)
        if answer.status < 300:
            # Refusals and errors are quick, and would attract further requests.
            view.record_duration(self._ctx, now)
        if not answer.head.is_signed and answer.status < 300:
            raise BrokenAnswerError(f"{view.id}: a success without a signature")
        if not answer.head.is_signed and answer.status in NOT_EXECUTED_STATUSES:
            raise BrokenAnswerError(f"{view.id}: {answer.status} without a statement")
        self._ctx.count_answer(len(body))
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
        self, view: RunnerView, reader: AnswerReader, watchdog: AttemptWatchdog
    ) -> web.StreamResponse:
        answer = reader.answer
        if not answer.head.is_signed:
            raise BrokenAnswerError(f"{view.id}: a stream without a signature")
        content_type = answer.headers.get("Content-Type", "")
        if content_type and not content_type.startswith(EVENT_STREAM_TYPE):
            raise BrokenAnswerError(f"{view.id}: {content_type} is no event stream")
        while True:
            data = await watchdog.guard_read(reader.read)
            if not data:
                break
            await self._relay_data(view, reader, data, watchdog)
        # Without a length the stream ended with its connection, perhaps in a crash.
        error = BrokenAnswerError if answer.is_framed else ConnectionLostError
        if reader.splitter.has_partial_event:
            raise error(f"{view.id}: ended within an event")
        if self.response is None:
            raise error(f"{view.id}: a stream without events")
        if self.sequence.last == reader.last_event and not (
            content_type and answer.is_framed
        ):
            # A resumed stream may be empty, but then it has to state that it is whole.
            raise error(f"{view.id}: no event on resuming")
        answer.finish()
        now = self._monotonic()
        view.record_progress(now)
        view.health.record_success(now)
        view.record_duration(self._ctx, now)
        await self.response.write_eof()
        return self.response

    async def _relay_data(
        self,
        view: RunnerView,
        reader: AnswerReader,
        data: bytes,
        watchdog: AttemptWatchdog,
    ) -> None:
        events = []
        failure = None
        try:
            for event in reader.splitter.feed(data):
                self.sequence.check(event)
                events.append(event)
        except StreamOrderError as exc:
            failure = exc
        if events:
            # They count as relayed, so that a resumed stream goes on after them.
            await self._relay_events(view, reader, events, watchdog)
        if failure is not None:
            raise BrokenAnswerError(f"{view.id}: {failure}") from failure

    async def _relay_events(
        self,
        view: RunnerView,
        reader: AnswerReader,
        events: list[Event],
        watchdog: AttemptWatchdog,
    ) -> None:
        data = b"".join(event.data for event in events)
        if any(event.id is not None for event in events):
            # Comments are no progress: a stalled stream sends them as keep-alives.
            self._relayed_at = now = self._monotonic()
            view.record_progress(now)
            watchdog.record_event()
        else:
            view.record_sign(self._monotonic())
        if not self._ctx.is_started and all(event.id is None for event in events):
            reader.preamble += data
            if len(reader.preamble) > MAXIMUM_PREAMBLE_BYTES:
                raise BrokenAnswerError(f"{view.id}: no event, but bytes without end")
            return
        data, reader.preamble = reader.preamble + data, b""
        if not self._ctx.is_started:
            self._on_start(view)
            self._scheduler.mark_started(self._ctx)
            self._record_first_event(view, watchdog)
        if self.response is None:
            answer = reader.answer
            headers = self._header_codec.make_caller_headers(answer.headers)
            resp = web.StreamResponse(status=answer.status, headers=headers)
            resp.enable_chunked_encoding()
            await self._send_head(resp)
        await self.response.write(data)

    def _record_first_event(self, view: RunnerView, watchdog: AttemptWatchdog) -> None:
        now = self._monotonic()
        self._metrics.first_event_time.record(now - self._ctx.arrived_at)
        start_window = watchdog.get_start_window()
        if start_window < math.inf:
            log.routine(
                "stream_started",
                request=self._ctx.id,
                runner=view.id,
                after=now - self._ctx.sent_at,
                start_window=start_window,
            )
