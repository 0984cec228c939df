"""Serving of requests that have passed their checks."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable

from aiohttp import web

from marigold.core.platform.adapter import HeaderCodec, RequestHead
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.relay.crashes import CrashDetector, RunnerCrash
from marigold.entry.relay.exceptions import (
    AnswerCutError,
    AnswerLateError,
    NotServedError,
)
from marigold.entry.relay.execution import REFUSED_RETRY_S, RequestExecution
from marigold.entry.relay.forwarding import (
    CallerRequest,
    Forwarder,
)
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.requests import RequestContext
from marigold.entry.suspicion.admission import SuspectAdmission, Trial


class RequestServer:
    """Serves requests that have passed their checks.

    Its attributes are what the attempts of one request need.
    """

    def __init__(
        self,
        desk: EntryScheduler,
        forwarder: Forwarder,
        header_codec: HeaderCodec,
        metrics: RelayMetrics,
        rng: random.Random,
        may_use_keys: Callable[[], bool],
        crashes: CrashDetector,
        suspects: SuspectAdmission,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ends_by = math.inf
        self._limits: set[asyncio.Timeout] = set()
        self._judging: set[asyncio.Task[None]] = set()
        self.crashes = crashes
        self.suspects = suspects
        self.may_use_keys = may_use_keys
        self.desk = desk
        self.forwarder = forwarder
        self.header_codec = header_codec
        self.metrics = metrics
        self.rng = rng
        self.monotonic = monotonic

    def record_abandoned(self, trial: Trial, end: RunnerCrash) -> None:
        """Take in that a request was given up after it was sent.

        Of a suspect it has to be known what became of its runner.
        """
        if not trial.prior_ends:
            self.crashes.record_abandoned(end)
            return
        task = asyncio.create_task(self._judge_left(trial.transfer(), end))
        self._judging.add(task)
        task.add_done_callback(self._judging.discard)

    async def _judge_left(self, trial: Trial, end: RunnerCrash) -> None:
        trial.is_inconclusive = True
        try:
            trial.is_inconclusive = not await self.crashes.investigate_abandoned(end)
        finally:
            trial.end()

    def add_jitter(self, seconds: float) -> float:
        """Return a time at which not all callers come back at once."""
        return seconds * (1.0 + self.rng.random())

    async def serve(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        ticket: RequestContext,
        req: CallerRequest,
        is_closing: Callable[[], bool],
    ) -> web.StreamResponse:
        """Answer a request; raise `RelayError` when no answer can be given."""
        self.desk.count_request(ticket)
        run = RequestExecution(self, http, head, ticket, req, is_closing)
        ends_at = min(ticket.ends_at, self._ends_by)
        limit = asyncio.timeout(ends_at - self.monotonic())
        self._limits.add(limit)
        try:
            async with limit:
                return await run.serve()
        except TimeoutError as exc:
            if run.response is not None:
                raise AnswerCutError(
                    "the answer was not whole in time", run.response
                ) from exc
            if run.may_have_run:
                raise AnswerLateError("no answer in time") from exc
            raise NotServedError("no runner in time", REFUSED_RETRY_S) from exc
        finally:
            self._limits.discard(limit)

    def end_by(self, ends_at: float) -> None:
        """Give every request its final answer by a time of the monotonic clock."""
        self._ends_by = ends_at
        when = asyncio.get_running_loop().time() + ends_at - self.monotonic()
        for limit in self._limits:
            if (limit.when() or math.inf) > when:
                limit.reschedule(when)
