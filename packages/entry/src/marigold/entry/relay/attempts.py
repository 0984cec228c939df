"""One attempt of a request at a runner, which can be continued after a stall."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web

from marigold.core.platform.adapter import RunnerRequestHead
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.relay.answers import AnswerReader, AnswerRelay, AttemptOutcome
from marigold.entry.relay.exceptions import (
    NotRunError,
    NotSentError,
    RestrictedError,
    RunnerError,
    SuspectedMeanwhileError,
    TooOldError,
    WithdrawnError,
)
from marigold.entry.relay.forwarding import (
    STATUS_FAILURE,
    STATUS_SUCCESS,
    RunnerAnswer,
)
from marigold.entry.relay.health import UNREACHABLE_WEIGHT
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.scheduler import FULL_BACKOFF_S, MISDIRECTED_BACKOFF_S
from marigold.entry.relay.views import RunnerView
from marigold.entry.relay.watchdog import AttemptWatchdog
from marigold.entry.suspicion.admission import Trial

T = TypeVar("T")

# Added to the priority value of requests that have missed their latency target, and the
# largest priority value.
LATE_PRIORITY_INCREMENT = 4
MAXIMUM_PRIORITY = 9


def make_runner_head(
    scheduler: EntryScheduler,
    ctx: RequestContext,
    view: RunnerView,
    last_event: int | None,
    now: float,
) -> RunnerRequestHead:
    """Return the head of an attempt that is sent at `now`.

    `last_event` is the id of the last event that was relayed, None if there is none.
    """
    priority = ctx.precedence + (
        LATE_PRIORITY_INCREMENT if now > ctx.soft_deadline else 0
    )
    minimum = scheduler.get_minimum_version(ctx)
    version = None
    if minimum is not None:
        version = max(minimum, view.get_version(ctx.model) or 0)
    return RunnerRequestHead(
        runner=view.id,
        remaining=ctx.deadline - now,
        organisation=ctx.organisation,
        priority=min(priority, MAXIMUM_PRIORITY) if view.runner.is_engine else None,
        version=version,
        last_event="" if last_event is None else str(last_event),
    )


def record_failed_attempt(
    view: RunnerView, exc: RunnerError, outcome: AttemptOutcome, now: float
) -> None:
    """Set the outcome of a failed attempt, and record it in the runner's health."""
    match exc:
        case NotRunError(is_misdirected=False):
            view.record_progress(now)
            outcome.name = "full"
            outcome.backoff = exc.retry_after or FULL_BACKOFF_S
        case NotRunError():
            view.record_progress(now)
            outcome.name = "misdirected"
            outcome.backoff = MISDIRECTED_BACKOFF_S
        case TooOldError() | SuspectedMeanwhileError() | RestrictedError():
            # Nothing was sent; the next runner is chosen by the new state.
            pass
        case NotSentError():
            outcome.name = "unreachable"
            view.health.record_failure(now, UNREACHABLE_WEIGHT)
        case WithdrawnError():
            # This is no failure of the runner.
            pass
        case _:
            outcome.name = "failed"
            view.health.record_failure(now)


class Attempt:
    """An attempt at a runner, from sending the request to the end of its answer.

    After `run` raised `SilentRunnerError`, the runner may only have paused. The attempt
    is then either closed, or suspended while another runner is asked; `run` may be
    called again after `resume`. `send` sends the request and returns the answer.
    `watch` waits for the runner while the attempt is suspended.
    """

    __slots__ = (
        "_answer",
        "_ctx",
        "_reader",
        "_relay",
        "_send",
        "_sent_at",
        "_sent_version",
        "outcome",
        "trial",
        "view",
        "watch",
        "watchdog",
    )

    def __init__(
        self,
        ctx: RequestContext,
        view: RunnerView,
        trial: Trial,
        watchdog: AttemptWatchdog,
        send: Callable[[], Awaitable[RunnerAnswer]],
        relay: AnswerRelay,
        outcome: AttemptOutcome,
    ) -> None:
        self._ctx = ctx
        self._send = send
        self._relay = relay
        self._answer: RunnerAnswer | None = None
        self._reader: AnswerReader | None = None
        self._sent_at = ctx.sent_at
        self._sent_version = ctx.sent_version
        self.watch: asyncio.Task[bool] | None = None
        self.view = view
        self.trial = trial
        self.watchdog = watchdog
        self.outcome = outcome

    async def run(self) -> web.StreamResponse:
        """Relay the answer; raise `RunnerError` if it is not whole."""
        if self.watch is not None:
            await self.watch
        reader = await self._get_reader()
        return await self._relay.relay(self.view, reader, self.watchdog, self.outcome)

    async def _get_reader(self) -> AnswerReader:
        if self._reader is None:
            answer = await self.watchdog.guard(self._fetch_head)
            self._reader = self._relay.start(self.view, answer, self.outcome)
        return self._reader

    async def _fetch_head(self) -> RunnerAnswer:
        # `close` has to find an answer whose head came after a stall.
        self._answer = await self._send()
        return self._answer

    def suspend(self) -> None:
        """Keep the state of the request before another runner gets it.

        The attempt is closed if it breaks or has to be withdrawn meanwhile.
        """
        self.watchdog.started_before_stall = self._ctx.is_started
        self.watchdog.tolerates_silence = True
        self.watch = asyncio.create_task(self._wait_progress())
        self.watch.add_done_callback(self._close_after_failure)

    async def _wait_progress(self) -> bool:
        """Wait until the runner goes on; return whether its answer is a good one."""
        reader = await self._get_reader()
        if not self._ctx.route.is_stream:
            await self.watchdog.guard(reader.read_all)
            return reader.answer.status < STATUS_FAILURE
        if reader.answer.status != STATUS_SUCCESS:
            return False
        await reader.read_ahead(self.watchdog)
        return True

    @property
    def has_progress(self) -> bool:
        """Return whether the runner has gone on since the attempt was suspended."""
        watch = self.watch
        if watch is None or not watch.done() or self.has_failed:
            return False
        return watch.result()

    @property
    def has_failed(self) -> bool:
        """Return whether the attempt broke since it was suspended."""
        watch = self.watch
        if watch is None or not watch.done():
            return False
        return watch.cancelled() or watch.exception() is not None

    def _close_after_failure(self, watch: asyncio.Task[bool]) -> None:
        if not watch.cancelled() and watch.exception() is not None:
            self.close()

    def resume(self) -> None:
        """Restore the state of the request, and wait for the runner to the end."""
        ctx = self._ctx
        started = self.watchdog.started_before_stall
        ctx.is_started = bool(started)
        ctx.sent_at = self._sent_at
        ctx.sent_version = self._sent_version
        self.watchdog.started_before_stall = None

    def close(self) -> None:
        """Close the connection, so that the runner stops working on the request."""
        if self.watch is not None:
            self.watch.cancel()
        self.watchdog.cancel()
        if self._answer is not None:
            self._answer.abort()
