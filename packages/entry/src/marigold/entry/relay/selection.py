"""Choice of a runner among those that a request may be sent to now."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.eligibility.rules import EligibilityRules
from marigold.entry.rates.runner_rates import RunnerRates
from marigold.entry.relay.placement import Placement, estimate_start
from marigold.entry.relay.queueing import DeadlineAdmission
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.version_windows import VersionWindows
from marigold.entry.relay.views import RunnerView

# Start of a request that no free runner could finish; smaller ones may start.
UNFIT = -math.inf


class RunnerSelector:
    """Applies restrictions, rates, versions and deadlines before the placement."""

    __slots__ = (
        "_admission",
        "_get_engine",
        "_placement",
        "_rates",
        "_rng",
        "_rules",
        "_versions",
    )

    def __init__(
        self,
        placement: Placement,
        admission: DeadlineAdmission,
        versions: VersionWindows,
        get_engine: Callable[[str], EngineModel | None],
        rng: random.Random,
        rules: EligibilityRules,
        rates: RunnerRates | None,
    ) -> None:
        self._placement = placement
        self._admission = admission
        self._versions = versions
        self._get_engine = get_engine
        self._rng = rng
        self._rules = rules
        self._rates = rates

    def place(
        self, req: PlacementRequest, views: Sequence[RunnerView], now: float
    ) -> tuple[RunnerView | None, float]:
        """Return the runner for a request, None if there is none now.

        If the free ones would all begin it too late, also return the seconds in which
        the first of them would, `UNFIT` if they are unfit for its size, else infinity.
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
        is_unfit = bool(timely) and req.end_deadline is not None
        return view, UNFIT if is_unfit else math.inf

    def _filter_eligible(
        self, req: PlacementRequest, views: Sequence[RunnerView], now: float
    ) -> list[RunnerView]:
        free = [
            view
            for view in views
            if view.is_open(now) and self._rules.find_obstacle(req, view) is None
        ]
        if self._rates is not None:
            free = [view for view in free if self._rates.may_start(view, now)]
        if not req.model or self._get_engine(req.service) is None:
            return free
        minimum = self._versions.get_required_version(req) or 0
        upcoming = self._versions.get_upcoming_version(req)
        usable = []
        for view in free:
            version = view.get_version(req.model)
            if version is None or version < minimum:
                continue
            # A request that waits at the runner might start after the minimum rises.
            if version >= upcoming or view.get_load(now) < view.runner.slots - 1:
                usable.append(view)
        return usable
