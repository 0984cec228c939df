"""Staggers the switches of a service's runners to a new version.

The copies of all runners are complete at about the same time. If all switched at once,
none would accept new requests, so they switch one after another in the time left
until the version is due. A runner finishes its running requests before it loads, which
takes seconds, so the first runners pause while their last chunks are still being
fetched.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence

from marigold.core.rollout.planner import PlanHost

# Seconds before the deadline at which the last runner is ordered to load; the order and
# the report that it was loaded take some of them.
SWITCH_MARGIN_S = 0.5
# Seconds between the orders to two runners if there is enough time.
SWITCH_INTERVAL_S = 0.25
# Fraction of the runners that skip the earlier of two overlapping versions; the others
# have to carry the load meanwhile.
LEADING_FRACTION = 1 / 3
MINIMUM_LEADING_FRACTION = 0.2
MAXIMUM_LEADING_FRACTION = 0.6
# Maximum seconds between the pause of the first runner and the expected end of its
# copy; long answers take as long to finish.
MAXIMUM_PAUSE_LEAD_S = 2.4
# Seconds for which a switching runner accepts no requests, and the fraction of all
# runners that may switch at once if there is enough time.
RUNNER_PAUSE_S = 1.5
SWITCHING_FRACTION = 0.2
# Fraction of the runners that may pause before their copy is complete, and the smallest
# number of runners at which any may.
EARLY_PAUSE_FRACTION = 0.7
EARLY_PAUSE_MIN_RUNNERS = 3
# Estimated remaining seconds of a copy above which a paused runner resumes.
STALLED_REMAINING_S = 4.0


class SwitchStagger:
    """Order in which the runners of a service switch.

    It follows a hash of runner and version, so every process computes the same order
    without coordination.
    """

    __slots__ = ("_interval",)

    def __init__(self, interval: float = SWITCH_INTERVAL_S) -> None:
        self._interval = interval

    def get_position(self, runner: str, others: Iterable[str], version: int) -> int:
        """Return how many runners switch before this one."""
        own = _rank(runner, version)
        return sum(_rank(other, version) < own for other in others if other != runner)

    def get_positions(self, runners: Iterable[str], version: int) -> dict[str, int]:
        """Return the positions of all runners."""
        order = sorted(runners, key=lambda runner: _rank(runner, version))
        return {runner: position for position, runner in enumerate(order)}

    def choose_leading(
        self,
        hosts: Sequence[PlanHost],
        origin_region: str,
        version: int,
        fraction: float | None = None,
    ) -> set[str]:
        """Return the hosts that skip the earlier of two overlapping versions.

        These are the hosts of the origin's region, as they need no other region to
        fetch the version. If they are too few or too many, `LEADING_FRACTION` of all
        hosts is taken instead. If a fraction is given, hosts of the origin's region are
        taken first.
        """
        if fraction is not None:
            ranked = sorted(
                hosts,
                key=lambda x: (x.region != origin_region, _rank(x.host, version)),
            )
            count = math.ceil(len(ranked) * fraction)
            return {host.host for host in ranked[:count]}
        local = {host.host for host in hosts if host.region == origin_region}
        if (
            MINIMUM_LEADING_FRACTION
            <= len(local) / max(len(hosts), 1)
            <= MAXIMUM_LEADING_FRACTION
        ):
            return local
        names = sorted((host.host for host in hosts), key=lambda x: _rank(x, version))
        return set(names[: math.ceil(len(names) * LEADING_FRACTION)])

    def get_pause_lead(self, complete_at: float, due_at: float) -> float:
        """Return how many seconds before its copy ends the first runner pauses.

        Return 0 if there is enough time to switch all runners afterwards.
        """
        available = max(due_at - SWITCH_MARGIN_S - complete_at, 0.0)
        return min(
            max(RUNNER_PAUSE_S / SWITCHING_FRACTION - available, 0.0),
            MAXIMUM_PAUSE_LEAD_S,
        )

    def may_pause_early(
        self,
        position: int,
        count: int,
        remaining: float,
        lead: float = MAXIMUM_PAUSE_LEAD_S,
    ) -> bool:
        """Return whether a runner may pause with `remaining` seconds left to copy."""
        if count < EARLY_PAUSE_MIN_RUNNERS:
            return False
        fraction = position / count / EARLY_PAUSE_FRACTION
        return remaining <= lead * (1.0 - fraction)

    def get_switch_time(
        self, position: int, count: int, complete_at: float, due_at: float
    ) -> float:
        """Return when the runner at a position may load, on the arguments' clock.

        `complete_at` is when copies are expected to be complete.
        """
        available = max(due_at - SWITCH_MARGIN_S - complete_at, 0.0)
        interval = min(self._interval, available / max(count - 1, 1))
        return complete_at + position * interval


def _rank(runner: str, version: int) -> bytes:
    return hashlib.blake2b(f"{version}/{runner}".encode(), digest_size=8).digest()
