"""Scheduler that assigns requests to runners, queues them or refuses them.

The cost of a request does not grow with the number of runners. In a large cell,
each placement considers a random sample of the runners, as a choice of two already
balances the load, and what depends on all runners is computed once per tick.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.eligibility.rules import EligibilityRules
from marigold.entry.rates.runner_rates import RunnerRates
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.minimum_versions import MinimumVersions
from marigold.entry.relay.overflow import Overflow
from marigold.entry.relay.placement import Placement
from marigold.entry.relay.queueing import DeadlineAdmission, QueueOrder
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.selection import UNFIT, RunnerSelector
from marigold.entry.relay.service_queue import TICK_S, ServiceQueue, is_subset
from marigold.entry.relay.version_windows import VersionWindows
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds for which a runner that reports being full gets no requests.
FULL_BACKOFF_S = 0.1
# Seconds for which a runner gets no requests after it reported that it is another
# runner or holds other weights than listed. The runner list is about to show that.
MISDIRECTED_BACKOFF_S = 0.5
# Requests with sizes that may find no runner until the rest waits for the next event.
# Each looks at all sampled runners, and a long queue would take milliseconds.
MAXIMUM_FAILURES = 4
# Why a request is refused whose caller leaves before any runner could begin it.
LATE_REASON = "its caller leaves before a runner could begin it"
# Why a request is refused that no runner could finish before its deadline.
UNFINISHED_REASON = "no runner could finish it in time"
# Retry-After when no runner of the service can take the request now or soon. A runner
# takes about this long to start, and callers wait no longer.
NO_RUNNER_RETRY_S = 2.0


# Requests per second below which no Retry-After is computed.
MINIMUM_RATE = 0.1


class RunnerSource(Protocol):
    """Source of the runners of a service."""

    def get_listed(self, service: str) -> Sequence[RunnerView]:
        """Return the runners that are listed and not leaving."""


class RequestScheduler:
    """Assigns requests to runners, as the placement and queue policies decide."""

    def __init__(
        self,
        directory: RunnerSource,
        placement: Placement,
        order: QueueOrder,
        admission: DeadlineAdmission,
        minimum_versions: MinimumVersions,
        get_engine: Callable[[str], EngineModel | None],
        rng: random.Random,
        monotonic: Callable[[], float],
        boottime: Callable[[], float],
        overflow: Overflow | None = None,
        rules: EligibilityRules | None = None,
        rates: RunnerRates | None = None,
        preferred: Counter | None = None,
    ) -> None:
        self._preferred = preferred
        self._rates = rates
        self._rules = rules or EligibilityRules()
        self._directory = directory
        self._placement = placement
        self._order = order
        self._admission = admission
        self._versions = VersionWindows(minimum_versions, boottime)
        self.get_minimum_version = self._versions.get_minimum_version
        self.get_version_window = self._versions.get_window
        self._selector = RunnerSelector(
            placement, admission, self._versions, get_engine, rng, self._rules, rates
        )
        self._get_engine = get_engine
        self._rng = rng
        self._monotonic = monotonic
        self._overflow = overflow
        self._queues: dict[str, ServiceQueue] = {}
        self._has_waiting = asyncio.Event()

    def _get_queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue(
                partial(self._directory.get_listed, service),
                partial(self._get_engine, service),
                self._rng,
                self._monotonic(),
                self._rates,
            )
        return queue

    async def run(self) -> None:
        """Check the waiting requests every tick until cancelled."""
        while True:
            if not self.count_waiting():
                self._has_waiting.clear()
                await self._has_waiting.wait()
            await asyncio.sleep(TICK_S)
            self.check_waiting()

    def check_waiting(self) -> None:
        """Refuse waiting requests that cannot be served, and start others."""
        for service, queue in list(self._queues.items()):
            if queue.waiting:
                queue.shares.refresh(service, self._monotonic())
                self._refuse_unservable(queue)
                self._start_waiting(queue, self._directory.get_listed(service))

    def count_waiting(self, service: str | None = None) -> int:
        """Return the number of waiting requests, of one service or of all."""
        return sum(
            len(queue.waiting)
            for name, queue in self._queues.items()
            if service in (None, name)
        )

    async def acquire(self, req: PlacementRequest) -> RunnerView:
        """Wait for a runner and count the request as sent to it.

        Raise `NotServedError` when none is available before the caller leaves.
        """
        fut = self.submit(req)
        try:
            return await fut
        except asyncio.CancelledError:
            self.cancel_request(req, fut)
            raise

    def submit(self, req: PlacementRequest) -> asyncio.Future[RunnerView]:
        """Return a future of the runner that `acquire` would return."""
        queue = self._get_queue(req.service)
        fut: asyncio.Future[RunnerView] = asyncio.get_running_loop().create_future()
        # A further attempt belongs to a request that has been counted.
        if req.organisation and not req.tried:
            queue.shares.record_request(req, self._monotonic())
            fut.add_done_callback(partial(self._record_outcome, req, queue))
        try:
            if not queue.waiting and self._start(req, fut, queue.sample()) is None:
                return fut
            if self._forward(req, fut, queue):
                return fut
            self._check_servable(req, queue)
        except NotServedError as exc:
            fut.set_exception(exc)
            return fut
        queue.waiting[req] = fut
        self._has_waiting.set()
        log.routine(
            "request_waits",
            request=req.id,
            service=req.service,
            ahead=len(queue.waiting) - 1,
        )
        self.start_waiting(req.service)
        return fut

    def _record_outcome(
        self,
        req: PlacementRequest,
        queue: ServiceQueue,
        fut: asyncio.Future[RunnerView],
    ) -> None:
        if fut.cancelled() or fut.exception() is not None:
            return
        if self._preferred is not None and queue.shares.is_underserved(req):
            self._preferred.add(str(req.precedence))
        queue.shares.record_start(req, self._monotonic())

    def _forward(
        self,
        req: PlacementRequest,
        fut: asyncio.Future[RunnerView],
        queue: ServiceQueue,
    ) -> bool:
        """Let a request wait in another cell if restrictions exclude all runners here.

        Return whether it does.
        """
        if self._overflow is None or req.is_forwarded:
            return False
        if req.regions is None and not self._rules.evacuated:
            return False
        if self._has_eligible_runner(req, queue, self._monotonic()):
            return False
        return self._overflow.forward(req, fut)

    def requeue(self, req: PlacementRequest, fut: asyncio.Future[RunnerView]) -> None:
        """Queue a request that another cell did not accept."""
        if not fut.done():
            self._get_queue(req.service).waiting[req] = fut
            self._has_waiting.set()
            self.start_waiting(req.service)

    def acquire_now(self, req: PlacementRequest) -> RunnerView | None:
        """Return a runner that can start another cell's request at once, or None."""
        now = self._monotonic()
        sample = self._get_queue(req.service).sample(regions=req.regions)
        view, _ = self._selector.place(req, sample, now)
        if view is None or self._is_full(view):
            return None
        self._assign(req, view, now)
        return view

    def _assign(self, req: PlacementRequest, view: RunnerView, now: float) -> None:
        view.start(req, now)
        if self._rates is not None:
            self._rates.record_start(view, now)

    def count_free_slots(self, service: str) -> int:
        """Return the number of free slots of a service, less its waiting requests."""
        now = self._monotonic()
        free = sum(
            max(view.runner.slots - view.get_load(now), 0.0)
            for view in self._directory.get_listed(service)
            if view.is_open(now) and not view.health.is_ejected(now)
        )
        return max(int(free) - len(self._get_queue(service).waiting), 0)

    def cancel_request(
        self, req: PlacementRequest, fut: asyncio.Future[RunnerView]
    ) -> None:
        """Remove a request that is no longer needed and release its runner."""
        self._get_queue(req.service).waiting.pop(req, None)
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(req, fut.result())
        fut.cancel()

    def release(self, req: PlacementRequest, view: RunnerView) -> None:
        """Release the slot that a request held at a runner."""
        view.record_unanswered(req, self._monotonic())
        view.finish(req)
        self.start_waiting(req.service, view)

    def block(self, view: RunnerView, seconds: float = FULL_BACKOFF_S) -> None:
        """Send no requests to a runner for some seconds."""
        until = self._monotonic() + seconds
        view.blocked_until = max(view.blocked_until, until)

    def start_waiting(self, service: str, freed: RunnerView | None = None) -> None:
        """Start waiting requests while runners have capacity.

        `freed` is a runner that has just gained a free slot.
        """
        queue = self._get_queue(service)
        if queue.waiting:
            self._start_waiting(queue, queue.sample(freed))

    def _start_waiting(self, queue: ServiceQueue, views: Sequence[RunnerView]) -> None:
        waiting = list(queue.waiting)
        failures = 0
        while waiting and failures < MAXIMUM_FAILURES:
            now = self._monotonic()
            queue.refresh(now)
            req = self._order.pick(waiting, queue.start_delay, now, queue.shares)
            waiting.remove(req)
            fut = queue.waiting.get(req)
            if fut is None:
                continue
            if not self._admission.can_start_in_time(req, queue.start_bound, now):
                self._refuse(queue, req, now, LATE_REASON)
                continue
            if not self._can_finish(req, now):
                self._refuse(queue, req, now, UNFINISHED_REASON)
                continue
            earliest = None if fut.done() else self._start(req, fut, views)
            if earliest is None:
                queue.waiting.pop(req, None)
            else:
                failures += req.end_deadline is not None
                # What is free comes too late for all whose callers leave before that,
                # unless they may use other runners as well.
                waiting = [
                    item
                    for item in waiting
                    if self._may_start(item, req, earliest, now)
                ]

    def _may_start(
        self, item: PlacementRequest, req: PlacementRequest, earliest: float, now: float
    ) -> bool:
        """Return whether a request may start although another one could not."""
        if not is_subset(item.regions, req.regions):
            return True
        if earliest == UNFIT:
            return not self._placement.blocks(req, item)
        return self._admission.can_start_in_time(item, earliest, now)

    def _start(
        self,
        req: PlacementRequest,
        fut: asyncio.Future[RunnerView],
        views: Sequence[RunnerView],
    ) -> float | None:
        """Assign a request to one of `views` or to another cell, if possible.

        Return None then, else the seconds in which the first of the free runners would
        begin it if that is too late, infinity if none can be had.
        """
        now = self._monotonic()
        if req.regions is not None:
            views = self._get_queue(req.service).sample(regions=req.regions)
        view, earliest = self._selector.place(req, views, now)
        if self._overflow is not None and (view is None or self._is_full(view)):
            if self._overflow.offer(req, fut):
                return None
        if view is None:
            return earliest
        self._assign(req, view, now)
        self._get_queue(req.service).rate.record_start(now)
        fut.set_result(view)
        return None

    def _can_finish(self, req: PlacementRequest, now: float) -> bool:
        engine = self._get_engine(req.service)
        return self._placement.can_finish(req, engine, now)

    def _is_full(self, view: RunnerView) -> bool:
        return view.get_load(self._monotonic()) >= view.runner.slots

    def get_start_window(self, req: PlacementRequest, view: RunnerView) -> float:
        """Return the seconds left in which a runner's version may start a request."""
        return self.get_version_window(
            req.model, view.get_version(req.model) if req.model else None
        )

    def _has_eligible_runner(
        self, req: PlacementRequest, queue: ServiceQueue, now: float
    ) -> bool:
        minimum = self._versions.get_required_version(req)
        return queue.has_eligible_runner(req, minimum, now)

    def _check_servable(self, req: PlacementRequest, queue: ServiceQueue) -> None:
        now = self._monotonic()
        if not self._has_eligible_runner(req, queue, now):
            version = self._versions.get_required_version(req)
            raise NotServedError(
                f"no runner for it, of version {version} or newer", NO_RUNNER_RETRY_S
            )
        if not self._admission.can_start_in_time(req, queue.start_bound, now):
            raise self._make_refusal(queue, now, LATE_REASON)
        if not self._can_finish(req, now):
            raise self._make_refusal(queue, now, UNFINISHED_REASON)
        if queue.available_at + queue.start_delay >= req.start_deadline:
            raise NotServedError(
                "every runner wants nothing for a while",
                self._admission.add_jitter(
                    min(queue.available_at - now, NO_RUNNER_RETRY_S), self._rng
                ),
            )
        ahead = queue.count_ahead(req)
        rate = queue.get_start_rate(now)
        start = queue.start_delay
        if ahead == 0 or self._admission.is_admissible(req, ahead, rate, start, now):
            return
        if not queue.rate.is_known(now) and ahead < queue.free_slots:
            # All runners are starting or loading weights, so the start rate is not
            # known yet; their free slots are filled as soon as they accept requests.
            return
        raise self._make_refusal(queue, now, "more waits than can be served in time")

    def _make_refusal(
        self, queue: ServiceQueue, now: float, reason: str
    ) -> NotServedError:
        count = len(queue.waiting)
        retry_after = self._admission.get_retry_after(
            count, max(queue.get_start_rate(now), MINIMUM_RATE), self._rng
        )
        return NotServedError(reason, retry_after)

    def _refuse_unservable(self, queue: ServiceQueue) -> None:
        now = self._monotonic()
        queue.refresh(now)
        start = queue.start_bound
        for req, fut in list(queue.waiting.items()):
            is_unservable = not self._has_eligible_runner(req, queue, now)
            if is_unservable and self._forward(req, fut, queue):
                del queue.waiting[req]
                continue
            is_unservable |= queue.available_at + start >= req.start_deadline
            if is_unservable or not self._admission.can_start_in_time(req, start, now):
                self._refuse(queue, req, now, "no runner became free in time")

    def _refuse(
        self, queue: ServiceQueue, req: PlacementRequest, now: float, reason: str
    ) -> None:
        """Refuse a waiting request."""
        fut = queue.waiting.pop(req)
        if not fut.done():
            fut.set_exception(self._make_refusal(queue, now, reason))
