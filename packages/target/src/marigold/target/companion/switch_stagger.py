"""When a runner with a complete copy may be ordered to load it.

Answers the load pattern in which all runners of a service would stop to take new
requests at once, since their copies are complete at about the same time: they
switch one after another over what is left until the version is due. A runner ends
what it runs before it loads, which takes seconds, so the first ones pause while the
last chunks are still on their way.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence

from marigold.core.rollout.planner import PlanHost

# Seconds before a version is due at which the last runner is ordered to load; the
# order itself and the news of it take a part of them.
SWITCH_MARGIN_S = 0.5
# Seconds between the orders of two runners where there is time enough.
SWITCH_INTERVAL_S = 0.25
# Part of the runners that leave an earlier version out where two overlap; the rest
# have to carry the load meanwhile.
LEADING_FRACTION = 1 / 3
MINIMUM_LEADING_FRACTION = 0.2
MAXIMUM_LEADING_FRACTION = 0.6


# Seconds before the expected end of a copy at which the first runner pauses at most;
# long answers take as long to end.
MAXIMUM_PAUSE_LEAD_S = 2.4
# Seconds for which a runner is away, as it ends what it runs, and the part of all
# runners that may be away at a time while there is room for it.
RUNNER_PAUSE_S = 1.5
SWITCHING_FRACTION = 0.2
# Part of the runners that pause before their copy is complete, and the smallest
# number of runners with which any does.
EARLY_PAUSE_FRACTION = 0.7
EARLY_PAUSE_MIN_RUNNERS = 3
# Seconds of expected copying beyond which a runner that has paused goes on again.
STALLED_REMAINING_S = 4.0


class SwitchStagger:
    """Turns of the runners of a service, the same in every process.

    The order follows a hash of runner and version, so that it needs no agreement.
    """

    __slots__ = ("_interval",)

    def __init__(self, interval: float = SWITCH_INTERVAL_S) -> None:
        self._interval = interval

    def get_position(self, runner: str, others: Iterable[str], version: int) -> int:
        """Return how many runners go before this one."""
        own = _rank(runner, version)
        return sum(_rank(other, version) < own for other in others if other != runner)

    def choose_leading(
        self, hosts: Sequence[PlanHost], origin_region: str, version: int
    ) -> set[str]:
        """Return the hosts that go first to a version where two overlap.

        Those of the origin's region need no other region for it. Where they are too
        few to matter, or too many to be spared, a part of all hosts is taken.
        """
        near = {host.host for host in hosts if host.region == origin_region}
        if (
            MINIMUM_LEADING_FRACTION
            <= len(near) / max(len(hosts), 1)
            <= MAXIMUM_LEADING_FRACTION
        ):
            return near
        names = sorted((host.host for host in hosts), key=lambda x: _rank(x, version))
        return set(names[: math.ceil(len(names) * LEADING_FRACTION)])

    def get_pause_lead(self, complete_at: float, due_at: float) -> float:
        """Return the seconds before its copy ends at which the first runner pauses.

        Where there is room enough after that, none has to.
        """
        room = max(due_at - SWITCH_MARGIN_S - complete_at, 0.0)
        return min(
            max(RUNNER_PAUSE_S / SWITCHING_FRACTION - room, 0.0), MAXIMUM_PAUSE_LEAD_S
        )

    def may_pause_early(
        self,
        position: int,
        count: int,
        remaining: float,
        lead: float = MAXIMUM_PAUSE_LEAD_S,
    ) -> bool:
        """Tell whether a runner may pause `remaining` seconds before its copy ends."""
        if count < EARLY_PAUSE_MIN_RUNNERS:
            return False
        part = position / count / EARLY_PAUSE_FRACTION
        return remaining <= lead * (1.0 - part)

    def get_switch_time(
        self, position: int, count: int, complete_at: float, due_at: float
    ) -> float:
        """Return when the runner of a turn may load, in the time of the arguments.

        `complete_at` is when copies are expected to be complete.
        """
        room = max(due_at - SWITCH_MARGIN_S - complete_at, 0.0)
        interval = min(self._interval, room / max(count - 1, 1))
        return complete_at + position * interval


def _rank(runner: str, version: int) -> bytes:
    return hashlib.blake2b(f"{version}/{runner}".encode(), digest_size=8).digest()
