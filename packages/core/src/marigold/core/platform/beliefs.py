"""What a process believes of one kind in the platform's store, and its age.

A belief comes from the store itself, or from the hub of the process. It goes
upwards only, by revision, and knows when the store last vouched for it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Generic, TypeVar

from marigold.core.boottime import get_boottime
from marigold.core.logging import get_logger

log = get_logger(__name__)

T = TypeVar("T")
Subscriber = Callable[[], None]
NO_DATES: Mapping[str, float] = {}


def _find_changed(before: Mapping[str, T], after: Mapping[str, T]) -> list[str]:
    """Return the names of items that are new, gone or other than before."""
    names = before.keys() | after.keys()
    return [name for name in names if before.get(name) != after.get(name)]


class Belief(Generic[T]):
    """Items by name, as of a revision of the store.

    `confirmed_at` is the boot time at which the store last vouched for `items`,
    None before the first answer. `returned_at` is when the store was reached
    again after it had been away. `dates` holds the earliest boot time at which the
    store can have held an item as it is, by name, where that is known; `changes`
    counts how often the items were replaced.
    """

    def __init__(self, name: str, clock: Callable[[], float] = get_boottime) -> None:
        self.name = name
        self._clock = clock
        self._subscribers: list[Subscriber] = []
        self.items: dict[str, T] = {}
        self.revision = 0
        self.confirmed_at: float | None = None
        self.returned_at: float | None = None
        self.dates: dict[str, float] = {}
        self.changes = 0

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function after each change."""
        self._subscribers.append(subscriber)

    def get_age(self) -> float | None:
        """Return the seconds since the store vouched for the items."""
        if self.confirmed_at is None:
            return None
        return max(self._clock() - self.confirmed_at, 0.0)

    def confirm(self, revision: int, confirmed_at: float) -> None:
        """Take in that the items are those of a revision at a boot time."""
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at or 0.0, confirmed_at)

    def take_all(
        self,
        items: Mapping[str, T],
        revision: int,
        source: str,
        changed_at: float | None = None,
        dates: Mapping[str, float] = NO_DATES,
    ) -> bool:
        """Replace all items, unless newer ones are known; tell whether it is done.

        `dates` says when the store got those that are new, `changed_at` when it got
        the others of them, None when that is not known.
        """
        if revision < self.revision:
            log.event(
                "listing_outdated",
                feed=self.name,
                revision=revision,
                known=self.revision,
                source=source,
            )
            return False
        self.revision = revision
        if dict(items) != self.items:
            before, self.items = self.items, dict(items)
            # Most kinds have no dates, and their lists may be long.
            if changed_at is not None or dates or self.dates:
                self._note_dates(_find_changed(before, items), changed_at, dates)
            self._publish("listed", len(items), source)
        return True

    def take_changes(
        self,
        items: Mapping[str, T | None],
        revision: int,
        source: str,
        changed_at: float | None = None,
    ) -> None:
        """Replace some items, None for removed ones."""
        self.revision = max(self.revision, revision)
        if not items:
            return
        changed = dict(self.items)
        for name, item in items.items():
            if item is None:
                changed.pop(name, None)
            else:
                changed[name] = item
        # An item that is written again as it was stays as old as it is.
        new = [name for name in items if self.items.get(name) != items[name]]
        self.items = changed
        self._note_dates(new, changed_at, NO_DATES)
        self._publish("changed", len(items), source)

    def _note_dates(
        self,
        names: Iterable[str],
        changed_at: float | None,
        dates: Mapping[str, float],
    ) -> None:
        for name in names:
            date = dates.get(name, changed_at)
            if date is None or name not in self.items:
                self.dates.pop(name, None)
            else:
                self.dates[name] = date

    def _publish(self, how: str, count: int, source: str) -> None:
        self.changes += 1
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
            subscriber()
