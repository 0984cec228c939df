"""Schedule of the weight versions that this host's runner has to load.

A version can be named while the previous one is still being copied over slow links.
If runners skip the previous version, they idle from its deadline until the newer one
is loaded; if they load both, the newer one is late. If both are too slow, some runners
(the leading ones) skip the previous version and the others load both, so that some
runners serve at any time.
"""

from __future__ import annotations

from collections.abc import Callable

from marigold.target.switches.skips import Skip, SkipChoice

# Duration of a copy in a swarm relative to one over the host's own link; chunks come
# through other hosts.
SWARM_COPY_FACTOR = 1.15
# Seconds from a complete copy to the switch; the runner finishes its requests first.
SWITCH_TIME_S = 1.0
# Seconds of idle runners above which leading hosts skip the earlier version.
SPLIT_IDLE_S = 0.2


class ScheduledVersion:
    """A version and the boot time by which it has to be loaded.

    `is_named` is whether operators named it, rather than runners or the origin.
    `replaces` are earlier versions that can be skipped, by all hosts or, if `is_split`
    is set, by leading hosts only. `leading_fraction` is their fraction, None for the
    usual choice of them.
    """

    __slots__ = (
        "due_at",
        "is_named",
        "is_split",
        "leading_fraction",
        "named_at",
        "replaces",
        "version",
    )

    def __init__(self, version: int, named_at: float, due_at: float) -> None:
        self.version = version
        self.named_at = named_at
        self.due_at = due_at
        self.is_named = False
        self.replaces: frozenset[int] = frozenset()
        self.is_split = False
        self.leading_fraction: float | None = None


SkipPolicy = Callable[[ScheduledVersion, ScheduledVersion, Skip], SkipChoice]


def _keep_preferred(
    first: ScheduledVersion, second: ScheduledVersion, preferred: Skip
) -> SkipChoice:
    return SkipChoice(preferred)


class VersionSchedule:
    """The named versions of one model; times are boot times in seconds.

    A version has to be loaded `time_limit` seconds after it was named. `copy_time` is
    the minimum duration of a copy over this host's link. `revision` counts changes.
    `choose_skip` may replace the decision on which hosts skip a version.
    """

    __slots__ = (
        "_copy_time",
        "_time_limit",
        "_unavailable",
        "_versions",
        "choose_skip",
        "revision",
    )

    def __init__(self, time_limit: float, copy_time: float) -> None:
        self._time_limit = time_limit
        self._copy_time = copy_time * SWARM_COPY_FACTOR
        self._versions: dict[int, ScheduledVersion] = {}
        self._unavailable: set[int] = set()
        self.choose_skip: SkipPolicy = _keep_preferred
        self.revision = 0

    def add(self, version: int, now: float, is_named: bool = False) -> None:
        """Add a version that operators named or that other runners hold.

        The earliest time counts: other runners hold it only after it was named.
        """
        if version in self._unavailable:
            return
        known = self._versions.get(version)
        if known is not None:
            known.is_named |= is_named
            if now < known.named_at:
                known.named_at, known.due_at = now, now + self._time_limit
                self.revision += 1
                # All hosts have to decide from the same times.
                for item in self._versions.values():
                    if item.version >= version:
                        self._compare(item)
            return
        scheduled = ScheduledVersion(version, now, now + self._time_limit)
        scheduled.is_named = is_named
        self._compare(scheduled)
        self._versions[version] = scheduled
        self.revision += 1

    def _compare(self, scheduled: ScheduledVersion) -> None:
        """Decide anew which earlier versions a version replaces."""
        scheduled.replaces, scheduled.is_split = frozenset(), False
        scheduled.leading_fraction = None
        unfinished = [
            item
            for item in self._versions.values()
            if item.version < scheduled.version
            and scheduled.named_at < item.named_at + self._copy_time
        ]
        if unfinished:
            self._decide(scheduled, unfinished)

    def get_deadline(self, version: int, held: int | None) -> float:
        """Return the boot time by which a runner has to hold a version.

        This is the earliest deadline of all versions newer than the held one: after
        it, the runner may start no requests on the held version.
        """
        due = [
            scheduled.due_at
            for scheduled in self._versions.values()
            if (held or version - 1) < scheduled.version <= version
        ]
        return min(due)

    def is_lost(self, version: int, newest: int | None) -> bool:
        """Return whether a version is to be given up that the origin denies.

        The origin keeps the newest versions, and one of its answers may be wrong, so a
        newer version has to be known, or be `newest`, its newest one by other answers
        (None if it names none). A version that operators did not name is also given up
        if the origin has older ones only, as entries of runners may be wrong too.
        """
        known = self._versions.get(version)
        if known is None or version != self.get_newest():
            return True
        if newest is None:
            return False
        return newest > version or (newest < version and not known.is_named)

    def mark_unavailable(self, version: int) -> None:
        """Remove a version that can no longer be fetched; ignore it if added again."""
        self._versions.pop(version, None)
        self._unavailable.add(version)
        self.revision += 1

    def get_newest(self) -> int | None:
        """Return the newest version, or None if none is known."""
        return max(self._versions, default=None)

    def _decide(
        self, scheduled: ScheduledVersion, unfinished: list[ScheduledVersion]
    ) -> None:
        """Decide which hosts skip unfinished versions in favour of a new one."""
        first = min(unfinished, key=lambda item: item.due_at)
        last = max(unfinished, key=lambda item: item.named_at)
        duration = self._copy_time + SWITCH_TIME_S
        idle_without = scheduled.named_at + duration - first.due_at
        idle_with = last.named_at + self._copy_time + duration - scheduled.due_at
        skip = Skip.NONE
        if idle_without <= max(idle_with, 0.0):
            skip = Skip.ALL
        elif idle_with > SPLIT_IDLE_S:
            skip = Skip.LEADING
        choice = self.choose_skip(first, scheduled, skip)
        if choice.skip is not Skip.NONE:
            scheduled.replaces = frozenset(item.version for item in unfinished)
            scheduled.is_split = choice.skip is Skip.LEADING
            scheduled.leading_fraction = choice.fraction

    def get_pending(
        self, held: int | None, is_leading: Callable[[int], bool]
    ) -> list[ScheduledVersion]:
        """Return the versions to load in this order, none if the runner is up to date.

        A runner without a version loads the newest one only. `is_leading` returns
        whether this host is a leading host of a version.
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
        """Return whether a host skips a version in favour of a newer one."""
        return any(
            version in scheduled.replaces
            and (not scheduled.is_split or is_leading(scheduled.version))
            for scheduled in self._versions.values()
        )

    def get_split(self, version: int) -> ScheduledVersion | None:
        """Return the version that leading hosts load and others after `version`.

        It may be the version itself.
        """
        for scheduled in self._versions.values():
            if scheduled.is_split and version in (
                scheduled.version,
                *scheduled.replaces,
            ):
                return scheduled
        return None

    def get_replaced(self, scheduled: ScheduledVersion) -> ScheduledVersion | None:
        """Return the version that is due first of those that a version replaces."""
        known = [
            self._versions[item]
            for item in scheduled.replaces
            if item in self._versions
        ]
        return min(known, key=lambda item: item.due_at, default=None)

    def get_leading_fraction(self, version: int) -> float | None:
        """Return the fraction of hosts that lead, None for the usual choice of them."""
        scheduled = self._versions.get(version)
        return None if scheduled is None else scheduled.leading_fraction

    def is_split(self, version: int) -> bool:
        """Return whether only leading hosts skip the versions that it replaces."""
        scheduled = self._versions.get(version)
        return scheduled is not None and scheduled.is_split

    def get_named_at(self, version: int) -> float | None:
        """Return when a version was named, or None if it is unknown."""
        scheduled = self._versions.get(version)
        return None if scheduled is None else scheduled.named_at
