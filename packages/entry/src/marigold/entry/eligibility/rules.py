"""Rules that exclude runners from a request.

They answer two loads: requests whose data must stay in some regions while runners
elsewhere are free, and a data centre that operators evacuate while its runners are
healthy and the others are full. Every way of a request asks the same rules: placement
at an entry or a hub, the check of a grant, and the check before each send.

    rules = EligibilityRules()
    rules.evacuated = frozenset({"bp-a"})
    rules.find_obstacle(req, view)  # "evacuated", "region" or None
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from marigold.core.schema.generated.deployment import Organisation, Route
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

REGION = "region"
EVACUATED = "evacuated"
UNCONFIRMED = "unconfirmed"


def combine_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[str] | None:
    """Return the regions that route and organisation both allow, None for all."""
    lists = [route.regions, organisation.regions if organisation is not None else []]
    allowed = [frozenset(names) for names in lists if names]
    return frozenset.intersection(*allowed) if allowed else None


class EligibilityRules:
    """Restrictions that are in force in this process.

    `evacuated` holds the evacuated data centres. `is_confirmed` returns whether this
    process knows which ones these are; until then no runner may get a request.
    """

    __slots__ = ("evacuated", "is_confirmed")

    def __init__(self, is_confirmed: Callable[[], bool] = lambda: True) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self.is_confirmed = is_confirmed

    def find_obstacle(self, req: PlacementRequest, view: RunnerView) -> str | None:
        """Return why a runner may not get a request, None if it may."""
        if req.regions is not None and view.region not in req.regions:
            return REGION
        return self.find_closure(view)

    def find_closure(self, view: RunnerView) -> str | None:
        """Return why a runner may not get any request, None if it may."""
        if view.runner.data_centre in self.evacuated:
            return EVACUATED
        return None if self.is_confirmed() else UNCONFIRMED

    def select_open(self, views: Sequence[RunnerView]) -> Sequence[RunnerView]:
        """Return the runners that may get requests."""
        if not self.evacuated and self.is_confirmed():
            return views
        return [view for view in views if self.find_closure(view) is None]

    def find_refusal(
        self, req: PlacementRequest, listed: Sequence[RunnerView]
    ) -> str | None:
        """Return why no listed runner may get a request, None if one may.

        None is also returned for a service without runners, which has no part in it.
        """
        if req.regions is None and not self.evacuated and self.is_confirmed():
            return None
        obstacles = [self.find_obstacle(req, view) for view in listed]
        if not obstacles:
            return REGION if req.regions is not None and not req.regions else None
        if None in obstacles:
            return None
        return EVACUATED if EVACUATED in obstacles else obstacles[0]
