"""Decides which runners skip a version because a newer one was named.

The load addressed: two versions are named 2 to 4 s apart and each copy takes most of
the time until its bound. The copies of the second one were late for two thirds of the
runners, because the schedule expected that both could be loaded in time.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from enum import Enum

from marigold.core.rollout.planner import PlanHost
from marigold.target.switches.pauses import Pause, count_paused
from marigold.target.switches.planner import SwitchPlanner
from marigold.target.switches.timing import SwitchTiming

# The times of a decision are rounded to this, as processes learn of a version some
# milliseconds apart.
TIME_STEP_S = 0.1
# Fractions of the hosts that may be leading, besides the usual choice of them.
LEADING_FRACTIONS = (0.4, 0.5, 0.6)

# Returns the leading hosts of a version, for a fraction or, with None, as usual.
LeadingChoice = Callable[[Sequence[PlanHost], int, float | None], Collection[str]]


class Skip(Enum):
    """Runners that skip the earlier of two versions."""

    NONE = "none"
    LEADING = "leading"
    ALL = "all"


class SkipChoice:
    """Runners that skip, and how many are paused at once then, None if unknown."""

    __slots__ = ("fraction", "paused", "skip")

    def __init__(
        self, skip: Skip, fraction: float | None = None, paused: int | None = None
    ) -> None:
        self.skip = skip
        self.fraction = fraction
        self.paused = paused


class NamedVersion:
    """A version, when it was named, and until when older ones may serve."""

    __slots__ = ("deadline", "named_at", "version")

    def __init__(self, version: int, named_at: float, deadline: float) -> None:
        self.version = version
        self.named_at = named_at
        self.deadline = deadline

    def make_relative(self, time: float) -> NamedVersion:
        """Return the version with rounded times since `time`."""
        return NamedVersion(
            self.version,
            round((self.named_at - time) / TIME_STEP_S) * TIME_STEP_S,
            round((self.deadline - time) / TIME_STEP_S) * TIME_STEP_S,
        )


class SkipPlanner:
    """Compares the pauses of all runners if none, the leading ones or all skip."""

    __slots__ = ("_choose_leading", "_origin_region", "_planner", "_timing")

    def __init__(
        self,
        timing: SwitchTiming,
        planner: SwitchPlanner,
        origin_region: str,
        choose_leading: LeadingChoice,
    ) -> None:
        self._timing = timing
        self._planner = planner
        self._origin_region = origin_region
        self._choose_leading = choose_leading

    def choose(
        self,
        hosts: Sequence[PlanHost],
        first: NamedVersion,
        second: NamedVersion,
        preferred: Skip,
    ) -> SkipChoice:
        """Return who skips the first version.

        This is `preferred`, unless another choice pauses fewer runners at once.
        """
        start = first.named_at
        first, second = first.make_relative(start), second.make_relative(start)
        choices = [SkipChoice(skip) for skip in Skip]
        choices.sort(key=lambda choice: choice.skip is not preferred)
        choices += [SkipChoice(Skip.LEADING, item) for item in LEADING_FRACTIONS]
        for choice in choices:
            pauses = self._get_pauses(choice, hosts, first, second)
            choice.paused = count_paused(pauses)
        return min(choices, key=lambda choice: choice.paused or 0)

    def get_complete(self, hosts: Sequence[PlanHost], named_at: float) -> list[float]:
        """Return when the copies of a version are expected to be complete."""
        durations = {
            is_local: self._timing.get_copy_duration(is_local)
            for is_local in (False, True)
        }
        return [
            named_at + durations[host.region == self._origin_region] for host in hosts
        ]

    def get_origin_delay(self, gap: float) -> float:
        """Return by how much the copies of two versions delay each other.

        The origin sends both at once until it has sent a whole copy of the first.
        """
        return max(self._timing.origin_time - gap, 0.0)

    def get_first_deadline(self, deadline: float) -> float:
        """Return by when runners that load both versions pause for the first one.

        They are at work again when the leading ones have to stop.
        """
        return deadline - self._timing.pause

    def get_second_earliest(
        self, leading: Sequence[PlanHost], first: NamedVersion, second: NamedVersion
    ) -> float:
        """Return the earliest end of copies that the order of the others assumes.

        They pause for the second version once the leading ones are at work again.
        """
        drain, load = self._timing.drain, self._timing.load
        complete = self.get_complete(leading, second.named_at)
        return max(first.deadline + drain, *complete) + load + drain

    def _get_pauses(
        self,
        choice: SkipChoice,
        hosts: Sequence[PlanHost],
        first: NamedVersion,
        second: NamedVersion,
    ) -> list[Pause]:
        names: Collection[str] = ()
        if choice.skip is Skip.LEADING:
            names = self._choose_leading(hosts, second.version, choice.fraction)
        elif choice.skip is Skip.ALL:
            names = {host.host for host in hosts}
        leading = [host for host in hosts if host.host in names]
        others = [host for host in hosts if host.host not in names]
        plan = self._planner.plan
        pauses: list[Pause] = []
        deadline = first.deadline
        delay = 0.0
        if leading and others:
            delay = self.get_origin_delay(second.named_at - first.named_at)
        if leading:
            complete = self.get_complete(leading, second.named_at + delay)
            pauses += plan(leading, second.version, complete, deadline).pauses
            deadline = self.get_first_deadline(deadline)
        if not others:
            return pauses
        complete = self.get_complete(others, first.named_at + delay)
        pauses += plan(others, first.version, complete, deadline).pauses
        if leading:
            held = self._timing.get_held_copy_duration()
            earliest = self.get_second_earliest(leading, first, second)
            complete = [max(time + held, earliest) for time in complete]
        else:
            durations = self.get_complete(others, 0.0)
            complete = [
                time + more for time, more in zip(complete, durations, strict=True)
            ]
        return pauses + plan(others, second.version, complete, second.deadline).pauses
