"""Cache of one kind of store objects that is kept up to date by a watch.

A follower lists all objects once, then watches for changes. The age of its contents
is known at any time:

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
from marigold.core.exceptions import (
    HistoryLostError,
    OutdatedListingError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Changes, Feed, Listing
from marigold.core.platform.object_cache import ObjectCache

log = get_logger(__name__)

T = TypeVar("T")

# Backoff after a failed call. The maximum is short, since the recovery of the store has
# to be detected within less than half of the time limit for the revocation of keys.
RETRY_S = 0.1
RETRY_MAXIMUM_S = 0.8
# Wait of a watch while the store is unreachable, less than `UNAVAILABLE_AFTER_S`.
RECONNECT_WAIT_S = 0.1
# Time over which calls have to fail to count as an outage; a single call may fail at
# any time.
OUTAGE_S = 1.0
# A call that exceeds its timeout, or a retry that is late, by this time shows that the
# process was suspended.
SUSPENSION_S = 0.5
# Time without a response, in addition to the wait of a watch, after which the store
# counts as unavailable. It covers several short calls, since single ones may fail.
UNAVAILABLE_AFTER_S = 0.4
# Calls that one listing may take, each of which returns about a megabyte.
LISTING_CALLS = 32
SOURCE = "store"


class FeedFollower(ObjectCache[T]):
    """Object cache that this process updates by watching the store itself.

    After a change, the next watch starts `batch_delay` seconds later, so that a burst
    of changes costs a single call. A response with changes only confirms the contents
    as of the time at which the watch was sent; where their age matters, `change_wait`
    limits the seconds that the next watch waits.

    `get_earliest_arrival` returns the earliest time at which a response that is handled
    now can have arrived; it is the current time unless the process stood still.

    `run` may be cancelled and started again; it continues from the cached contents.
    `is_unavailable` is True while the store does not respond to this process, and
    `on_availability_change` is called when it changes. `has_answered` is True once the
    store has responded since `run` was started.
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
        get_earliest_arrival: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(feed.name if feed is not None else "", clock)
        self._feed = feed
        self._wait = wait
        self._timeout = timeout
        self._rng = rng
        self._batch_delay = batch_delay
        self._change_wait = change_wait
        self._get_earliest_arrival = get_earliest_arrival or clock
        self._has_changes = False
        self._is_disconnected = False
        self._needs_listing = True
        self._listing_at = math.inf
        self._is_continuous = False
        self._is_resumed = False
        self._responded_at: float | None = None
        self._outage: tuple[float, float] | None = None
        self._retry_at = math.inf
        self._unavailable_timer: asyncio.TimerHandle | None = None
        self.is_unavailable = False
        self.has_answered = False
        self.on_availability_change: Callable[[], None] = lambda: None

    def get_store_age(self) -> float | None:
        """Return the seconds since the store last responded to this process."""
        if self._responded_at is None:
            return None
        return max(self._clock() - self._responded_at, 0.0)

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        self.has_answered = False
        self._is_continuous = False
        # The store may have been available since the last run.
        self._outage = None
        # Contents received from a hub replace the initial listing.
        self._is_resumed = self.confirmed_at is not None
        self._needs_listing = self._needs_listing and not self._is_resumed
        try:
            await self._follow()
        finally:
            self._set_response_deadline(None)

    async def _follow(self) -> None:
        delay = lost_delay = RETRY_S
        while True:
            sent_at = self._clock()
            try:
                if await self._follow_once():
                    delay = lost_delay = RETRY_S
            except HistoryLostError as exc:
                log.event("history_lost", feed=self.name, reason=exc)
                self._needs_listing = True
                # The change may be as old as the last watch.
                self._is_continuous = False
                await self._pause(lost_delay)
                lost_delay = min(lost_delay * 2, RETRY_MAXIMUM_S)
            except Exception as exc:
                # A watch from the same revision would meet the same change again if
                # that is what cannot be read.
                if not isinstance(exc, PlatformUnreachableError | TimeoutError):
                    self._needs_listing = True
                if not isinstance(exc, PlatformError | TimeoutError):
                    log.event("feed_failed", feed=self.name, reason=repr(exc))
                self._record_failure(exc, sent_at)
                await self._pause(delay)
                delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def _pause(self, delay: float) -> None:
        seconds = delay * (0.5 + self._rng.random())
        self._retry_at = self._clock() + seconds
        await asyncio.sleep(seconds)

    async def _follow_once(self) -> bool:
        """List or watch once; return True after a watch, which needs the history."""
        if self._needs_listing or self._clock() >= self._listing_at:
            await self._read()
            return False
        await self._watch()
        return True

    async def _read(self) -> None:
        sent_at = self._clock()
        self._set_response_deadline(UNAVAILABLE_AFTER_S)
        # A long list takes several calls, each of which has a timeout of its own.
        async with asyncio.timeout(self._timeout * LISTING_CALLS):
            listing = await self._feed.read()
        self._listing_at = math.inf
        # The store responded at an unknown time after the call was sent.
        self._apply_listing(listing, sent_at)

    def _schedule_listing(self, seconds: float) -> None:
        """List all objects again after some seconds."""
        self._listing_at = self._clock() + seconds

    def _cancel_listing(self) -> None:
        self._listing_at = math.inf

    def _apply_listing(self, listing: Listing[T], confirmed_at: float) -> None:
        changed_at = self._get_earliest_change_time()
        if not self.replace_all(listing.items, listing.revision, SOURCE, changed_at):
            raise OutdatedListingError(f"{self.name}: the listing is outdated")
        self._needs_listing = False
        self._confirm(listing.revision, confirmed_at)

    def _get_earliest_change_time(self) -> float | None:
        """Return the earliest possible boot time of a change that was just received.

        It is None for the first listing, whose items may be as old as the store.
        """
        if self.confirmed_at is None:
            return None
        now = self._clock()
        if self._is_continuous:
            # The store responds at once, but this process may have stood still.
            return min(max(self.confirmed_at, self._get_earliest_arrival()), now)
        # The change may have been made while the store was not being watched.
        return min(max(self.confirmed_at, self._get_outage_end()), now)

    def _get_outage_end(self) -> float:
        """Return the boot time until which the store was certainly unavailable.

        The time limit for a change to reach all processes restarts after an outage.
        Return minus infinity if there was none.
        """
        if self._outage is None:
            return -math.inf
        first, last = self._outage
        return last if last - first >= OUTAGE_S else -math.inf

    async def _watch(self) -> None:
        sent_at = self._clock()
        # A store that was unreachable may still be, without closing the connection. A
        # short watch detects that, and the recovery, quickly. It also confirms contents
        # received from a hub quickly.
        is_short = self._is_disconnected or self._is_resumed
        wait = min(self._wait, RECONNECT_WAIT_S) if is_short else self._wait
        wait = min(wait, self._change_wait) if self._has_changes else wait
        self._set_response_deadline(wait + UNAVAILABLE_AFTER_S)
        async with asyncio.timeout(wait + self._timeout):
            changes = await self._feed.watch(self.revision, wait)
        # A response without changes was sent at the end of the wait, one with changes
        # at an unknown time after the call, as its transfer time is not known.
        self._has_changes = bool(changes.items)
        waited = 0.0 if self._has_changes else wait
        self._apply_watch_result(changes, min(self._clock(), sent_at + waited))
        if changes.items and self._batch_delay:
            await asyncio.sleep(self._batch_delay)

    def _apply_watch_result(self, changes: Changes[T], confirmed_at: float) -> None:
        changed_at = self._get_earliest_change_time()
        self._confirm(changes.revision, confirmed_at)
        self.apply_changes(changes.items, changes.revision, SOURCE, changed_at)
        self._is_continuous = True
        self._is_resumed = False

    def _confirm(self, revision: int, confirmed_at: float) -> None:
        self.confirm(revision, confirmed_at)
        self._responded_at = max(self._responded_at or 0.0, confirmed_at)
        self.has_answered = True
        self._set_response_deadline(None)
        self._set_unavailable(False)
        if self._is_disconnected:
            self._is_disconnected = False
            self.recovered_at = self._clock()
            log.event("feed_regained", feed=self.name, revision=revision)

    def _set_response_deadline(self, seconds: float | None) -> None:
        """Mark the store unavailable unless it responds in time; None cancels that.

        A running timer is kept, so that repeated failures do not extend the deadline.
        """
        if seconds is None:
            if self._unavailable_timer is not None:
                self._unavailable_timer.cancel()
            self._unavailable_timer = None
        elif self._unavailable_timer is None and not self.is_unavailable:
            loop = asyncio.get_running_loop()
            self._unavailable_timer = loop.call_later(
                seconds, self._set_unavailable, True
            )

    def _set_unavailable(self, is_unavailable: bool) -> None:
        if is_unavailable != self.is_unavailable:
            self.is_unavailable = is_unavailable
            log.event(
                "store_away", feed=self.name, away=is_unavailable, age=self.get_age()
            )
            self.on_availability_change()

    def _extend_outage(self, sent_at: float) -> None:
        """Extend the outage by a failed call, unless this process was suspended."""
        duration = self._clock() - sent_at
        if duration > RECONNECT_WAIT_S + self._timeout + SUSPENSION_S:
            self._outage = None
            return
        first = sent_at if self._outage is None else self._outage[0]
        if sent_at > self._retry_at + SUSPENSION_S:
            first = sent_at
        self._outage = (first, sent_at)

    def _record_failure(self, exc: Exception, sent_at: float) -> None:
        """Record the failure of a call that was sent at a boot time."""
        self._is_continuous = False
        if self._is_disconnected:
            self._extend_outage(sent_at)
            return
        self._is_disconnected = True
        self._outage = None
        # The call has failed already: replace the longer timeout of the watch.
        self._set_response_deadline(None)
        self._set_response_deadline(UNAVAILABLE_AFTER_S)
        log.event("feed_lost", feed=self.name, reason=repr(exc), age=self.get_age())
