"""Local cache of the objects of one kind in the platform's store.

A cache is filled from the store directly or from the hub of the process. Its revision,
a position in the history of the store, never decreases, and it records when the store
last confirmed its contents.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, TypeVar

from marigold.core.boottime import get_boottime
from marigold.core.logging import get_logger
from marigold.core.platform.positions import get_era, is_restored

log = get_logger(__name__)

T = TypeVar("T")
Subscriber = Callable[[], None]
Times = Mapping[str, float | None]
UNKNOWN_TIMES: Times = {}


def _find_changed(before: Mapping[str, T], after: Mapping[str, T]) -> list[str]:
    """Return the names of items that were added, removed or changed."""
    names = before.keys() | after.keys()
    return [name for name in names if before.get(name) != after.get(name)]


class ObjectCache(Generic[T]):
    """Items by name, as of a position in the history of the store.

    `restored_era` is the last era that began while this cache, or one that it follows,
    had contents, 0 if none did. Such a cache may hold items that the restored store has
    lost. `on_restore` is called when one begins.

    `confirmed_at` is the boot time at which the store last confirmed `items`, None
    before its first response. `recovered_at` is the boot time at which the store was
    reached again after an outage. `valid_from` maps the names of items, as far as it is
    known, to the earliest boot time at which the store can have held their current
    value. `change_count` is the number of times that the items were replaced.
    """

    def __init__(self, name: str, clock: Callable[[], float] = get_boottime) -> None:
        self.name = name
        self._clock = clock
        self._subscribers: list[Subscriber] = []
        self.items: dict[str, T] = {}
        self.revision = 0
        self.confirmed_at: float | None = None
        self.recovered_at: float | None = None
        self.valid_from: dict[str, float] = {}
        self.change_count = 0
        self.restored_era = 0
        self.on_restore: Callable[[], None] = lambda: None

    def subscribe(self, subscriber: Subscriber) -> None:
        """Register a function that is called after each change."""
        self._subscribers.append(subscriber)

    def get_age(self) -> float | None:
        """Return the seconds since the store last confirmed the items."""
        if self.confirmed_at is None:
            return None
        return max(self._clock() - self.confirmed_at, 0.0)

    def confirm(self, revision: int, confirmed_at: float) -> None:
        """Record that the items were current at a boot time, as of a revision."""
        self._advance(revision)
        self.confirmed_at = max(self.confirmed_at or 0.0, confirmed_at)

    def mark_restored(self, era: int) -> None:
        """Record that the items may differ from those of the store of an era."""
        self.restored_era = era

    def _advance(self, revision: int) -> None:
        before, self.revision = self.revision, max(self.revision, revision)
        if is_restored(before, revision):
            self.mark_restored(get_era(revision))
            self.recovered_at = self._clock()
            log.event("store_restored", feed=self.name, era=self.restored_era)
            self.on_restore()

    def replace_all(
        self,
        items: Mapping[str, T],
        revision: int,
        source: str,
        changed_at: float | None = None,
        valid_from: Times = UNKNOWN_TIMES,
    ) -> bool:
        """Replace all items and return True, or return False for an older revision.

        For items that differ from the cached ones, `valid_from` gives by name when the
        store received them, None if it is unknown. `changed_at` is used in the same way
        for those that it does not name.
        """
        if revision < self.revision:
            self._log_outdated("listing_outdated", revision, source)
            return False
        after = dict(items)
        is_return = is_restored(self.revision, revision)
        if is_return:
            self._keep_lost(after)
        self._advance(revision)
        times = {**valid_from, **self._keep_superseded(after)}
        # Followers that were ahead before a return have other items at its position.
        if after != self.items or is_return:
            before, self.items = self.items, after
            # Most kinds have no such times, and comparing long lists is expensive.
            if changed_at is not None or times or self.valid_from:
                self._update_valid_from(_find_changed(before, after), changed_at, times)
            self._publish("listed", len(items), source)
        return True

    def apply_changes(
        self,
        items: Mapping[str, T | None],
        revision: int,
        source: str,
        changed_at: float | None = None,
    ) -> None:
        """Apply changed items by name, None for removed ones; ignore older ones."""
        if revision < self.revision:
            self._log_outdated("changes_outdated", revision, source)
            return
        self.revision = revision
        if not items:
            return
        changed = dict(self.items)
        for name, item in items.items():
            if item is None:
                changed.pop(name, None)
            else:
                changed[name] = item
        kept = self._keep_superseded(changed)
        # An item that was rewritten without a change keeps its time.
        new = [name for name in items if self.items.get(name) != changed.get(name)]
        self.items = changed
        self._update_valid_from([*new, *kept], changed_at, kept)
        self._publish("changed", len(items), source)

    def _log_outdated(self, name: str, revision: int, source: str) -> None:
        log.event(
            name, feed=self.name, revision=revision, known=self.revision, source=source
        )

    def get_earliest_change(self, name: str, item: T) -> float | None:
        """Return the earliest boot time at which a new item can have been stored.

        It is None if that is unknown, as for most kinds.
        """
        return None

    def _keep_lost(self, items: dict[str, T]) -> None:
        """Add what a restored store may have lost to its items, and correct older ones.

        Most kinds take the items as they are.
        """

    def _keep_superseded(self, items: dict[str, T]) -> Times:
        """Add current items to keep to the next ones; return the times of those added.

        Most kinds keep none.
        """
        return UNKNOWN_TIMES

    def _update_valid_from(
        self,
        names: Iterable[str],
        changed_at: float | None,
        valid_from: Times,
    ) -> None:
        for name in names:
            time = valid_from.get(name, changed_at)
            if time is None or name not in self.items:
                self.valid_from.pop(name, None)
            else:
                self.valid_from[name] = time

    def _publish(self, how: str, count: int, source: str) -> None:
        self.change_count += 1
        log.event(
            "feed_changed",
            feed=self.name,
            how=how,
            count=count,
            revision=self.revision,
            source=source,
            age=self.get_age(),
        )
        for subscriber in self._subscribers:
            # A subscriber that fails on one item must not keep the others from the
            # change, or end the task that follows the store.
            try:
                subscriber()
            except Exception as exc:
                log.event("subscriber_failed", feed=self.name, reason=repr(exc))
