"""Client of the hub: selects a hub, monitors it and fails over to another one.

The entries of a cell have a fixed order of preference. The first one in it that
answers is the hub; it may be this entry itself. A client stays with its hub while the
hub's state is fresh, and returns to a preferred entry when that one is back.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import LinkError, MarigoldError
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.platform.replication import CacheSubscriber
from marigold.core.schema.generated.deployment import Member
from marigold.core.schema.generated.messages import RateNotice, SuspectNews
from marigold.entry.hub.membership import CellMembership
from marigold.entry.hub.session import HubSession

log = get_logger(__name__)

Dialer = Callable[[str], Awaitable[Channel]]

# Seconds after which a revoked key must be rejected, for which the staleness limits
# below are given. A deployment with a shorter bound scales the limits down.
REFERENCE_REVOCATION_S = 5.0
# Seconds between requests for the ages of the hub's state. The age known here lags
# behind the hub's by up to this interval.
AGES_INTERVAL_S = 1.0
# Seconds for which an unreachable or silent hub is not tried again.
BACKOFF_S = 1.0
BACKOFF_MAXIMUM_S = 4.0
# Seconds between checks for a hub that precedes the current one in the order.
CHECK_INTERVAL_S = 0.5
# Seconds that a candidate may take to answer after it was dialled, and that the store
# may take to answer this entry before it becomes the hub.
OPEN_TIMEOUT_S = 0.4
STORE_TIMEOUT_S = 1.0
# Age of the hub's configuration, in seconds, at which an entry searches for a fresher
# hub: two watches of the store and one request for ages. Each rank in the hub order
# adds a step, so that the next candidates are fresh when later entries ask them.
STALE_AGE_S = 2.6
STALE_STEP_S = 0.2
# Failover once the hub reports that it cannot reach the store: seconds after which the
# third entry of the order searches for another hub, and additional seconds for each
# entry after it. By then the second entry knows whether it can reach the store. All
# entries search within the time in which a change must be in force.
FAILOVER_DELAY_S = 0.25
FAILOVER_STEP_S = 0.06
# Entries of the order that are candidates for a failover, each with a delay of its own.
FAILOVER_CANDIDATES = 9
# Entries of the order that are tried when the hub is stale.
STALE_CANDIDATES = 5
# Other entries that a joining entry tries before it follows the order. The first of
# them is the current hub: the first in the order, or the second if this entry is first.
JOIN_CANDIDATES = 3
# Seconds between two searches while the current hub is stale.
STALE_RETRY_S = 1.0


class HubLostError(MarigoldError):
    """The hub did not answer, or the link to it is lost."""


class HubClient:
    """Keeps this entry attached to the hub of its cell.

    `open_local` returns a channel to the hub service of this process, and
    `set_watching` starts or stops watching the store. `get_store_age` returns the
    seconds since the store last answered this process directly. `revocation` is the
    time in seconds within which the configuration must be confirmed.

    With `is_joining`, other entries are already running. This entry then follows one
    of them first, even if it is to be the hub: only they know since when the wanted
    version of a model is in force.
    """

    def __init__(
        self,
        membership: CellMembership,
        dial: Dialer,
        open_local: Callable[[], Channel],
        set_watching: Callable[[bool], None],
        subscribers: Sequence[CacheSubscriber[Any]],
        get_store_age: Callable[[], float | None],
        revocation: float = REFERENCE_REVOCATION_S,
        is_joining: bool = False,
    ) -> None:
        self._scale = min(revocation / REFERENCE_REVOCATION_S, 1.0)
        self._membership = membership
        self._dial = dial
        self._open_local = open_local
        self._set_watching = set_watching
        self._subscribers = subscribers
        self._get_store_age = get_store_age
        self._is_joining = is_joining
        self._ask_ids = itertools.count(1)
        self._backoffs: dict[str, tuple[float, float]] = {}
        self._requests: Counter[str] = Counter()
        self._polled_at = 0.0
        self._next_search_at = 0.0
        self.session: HubSession | None = None
        # Handles updates on suspects, and returns those to send to a new hub.
        self.on_suspect_update: Callable[[SuspectNews], None] = lambda update: None
        self.make_suspect_updates: Callable[[], list[SuspectNews]] = list
        # Returns the limits of runners to send to a new hub.
        self.make_rate_notices: Callable[[], list[RateNotice]] = list

    @property
    def is_own_hub(self) -> bool:
        """Return whether this entry is its own hub."""
        return self.session is not None and self._is_self(self.session.member)

    def _is_self(self, member: Member) -> bool:
        return member.process == self._membership.own.process

    def record_request(self, service: str) -> None:
        """Record a caller's request for the hub's retry budget."""
        self._requests[service] += 1

    def next_ask_id(self) -> int:
        """Return the id of a new message to the hub that expects replies."""
        return next(self._ask_ids)

    async def run(self) -> None:
        """Stay attached until cancelled."""
        try:
            if self._is_joining:
                await self._join_through_peer()
            while True:
                session = await self._find_hub()
                if session is not self.session:
                    self._attach(session)
                await self._monitor(session)
        finally:
            if self.session is not None:
                self.session.close()

    async def _join_through_peer(self) -> None:
        """Follow an entry that is already running and fresh, if there is one.

        The monitor then moves on to any entry that precedes it in the order.
        """
        others = [
            item for item in self._membership.get_hub_order() if not self._is_self(item)
        ]
        for member in others[:JOIN_CANDIDATES]:
            session = await self._open_session(member)
            if session is None:
                continue
            if session.get_age() < STALE_AGE_S * self._scale:
                self._attach(session)
                await self._monitor(session)
                return
            session.close()

    def _attach(self, session: HubSession) -> None:
        previous, self.session = self.session, session
        log.event(
            "hub_attached",
            hub=session.member.process,
            previous=None if previous is None else previous.member.process,
            age=session.get_age(),
        )
        self._set_watching(self._is_self(session.member))
        session.follow()
        for update in [*self.make_suspect_updates(), *self.make_rate_notices()]:
            session.channel.put(update)
        if previous is not None:
            previous.close()

    async def _find_hub(self) -> HubSession:
        """Return a session with the first acceptable entry of the order.

        While the current hub is alive, another one is acceptable only if it is fresh.
        """
        while True:
            fallback: HubSession | None = None
            for member in self._get_candidates():
                session = await self._open_session(member)
                if session is None:
                    continue
                if self._is_acceptable(session):
                    if fallback is not None and fallback is not self.session:
                        fallback.close()
                    return session
                if fallback is None or session is self.session:
                    fallback = session
                else:
                    session.close()
                if session is not self.session:
                    self._back_off(member, "stale")
            if fallback is not None:
                return fallback
            # Every candidate failed, this entry included: wait and retry.
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _get_candidates(self) -> list[Member]:
        order = self._membership.get_hub_order()
        current = self.session
        if current is not None and current.is_alive:
            is_store_lost = current.store_lost_at is not None
            found = [
                item
                for item in order[
                    : FAILOVER_CANDIDATES if is_store_lost else STALE_CANDIDATES
                ]
                if item.process == current.member.process
                or not self._is_backing_off(item)
            ]
            if current.member not in found:
                found.append(current.member)
            return found
        # An entry that reaches no other one can always be its own hub.
        return [
            item
            for item in order
            if self._is_self(item) or not self._is_backing_off(item)
        ]

    def _is_acceptable(self, session: HubSession) -> bool:
        if self.session is None or not self.session.is_alive:
            return True
        return (
            session.store_lost_at is None
            and session.get_age() < STALE_AGE_S * self._scale
        )

    async def _open_session(self, member: Member) -> HubSession | None:
        """Return a session in which the member has answered, or None."""
        current = self.session
        if current is not None and current.is_alive and current.member == member:
            return current
        if self._is_self(member):
            return await self._open_own(member)
        try:
            channel = await self._dial(member.address)
        except LinkError as exc:
            self._back_off(member, exc)
            return None
        session = HubSession(
            member, channel, self._subscribers, on_suspect_update=self.on_suspect_update
        )
        session.start()
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await session.has_answered.wait()
        except TimeoutError:
            session.close()
            self._back_off(member, "no answer")
            return None
        if session.is_leaving:
            session.close()
            self._back_off(member, "leaving")
            return None
        return session

    async def _open_own(self, member: Member) -> HubSession | None:
        self._set_watching(True)
        if self.session is not None and self.session.is_alive:
            if not await self._wait_for_store():
                self._set_watching(self.is_own_hub)
                self._back_off(member, "no answer from the store")
                return None
        session = HubSession(
            member,
            self._open_local(),
            (),
            is_own_hub=True,
            on_suspect_update=self.on_suspect_update,
        )
        session.start()
        await session.has_answered.wait()
        return session

    async def _wait_for_store(self) -> bool:
        """Wait for an answer from the store, and return whether one came in time."""
        end = get_boottime() + STORE_TIMEOUT_S
        while get_boottime() < end:
            age = self._get_store_age()
            if age is not None and age < STORE_TIMEOUT_S:
                return True
            await asyncio.sleep(CHECK_INTERVAL_S / 10)
        return False

    def _is_backing_off(self, member: Member) -> bool:
        until, _ = self._backoffs.get(member.process, (0.0, 0.0))
        return get_boottime() < until

    def _back_off(self, member: Member, reason: object) -> None:
        _, delay = self._backoffs.get(member.process, (0.0, BACKOFF_S / 2))
        delay = min(delay * 2, BACKOFF_MAXIMUM_S)
        self._backoffs[member.process] = (get_boottime() + delay, delay)
        log.event("hub_avoided", hub=member.process, seconds=delay, reason=reason)

    async def _monitor(self, session: HubSession) -> None:
        """Return when the session has ended or a better hub may be available."""
        while session.is_alive:
            is_store_lost = session.store_lost_at is not None
            await session.wait_closed(
                FAILOVER_STEP_S / 2
                if is_store_lost
                else CHECK_INTERVAL_S / 2 * self._scale
            )
            now = get_boottime()
            if now - self._polled_at >= AGES_INTERVAL_S * self._scale:
                self._polled_at = now
                requests, self._requests = dict(self._requests), Counter()
                session.request_ages(requests)
            if self._is_search_due(session, now) or self._is_preferred_due(session):
                return
            self._backoffs.pop(session.member.process, None)
        log.event(
            "hub_lost",
            hub=session.member.process,
            leaving=session.is_leaving,
            silent=session.is_silent(),
        )
        self._back_off(session.member, "lost")

    def _is_search_due(self, session: HubSession, now: float) -> bool:
        """Return whether to search for a fresher hub now; at most once per retry."""
        order = [item.process for item in self._membership.get_hub_order()]
        rank = order.index(self._membership.own.process)
        limit = STALE_AGE_S + STALE_STEP_S * min(rank, STALE_CANDIDATES)
        limit *= self._scale
        is_stale = session.get_age() >= limit
        if now < self._next_search_at or not (
            is_stale or self._is_failover_due(session, rank, now)
        ):
            return False
        self._next_search_at = now + STALE_RETRY_S * self._scale
        return True

    def _is_failover_due(self, session: HubSession, rank: int, now: float) -> bool:
        """Return whether the hub has lost the store and this entry is to search now.

        The first entry after the hub searches at once. The others wait until that one
        knows whether it can reach the store.
        """
        if session.store_lost_at is None:
            return False
        steps = max(min(rank, FAILOVER_CANDIDATES) - 2, 0)
        wait = 0.0 if rank == 1 else FAILOVER_DELAY_S + FAILOVER_STEP_S * steps
        return now - session.store_lost_at >= wait

    def _is_preferred_due(self, session: HubSession) -> bool:
        """Return whether an entry that precedes the hub is to be tried again."""
        for member in self._membership.get_hub_order():
            if member.process == session.member.process:
                return False
            if not self._is_backing_off(member):
                return True
        return False
