"""Which versions of the weights this host's runner is to be brought to.

Answers the load pattern in which a version is named while the one before it is
still on its way over thin links. Leaving the earlier one out lets runners idle
from the time that it is due until the newer one has come; bringing both makes the
newer one late. Where neither fits, some runners leave the earlier one out and the
others bring both, so that a part of the service runs at any time.
"""

from __future__ import annotations

from collections.abc import Callable

# Times that a copy takes in a swarm against one over the host's own link: chunks
# come by way of other hosts.
SWARM_COPY_FACTOR = 1.15
# Seconds from a complete copy until the runner has switched: it ends what it runs.
SWITCH_TIME_S = 1.0
# Seconds of idle runners from which on some leave the earlier version out.
SPLIT_IDLE_S = 0.2


class ScheduledVersion:
    """A version and the boot time by which it has to be in force.

    `replaces` names the earlier versions that need not be brought any more, and
    `is_split` tells that this holds for leading hosts only.
    """

    __slots__ = ("due_at", "is_split", "named_at", "replaces", "version")

    def __init__(self, version: int, named_at: float, due_at: float) -> None:
        self.version = version
        self.named_at = named_at
        self.due_at = due_at
        self.replaces: frozenset[int] = frozenset()
        self.is_split = False


class VersionSchedule:
    """The named versions of one model; times are boot times in seconds.

    `time_limit` is the time that a version has, `copy_time` what one copy over this
    host's link takes at the least. `revision` counts changes.
    """

    __slots__ = ("_time_limit", "_copy_time", "_unavailable", "_versions", "revision")

    def __init__(self, time_limit: float, copy_time: float) -> None:
        self._time_limit = time_limit
        self._copy_time = copy_time * SWARM_COPY_FACTOR
        self._versions: dict[int, ScheduledVersion] = {}
        self._unavailable: set[int] = set()
        self.revision = 0

    def add(self, version: int, now: float) -> None:
        """Take in a version that operators named, or that other runners hold."""
        if version in self._versions or version in self._unavailable:
            return
        scheduled = ScheduledVersion(version, now, now + self._time_limit)
        earlier = [item for item in self._versions.values() if item.version < version]
        unfinished = [item for item in earlier if now < item.named_at + self._copy_time]
        if unfinished:
            self._decide(scheduled, unfinished)
        self._versions[version] = scheduled
        self.revision += 1

    def get_deadline(self, version: int, held: int | None) -> float:
        """Return when a runner has to hold a version, by boot time.

        From when any version newer than what it holds is due, that may begin nothing.
        """
        due = [
            scheduled.due_at
            for scheduled in self._versions.values()
            if (held or version - 1) < scheduled.version <= version
        ]
        return min(due)

    def mark_unavailable(self, version: int) -> None:
        """Forget a version that cannot be had any more."""
        self._versions.pop(version, None)
        self._unavailable.add(version)
        self.revision += 1

    def get_newest(self) -> int | None:
        """Return the newest version, None before any is known."""
        return max(self._versions, default=None)

    def _decide(
        self, scheduled: ScheduledVersion, unfinished: list[ScheduledVersion]
    ) -> None:
        """Decide whether a version replaces those that are on their way."""
        first = min(unfinished, key=lambda item: item.due_at)
        last = max(unfinished, key=lambda item: item.named_at)
        time = self._copy_time + SWITCH_TIME_S
        idle_without = scheduled.named_at + time - first.due_at
        idle_with = last.named_at + self._copy_time + time - scheduled.due_at
        if idle_without <= max(idle_with, 0.0):
            scheduled.replaces = frozenset(item.version for item in unfinished)
        elif idle_with > SPLIT_IDLE_S:
            scheduled.replaces = frozenset(item.version for item in unfinished)
            scheduled.is_split = True

    def get_pending(
        self, held: int | None, is_leading: Callable[[int], bool]
    ) -> list[ScheduledVersion]:
        """Return the versions to bring one after another, none when all is well.

        A runner that holds nothing is brought to the newest at once. `is_leading`
        tells whether this host leads the way to a version.
        """
        versions = sorted(
            item for item in self._versions if held is None or item > held
        )
        missing = [self._versions[item] for item in versions]
        if held is None:
            return missing[-1:]
        return [
            scheduled
            for scheduled in missing
            if not self.is_skipped(scheduled.version, is_leading)
        ]

    def is_skipped(self, version: int, is_leading: Callable[[int], bool]) -> bool:
        """Tell whether a host need not bring a version, as a newer one is named."""
        return any(
            version in scheduled.replaces
            and (not scheduled.is_split or is_leading(scheduled.version))
            for scheduled in self._versions.values()
        )

    def is_split(self, version: int) -> bool:
        """Tell whether some hosts lead the way to a version."""
        scheduled = self._versions.get(version)
        return scheduled is not None and scheduled.is_split

    def get_named_at(self, version: int) -> float | None:
        """Return when a version was first announced of."""
        scheduled = self._versions.get(version)
        return None if scheduled is None else scheduled.named_at
