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
from marigold.core.platform.replication import CacheSubscriber
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
AVOIDED_S = 1.0
AVOIDED_MAXIMUM_S = 4.0
# Seconds between looks for a hub that goes before the present one.
LOOK_S = 0.5
# Seconds that one that was dialled may take to answer, and the store to answer this
# entry when it is to be the hub.
OPEN_TIMEOUT_S = 0.4
OWN_TIMEOUT_S = 1.0
# Age of a hub's configuration in seconds from which on another one may know more: two
# watches of the store and a question. The next ones in the order find out first, so
# that they are fresh when the others ask them.
STALE_S = 2.6
STALE_STEP_S = 0.2
# Seconds from when a hub tells that the store is away to when the third entry of the
# order looks for another, as the second one has found out by then whether it reaches
# the store, and to each after it; all look within the bound of a change.
AWAY_FIRST_S = 0.25
AWAY_STEP_S = 0.06
# Entries of the order that are tried then, and look for themselves.
AWAY_CANDIDATES = 9
# Entries of the order that are tried then.
STALE_CANDIDATES = 5
# Entries that a newcomer tries before it goes by the order; the first one or, where
# it is that itself, the second one is the hub.
ELDER_CANDIDATES = 3
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
        attach_own: Callable[[], Channel],
        set_watching: Callable[[bool], None],
        receivers: Sequence[CacheSubscriber[Any]],
        get_store_age: Callable[[], float | None],
        bound: float = REFERENCE_REVOCATION_S,
        is_newcomer: bool = False,
    ) -> None:
        self._scale = min(bound / REFERENCE_REVOCATION_S, 1.0)
        self._roster = roster
        self._dial = dial
        self._attach_own = attach_own
        self._set_watching = set_watching
        self._receivers = receivers
        self._get_store_age = get_store_age
        self._is_newcomer = is_newcomer
        self._numbers = itertools.count(1)
        self._avoided: dict[str, tuple[float, float]] = {}
        self._requests: Counter[str] = Counter()
        self._asked_at = 0.0
        self._stale_at = 0.0
        self.session: HubSession | None = None
        # What this entry is told of suspected requests, and what it tells a new hub.
        self.take_news: Callable[[SuspectNews], None] = lambda news: None
        self.make_news: Callable[[], list[SuspectNews]] = list

    @property
    def is_own_hub(self) -> bool:
        """Tell whether this entry is its own hub."""
        return self.session is not None and self._is_own(self.session.member)

    def _is_own(self, member: Member) -> bool:
        return member.process == self._roster.own.process

    def count_request(self, service: str) -> None:
        """Count a request of a caller, for the hub's budget of repeats."""
        self._requests[service] += 1

    def next_ask_id(self) -> int:
        """Return the number of a new question."""
        return next(self._numbers)

    async def run(self) -> None:
        """Stay attached until cancelled."""
        try:
            if self._is_newcomer:
                await self._follow_elder()
            while True:
                session = await self._find()
                if session is not self.session:
                    self._move(session)
                await self._stay(session)
        finally:
            if self.session is not None:
                self.session.close()

    async def _follow_elder(self) -> None:
        """Follow an entry that runs already, if there is a fresh one.

        One that goes before it in the order is then found near.
        """
        others = [
            item for item in self._roster.get_hub_order() if not self._is_own(item)
        ]
        for member in others[:ELDER_CANDIDATES]:
            session = await self._try(member)
            if session is None:
                continue
            if session.get_age() < STALE_S * self._scale:
                self._move(session)
                await self._stay(session)
                return
            session.close()

    def _move(self, session: HubSession) -> None:
        previous, self.session = self.session, session
        log.event(
            "hub_attached",
            hub=session.member.process,
            previous=None if previous is None else previous.member.process,
            age=session.get_age(),
        )
        self._set_watching(self._is_own(session.member))
        session.follow()
        for news in self.make_news():
            session.channel.put(news)
        if previous is not None:
            previous.close()

    async def _find(self) -> HubSession:
        """Return a session with the first entry of the order that is fit.

        While there is a hub, another one has to be fresh to be fit.
        """
        while True:
            kept: HubSession | None = None
            for member in self._get_candidates():
                session = await self._try(member)
                if session is None:
                    continue
                if self._is_fit(session):
                    if kept is not None and kept is not self.session:
                        kept.close()
                    return session
                if kept is None or session is self.session:
                    kept = session
                else:
                    session.close()
                if session is not self.session:
                    self._avoid(member, "stale")
            if kept is not None:
                return kept
            # This entry was tried as well, so that nothing but time is left.
            await asyncio.sleep(LOOK_S)

    def _get_candidates(self) -> list[Member]:
        order = self._roster.get_hub_order()
        current = self.session
        if current is not None and current.is_alive:
            is_away = current.away_at is not None
            found = [
                item
                for item in order[: AWAY_CANDIDATES if is_away else STALE_CANDIDATES]
                if item.process == current.member.process or not self._is_avoided(item)
            ]
            if current.member not in found:
                found.append(current.member)
            return found
        # An entry that finds nobody else can always serve by itself.
        return [
            item for item in order if self._is_own(item) or not self._is_avoided(item)
        ]

    def _is_fit(self, session: HubSession) -> bool:
        if self.session is None or not self.session.is_alive:
            return True
        return session.away_at is None and session.get_age() < STALE_S * self._scale

    async def _try(self, member: Member) -> HubSession | None:
        """Return a session that was answered, None when there is none."""
        current = self.session
        if current is not None and current.is_alive and current.member == member:
            return current
        if self._is_own(member):
            return await self._open_own(member)
        try:
            channel = await self._dial(member.address)
        except LinkError as exc:
            self._avoid(member, exc)
            return None
        session = HubSession(member, channel, self._receivers, take_news=self.take_news)
        session.start()
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await session.is_answered.wait()
        except TimeoutError:
            session.close()
            self._avoid(member, "no answer")
            return None
        if session.is_leaving:
            session.close()
            self._avoid(member, "leaving")
            return None
        return session

    async def _open_own(self, member: Member) -> HubSession | None:
        self._set_watching(True)
        if self.session is not None and self.session.is_alive:
            if not await self._is_store_near():
                self._set_watching(self.is_own_hub)
                self._avoid(member, "no answer of the store")
                return None
        session = HubSession(
            member, self._attach_own(), (), is_own=True, take_news=self.take_news
        )
        session.start()
        await session.is_answered.wait()
        return session

    async def _is_store_near(self) -> bool:
        """Tell whether the store answers this entry."""
        end = get_boottime() + OWN_TIMEOUT_S
        while get_boottime() < end:
            age = self._get_store_age()
            if age is not None and age < OWN_TIMEOUT_S:
                return True
            await asyncio.sleep(LOOK_S / 10)
        return False

    def _is_avoided(self, member: Member) -> bool:
        until, _ = self._avoided.get(member.process, (0.0, 0.0))
        return get_boottime() < until

    def _avoid(self, member: Member, reason: object) -> None:
        _, delay = self._avoided.get(member.process, (0.0, AVOIDED_S / 2))
        delay = min(delay * 2, AVOIDED_MAXIMUM_S)
        self._avoided[member.process] = (get_boottime() + delay, delay)
        log.event("hub_avoided", hub=member.process, seconds=delay, reason=reason)

    async def _stay(self, session: HubSession) -> None:
        """Return when the session is over or a better one may be had."""
        while session.is_alive:
            is_away = session.away_at is not None
            await session.wait_ended(
                AWAY_STEP_S / 2 if is_away else LOOK_S / 2 * self._scale
            )
            now = get_boottime()
            if now - self._asked_at >= AGES_INTERVAL_S * self._scale:
                self._asked_at = now
                requests, self._requests = dict(self._requests), Counter()
                session.ask_ages(requests)
            if self._is_stale(session, now) or self._is_better_near(session):
                return
            self._avoided.pop(session.member.process, None)
        log.event(
            "hub_lost",
            hub=session.member.process,
            leaving=session.is_leaving,
            silent=session.is_silent(),
        )
        self._avoid(session.member, "lost")

    def _is_stale(self, session: HubSession, now: float) -> bool:
        """Tell whether it is time to look for a hub that knows more."""
        order = [item.process for item in self._roster.get_hub_order()]
        rank = order.index(self._roster.own.process)
        limit = STALE_S + STALE_STEP_S * min(rank, STALE_CANDIDATES)
        limit *= self._scale
        is_old = session.get_age() >= limit
        if now < self._stale_at or not (is_old or self._is_away(session, rank, now)):
            return False
        self._stale_at = now + STALE_RETRY_S * self._scale
        return True

    def _is_away(self, session: HubSession, rank: int, now: float) -> bool:
        """Tell whether the store is away from the hub, and it is this entry's turn.

        The first entry after the hub looks at once, the others when it has found out.
        """
        if session.away_at is None:
            return False
        steps = max(min(rank, AWAY_CANDIDATES) - 2, 0)
        wait = 0.0 if rank == 1 else AWAY_FIRST_S + AWAY_STEP_S * steps
        return now - session.away_at >= wait

    def _is_better_near(self, session: HubSession) -> bool:
        """Tell whether an entry that goes before the hub may be back."""
        for member in self._roster.get_hub_order():
            if member.process == session.member.process:
                return False
            if not self._is_avoided(member):
                return True
        return False
