"""Serving of requests that the front end has accepted."""

from __future__ import annotations

import asyncio
import math
import random
import time
import traceback
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import HeaderCodec, RequestHead
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.relay.crashes import CrashDetector, RunnerCrash
from marigold.entry.relay.exceptions import (
    AnswerCutError,
    AnswerLateError,
    NotServedError,
    RelayError,
)
from marigold.entry.relay.execution import REFUSED_RETRY_S, RequestExecution
from marigold.entry.relay.forwarding import (
    CallerRequest,
    Forwarder,
)
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.start_delays import PathDelays
from marigold.entry.relay.views import RunnerView
from marigold.entry.suspicion.admission import SuspectAdmission, Trial

log = get_logger(__name__)

# Length to which the message of an unexpected exception is logged.
LOGGED_CHARACTERS = 200


def log_unexpected(request: str, exc: Exception) -> None:
    """Log an exception that is no expected failure of a request, and its place."""
    frame = traceback.extract_tb(exc.__traceback__)[-1]
    log.event(
        "unexpected_error",
        request=request,
        reason=ascii(exc)[:LOGGED_CHARACTERS],
        place=f"{frame.filename}:{frame.lineno}",
    )


class RequestServer:
    """Serves requests that the front end has accepted.

    Its public attributes are the dependencies of `RequestExecution`.
    """

    def __init__(
        self,
        scheduler: EntryScheduler,
        forwarder: Forwarder,
        header_codec: HeaderCodec,
        metrics: RelayMetrics,
        rng: random.Random,
        may_use_keys: Callable[[], bool],
        crashes: CrashDetector,
        suspects: SuspectAdmission,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._deadline = math.inf
        self._timers: set[asyncio.Timeout] = set()
        self._investigations: set[asyncio.Task[None]] = set()
        self._path_delays = PathDelays()
        self.crashes = crashes
        self.suspects = suspects
        self.may_use_keys = may_use_keys
        self.scheduler = scheduler
        self.forwarder = forwarder
        self.header_codec = header_codec
        self.metrics = metrics
        self.rng = rng
        self.monotonic = monotonic

    def record_start(self, ctx: RequestContext, view: RunnerView) -> None:
        """Record that a runner has sent the first event of a stream."""
        now = self.monotonic()
        view.record_start(ctx, now)
        self._path_delays.record(view.runner.data_centre, now - ctx.sent_at, now)

    def record_missing_start(self, ctx: RequestContext, view: RunnerView) -> None:
        """Record that an attempt ends before the first event of its stream."""
        if ctx.is_started or not ctx.route.is_stream:
            return
        now = self.monotonic()
        view.record_missing_start(ctx, now)
        path, seconds = view.runner.data_centre, now - ctx.sent_at
        self._path_delays.record_minimum(path, seconds, now)

    def get_expected_start(self, ctx: RequestContext, view: RunnerView) -> float:
        """Return the measured seconds to the first event of a stream at a runner.

        Zero if nothing is known, and for routes whose answers do not show a start.
        """
        if not ctx.route.is_stream:
            return 0.0
        now = self.monotonic()
        path_delay = self._path_delays.get(view.runner.data_centre, now)
        return max(view.start_delays.get(now), path_delay)

    def record_abandoned(self, trial: Trial, crash: RunnerCrash) -> None:
        """Record a request that was abandoned after it was sent.

        For a suspected request, the runner is probed to find out whether it crashed.
        """
        if not trial.suspects:
            self.crashes.record_abandoned(crash)
            return
        task = asyncio.create_task(self._investigate_abandoned(trial.transfer(), crash))
        self._investigations.add(task)
        task.add_done_callback(self._investigations.discard)

    async def _investigate_abandoned(self, trial: Trial, crash: RunnerCrash) -> None:
        trial.is_inconclusive = True
        try:
            trial.is_inconclusive = not await self.crashes.investigate_abandoned(crash)
        finally:
            trial.end()

    def add_jitter(self, seconds: float) -> float:
        """Return the seconds with jitter, so that callers do not return at once."""
        return seconds * (1.0 + self.rng.random())

    async def serve(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        ctx: RequestContext,
        req: CallerRequest,
        is_closing: Callable[[], bool],
    ) -> web.StreamResponse:
        """Answer a request; raise `RelayError` when no answer can be given."""
        execution = RequestExecution(self, http, head, ctx, req, is_closing)
        try:
            async with self.limit_time(ctx.deadline):
                self.scheduler.record_request(ctx)
                return await execution.serve()
        except TimeoutError as exc:
            if execution.response is not None:
                raise AnswerCutError(
                    "the answer was not whole in time", execution.response
                ) from exc
            if execution.may_have_run:
                raise AnswerLateError("no answer in time") from exc
            raise NotServedError("no runner in time", REFUSED_RETRY_S) from exc
        except RelayError:
            raise
        except Exception as exc:
            # A fault of this process or of a library must not end in the library's own
            # answer: the caller has to learn whether the request may have run.
            log_unexpected(ctx.id, exc)
            retry_after = self.add_jitter(REFUSED_RETRY_S)
            raise execution.make_error("internal error", retry_after) from exc

    @asynccontextmanager
    async def limit_time(self, deadline: float = math.inf) -> AsyncIterator[None]:
        """Raise `TimeoutError` at a deadline, or when the process has to end."""
        timer = asyncio.timeout(min(deadline, self._deadline) - self.monotonic())
        self._timers.add(timer)
        try:
            async with timer:
                yield
        finally:
            self._timers.discard(timer)

    def set_deadline(self, deadline: float) -> None:
        """End every request by `deadline`, a time of the monotonic clock."""
        self._deadline = deadline
        when = asyncio.get_running_loop().time() + deadline - self.monotonic()
        for timer in self._timers:
            if (timer.when() or math.inf) > when:
                timer.reschedule(when)
