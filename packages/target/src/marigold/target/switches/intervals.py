"""Order by equal intervals after the end of the copies, and when it is kept.

It is kept in deployments where waves of pauses leave no more runners at work.
"""

from __future__ import annotations

from collections.abc import Sequence

from marigold.core.rollout.planner import PlanHost
from marigold.target.companion.switch_stagger import (
    EARLY_PAUSE_FRACTION,
    EARLY_PAUSE_MIN_RUNNERS,
    SwitchStagger,
)
from marigold.target.switches.pauses import make_pauses
from marigold.target.switches.planner import SwitchPlan, SwitchPlanner
from marigold.target.switches.timing import SwitchTiming


class IntervalPlanner(SwitchPlanner):
    """Planner that computes the order of `SwitchStagger`; its plans have no waves."""

    __slots__ = ("_stagger", "_timing")

    def __init__(self, timing: SwitchTiming, stagger: SwitchStagger) -> None:
        self._timing = timing
        self._stagger = stagger

    def plan(
        self,
        hosts: Sequence[PlanHost],
        version: int,
        complete: Sequence[float],
        deadline: float,
    ) -> SwitchPlan:
        """Return when the runners pause in this order."""
        positions = self._stagger.get_positions([host.host for host in hosts], version)
        # The durations of pauses depend on the order, which must not be that of the
        # list: it differs between processes.
        pairs = sorted(
            zip(hosts, complete, strict=True), key=lambda item: positions[item[0].host]
        )
        names = [host.host for host, _ in pairs]
        times = [time for _, time in pairs]
        starts = [
            self._get_start(position, len(names), complete_at, deadline)
            for position, complete_at in enumerate(times)
        ]
        pauses = make_pauses(starts, times, deadline, self._timing)
        return SwitchPlan(dict(zip(names, starts, strict=True)), pauses, 0)

    def _get_start(
        self, position: int, count: int, complete_at: float, deadline: float
    ) -> float:
        start = self._stagger.get_switch_time(position, count, complete_at, deadline)
        fraction = position / count / EARLY_PAUSE_FRACTION
        if count < EARLY_PAUSE_MIN_RUNNERS or fraction >= 1.0:
            return start
        lead = self._stagger.get_pause_lead(complete_at, deadline)
        return min(start, complete_at - lead * (1.0 - fraction))


# Fraction by which the pauses of a plan have to be shorter in total to be preferred at
# the same number of paused runners.
SHORTER_FRACTION = 0.05


class BestPlanner(SwitchPlanner):
    """Planner that prefers the first of two plans unless the second is better.

    A plan is better if it pauses fewer runners at once, or as many for less time: with
    copies that are complete only after the deadline, all plans pause all runners.
    """

    __slots__ = ("_first", "_second")

    def __init__(self, first: SwitchPlanner, second: SwitchPlanner) -> None:
        self._first = first
        self._second = second

    def plan(
        self,
        hosts: Sequence[PlanHost],
        version: int,
        complete: Sequence[float],
        deadline: float,
    ) -> SwitchPlan:
        """Return the better plan."""
        first = self._first.plan(hosts, version, complete, deadline)
        second = self._second.plan(hosts, version, complete, deadline)
        if second.paused != first.paused:
            return min(first, second, key=lambda plan: plan.paused)
        is_shorter = second.lost < first.lost * (1.0 - SHORTER_FRACTION)
        return second if is_shorter else first
