"""Choice among the runners of a plain service from reports that are old.

Load answered: 6 to 99 entries choose among 3 to 9 runners of six slots at the same
moment. When each takes the runner that its reports show as least loaded, all take the
same one until the next report, so that runners are overloaded in turn. An entry knows
its own requests exactly: it evens these out, by how long they take at each runner. The
load in the reports has no part in it, as it made the load less even or changed nothing
(`docs/design/even-load.md`).
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.balancing.figures import AVERAGING_S
from marigold.entry.balancing.sizes import SizedPlacement
from marigold.entry.relay.placement import OVERCOMMIT, get_penalty
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds that a request is assumed to take until one has been answered.
USUAL_DURATION_S = 0.5
# Figures that the mean duration at all runners counts as for each of them.
DURATION_WEIGHT = 10.0
# Seconds after the latest figure of any runner in which the mean duration at a runner
# counts for the others; its own figures have lost 95 of 100 of their weight then.
FIGURE_LIFETIME_S = 3 * AVERAGING_S


class StaleLoadPlacement(SizedPlacement):
    """Even own load by duration, for plain services whose runners report a pace.

    Engines are placed by sizes, and services of which no runner has reported a pace by
    the earliest start. `placements` counts choices by whether the runner's durations
    are known.
    """

    __slots__ = ("_placements",)

    def __init__(
        self, placements: Counter | None = None, sized: Counter | None = None
    ) -> None:
        super().__init__(sized=sized)
        self._placements = placements

    def has_capacity(
        self, view: RunnerView, engine: EngineModel | None, now: float
    ) -> bool:
        """Return whether a runner may be sent one more request.

        Others' requests in an old report may have ended: counting them leaves slots
        idle while requests wait.
        """
        if engine is not None or not view.has_pace:
            return super().has_capacity(view, engine, now)
        return len(view.in_flight) < view.runner.slots + OVERCOMMIT

    def _select(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView:
        if engine is not None or not any(view.has_pace for view in views):
            return super()._select(req, engine, views, now, rng)
        costs = estimate_costs(req, views, now)
        best = min(costs)
        view = rng.choice(
            [view for view, cost in zip(views, costs, strict=True) if cost <= best]
        )
        self._record(req, view, best, len(views), now)
        return view

    def _record(
        self,
        req: PlacementRequest,
        view: RunnerView,
        cost: float,
        candidates: int,
        now: float,
    ) -> None:
        durations, paces = view.durations, view.paces
        basis = "usual" if durations.mean is None else "measured"
        if self._placements is not None:
            self._placements.add(basis)
        log.routine(
            "runner_chosen",
            request=req.id,
            runner=view.id,
            basis=basis,
            candidates=candidates,
            own=len(view.in_flight),
            duration=durations.mean,
            duration_spread=durations.spread,
            duration_age=durations.get_age(now),
            pace=paces.mean,
            pace_spread=paces.spread,
            pace_age=paces.get_age(now),
            cost=cost,
        )


def estimate_costs(
    req: PlacementRequest, views: Sequence[RunnerView], now: float
) -> list[float]:
    """Return the seconds of work that each runner would hold for the chooser."""
    usual = get_usual_duration(views)
    costs = []
    for view in views:
        duration = view.durations.get_estimate(usual, DURATION_WEIGHT, now)
        load = len(view.in_flight) + 1
        cost = load * duration + get_penalty(req, view, now)
        costs.append(cost / max(view.runner.slots, 1))
    return costs


def get_usual_duration(views: Sequence[RunnerView]) -> float:
    """Return the mean duration at all runners with figures of about the same age.

    An old figure of a runner that gets no requests has no part in it. Otherwise it
    would be what is expected there, and the runner would get none for good.
    """
    known = [view.durations for view in views if view.durations.mean is not None]
    latest = max((figure.updated_at for figure in known), default=0.0)
    means = [
        figure.mean or 0.0
        for figure in known
        if latest - figure.updated_at < FIGURE_LIFETIME_S
    ]
    return sum(means) / len(means) if means else USUAL_DURATION_S
