"""Connects a companion with the planners of switches; logs and counts decisions."""

from __future__ import annotations

import math

from marigold.core.logging import get_logger
from marigold.core.rollout.planner import PlanHost
from marigold.target.companion.metrics import CompanionMetrics
from marigold.target.companion.peer_directory import PeerDirectory
from marigold.target.companion.switch_stagger import SwitchStagger
from marigold.target.companion.version_schedule import ScheduledVersion, VersionSchedule
from marigold.target.switches.intervals import BestPlanner, IntervalPlanner
from marigold.target.switches.orders import SwitchOrder, SwitchOrders, make_named
from marigold.target.switches.planner import WavePlanner
from marigold.target.switches.skips import Skip, SkipChoice, SkipPlanner
from marigold.target.switches.timing import SwitchTiming

log = get_logger(__name__)


class Switching:
    """Decisions about the switches of the runners of one service."""

    def __init__(
        self,
        timing: SwitchTiming,
        stagger: SwitchStagger,
        schedule: VersionSchedule,
        peers: PeerDirectory,
        origin_region: str,
        metrics: CompanionMetrics,
    ) -> None:
        def choose_leading(
            hosts: list[PlanHost], version: int, fraction: float | None
        ) -> set[str]:
            return stagger.choose_leading(hosts, origin_region, version, fraction)

        planner = BestPlanner(
            IntervalPlanner(timing, stagger), WavePlanner(timing, origin_region)
        )
        self._timing = timing
        self._peers = peers
        self._metrics = metrics
        self._skips = SkipPlanner(timing, planner, origin_region, choose_leading)
        self._orders = SwitchOrders(schedule, planner, self._skips, choose_leading)
        self._order: SwitchOrder | None = None
        # Version, waves and most runners paused of the plan that was logged last.
        self._outcome: tuple[int, int, int] | None = None
        schedule.choose_skip = self.choose_skip

    def choose_skip(
        self, first: ScheduledVersion, second: ScheduledVersion, preferred: Skip
    ) -> SkipChoice:
        """Return which hosts skip a version in favour of a newer one."""
        hosts = self._peers.get_all()
        if not hosts:
            return SkipChoice(preferred)
        choice = self._skips.choose(
            hosts, make_named(first), make_named(second), preferred
        )
        log.event(
            "skip_chosen",
            version=second.version,
            earlier=first.version,
            gap=second.named_at - first.named_at,
            hosts=len(hosts),
            preferred=preferred.value,
            skip=choice.skip.value,
            fraction=choice.fraction,
            paused=choice.paused,
        )
        self._metrics.skips.add(choice.skip.value)
        return choice

    def may_pause(
        self,
        scheduled: ScheduledVersion,
        held: int,
        now: float,
        complete_at: float,
    ) -> bool | None:
        """Return whether the runner may pause now, or None to keep the usual order.

        `complete_at` is when the copy was complete, or is expected to be.
        """
        if math.isinf(complete_at):
            # The copy is stalled.
            return False
        revision = self._peers.refresh()
        own = self._peers.own
        order = self._orders.get_order(
            own, self._peers.get_all(), revision, scheduled, held, complete_at
        )
        if order is None:
            return None
        if order is not self._order:
            self._order = order
            self._record(order, scheduled, now)
        if not order.plan.waves:
            return None
        is_due = now >= order.plan.starts[own.host]
        return is_due and complete_at - now <= self._timing.drain

    def _record(
        self, order: SwitchOrder, scheduled: ScheduledVersion, now: float
    ) -> None:
        plan = order.plan
        outcome = scheduled.version, plan.waves, plan.paused
        # Copies that are slower than expected move every plan a little.
        record = log.routine if outcome == self._outcome else log.event
        self._outcome = outcome
        record(
            "switch_planned",
            version=scheduled.version,
            age=now - scheduled.named_at,
            hosts=order.hosts,
            lateness=order.lateness,
            needed_in=order.deadline - now,
            waves=plan.waves,
            paused=plan.paused,
            pause_in=plan.starts[self._peers.own.host] - now,
        )
        self._metrics.switch_plans.add("waves" if plan.waves else "intervals")
