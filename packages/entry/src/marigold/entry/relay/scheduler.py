"""Where requests get a runner, wait for one, or are refused.

The cost of a request does not grow with the number of runners: where there are
many, a choice is made among a sample of them, as two choices already even out
the load, and all of them are looked at once a tick.
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
from marigold.entry.relay.placement import Placement
from marigold.entry.relay.queueing import DeadlineAdmission, QueueOrder, StartRate
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds between looks at waiting requests: load notes age without any event.
TICK_S = 0.05
# Runners that one choice looks at.
SAMPLE = 24
# Seconds that a runner which states that it is full gets nothing more.
FULL_BACKOFF_S = 0.1
# Seconds that a runner gets nothing after it stated that it is another one, or
# holds other weights; its entry in the list is then about to change.
MISDIRECTED_BACKOFF_S = 0.5
# Seconds before a version becomes the floor in which runners with older weights get
# only what they begin at once.
VERSION_LEAD_S = 1.0
# Retry-After where no runner of a service can take the request, now or soon: about
# what one takes to start, and what callers wait at most.
NO_RUNNER_RETRY_S = 2.0


class RunnerSource(Protocol):
    """Where a desk finds the runners of a service."""

    def get_listed(self, service: str) -> Sequence[RunnerView]:
        """Return the runners that are listed and not leaving."""


class Overflow(ABC):
    """Takes requests that would have to wait, where another cell has room."""

    @abstractmethod
    def offer(self, demand: PlacementRequest, fut: asyncio.Future[RunnerView]) -> bool:
        """Tell whether the request is tried elsewhere; `fut` gets the outcome."""


class _Queue:
    __slots__ = (
        "best_start",
        "looked_at",
        "opens_at",
        "prospects",
        "rate",
        "room",
        "waiting",
    )

    def __init__(self, now: float) -> None:
        self.waiting: dict[PlacementRequest, asyncio.Future[RunnerView]] = {}
        self.rate = StartRate(now)
        self.room = 0.0
        self.best_start = 0.0
        self.looked_at = -math.inf
        self.opens_at = 0.0
        self.prospects: dict[int | None, bool] = {}


class RequestScheduler:
    """Gives each request a runner, in the order and on the terms of the policies."""

    def __init__(
        self,
        directory: RunnerSource,
        placement: Placement,
        order: QueueOrder,
        servability: DeadlineAdmission,
        floors: MinimumVersions,
        get_engine: Callable[[str], EngineModel | None],
        rng: random.Random,
        monotonic: Callable[[], float],
        boottime: Callable[[], float],
        overflow: Overflow | None = None,
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._order = order
        self._servability = servability
        self._minimum_versions = floors
        self._get_engine = get_engine
        self._rng = rng
        self._monotonic = monotonic
        self._boottime = boottime
        self._overflow = overflow
        self._queues: dict[str, _Queue] = defaultdict(lambda: _Queue(monotonic()))
        self._is_waiting = asyncio.Event()

    async def run(self) -> None:
        """Look at waiting requests until cancelled."""
        while True:
            if not self.count_waiting():
                self._is_waiting.clear()
                await self._is_waiting.wait()
            await asyncio.sleep(TICK_S)
            for service, queue in list(self._queues.items()):
                if queue.waiting:
                    self._refuse_hopeless(service, queue)
                    self._start_waiting(
                        service, queue, self._directory.get_listed(service)
                    )

    def count_waiting(self, service: str | None = None) -> int:
        """Return how many requests wait, for one service or for any."""
        return sum(
            len(queue.waiting)
            for name, queue in self._queues.items()
            if service in (None, name)
        )

    async def acquire(self, demand: PlacementRequest) -> RunnerView:
        """Return a runner for a request, which counts as sent to it.

        Raise `NotServedError` when there is none before the caller leaves.
        """
        fut = self.submit(demand)
        try:
            return await fut
        except asyncio.CancelledError:
            self.cancel_request(demand, fut)
            raise

    def submit(self, demand: PlacementRequest) -> asyncio.Future[RunnerView]:
        """Return the runner for a request, now or later, as `acquire` does."""
        queue = self._queues[demand.service]
        fut: asyncio.Future[RunnerView] = asyncio.get_running_loop().create_future()
        try:
            if not queue.waiting and self._start(demand, fut, self._sample(demand)):
                return fut
            self._check_servable(demand, queue)
        except NotServedError as exc:
            fut.set_exception(exc)
            return fut
        queue.waiting[demand] = fut
        self._is_waiting.set()
        log.routine(
            "request_waits",
            request=demand.id,
            service=demand.service,
            ahead=len(queue.waiting) - 1,
        )
        self.start_waiting(demand.service)
        return fut

    def requeue(
        self, demand: PlacementRequest, fut: asyncio.Future[RunnerView]
    ) -> None:
        """Let a request wait here that no other cell could take."""
        if not fut.done():
            self._queues[demand.service].waiting[demand] = fut
            self._is_waiting.set()
            self.start_waiting(demand.service)

    def acquire_now(self, demand: PlacementRequest) -> RunnerView | None:
        """Return a runner that starts a request of another cell at once, if any."""
        view = self._place(demand, self._sample(demand))
        if view is None or self._is_full(view):
            return None
        view.start(demand, self._monotonic())
        return view

    def count_free_slots(self, service: str) -> int:
        """Return how many more requests the runners of a service could run now."""
        now = self._monotonic()
        free = sum(
            max(view.runner.slots - view.get_load(now), 0.0)
            for view in self._directory.get_listed(service)
            if view.is_open(now) and not view.health.is_ejected(now)
        )
        return max(int(free) - len(self._queues[service].waiting), 0)

    def cancel_request(
        self, demand: PlacementRequest, fut: asyncio.Future[RunnerView]
    ) -> None:
        """Take back a request whose outcome nobody waits for."""
        self._queues[demand.service].waiting.pop(demand, None)
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(demand, fut.result())
        fut.cancel()

    def release(self, demand: PlacementRequest, view: RunnerView) -> None:
        """Give back a runner's place."""
        view.finish(demand)
        self.start_waiting(demand.service, view)

    def block(self, view: RunnerView, seconds: float = FULL_BACKOFF_S) -> None:
        """Send nothing for a while to a runner that states it is full."""
        until = self._monotonic() + seconds
        view.blocked_until = max(view.blocked_until, until)

    def start_waiting(self, service: str, hint: RunnerView | None = None) -> None:
        """Start waiting requests while there is room.

        `hint` is a runner that has just become free.
        """
        queue = self._queues[service]
        if queue.waiting:
            self._start_waiting(service, queue, self._sample_service(service, hint))

    def _start_waiting(
        self, service: str, queue: _Queue, views: Sequence[RunnerView]
    ) -> None:
        while queue.waiting:
            now = self._monotonic()
            best_start = self._look(service, queue, now).best_start
            demand = self._order.pick(list(queue.waiting), best_start, now)
            fut = queue.waiting[demand]
            if not fut.done() and not self._start(demand, fut, views):
                return
            queue.waiting.pop(demand, None)

    def _sample(self, demand: PlacementRequest) -> Sequence[RunnerView]:
        return self._sample_service(demand.service, None)

    def _sample_service(
        self, service: str, hint: RunnerView | None
    ) -> Sequence[RunnerView]:
        listed = self._directory.get_listed(service)
        if len(listed) <= SAMPLE:
            return listed
        sample = self._rng.sample(listed, SAMPLE)
        if hint is not None and hint not in sample:
            sample.append(hint)
        return sample

    def _start(
        self,
        demand: PlacementRequest,
        fut: asyncio.Future[RunnerView],
        views: Sequence[RunnerView],
    ) -> bool:
        """Give a request a runner of `views`, or to another cell, if that can be."""
        view = self._place(demand, views)
        if self._overflow is not None and (view is None or self._is_full(view)):
            if self._overflow.offer(demand, fut):
                return True
        if view is None:
            return False
        now = self._monotonic()
        view.start(demand, now)
        self._queues[demand.service].rate.record_start(now)
        fut.set_result(view)
        return True

    def _is_full(self, view: RunnerView) -> bool:
        return view.get_load(self._monotonic()) >= view.runner.slots

    def get_minimum_version(self, demand: PlacementRequest) -> int | None:
        """Return the oldest version that may answer a request."""
        if not demand.model:
            return None
        return self._minimum_versions.get(demand.model, self._boottime())

    def get_start_window(self, demand: PlacementRequest, view: RunnerView) -> float:
        """Return the seconds in which a runner's weights may begin a request."""
        version = view.get_version(demand.model) if demand.model else None
        if version is None:
            return math.inf
        return (
            self._minimum_versions.get_start_cutoff(demand.model, version)
            - self._boottime()
        )

    def _place(
        self, demand: PlacementRequest, views: Sequence[RunnerView]
    ) -> RunnerView | None:
        now = self._monotonic()
        usable = self._get_usable(demand, views, now)
        if demand.tried:
            fresh = [view for view in usable if view.id not in demand.tried]
            usable = fresh or usable
        engine = self._get_engine(demand.service)
        return self._placement.choose(demand, engine, usable, now, self._rng)

    def _get_usable(
        self, demand: PlacementRequest, views: Sequence[RunnerView], now: float
    ) -> list[RunnerView]:
        free = [view for view in views if view.is_open(now)]
        if not demand.model or self._get_engine(demand.service) is None:
            return free
        floor = self.get_minimum_version(demand) or 0
        coming = (
            self._minimum_versions.get(demand.model, self._boottime() + VERSION_LEAD_S)
            or 0
        )
        usable = []
        for view in free:
            version = view.get_version(demand.model)
            if version is None or version < floor:
                continue
            # What waits at the runner might begin after the floor has risen.
            if version >= coming or view.get_load(now) < view.runner.slots - 1:
                usable.append(view)
        return usable

    def _look(self, service: str, queue: _Queue, now: float) -> _Queue:
        """Bring what concerns all runners of a service up to date, once a tick."""
        if now - queue.looked_at >= TICK_S:
            queue.looked_at = now
            queue.best_start = self._get_best_start(service, now)
            listed = [
                view
                for view in self._directory.get_listed(service)
                if not view.is_leaving and not view.is_delisted(now)
            ]
            opening = min((view.blocked_until for view in listed), default=now)
            queue.opens_at = max(opening, now)
            queue.room = sum(
                max(view.runner.slots - view.get_load(now), 0.0) for view in listed
            )
            if not any(view.may_start(now) for view in listed):
                queue.rate.restart(now)
            queue.prospects.clear()
        return queue

    def _has_prospect(
        self, demand: PlacementRequest, queue: _Queue, now: float
    ) -> bool:
        """Tell whether a runner may take the request, now or when it is free.

        A paused runner is about to have new weights.
        """
        floor = self.get_minimum_version(demand)
        prospects = self._look(demand.service, queue, now).prospects
        if floor not in prospects:
            prospects[floor] = any(
                not view.is_leaving
                and not view.is_delisted(now)
                and (
                    floor is None
                    or view.is_paused
                    or (view.get_version(demand.model) or 0) >= floor
                )
                for view in self._directory.get_listed(demand.service)
            )
        return prospects[floor]

    def _get_best_start(self, service: str, now: float) -> float:
        engine = self._get_engine(service)
        usual_prompt = engine.usual_prompt if engine is not None else 0
        starts = [
            estimate_start_delay(
                engine,
                view.runner.slots,
                min(view.get_load(now), view.runner.slots - 1),
                0.0,
                usual_prompt,
            )
            for view in self._sample_service(service, None)
        ]
        return min(starts, default=0.0)

    def _check_servable(self, demand: PlacementRequest, queue: _Queue) -> None:
        now = self._monotonic()
        if not self._has_prospect(demand, queue, now):
            raise NotServedError(
                f"no runner for it, of version {self.get_minimum_version(demand)}"
                " or newer",
                NO_RUNNER_RETRY_S,
            )
        if queue.opens_at + queue.best_start >= demand.start_deadline:
            raise NotServedError(
                "every runner wants nothing for a while",
                self._servability.add_jitter(queue.opens_at - now, self._rng),
            )
        ahead = sum(item.precedence <= demand.precedence for item in queue.waiting)
        rate = queue.rate.get(now)
        start = queue.best_start
        if ahead == 0 or self._servability.is_admissible(
            demand, ahead, rate, start, now
        ):
            return
        if not queue.rate.is_known(now) and ahead < queue.room:
            # All runners start or load: their places are taken as soon as they open.
            return
        raise self._make_refusal(queue, now, "more waits than can be served in time")

    def _make_refusal(self, queue: _Queue, now: float, reason: str) -> NotServedError:
        count = len(queue.waiting)
        retry_after = self._servability.get_retry_after(
            count, queue.rate.get(now), self._rng
        )
        return NotServedError(reason, retry_after)

    def _refuse_hopeless(self, service: str, queue: _Queue) -> None:
        now = self._monotonic()
        start = self._look(service, queue, now).best_start
        for demand, fut in list(queue.waiting.items()):
            is_hopeless = not self._has_prospect(demand, queue, now)
            is_hopeless |= queue.opens_at + start >= demand.start_deadline
            if is_hopeless or not self._servability.can_start_in_time(
                demand, start, now
            ):
                del queue.waiting[demand]
                if not fut.done():
                    reason = "no runner became free in time"
                    fut.set_exception(self._make_refusal(queue, now, reason))
