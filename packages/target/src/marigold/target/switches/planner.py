"""Plans the order in which the runners of a service pause to load a version.

The load addressed: a version is named while all runners are busy. Copies are complete
2 to 4 s before the bound, and each runner pauses for about 2 s. An order by equal
intervals around the end of the copies paused 60 of 100 runners at once.
"""

from __future__ import annotations

import hashlib
from abc import ABC, abstractmethod
from collections.abc import Sequence

from marigold.core.rollout.planner import PlanHost
from marigold.target.switches.pauses import Pause, count_paused, make_pauses
from marigold.target.switches.timing import SwitchTiming

# Waves of pauses that are compared. With more, each is too short for the range of
# durations in which running requests end.
MAXIMUM_WAVES = 6
# Fraction of the runners that may be paused in addition if there are fewer waves then.
# Otherwise one runner more or less would change the number of waves, and all pauses.
WAVE_TOLERANCE = 0.05


class SwitchPlan:
    """When each host's runner pauses.

    `paused` is the largest number of runners that are paused at once, and `lost` the
    seconds of all pauses together.
    """

    __slots__ = ("lost", "paused", "pauses", "starts", "waves")

    def __init__(
        self, starts: dict[str, float], pauses: list[Pause], waves: int
    ) -> None:
        self.starts = starts
        self.pauses = pauses
        self.waves = waves
        self.paused = count_paused(pauses)
        self.lost = sum(pause.end - pause.start for pause in pauses)


class SwitchPlanner(ABC):
    """Policy for the order in which runners pause; times are boot times."""

    @abstractmethod
    def plan(
        self,
        hosts: Sequence[PlanHost],
        version: int,
        complete: Sequence[float],
        deadline: float,
    ) -> SwitchPlan:
        """Return the plan for hosts whose copies are expected to be complete then."""


class WavePlanner(SwitchPlanner):
    """Planner that lets runners pause in waves of the same size.

    Runners of the first wave pause before their copy is complete, so that their
    requests have ended by then. Those of the last one serve on the old version until
    the deadline. Hosts of the origin's region go first, as their copies are complete
    first; hosts of a region follow a hash, so every process computes the same plan.
    """

    __slots__ = ("_origin_region", "_timing")

    def __init__(self, timing: SwitchTiming, origin_region: str) -> None:
        self._timing = timing
        self._origin_region = origin_region

    def plan(
        self,
        hosts: Sequence[PlanHost],
        version: int,
        complete: Sequence[float],
        deadline: float,
    ) -> SwitchPlan:
        """Return the plan with the fewest runners paused at once."""
        pairs = sorted(
            zip(hosts, complete, strict=True),
            key=lambda item: self._get_rank(item[0], version),
        )
        names = [host.host for host, _ in pairs]
        times = [time for _, time in pairs]
        plans = []
        for waves in range(1, min(MAXIMUM_WAVES, len(names)) + 1):
            starts = self._get_starts(times, deadline, waves)
            pauses = make_pauses(starts, times, deadline, self._timing)
            plans.append(
                SwitchPlan(dict(zip(names, starts, strict=True)), pauses, waves)
            )
        least = min(plan.paused for plan in plans)
        allowed = least + WAVE_TOLERANCE * len(names)
        # Fewer waves leave more time between them.
        return next(plan for plan in plans if plan.paused <= allowed)

    def _get_rank(self, host: PlanHost, version: int) -> tuple[bool, bytes]:
        key = f"{version}/{host.host}".encode()
        digest = hashlib.blake2b(key, digest_size=8).digest()
        return host.region != self._origin_region, digest

    def _get_starts(
        self, complete: Sequence[float], deadline: float, waves: int
    ) -> list[float]:
        drain = self._timing.drain
        first = min(min(complete) - drain, deadline)
        interval = (deadline - first) / max(waves - 1, 1)
        starts = []
        for position, complete_at in enumerate(complete):
            wave = position * waves // len(complete)
            planned = first + wave * interval if waves > 1 else deadline
            starts.append(max(planned, min(complete_at - drain, deadline)))
        return starts
