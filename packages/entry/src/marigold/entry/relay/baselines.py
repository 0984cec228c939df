"""Baselines that placement and order of waiting are compared with."""

from __future__ import annotations

import random
from collections.abc import Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.placement import Placement
from marigold.entry.relay.queueing import QueueOrder
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView


class RoundRobinPlacement(Placement):
    """Each runner in turn, without a bound."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return the next runner."""
        if not views:
            return None
        self._next += 1
        return views[self._next % len(views)]


class RandomPlacement(Placement):
    """Any runner, without a bound."""

    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return a random runner."""
        return rng.choice(views) if views else None


class FewestInFlightPlacement(Placement):
    """The fewest requests of this entry, without a bound."""

    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return the runner that this entry has sent least to."""
        if not views:
            return None
        return min(views, key=lambda view: (len(view.in_flight), rng.random()))


class FifoOrder(QueueOrder):
    """First in, first out."""

    def pick(
        self, waiting: list[PlacementRequest], expected_start: float, now: float
    ) -> PlacementRequest:
        """Return the request that came first."""
        return min(waiting, key=lambda req: req.arrived_at)
