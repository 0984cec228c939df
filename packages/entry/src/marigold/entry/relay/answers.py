"""What a runner answers, on its way to the caller."""

from __future__ import annotations

import time
from collections.abc import Callable

from aiohttp import web

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

# Bytes of an answer that is kept until it is whole, and of what a stream may send
# before its first event; the answers of the platform's services have some thousand.
ANSWER_BYTES = 8 * 1024 * 1024
PREAMBLE_BYTES = 64 * 1024
# Statuses that tell callers that a request has not run; only the runner can say so.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})


class AttemptOutcome:
    """What became of a request at one runner, in the words of `PlaceEnd`.

    `hold` is the seconds in which the runner is to get nothing.
    """

    __slots__ = ("hold", "name")

    def __init__(self) -> None:
        self.name = "unused"
        self.hold = 0.0


class AnswerRelay:
    """The answer of one request, which several runners may have a part in.

    `response` is what the caller gets, None before its head is sent, and `sequence`
    the events that have passed.
    """

    __slots__ = (
        "_desk",
        "_header_codec",
        "_http",
        "_is_closing",
        "_metrics",
        "_monotonic",
        "_preamble",
        "_ticket",
        "response",
        "sequence",
    )

    def __init__(
        self,
        desk: EntryScheduler,
        header_codec: HeaderCodec,
        metrics: RelayMetrics,
        http: web.BaseRequest,
        ticket: RequestContext,
        last_event: str,
        is_closing: Callable[[], bool],
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._desk = desk
        self._header_codec = header_codec
        self._metrics = metrics
        self._http = http
        self._ticket = ticket
        self._is_closing = is_closing
        self._monotonic = monotonic
        self._preamble = b""
        last = int(last_event) if last_event.isdigit() else None
        self.sequence = EventSequence(last)
        self.response: web.StreamResponse | None = None

    async def relay(
        self,
        view: RunnerView,
        answer: RunnerAnswer,
        watchdog: AttemptWatchdog,
        outcome: AttemptOutcome,
    ) -> web.StreamResponse:
        """Pass on what a runner answers, all of it.

        Raise `BrokenAnswerError` when it is not whole or not to be believed.
        """
        self._preamble = b""
        self._note_head(view, answer, outcome)
        if self._ticket.route.is_stream and answer.status == 200:
            return await self._relay_stream(view, answer, watchdog)
        body = await watchdog.guard(answer.read_all(ANSWER_BYTES))
        answer.finish()
        now = self._monotonic()
        view.record_progress(now)
        if answer.status >= 500:
            view.health.record_failure(now)
            if not outcome.hold:
                outcome.name = "failed"
            if self.response is not None:
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
            if self._may_replace(answer):
                raise BrokenAnswerError(f"{view.id}: status {answer.status}")
        else:
            view.health.record_success(now)
        if self.response is not None:
            raise BrokenAnswerError(f"{view.id}: status {answer.status} on resuming")
        if not answer.head.is_signed and answer.status < 300:
            raise BrokenAnswerError(f"{view.id}: a success without a signature")
        if not answer.head.is_signed and answer.status in PROMISING_STATUSES:
            raise BrokenAnswerError(f"{view.id}: {answer.status} without a statement")
        headers = self._header_codec.make_caller_headers(answer.headers)
        resp = web.Response(status=answer.status, headers=headers, body=body)
        await self._send_head(resp)
        await resp.write_eof()
        return resp

    def _may_replace(self, answer: RunnerAnswer) -> bool:
        """Tell whether a failure of the runner is worth another try."""
        ticket = self._ticket
        return ticket.may_retry() and self._monotonic() < ticket.soft_deadline

    def _note_head(
        self, view: RunnerView, answer: RunnerAnswer, outcome: AttemptOutcome
    ) -> None:
        now = self._monotonic()
        if answer.head.retry_after:
            outcome.name = "full"
            outcome.hold = answer.head.retry_after
            self._desk.block(view, outcome.hold)
        view.record_progress(now)
        if answer.head.load is not None:
            view.update_load(answer.head.load, now)
        if answer.head.version is not None:
            view.version_seen = answer.head.version
        self._metrics.head_time.record(now - self._ticket.sent_at)

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
            await self._pass_on(view, answer, splitter, data, watchdog)
        if splitter.has_part:
            raise BrokenAnswerError(f"{view.id}: ended within an event")
        if self.response is None:
            raise BrokenAnswerError(f"{view.id}: a stream without events")
        answer.finish()
        view.health.record_success(self._monotonic())
        await self.response.write_eof()
        return self.response

    async def _pass_on(
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
                self.sequence.take(event)
        except StreamOrderError as exc:
            raise BrokenAnswerError(f"{view.id}: {exc}") from exc
        if not events:
            return
        data = b"".join(event.data for event in events)
        if any(event.id is not None for event in events):
            # Comments keep a connection open, but a stalled stream sends them too.
            view.record_progress(self._monotonic())
            watchdog.record_event()
        elif not self._ticket.is_started:
            self._preamble += data
            if len(self._preamble) > PREAMBLE_BYTES:
                raise BrokenAnswerError(f"{view.id}: no event, but bytes without end")
            return
        data, self._preamble = self._preamble + data, b""
        if not self._ticket.is_started:
            self._desk.mark_started(self._ticket)
            self._note_first(view)
        if self.response is None:
            headers = self._header_codec.make_caller_headers(answer.headers)
            resp = web.StreamResponse(status=answer.status, headers=headers)
            resp.enable_chunked_encoding()
            await self._send_head(resp)
        await self.response.write(data)

    def _note_first(self, view: RunnerView) -> None:
        seconds = self._monotonic() - self._ticket.arrived_at
        self._metrics.first_event_time.record(seconds)
