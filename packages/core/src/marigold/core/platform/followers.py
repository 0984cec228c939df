"""Followers of kinds of objects that must not go back when the store is restored.

A store that comes back from a copy has older objects until their writers write them
again. A caller must not notice that, so a process keeps what it knows.
"""

from __future__ import annotations

from typing import Any, Protocol, TypeVar

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Listing
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.object_cache import UNKNOWN_TIMES, Times
from marigold.core.platform.positions import is_restored
from marigold.core.schema.generated.deployment import Member, Runner

log = get_logger(__name__)


class Versioned(Protocol):
    """An object whose version only increases."""

    version: int


V = TypeVar("V", bound=Versioned)

# Seconds after the return of the store in which runners write their entries again, and
# it removes those of runners that are gone, after three heartbeats.
REWRITE_S = 5.0
# Removed runners that are remembered.
REMOVED_MAXIMUM = 1000


class VersionedFollower(FeedFollower[V]):
    """Follower that never replaces an item by an older version.

    Neither does it lose an item that a restored store does not have.
    """

    def _keep_superseded(self, items: dict[str, V]) -> Times:
        for name, item in self.items.items():
            newest = items.get(name)
            # Version 0 is that of a configuration of which only some parts are known.
            if newest is not None and 0 < newest.version < item.version:
                log.event(
                    "item_outdated",
                    feed=self.name,
                    name=ascii(name),
                    version=newest.version,
                    kept=item.version,
                )
                items[name] = item
        return UNKNOWN_TIMES

    def _keep_lost(self, items: dict[str, V]) -> None:
        for name, item in self.items.items():
            items.setdefault(name, item)


class MemberFollower(FeedFollower[Member]):
    """Follower of the entries, which register again after a return of the store."""

    def _keep_lost(self, items: dict[str, Member]) -> None:
        for name, item in self.items.items():
            items.setdefault(name, item)


class RunnerFollower(FeedFollower[Runner]):
    """Follower of the runners, which write their entries again themselves.

    A runner that was seen to leave does not come back with the copy. One that was seen
    to be removed is believed again only once the store has had the time to remove it
    anew.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Start times of the runners that were removed last, by id.
        self._removed: dict[str, int] = {}

    def mark_restored(self, era: int) -> None:
        """Record a return of the store, after which runners may be withheld.

        A process that follows a hub lists them again if it becomes the hub.
        """
        if era != self.restored_era:
            self._schedule_listing(REWRITE_S)
        super().mark_restored(era)

    def _apply_listing(self, listing: Listing[Runner], confirmed_at: float) -> None:
        if not is_restored(self.revision, listing.revision):
            super()._apply_listing(listing, confirmed_at)
            return
        withheld = [
            name
            for name, runner in listing.items.items()
            if self._removed.get(name) == runner.started_ms
        ]
        for name in withheld:
            log.event("runner_withheld", runner=name, seconds=REWRITE_S)
            del listing.items[name]
        super()._apply_listing(listing, confirmed_at)
        if not withheld:
            self._cancel_listing()

    def _keep_superseded(self, items: dict[str, Runner]) -> Times:
        for name in self._removed.keys() & items.keys():
            del self._removed[name]
        for name in self.items.keys() - items.keys():
            self._removed[name] = self.items[name].started_ms
        while len(self._removed) > REMOVED_MAXIMUM:
            del self._removed[next(iter(self._removed))]
        return UNKNOWN_TIMES

    def _keep_lost(self, items: dict[str, Runner]) -> None:
        for name, runner in items.items():
            known = self.items.get(name)
            if known is not None and (
                known.started_ms > runner.started_ms
                or (known.started_ms == runner.started_ms and known.is_draining)
            ):
                items[name] = known
