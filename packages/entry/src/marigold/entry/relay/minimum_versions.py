"""The oldest version of a model's weights that may still start requests."""

from __future__ import annotations

import math
from collections.abc import Mapping

# Seconds before the bound at which the minimum version rises. A request may wait at a
# runner, and this entry learns of a version slightly after it was named.
MARGIN_S = 0.5


class MinimumVersions:
    """Versions by model and when each becomes the minimum; times are boot times.

    `bound` is the seconds after the naming of a version in which requests may still
    start on older weights.
    """

    __slots__ = ("_due_times", "bound")

    def __init__(self, bound: float = math.inf) -> None:
        self.bound = bound
        self._due_times: dict[str, dict[int, float]] = {}

    def record(self, model: str, version: int, now: float) -> None:
        """Record a version that operators named at `now`."""
        self._add(model, version, now + self.bound - MARGIN_S)

    def record_undated(self, model: str, version: int, due_at: float) -> None:
        """Record a version that was named at an unknown time in the past."""
        self._add(model, version, due_at)

    def _add(self, model: str, version: int, due_at: float) -> None:
        self._due_times.setdefault(model, {}).setdefault(version, due_at)

    def get_due_times(self, model: str) -> Mapping[int, float]:
        """Return when each known version becomes the minimum."""
        return self._due_times.get(model, {})

    def get(self, model: str, now: float) -> int | None:
        """Return the oldest version that may start requests, None for any."""
        due_times = self._due_times.get(model, {})
        reached = [version for version, since in due_times.items() if now >= since]
        return max(reached, default=None)

    def get_start_cutoff(self, model: str, version: int) -> float:
        """Return the boot time after which a version may start nothing, or infinity."""
        due_times = self._due_times.get(model, {})
        newer = [since for named, since in due_times.items() if named > version]
        return min(newer, default=math.inf) + MARGIN_S
