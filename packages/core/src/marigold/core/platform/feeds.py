"""Following the objects of one kind in the platform's store.

A follower reads all objects once, then watches for changes, and knows at any
time how old its knowledge is:

    follower = FeedFollower(feed, wait=2.0, timeout=1.0, rng=random.Random())
    follower.subscribe(on_change)
    await follower.run()
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import TypeVar

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import HistoryLostError, PlatformError
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Changes, Feed, Listing
from marigold.core.platform.object_cache import ObjectCache

log = get_logger(__name__)

T = TypeVar("T")

# Seconds before a failed call is made again; a store that returns is found
# within the shorter part of the time in which a withdrawn key must stop.
RETRY_S = 0.1
RETRY_MAXIMUM_S = 0.8
# Seconds that a watch waits until the store has answered again, less than `AWAY_S`.
RECONNECT_WAIT_S = 0.1
# Seconds over which calls have to fail for an outage; single ones fail at any time.
OUTAGE_S = 1.0
# Seconds beyond its timeout that a call takes only where the process stood still.
STILL_S = 0.5
# Seconds without an answer, beyond those that a call may wait, after which the store
# counts as away from this process: some short calls, of which single ones fail.
UNAVAILABLE_AFTER_S = 0.4
SOURCE = "store"


class FeedFollower(ObjectCache[T]):
    """A belief that this process can bring up to date at the store by itself.

    After news, the next watch begins `gather` seconds later, so that changes which
    come one after another cost one call together. News vouch for the moment only at
    which their watch was sent; where the age counts, `news_wait` is the seconds that
    the watch after them waits. `run` may be cancelled and begun
    again; it goes on from what is known then. `is_away` tells that the store did not
    answer this process for a while, until it answers again; `on_away` is called when
    that changes. `has_answered` tells that it did since `run` began.
    """

    def __init__(
        self,
        feed: Feed[T],
        wait: float,
        timeout: float,
        rng: random.Random,
        clock: Callable[[], float] = get_boottime,
        batch_delay: float = 0.0,
        change_wait: float = math.inf,
    ) -> None:
        super().__init__(feed.name if feed is not None else "", clock)
        self._feed = feed
        self._wait = wait
        self._timeout = timeout
        self._rng = rng
        self._gather = batch_delay
        self._news_wait = change_wait
        self._has_news = False
        self._is_lost = False
        self._needs_listing = True
        self._is_continuous = False
        self._is_resumed = False
        self._answered_at: float | None = None
        self._outage: tuple[float, float] | None = None
        self._away_timer: asyncio.TimerHandle | None = None
        self.is_unavailable = False
        self.has_answered = False
        self.on_availability_change: Callable[[], None] = lambda: None

    def get_store_age(self) -> float | None:
        """Return the seconds since the store answered this process itself."""
        if self._answered_at is None:
            return None
        return max(self._clock() - self._answered_at, 0.0)

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        self.has_answered = False
        self._is_continuous = False
        # A belief that a hub passed on is as good as a listing.
        self._is_resumed = self.confirmed_at is not None
        self._needs_listing = self._needs_listing and not self._is_resumed
        try:
            await self._follow()
        finally:
            self._await_answer(None)

    async def _follow(self) -> None:
        delay = RETRY_S
        while True:
            asked_at = self._clock()
            try:
                if await self._follow_once():
                    delay = RETRY_S
            except HistoryLostError as exc:
                log.event("history_lost", feed=self.name, reason=exc)
                self._needs_listing = True
                await asyncio.sleep(delay * (0.5 + self._rng.random()))
                delay = min(delay * 2, RETRY_MAXIMUM_S)
            except (PlatformError, TimeoutError) as exc:
                self._note_lost(exc, asked_at)
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
        self._await_answer(UNAVAILABLE_AFTER_S)
        async with asyncio.timeout(self._timeout):
            listing = await self._feed.read()
        # The store answered at some moment after the call was made.
        self._take_listing(listing, asked_at)

    def _take_listing(self, listing: Listing[T], confirmed_at: float) -> None:
        changed_at = self._get_change_time()
        if not self.replace_all(listing.items, listing.revision, SOURCE, changed_at):
            return
        self._needs_listing = False
        self._confirm(listing.revision, confirmed_at)

    def _get_change_time(self) -> float | None:
        """Return the earliest boot time of a change that the store tells now.

        What the first listing tells may be as old as the store.
        """
        if self.confirmed_at is None:
            return None
        now = self._clock()
        if self._is_continuous:
            return now
        # It may have come while the store was not watched.
        return min(max(self.confirmed_at, self._get_outage_end()), now)

    def _get_outage_end(self) -> float:
        """Return until when the store was surely away, or minus infinity.

        The time that a change has to reach all processes begins anew after an outage.
        """
        if self._outage is None:
            return -math.inf
        first, last = self._outage
        return last if last - first >= OUTAGE_S else -math.inf

    async def _watch(self) -> None:
        asked_at = self._clock()
        # A store that was away may be so still without a sign of it; a short watch
        # finds that out, and its return, soon. What a hub passed on is confirmed soon.
        is_short = self._is_lost or self._is_resumed
        wait = min(self._wait, RECONNECT_WAIT_S) if is_short else self._wait
        wait = min(wait, self._news_wait) if self._has_news else wait
        self._await_answer(wait + UNAVAILABLE_AFTER_S)
        async with asyncio.timeout(wait + self._timeout):
            changes = await self._feed.watch(self.revision, wait)
        # An answer without news was given when the wait was over, one with news at
        # some moment after the call; how long it then was on its way is not known.
        self._has_news = bool(changes.items)
        waited = 0.0 if self._has_news else wait
        self._take_news(changes, min(self._clock(), asked_at + waited))
        if changes.items and self._gather:
            await asyncio.sleep(self._gather)

    def _take_news(self, changes: Changes[T], confirmed_at: float) -> None:
        changed_at = self._get_change_time()
        self._confirm(changes.revision, confirmed_at)
        self.apply_changes(changes.items, changes.revision, SOURCE, changed_at)
        self._is_continuous = True
        self._is_resumed = False

    def _confirm(self, revision: int, confirmed_at: float) -> None:
        self.confirm(revision, confirmed_at)
        self._answered_at = max(self._answered_at or 0.0, confirmed_at)
        self.has_answered = True
        self._await_answer(None)
        self._set_away(False)
        if self._is_lost:
            self._is_lost = False
            self.recovered_at = self._clock()
            log.event("feed_regained", feed=self.name, revision=revision)

    def _await_answer(self, seconds: float | None) -> None:
        """Count the store as away if it does not answer in time; None ends that.

        Calls that follow failed ones get no time of their own.
        """
        if seconds is None:
            if self._away_timer is not None:
                self._away_timer.cancel()
            self._away_timer = None
        elif self._away_timer is None and not self.is_unavailable:
            loop = asyncio.get_running_loop()
            self._away_timer = loop.call_later(seconds, self._set_away, True)

    def _set_away(self, is_unavailable: bool) -> None:
        if is_unavailable != self.is_unavailable:
            self.is_unavailable = is_unavailable
            log.event(
                "store_away", feed=self.name, away=is_unavailable, age=self.get_age()
            )
            self.on_availability_change()

    def _extend_outage(self, asked_at: float) -> None:
        """Count a failed call to the outage, unless this process stood still in it."""
        took = self._clock() - asked_at
        if took > RECONNECT_WAIT_S + self._timeout + STILL_S:
            self._outage = None
            return
        first = asked_at if self._outage is None else self._outage[0]
        self._outage = (first, asked_at)

    def _note_lost(self, exc: Exception, asked_at: float) -> None:
        """Take in that a call of a boot time failed."""
        self._is_continuous = False
        if self._is_lost:
            self._extend_outage(asked_at)
            return
        self._is_lost = True
        self._outage = None
        # It answered that it does not: nothing is gained by waiting for a watch.
        self._await_answer(None)
        self._await_answer(UNAVAILABLE_AFTER_S)
        log.event("feed_lost", feed=self.name, reason=repr(exc), age=self.get_age())
