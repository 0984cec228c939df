"""Scheduler that assigns requests to runners, queues them or refuses them.

The cost of a request does not grow with the number of runners. In a large cell,
each placement considers a random sample of the runners, as a choice of two already
balances the load, and what depends on all runners is computed once per tick.
"""

from __future__ import annotations

import asyncio
import math
import random
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Protocol

from marigold.core.logging import get_logger
from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.estimates import estimate_start_delay
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.minimum_versions import MinimumVersions
from marigold.entry.relay.placement import Placement, estimate_start
from marigold.entry.relay.queueing import (
    DeadlineAdmission,
    QueueOrder,
    StartRate,
    count_ahead,
)
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds between checks of the waiting requests. A timer is needed because load
# reports age without any event.
TICK_S = 0.05
# Runners that one placement considers.
SAMPLE_SIZE = 24
# Seconds for which a runner that reports being full gets no requests.
FULL_BACKOFF_S = 0.1
# Seconds for which a runner gets no requests after it reported that it is another
# runner or holds other weights than listed. The runner list is about to show that.
MISDIRECTED_BACKOFF_S = 0.5
# Seconds before a version becomes the minimum in which runners with older weights
# get only requests that they can start at once and that may run more than once.
VERSION_LEAD_S = 1.0
# Why a request is refused whose caller leaves before any runner could begin it.
LATE_REASON = "its caller leaves before a runner could begin it"
# Retry-After when no runner of the service can take the request now or soon. A runner
# takes about this long to start, and callers wait no longer.
NO_RUNNER_RETRY_S = 2.0


class RunnerSource(Protocol):
    """Source of the runners of a service."""

    def get_listed(self, service: str) -> Sequence[RunnerView]:
        """Return the runners that are listed and not leaving."""


class Overflow(ABC):
    """Sends requests that would have to wait to another cell with free slots."""

    @abstractmethod
    def offer(self, req: PlacementRequest, fut: asyncio.Future[RunnerView]) -> bool:
        """Return whether another cell is tried; `fut` then receives the outcome."""


class _Queue:
    """Waiting requests of a service, with figures over all of its runners.

    A request that is sent now is expected to begin after `start_delay` seconds, and
    seldom after `start_bound`.
    """

    __slots__ = (
        "available_at",
        "eligible",
        "free_slots",
        "rate",
        "refreshed_at",
        "start_bound",
        "start_delay",
        "waiting",
    )

    def __init__(self, now: float) -> None:
        self.waiting: dict[PlacementRequest, asyncio.Future[RunnerView]] = {}
        self.rate = StartRate(now)
        self.free_slots = 0.0
        self.start_delay = 0.0
        self.start_bound = 0.0
        self.refreshed_at = -math.inf
        self.available_at = 0.0
        self.eligible: dict[int | None, bool] = {}


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
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._order = order
        self._admission = admission
        self._minimum_versions = minimum_versions
        self._get_engine = get_engine
        self._rng = rng
        self._monotonic = monotonic
        self._boottime = boottime
        self._overflow = overflow
        self._queues: dict[str, _Queue] = defaultdict(lambda: _Queue(monotonic()))
        self._has_waiting = asyncio.Event()

    async def run(self) -> None:
        """Check the waiting requests every tick until cancelled."""
        while True:
            if not self.count_waiting():
                self._has_waiting.clear()
                await self._has_waiting.wait()
            await asyncio.sleep(TICK_S)
            for service, queue in list(self._queues.items()):
                if queue.waiting:
                    self._refuse_unservable(service, queue)
                    self._start_waiting(
                        service, queue, self._directory.get_listed(service)
                    )

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
        queue = self._queues[req.service]
        fut: asyncio.Future[RunnerView] = asyncio.get_running_loop().create_future()
        try:
            if not queue.waiting and self._start(req, fut, self._sample(req)) is None:
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

    def requeue(self, req: PlacementRequest, fut: asyncio.Future[RunnerView]) -> None:
        """Queue a request that another cell did not accept."""
        if not fut.done():
            self._queues[req.service].waiting[req] = fut
            self._has_waiting.set()
            self.start_waiting(req.service)

    def acquire_now(self, req: PlacementRequest) -> RunnerView | None:
        """Return a runner that can start another cell's request at once, or None."""
        now = self._monotonic()
        view, _ = self._place(req, self._sample(req), now)
        if view is None or self._is_full(view):
            return None
        view.start(req, now)
        return view

    def count_free_slots(self, service: str) -> int:
        """Return the number of free slots of a service, less its waiting requests."""
        now = self._monotonic()
        free = sum(
            max(view.runner.slots - view.get_load(now), 0.0)
            for view in self._directory.get_listed(service)
            if view.is_open(now) and not view.health.is_ejected(now)
        )
        return max(int(free) - len(self._queues[service].waiting), 0)

    def cancel_request(
        self, req: PlacementRequest, fut: asyncio.Future[RunnerView]
    ) -> None:
        """Remove a request that is no longer needed and release its runner."""
        self._queues[req.service].waiting.pop(req, None)
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
        queue = self._queues[service]
        if queue.waiting:
            self._start_waiting(service, queue, self._sample_service(service, freed))

    def _start_waiting(
        self, service: str, queue: _Queue, views: Sequence[RunnerView]
    ) -> None:
        waiting = list(queue.waiting)
        while waiting:
            now = self._monotonic()
            self._refresh(service, queue, now)
            req = self._order.pick(waiting, queue.start_delay, now)
            waiting.remove(req)
            fut = queue.waiting.get(req)
            if fut is None:
                continue
            if not self._admission.can_start_in_time(req, queue.start_bound, now):
                self._refuse(queue, req, now, LATE_REASON)
                continue
            earliest = None if fut.done() else self._start(req, fut, views)
            if earliest is None:
                queue.waiting.pop(req, None)
            else:
                # What is free comes too late for all whose callers leave before that.
                waiting = [
                    item
                    for item in waiting
                    if self._admission.can_start_in_time(item, earliest, now)
                ]

    def _sample(self, req: PlacementRequest) -> Sequence[RunnerView]:
        return self._sample_service(req.service, None)

    def _sample_service(
        self, service: str, freed: RunnerView | None
    ) -> Sequence[RunnerView]:
        listed = self._directory.get_listed(service)
        if len(listed) <= SAMPLE_SIZE:
            return listed
        sample = self._rng.sample(listed, SAMPLE_SIZE)
        if freed is not None and freed not in sample:
            sample.append(freed)
        return sample

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
        view, earliest = self._place(req, views, now)
        if self._overflow is not None and (view is None or self._is_full(view)):
            if self._overflow.offer(req, fut):
                return None
        if view is None:
            return earliest
        view.start(req, now)
        self._queues[req.service].rate.record_start(now)
        fut.set_result(view)
        return None

    def _is_full(self, view: RunnerView) -> bool:
        return view.get_load(self._monotonic()) >= view.runner.slots

    def get_minimum_version(self, req: PlacementRequest) -> int | None:
        """Return the oldest version that may answer a request, None for any."""
        if not req.model:
            return None
        return self._minimum_versions.get(req.model, self._boottime())

    def _get_required_version(self, req: PlacementRequest) -> int | None:
        """Return the oldest version that a request may be sent to, None for any.

        A request that may run only once is not sent again after it was withdrawn.
        """
        if not req.model:
            return None
        lead = 0.0 if req.is_idempotent else VERSION_LEAD_S
        return self._minimum_versions.get(req.model, self._boottime() + lead)

    def get_start_window(self, req: PlacementRequest, view: RunnerView) -> float:
        """Return the seconds left in which a runner's version may start a request."""
        return self.get_version_window(
            req.model, view.get_version(req.model) if req.model else None
        )

    def get_version_window(self, model: str, version: int | None) -> float:
        """Return the seconds left in which a version may start requests.

        They may become fewer at once, when a newer version is learnt of.
        """
        if version is None:
            return math.inf
        cutoff = self._minimum_versions.get_start_cutoff(model, version)
        return cutoff - self._boottime()

    def _place(
        self, req: PlacementRequest, views: Sequence[RunnerView], now: float
    ) -> tuple[RunnerView | None, float]:
        """Return the runner for a request, None if there is none now.

        If the free ones would all begin it too late, also return the seconds in which
        the first of them would, else infinity.
        """
        engine = self._get_engine(req.service)
        usable = self._filter_eligible(req, views, now)
        if req.tried:
            fresh = [view for view in usable if view.id not in req.tried]
            usable = fresh or usable
        starts = {
            view: estimate_start(req, engine, view, now)
            for view in usable
            if self._placement.has_capacity(view, engine, now)
        }
        timely = [
            view
            for view, start in starts.items()
            if self._admission.can_start_in_time(req, start, now)
        ]
        if starts and not timely:
            return None, min(starts.values())
        view = self._placement.choose(req, engine, timely, now, self._rng)
        return view, math.inf

    def _filter_eligible(
        self, req: PlacementRequest, views: Sequence[RunnerView], now: float
    ) -> list[RunnerView]:
        free = [view for view in views if view.is_open(now)]
        if not req.model or self._get_engine(req.service) is None:
            return free
        minimum = self._get_required_version(req) or 0
        upcoming = (
            self._minimum_versions.get(req.model, self._boottime() + VERSION_LEAD_S)
            or 0
        )
        usable = []
        for view in free:
            version = view.get_version(req.model)
            if version is None or version < minimum:
                continue
            # A request that waits at the runner might start after the minimum rises.
            if version >= upcoming or view.get_load(now) < view.runner.slots - 1:
                usable.append(view)
        return usable

    def _refresh(self, service: str, queue: _Queue, now: float) -> _Queue:
        """Recompute the figures over all runners of a service, once per tick."""
        if now - queue.refreshed_at >= TICK_S:
            queue.refreshed_at = now
            queue.start_delay, queue.start_bound = self._get_start_delays(service, now)
            listed = [
                view
                for view in self._directory.get_listed(service)
                if not view.is_leaving and not view.is_delisted(now)
            ]
            opening = min((view.blocked_until for view in listed), default=now)
            queue.available_at = max(opening, now)
            queue.free_slots = sum(
                max(view.runner.slots - view.get_load(now), 0.0) for view in listed
            )
            if not any(view.may_start(now) for view in listed):
                queue.rate.restart(now)
            queue.eligible.clear()
        return queue

    def _has_eligible_runner(
        self, req: PlacementRequest, queue: _Queue, now: float
    ) -> bool:
        """Return whether some runner may take the request, now or once it is free.

        A paused runner counts, as it is loading new weights.
        """
        minimum = self._get_required_version(req)
        eligible = self._refresh(req.service, queue, now).eligible
        if minimum not in eligible:
            eligible[minimum] = any(
                not view.is_leaving
                and not view.is_delisted(now)
                and (
                    minimum is None
                    or view.is_paused
                    or (view.get_version(req.model) or 0) >= minimum
                )
                for view in self._directory.get_listed(req.service)
            )
        return eligible[minimum]

    def _get_start_delays(self, service: str, now: float) -> tuple[float, float]:
        """Return the shortest start by the cost model, and with what was measured."""
        engine = self._get_engine(service)
        usual_prompt = engine.usual_prompt if engine is not None else 0
        views = self._sample_service(service, None)
        starts = [
            estimate_start_delay(
                engine,
                view.runner.slots,
                min(view.get_load(now), view.runner.slots - 1),
                0.0,
                usual_prompt,
            )
            for view in views
        ]
        bounds = [
            max(start, view.start_delays.get(now))
            for start, view in zip(starts, views, strict=True)
        ]
        return min(starts, default=0.0), min(bounds, default=0.0)

    def _check_servable(self, req: PlacementRequest, queue: _Queue) -> None:
        now = self._monotonic()
        if not self._has_eligible_runner(req, queue, now):
            raise NotServedError(
                f"no runner for it, of version {self._get_required_version(req)}"
                " or newer",
                NO_RUNNER_RETRY_S,
            )
        if not self._admission.can_start_in_time(req, queue.start_bound, now):
            raise self._make_refusal(queue, now, LATE_REASON)
        if queue.available_at + queue.start_delay >= req.start_deadline:
            raise NotServedError(
                "every runner wants nothing for a while",
                self._admission.add_jitter(queue.available_at - now, self._rng),
            )
        ahead = count_ahead(queue.waiting, req)
        rate = queue.rate.get(now)
        start = queue.start_delay
        if ahead == 0 or self._admission.is_admissible(req, ahead, rate, start, now):
            return
        if not queue.rate.is_known(now) and ahead < queue.free_slots:
            # All runners are starting or loading weights, so the start rate is not
            # known yet; their free slots are filled as soon as they accept requests.
            return
        raise self._make_refusal(queue, now, "more waits than can be served in time")

    def _make_refusal(self, queue: _Queue, now: float, reason: str) -> NotServedError:
        count = len(queue.waiting)
        retry_after = self._admission.get_retry_after(
            count, queue.rate.get(now), self._rng
        )
        return NotServedError(reason, retry_after)

    def _refuse_unservable(self, service: str, queue: _Queue) -> None:
        now = self._monotonic()
        start = self._refresh(service, queue, now).start_bound
        for req in list(queue.waiting):
            is_unservable = not self._has_eligible_runner(req, queue, now)
            is_unservable |= queue.available_at + start >= req.start_deadline
            if is_unservable or not self._admission.can_start_in_time(req, start, now):
                self._refuse(queue, req, now, "no runner became free in time")

    def _refuse(
        self, queue: _Queue, req: PlacementRequest, now: float, reason: str
    ) -> None:
        """Refuse a waiting request."""
        fut = queue.waiting.pop(req)
        if not fut.done():
            fut.set_exception(self._make_refusal(queue, now, reason))
