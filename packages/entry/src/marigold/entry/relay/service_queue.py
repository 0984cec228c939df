"""Waiting requests of one service, with figures over all of its runners."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.fairness.shares import OrganisationShares
from marigold.entry.rates.runner_rates import RunnerRates
from marigold.entry.relay.estimates import estimate_start_delay
from marigold.entry.relay.queueing import StartRate, count_ahead, get_rank
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

# Seconds between checks of the waiting requests. A timer is needed because load
# reports age without any event.
TICK_S = 0.05
# Runners that one placement considers.
SAMPLE_SIZE = 24


def is_subset(inner: frozenset[str] | None, outer: frozenset[str] | None) -> bool:
    """Return whether regions are among others, where None stands for all."""
    return outer is None or (inner is not None and inner <= outer)


class ServiceQueue:
    """Waiting requests of a service, with figures that are computed once per tick.

    A request that is sent now is expected to begin after `start_delay` seconds, and
    seldom after `start_bound`. The runners take `rate_limit` requests per second
    together. `get_listed` returns the runners of the service that are
    not leaving.
    """

    __slots__ = (
        "_eligible",
        "_get_engine",
        "_get_listed",
        "_rates",
        "_refreshed_at",
        "_rng",
        "available_at",
        "free_slots",
        "rate",
        "rate_limit",
        "shares",
        "start_bound",
        "start_delay",
        "waiting",
    )

    def __init__(
        self,
        get_listed: Callable[[], Sequence[RunnerView]],
        get_engine: Callable[[], EngineModel | None],
        rng: random.Random,
        now: float,
        rates: RunnerRates | None = None,
    ) -> None:
        self._rates = rates
        self.rate_limit = math.inf
        self._get_listed = get_listed
        self._get_engine = get_engine
        self._rng = rng
        self._refreshed_at = -math.inf
        self._eligible: dict[tuple[int | None, frozenset[str] | None], bool] = {}
        self.waiting: dict[PlacementRequest, asyncio.Future[RunnerView]] = {}
        self.rate = StartRate(now)
        self.shares = OrganisationShares()
        self.free_slots = 0.0
        self.start_delay = 0.0
        self.start_bound = 0.0
        self.available_at = 0.0

    def sample(
        self,
        freed: RunnerView | None = None,
        regions: frozenset[str] | None = None,
    ) -> Sequence[RunnerView]:
        """Return a random sample of the runners, all of them in a small cell.

        `freed` is a runner that the sample includes. With `regions`, only runners there
        are returned.
        """
        listed = self._get_listed()
        if regions is not None:
            listed = [view for view in listed if view.region in regions]
        if len(listed) <= SAMPLE_SIZE:
            return listed
        sample = self._rng.sample(listed, SAMPLE_SIZE)
        if freed is not None and freed not in sample:
            sample.append(freed)
        return sample

    def refresh(self, now: float) -> None:
        """Recompute the figures over all runners, once per tick."""
        if now - self._refreshed_at < TICK_S:
            return
        self._refreshed_at = now
        self.start_delay, self.start_bound = self._get_start_delays(now)
        listed = [
            view
            for view in self._get_listed()
            if not view.is_leaving and not view.is_delisted(now)
        ]
        rates = self._rates
        opening = min((view.blocked_until for view in listed), default=now)
        if rates is not None and any(view.rate is not None for view in listed):
            opening = min(
                max(view.blocked_until, rates.get_available_at(view, now))
                for view in listed
            )
            self.rate_limit = rates.get_total(listed, now)
        else:
            self.rate_limit = math.inf
        self.available_at = max(opening, now)
        self.free_slots = sum(
            max(view.runner.slots - view.get_load(now), 0.0) for view in listed
        )
        if not any(view.may_start(now) for view in listed):
            self.rate.restart(now)
        self._eligible.clear()

    def has_eligible_runner(
        self, req: PlacementRequest, minimum: int | None, now: float
    ) -> bool:
        """Return whether some runner may take the request, now or once it is free.

        `minimum` is the oldest version of the weights that may answer it. A paused
        runner counts, as it is loading new weights.
        """
        self.refresh(now)
        key = minimum, req.regions
        if key not in self._eligible:
            self._eligible[key] = any(
                not view.is_leaving
                and not view.is_delisted(now)
                and (req.regions is None or view.region in req.regions)
                and (
                    minimum is None
                    or view.is_paused
                    or (view.get_version(req.model) or 0) >= minimum
                )
                for view in self._get_listed()
            )
        return self._eligible[key]

    def count_ahead(self, req: PlacementRequest) -> int:
        """Return how many waiting requests may take a runner before a request.

        Those that may not use all of its regions leave it the other runners. Before an
        organisation that is underserved, only others of that kind are counted, and
        those that go first by precedence or because they lost their runner.
        """
        shares = self.shares
        is_underserved = shares.is_underserved(req)
        return count_ahead(
            (
                item
                for item in self.waiting
                if is_subset(req.regions, item.regions)
                and (
                    not is_underserved
                    or get_rank(item) < get_rank(req)
                    or shares.is_underserved(item)
                )
            ),
            req,
        )

    def get_start_rate(self, now: float) -> float:
        """Return the requests that are started per second, as far as is known."""
        return min(self.rate.get(now), self.rate_limit)

    def _get_start_delays(self, now: float) -> tuple[float, float]:
        """Return the shortest start by the cost model, and with what was measured."""
        engine = self._get_engine()
        usual_prompt = engine.usual_prompt if engine is not None else 0
        views = self.sample()
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
