"""Versions of the weights that may answer a request, and for how long."""

from __future__ import annotations

import math
from collections.abc import Callable

from marigold.entry.relay.minimum_versions import MinimumVersions
from marigold.entry.relay.requests import PlacementRequest

# Seconds before a version becomes the minimum in which runners with older weights
# get only requests that they can start at once and that may run more than once.
VERSION_LEAD_S = 1.0


class VersionWindows:
    """Minimum versions as they apply to requests; `boottime` reads boot time."""

    __slots__ = ("_boottime", "_minimum_versions")

    def __init__(
        self, minimum_versions: MinimumVersions, boottime: Callable[[], float]
    ) -> None:
        self._minimum_versions = minimum_versions
        self._boottime = boottime

    def get_minimum_version(self, req: PlacementRequest) -> int | None:
        """Return the oldest version that may answer a request, None for any."""
        if not req.model:
            return None
        return self._minimum_versions.get(req.model, self._boottime())

    def get_required_version(self, req: PlacementRequest) -> int | None:
        """Return the oldest version that a request may be sent to, None for any.

        A request that may run only once is not sent again after it was withdrawn.
        """
        if not req.model:
            return None
        lead = 0.0 if req.is_idempotent else VERSION_LEAD_S
        return self._minimum_versions.get(req.model, self._boottime() + lead)

    def get_upcoming_version(self, req: PlacementRequest) -> int:
        """Return the version that is the minimum soon, 0 for none."""
        soon = self._boottime() + VERSION_LEAD_S
        return self._minimum_versions.get(req.model, soon) or 0

    def get_window(self, model: str, version: int | None) -> float:
        """Return the seconds left in which a version may start requests.

        They may become fewer at once, when a newer version is learnt of.
        """
        if version is None:
            return math.inf
        cutoff = self._minimum_versions.get_start_cutoff(model, version)
        return cutoff - self._boottime()
