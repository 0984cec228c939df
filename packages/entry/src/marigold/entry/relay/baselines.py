"""Baseline policies that placement and queue order are compared with."""

from __future__ import annotations

import random
from collections.abc import Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.fairness.shares import OrganisationShares
from marigold.entry.relay.placement import Placement
from marigold.entry.relay.queueing import QueueOrder
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView


class RoundRobinPlacement(Placement):
    """Each runner in turn, without a load limit."""

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
    """A random runner, without a load limit."""

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
    """The runner with the fewest requests of this entry, without a load limit."""

    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return the runner with the fewest requests of this entry in flight."""
        if not views:
            return None
        return min(views, key=lambda view: (len(view.in_flight), rng.random()))


class FifoOrder(QueueOrder):
    """First in, first out."""

    def pick(
        self,
        waiting: list[PlacementRequest],
        expected_start: float,
        now: float,
        shares: OrganisationShares | None = None,
    ) -> PlacementRequest:
        """Return the request that arrived first."""
        return min(waiting, key=lambda req: req.arrived_at)
