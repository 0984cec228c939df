"""An entry's side of its hub: which one it is attached to, and what it asks.

The first entry in the order of the cell that answers is the hub, this one among
them. An entry stays with it while its beliefs are fresh, and looks from time to
time whether one that goes before it is back.
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
from marigold.core.platform.spreading import BeliefReceiver
from marigold.core.schema.generated.deployment import Member
from marigold.core.schema.generated.messages import SuspectNews
from marigold.entry.hub.membership import CellMembership
from marigold.entry.hub.session import HubSession

log = get_logger(__name__)

Dialer = Callable[[str], Awaitable[Channel]]

# The times below that belong to the age of beliefs are those of a deployment in which a
# withdrawn key must not work after this many seconds; with a shorter bound they shrink.
REFERENCE_REVOCATION_S = 5.0
# Seconds between questions for the age of beliefs; a belief is as old as the hub's
# and as this.
AGES_INTERVAL_S = 1.0
# Seconds in which a hub that could not be reached or went silent is not tried.
BACKOFF_S = 1.0
BACKOFF_MAXIMUM_S = 4.0
# Seconds between looks for a hub that goes before the present one.
CHECK_INTERVAL_S = 0.5
# Seconds that one that was dialled may take to answer, and the store to answer this
# entry when it is to be the hub.
OPEN_TIMEOUT_S = 0.4
STORE_TIMEOUT_S = 1.0
# Age of a hub's configuration in seconds from which on another one may know more: two
# watches of the store and a question. The next ones in the order find out first, so
# that they are fresh when the others ask them.
STALE_AGE_S = 2.6
STALE_STEP_S = 0.2
# Seconds from when a hub tells that the store is away to when the third entry of the
# order looks for another, as the second one has found out by then whether it reaches
# the store, and to each after it; all look within the bound of a change.
FAILOVER_DELAY_S = 0.25
FAILOVER_STEP_S = 0.06
# Entries of the order that are tried then, and look for themselves.
FAILOVER_CANDIDATES = 9
# Entries of the order that are tried then.
STALE_CANDIDATES = 5
# Entries that a newcomer tries before it goes by the order; the first one or, where
# it is that itself, the second one is the hub.
JOIN_CANDIDATES = 3
# Seconds between two rounds through other hubs when the own one is stale.
STALE_RETRY_S = 1.0


class HubLostError(MarigoldError):
    """The hub did not answer, or the link to it is lost."""


class HubClient:
    """Keeps this entry attached to the hub of its cell.

    `attach_own` returns a channel to the hub service of this process, and
    `set_watching` begins or ends to follow the store. `get_store_age` is the seconds
    since the store answered this process itself. `bound` is the seconds in which
    beliefs must be confirmed. A newcomer among entries that run follows one of them
    first, also where it is to be the hub: they know since when a version is named.
    """

    def __init__(
        self,
        roster: CellMembership,
        dial: Dialer,
        open_local: Callable[[], Channel],
        set_watching: Callable[[bool], None],
        receivers: Sequence[BeliefReceiver[Any]],
        get_store_age: Callable[[], float | None],
        revocation: float = REFERENCE_REVOCATION_S,
        is_joining: bool = False,
    ) -> None:
        self._scale = min(revocation / REFERENCE_REVOCATION_S, 1.0)
        self._roster = roster
        self._dial = dial
        self._open_local = open_local
        self._set_watching = set_watching
        self._receivers = receivers
        self._get_store_age = get_store_age
        self._is_joining = is_joining
        self._ask_ids = itertools.count(1)
        self._backoffs: dict[str, tuple[float, float]] = {}
        self._requests: Counter[str] = Counter()
        self._polled_at = 0.0
        self._next_search_at = 0.0
        self.session: HubSession | None = None
        # What this entry is told of suspected requests, and what it tells a new hub.
        self.on_suspect_update: Callable[[SuspectNews], None] = lambda news: None
        self.make_suspect_updates: Callable[[], list[SuspectNews]] = list

    @property
    def is_own_hub(self) -> bool:
        """Tell whether this entry is its own hub."""
        return self.session is not None and self._is_self(self.session.member)

    def _is_self(self, member: Member) -> bool:
        return member.process == self._roster.own.process

    def count_request(self, service: str) -> None:
        """Count a request of a caller, for the hub's budget of repeats."""
        self._requests[service] += 1

    def next_ask_id(self) -> int:
        """Return the number of a new question."""
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
        """Follow an entry that runs already, if there is a fresh one.

        One that goes before it in the order is then found near.
        """
        others = [
            item for item in self._roster.get_hub_order() if not self._is_self(item)
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
        for news in self.make_suspect_updates():
            session.channel.put(news)
        if previous is not None:
            previous.close()

    async def _find_hub(self) -> HubSession:
        """Return a session with the first entry of the order that is fit.

        While there is a hub, another one has to be fresh to be fit.
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
            # This entry was tried as well, so that nothing but time is left.
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _get_candidates(self) -> list[Member]:
        order = self._roster.get_hub_order()
        current = self.session
        if current is not None and current.is_alive:
            is_away = current.store_lost_at is not None
            found = [
                item
                for item in order[
                    : FAILOVER_CANDIDATES if is_away else STALE_CANDIDATES
                ]
                if item.process == current.member.process
                or not self._is_backing_off(item)
            ]
            if current.member not in found:
                found.append(current.member)
            return found
        # An entry that finds nobody else can always serve by itself.
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
        """Return a session that was answered, None when there is none."""
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
            member, channel, self._receivers, on_suspect_update=self.on_suspect_update
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
                self._back_off(member, "no answer of the store")
                return None
        session = HubSession(
            member,
            self._open_local(),
            (),
            is_own=True,
            on_suspect_update=self.on_suspect_update,
        )
        session.start()
        await session.has_answered.wait()
        return session

    async def _wait_for_store(self) -> bool:
        """Tell whether the store answers this entry."""
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
        """Return when the session is over or a better one may be had."""
        while session.is_alive:
            is_away = session.store_lost_at is not None
            await session.wait_closed(
                FAILOVER_STEP_S / 2 if is_away else CHECK_INTERVAL_S / 2 * self._scale
            )
            now = get_boottime()
            if now - self._polled_at >= AGES_INTERVAL_S * self._scale:
                self._polled_at = now
                requests, self._requests = dict(self._requests), Counter()
                session.request_ages(requests)
            if self._is_search_due(session, now) or self._may_return_to_preferred(
                session
            ):
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
        """Tell whether it is time to look for a hub that knows more."""
        order = [item.process for item in self._roster.get_hub_order()]
        rank = order.index(self._roster.own.process)
        limit = STALE_AGE_S + STALE_STEP_S * min(rank, STALE_CANDIDATES)
        limit *= self._scale
        is_old = session.get_age() >= limit
        if now < self._next_search_at or not (
            is_old or self._is_failover_due(session, rank, now)
        ):
            return False
        self._next_search_at = now + STALE_RETRY_S * self._scale
        return True

    def _is_failover_due(self, session: HubSession, rank: int, now: float) -> bool:
        """Tell whether the store is away from the hub, and it is this entry's turn.

        The first entry after the hub looks at once, the others when it has found out.
        """
        if session.store_lost_at is None:
            return False
        steps = max(min(rank, FAILOVER_CANDIDATES) - 2, 0)
        wait = 0.0 if rank == 1 else FAILOVER_DELAY_S + FAILOVER_STEP_S * steps
        return now - session.store_lost_at >= wait

    def _may_return_to_preferred(self, session: HubSession) -> bool:
        """Tell whether an entry that goes before the hub may be back."""
        for member in self._roster.get_hub_order():
            if member.process == session.member.process:
                return False
            if not self._is_backing_off(member):
                return True
        return False
