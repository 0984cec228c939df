"""Services whose requests are placed by size.

The hub sees no answers of runners, so entries find out which runners state how long
work takes, and name the end of such requests to their hub. Other services stay as they
are, also at hubs that place both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from marigold.entry.relay.views import RunnerView

# Seconds between two looks at the runners of a service that is not known to be paced,
# so that the cost of a request does not grow with the number of runners.
LOOK_INTERVAL_S = 0.5


class PacedServices:
    """Services of which a runner stated how long work takes on its host."""

    def __init__(self, get_runners: Callable[[str], Iterable[RunnerView]]) -> None:
        self._get_runners = get_runners
        self._paced: set[str] = set()
        self._looked_at: dict[str, float] = {}

    def is_paced(self, service: str, now: float) -> bool:
        """Return whether a runner of the service has stated its pace."""
        if service in self._paced:
            return True
        looked_at = self._looked_at.get(service)
        if looked_at is not None and now - looked_at < LOOK_INTERVAL_S:
            return False
        self._looked_at[service] = now
        if any(view.has_pace for view in self._get_runners(service)):
            self._paced.add(service)
        return service in self._paced
