"""One attempt of a request at a runner, which can be continued after a stall."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from marigold.core.platform.adapter import RunnerRequestHead
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.relay.answers import AnswerReader, AnswerRelay, AttemptOutcome
from marigold.entry.relay.forwarding import RunnerAnswer
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.views import RunnerView
from marigold.entry.relay.watchdog import AttemptWatchdog
from marigold.entry.suspicion.admission import Trial

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


class Attempt:
    """An attempt at a runner, from sending the request to the end of its answer.

    `run` may be called again after it raised `SilentRunnerError`, as the runner may
    only have paused. `send` sends the request and returns the answer.
    """

    __slots__ = (
        "_answer",
        "_ctx",
        "_is_started",
        "_reader",
        "_relay",
        "_send",
        "_sent_at",
        "_sent_version",
        "outcome",
        "trial",
        "view",
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
        self._is_started = False
        self._sent_at = ctx.sent_at
        self._sent_version = ctx.sent_version
        self.view = view
        self.trial = trial
        self.watchdog = watchdog
        self.outcome = outcome

    async def run(self) -> web.StreamResponse:
        """Relay the answer; raise `RunnerError` if it is not whole."""
        if self._reader is None:
            answer = await self.watchdog.guard(self._fetch_head)
            self._reader = self._relay.start(self.view, answer, self.outcome)
        return await self._relay.relay(
            self.view, self._reader, self.watchdog, self.outcome
        )

    async def _fetch_head(self) -> RunnerAnswer:
        # `close` has to find an answer whose head came after a stall.
        self._answer = await self._send()
        return self._answer

    def suspend(self) -> None:
        """Keep the state of the request before another runner gets it."""
        self._is_started = self._ctx.is_started

    def resume(self) -> None:
        """Restore the state of the request, and wait for the runner to the end."""
        ctx = self._ctx
        ctx.is_started = self._is_started
        ctx.sent_at = self._sent_at
        ctx.sent_version = self._sent_version
        self.watchdog.tolerates_silence = True

    def close(self) -> None:
        """Close the connection, so that the runner stops working on the request."""
        self.watchdog.cancel()
        if self._answer is not None:
            self._answer.abort()
