"""Following the objects of one kind in the platform's store.

A follower reads all objects once, then watches for changes, and knows at any
time how old its knowledge is:

    follower = FeedFollower(feed, wait=2.0, timeout=1.0, rng=random.Random())
    follower.subscribe(on_change)
    await follower.run()
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Generic, TypeVar

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import HistoryLostError, PlatformError
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Changes, Feed, Listing

log = get_logger(__name__)

T = TypeVar("T")
Subscriber = Callable[[], None]

# Seconds before a failed call is made again; a store that returns is found
# within the shorter part of the time in which a withdrawn key must stop.
RETRY_S = 0.1
RETRY_MAXIMUM_S = 0.8
# Seconds that a watch waits until the store has answered again.
LOST_WAIT_S = 0.5


class FeedFollower(Generic[T]):
    """What this process knows of one kind.

    After news, the next watch begins `gather` seconds later, so that changes which
    come one after another cost one call together.
    `confirmed_at` is the boot time at which the store last vouched for `items`,
    None before the first answer. `returned_at` is when the store was reached
    again after it had been away. `has_watched` tells that changes since the
    first listing are seen as they happen.
    """

    def __init__(
        self,
        feed: Feed[T],
        wait: float,
        timeout: float,
        rng: random.Random,
        clock: Callable[[], float] = get_boottime,
        gather: float = 0.0,
    ) -> None:
        self._feed = feed
        self._wait = wait
        self._timeout = timeout
        self._rng = rng
        self._clock = clock
        self._gather = gather
        self._subscribers: list[Subscriber] = []
        self._is_lost = False
        self._needs_listing = True
        self.items: dict[str, T] = {}
        self.revision = 0
        self.confirmed_at: float | None = None
        self.returned_at: float | None = None
        self.has_watched = False

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function after each change."""
        self._subscribers.append(subscriber)

    def get_age(self) -> float | None:
        """Return the seconds since the store vouched for the items."""
        if self.confirmed_at is None:
            return None
        return max(self._clock() - self.confirmed_at, 0.0)

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        delay = RETRY_S
        while True:
            try:
                if await self._follow_once():
                    delay = RETRY_S
            except HistoryLostError as exc:
                log.event("history_lost", feed=self._feed.name, reason=exc)
                self._needs_listing = True
                await asyncio.sleep(delay * (0.5 + self._rng.random()))
                delay = min(delay * 2, RETRY_MAXIMUM_S)
            except (PlatformError, TimeoutError) as exc:
                self._note_lost(exc)
                await asyncio.sleep(delay * (0.5 + self._rng.random()))
                delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def _follow_once(self) -> bool:
        """Read or watch once; tell whether the store still knows the history."""
        if self._needs_listing:
            await self._read()
            return False
        await self._watch()
        return True

    async def _read(self) -> None:
        asked_at = self._clock()
        async with asyncio.timeout(self._timeout):
            listing = await self._feed.read()
        # The store answered at some moment after the call was made.
        self._take_listing(listing, asked_at)

    def _take_listing(self, listing: Listing[T], confirmed_at: float) -> None:
        if listing.revision < self.revision:
            log.event(
                "listing_outdated",
                feed=self._feed.name,
                revision=listing.revision,
                known=self.revision,
            )
            return
        self._needs_listing = False
        self._confirm(listing.revision, confirmed_at)
        if listing.items != self.items:
            self.items = listing.items
            self._publish("listed", len(listing.items))

    async def _watch(self) -> None:
        asked_at = self._clock()
        # A store that was away may be so still without a sign of it; a short watch
        # finds that out, and its return, soon.
        wait = min(self._wait, LOST_WAIT_S) if self._is_lost else self._wait
        async with asyncio.timeout(wait + self._timeout):
            changes = await self._feed.watch(self.revision, wait)
        # An answer without news was given when the wait was over, one with news at
        # some moment after the call; how long it then was on its way is not known.
        waited = 0.0 if changes.items else wait
        self._take_changes(changes, min(self._clock(), asked_at + waited))
        if changes.items and self._gather:
            await asyncio.sleep(self._gather)

    def _take_changes(self, changes: Changes[T], confirmed_at: float) -> None:
        self.has_watched = True
        self._confirm(changes.revision, confirmed_at)
        if not changes.items:
            return
        items = dict(self.items)
        for name, item in changes.items.items():
            if item is None:
                items.pop(name, None)
            else:
                items[name] = item
        self.items = items
        self._publish("changed", len(changes.items))

    def _confirm(self, revision: int, confirmed_at: float) -> None:
        self.revision = max(self.revision, revision)
        self.confirmed_at = max(self.confirmed_at or 0.0, confirmed_at)
        if self._is_lost:
            self._is_lost = False
            self.returned_at = self._clock()
            log.event("feed_regained", feed=self._feed.name, revision=revision)

    def _publish(self, how: str, count: int) -> None:
        log.event(
            "feed_changed",
            feed=self._feed.name,
            how=how,
            count=count,
            revision=self.revision,
        )
        for subscriber in self._subscribers:
            subscriber()

    def _note_lost(self, exc: Exception) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        log.event(
            "feed_lost", feed=self._feed.name, reason=repr(exc), age=self.get_age()
        )
