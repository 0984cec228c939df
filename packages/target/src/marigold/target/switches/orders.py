"""When this host's runner pauses, from the schedule and the list of hosts.

The plan is kept while the hub or the store is lost, as it depends only on what is
known. A host that leaves the list is replaced by the next one in the order.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from marigold.core.rollout.planner import PlanHost
from marigold.target.companion.switch_stagger import SWITCH_MARGIN_S
from marigold.target.companion.version_schedule import ScheduledVersion, VersionSchedule
from marigold.target.switches.planner import SwitchPlan, SwitchPlanner
from marigold.target.switches.skips import LeadingChoice, NamedVersion, SkipPlanner

# Seconds in whose steps pauses move with a late copy. A copy that is late at one host
# is late at most of them.
LATENESS_STEP_S = 0.25


def make_named(scheduled: ScheduledVersion) -> NamedVersion:
    """Return a version as planners know it."""
    deadline = scheduled.due_at - SWITCH_MARGIN_S
    return NamedVersion(scheduled.version, scheduled.named_at, deadline)


class SwitchOrder:
    """Plan of the hosts that load a version, and the inputs that it was made from."""

    __slots__ = ("deadline", "hosts", "lateness", "plan")

    def __init__(
        self, plan: SwitchPlan, hosts: int, lateness: float, deadline: float
    ) -> None:
        self.plan = plan
        self.hosts = hosts
        self.lateness = lateness
        self.deadline = deadline


class SwitchOrders:
    """Orders of the versions of one model; keeps the last one while nothing changes."""

    __slots__ = ("_choose_leading", "_key", "_order", "_planner", "_schedule", "_skips")

    def __init__(
        self,
        schedule: VersionSchedule,
        planner: SwitchPlanner,
        skips: SkipPlanner,
        choose_leading: LeadingChoice,
    ) -> None:
        self._schedule = schedule
        self._planner = planner
        self._skips = skips
        self._choose_leading = choose_leading
        self._key: tuple[object, ...] = ()
        self._order: SwitchOrder | None = None

    def get_order(
        self,
        own: PlanHost,
        hosts: Sequence[PlanHost],
        revision: int,
        scheduled: ScheduledVersion,
        held: int | None,
        complete_at: float,
    ) -> SwitchOrder | None:
        """Return the order of a version, or None if this host is not listed.

        `revision` changes with `hosts`, and `complete_at` is the expected end of this
        host's copy.
        """
        (expected,) = self._skips.get_complete([own], scheduled.named_at)
        steps = math.ceil(round((complete_at - expected) / LATENESS_STEP_S, 3))
        lateness = max(steps, 0) * LATENESS_STEP_S
        version = scheduled.version
        key = (revision, self._schedule.revision, version, held, lateness)
        if key != self._key:
            self._key = key
            self._order = self._make_order(own, hosts, scheduled, held, lateness)
        return self._order

    def _make_order(
        self,
        own: PlanHost,
        hosts: Sequence[PlanHost],
        scheduled: ScheduledVersion,
        held: int | None,
        lateness: float,
    ) -> SwitchOrder | None:
        version = scheduled.version
        deadline = self._schedule.get_deadline(version, held) - SWITCH_MARGIN_S
        group, earliest = list(hosts), -math.inf
        split = self._schedule.get_split(version)
        if split is not None:
            names = self._choose_leading(hosts, split.version, split.leading_fraction)
            is_leading = own.host in names
            group = [host for host in hosts if (host.host in names) == is_leading]
            leading = [host for host in hosts if host.host in names]
            first = self._schedule.get_replaced(split)
            if not is_leading and version != split.version:
                deadline = self._skips.get_first_deadline(deadline)
            elif not is_leading and first is not None:
                earliest = self._skips.get_second_earliest(
                    leading, make_named(first), make_named(split)
                )
        if own.host not in {host.host for host in group}:
            return None
        complete = [
            max(time + lateness, earliest)
            for time in self._skips.get_complete(group, scheduled.named_at)
        ]
        plan = self._planner.plan(group, version, complete, deadline)
        return SwitchOrder(plan, len(group), lateness, deadline)
