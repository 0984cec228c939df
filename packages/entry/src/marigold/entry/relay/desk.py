"""Where requests get a runner, wait for one, or are refused."""

from __future__ import annotations

import asyncio
import math
import random
from collections import defaultdict
from collections.abc import Callable

from marigold.core.logging import get_logger
from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.estimates import estimate_start
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.floors import VersionFloors
from marigold.entry.relay.placement import Placement
from marigold.entry.relay.queueing import QueueOrder, Servability, StartRate
from marigold.entry.relay.tickets import Ticket
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds between looks at waiting requests: load notes age without any event.
TICK_S = 0.05
# Seconds that a runner which states that it is full gets nothing more.
FULL_HOLD_S = 0.1
# Seconds before a version becomes the floor in which runners with older weights get
# only what they begin at once.
COMING_S = 1.0
# Retry-After where no runner of a service can take the request, now or soon: about
# what one takes to start, and what callers wait at most.
NO_RUNNER_RETRY_S = 2.0


class _Queue:
    __slots__ = ("rate", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[Ticket, asyncio.Future[RunnerView]] = {}
        self.rate = StartRate()


class PlacementDesk:
    """Gives each request a runner, in the order and on the terms of the policies."""

    def __init__(
        self,
        directory: RunnerDirectory,
        placement: Placement,
        order: QueueOrder,
        servability: Servability,
        floors: VersionFloors,
        get_engine: Callable[[str], EngineModel | None],
        rng: random.Random,
        monotonic: Callable[[], float],
        boottime: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._placement = placement
        self._order = order
        self._servability = servability
        self._floors = floors
        self._get_engine = get_engine
        self._rng = rng
        self._monotonic = monotonic
        self._boottime = boottime
        self._queues: dict[str, _Queue] = defaultdict(_Queue)

    async def run(self) -> None:
        """Look at waiting requests until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for service, queue in self._queues.items():
                if queue.waiting:
                    self._refuse_hopeless(service, queue)
                    self.pump(service)

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    async def acquire(self, ticket: Ticket) -> RunnerView:
        """Return a runner for a request, which counts as sent to it.

        Raise `NotServedError` when there is none before the caller leaves.
        """
        queue = self._queues[ticket.service]
        if not queue.waiting:
            view = self._place(ticket)
            if view is not None:
                return self._assign(ticket, view)
        self._check_servable(ticket, queue)
        fut: asyncio.Future[RunnerView] = asyncio.get_running_loop().create_future()
        queue.waiting[ticket] = fut
        log.routine(
            "request_waits",
            request=ticket.id,
            service=ticket.service,
            ahead=len(queue.waiting) - 1,
        )
        self.pump(ticket.service)
        try:
            return await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.exception() is None:
                self.release(ticket, fut.result())
            raise
        finally:
            queue.waiting.pop(ticket, None)

    def release(self, ticket: Ticket, view: RunnerView) -> None:
        """Give back a runner's place."""
        view.finish(ticket)
        self.pump(ticket.service)

    def block(self, view: RunnerView) -> None:
        """Send nothing for a moment to a runner that states it is full."""
        view.blocked_until = self._monotonic() + FULL_HOLD_S

    def pump(self, service: str) -> None:
        """Start waiting requests while there is room."""
        queue = self._queues[service]
        while queue.waiting:
            now = self._monotonic()
            waiting = list(queue.waiting)
            ticket = self._order.pick(waiting, self._get_best_start(service, now), now)
            view = self._place(ticket)
            if view is None:
                return
            fut = queue.waiting.pop(ticket)
            if not fut.done():
                fut.set_result(self._assign(ticket, view))

    def _assign(self, ticket: Ticket, view: RunnerView) -> RunnerView:
        now = self._monotonic()
        view.start(ticket, now)
        self._queues[ticket.service].rate.note_start(now)
        return view

    def get_floor(self, ticket: Ticket) -> int | None:
        """Return the oldest version that may answer a request."""
        if not ticket.model:
            return None
        return self._floors.get(ticket.model, self._boottime())

    def get_time_to_begin(self, ticket: Ticket, view: RunnerView) -> float:
        """Return the seconds in which a runner's weights may begin a request."""
        version = view.get_version(ticket.model) if ticket.model else None
        if version is None:
            return math.inf
        return self._floors.get_end(ticket.model, version) - self._boottime()

    def _place(self, ticket: Ticket) -> RunnerView | None:
        now = self._monotonic()
        usable = self._get_usable(ticket, now)
        fresh = [view for view in usable if view.id not in ticket.tried]
        engine = self._get_engine(ticket.service)
        return self._placement.choose(ticket, engine, fresh or usable, now, self._rng)

    def _get_usable(self, ticket: Ticket, now: float) -> list[RunnerView]:
        listed = self._directory.get_listed(ticket.service)
        free = [
            view for view in listed if view.blocked_until <= now and not view.is_paused
        ]
        if not ticket.model or self._get_engine(ticket.service) is None:
            return free
        floor = self.get_floor(ticket) or 0
        coming = self._floors.get(ticket.model, self._boottime() + COMING_S) or 0
        usable = []
        for view in free:
            version = view.get_version(ticket.model)
            if version is None or version < floor:
                continue
            # What waits at the runner might begin after the floor has risen.
            if version >= coming or view.get_load(now) < view.runner.slots - 1:
                usable.append(view)
        return usable

    def _has_prospect(self, ticket: Ticket) -> bool:
        """Tell whether a runner may take the request, now or when it is free.

        A paused runner is about to have new weights.
        """
        listed = self._directory.get_listed(ticket.service)
        floor = self.get_floor(ticket)
        if floor is None:
            return bool(listed)
        return any(
            view.is_paused or (view.get_version(ticket.model) or 0) >= floor
            for view in listed
        )

    def _get_best_start(self, service: str, now: float) -> float:
        engine = self._get_engine(service)
        views = self._directory.get_listed(service)
        starts = [
            estimate_start(
                engine,
                view.runner.slots,
                min(view.get_load(now), view.runner.slots - 1),
                0.0,
                engine.usual_prompt if engine is not None else 0,
            )
            for view in views
        ]
        return min(starts, default=0.0)

    def _check_servable(self, ticket: Ticket, queue: _Queue) -> None:
        now = self._monotonic()
        if not self._has_prospect(ticket):
            raise NotServedError(
                f"no runner for it, of version {self.get_floor(ticket)} or newer",
                NO_RUNNER_RETRY_S,
            )
        ahead = sum(item.precedence <= ticket.precedence for item in queue.waiting)
        rate = queue.rate.get(now)
        start = self._get_best_start(ticket.service, now)
        if ahead == 0 or self._servability.is_servable(ticket, ahead, rate, start, now):
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
        start = self._get_best_start(service, now)
        for ticket, fut in list(queue.waiting.items()):
            is_hopeless = not self._has_prospect(ticket)
            if is_hopeless or not self._servability.is_startable(ticket, start, now):
                del queue.waiting[ticket]
                if not fut.done():
                    reason = "no runner became free in time"
                    fut.set_exception(self._make_refusal(queue, now, reason))
