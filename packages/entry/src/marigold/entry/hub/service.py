"""Service of a hub for its attached processes and the hubs of other cells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from marigold.core.boottime import get_boottime
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.platform.replication import Publisher
from marigold.core.schema.generated.messages import (
    Ages,
    AskAges,
    BeliefChange,
    CellLoad,
    FollowBelief,
    ManifestAsk,
    RepeatAnswer,
    RepeatAsk,
    SuspectNews,
    TrialAsk,
    TrialEnd,
)
from marigold.entry.hub.budget import CellRetryBudget
from marigold.entry.hub.dispatch import PendingPlacement, PlacementDispatcher
from marigold.entry.hub.manifests import ManifestProxy
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.suspicion.exchange import SuspectExchange

log = get_logger(__name__)

# Seconds between reports of free places to the hubs of other cells that are linked.
LOAD_INTERVAL_S = 0.2


class _Session:
    """Session of one connected process.

    A process is attached once it follows a kind of state. Before that, it only
    compares this hub with others.
    """

    __slots__ = ("channel", "is_attached", "is_neighbour", "placements", "put")

    def __init__(
        self, channel: Channel, is_neighbour: bool, is_own_entry: bool
    ) -> None:
        self.channel = channel
        self.is_neighbour = is_neighbour
        self.is_attached = is_own_entry
        self.placements: dict[int, PendingPlacement] = {}
        # Publishers identify a session by this object, so it must stay the same.
        self.put: Callable[[BeliefChange], None] = channel.put


class HubService:
    """Serves attached processes: state and its ages, places, retries and trials.

    `cell` returns the name of the cell, and `covers` whether a data centre belongs to
    it; hubs of other cells may only use free places and exchange suspects. `on_change`
    is called when a process attaches or detaches. `is_store_lost` returns whether the
    store is unreachable for the source of this process's state.
    """

    def __init__(
        self,
        process: str,
        cell: Callable[[], str],
        covers: Callable[[str], bool],
        publishers: Sequence[Publisher[Any]],
        dispatcher: PlacementDispatcher,
        scheduler: RequestScheduler,
        budget: CellRetryBudget,
        manifests: ManifestProxy,
        get_services: Callable[[], Sequence[str]],
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
        is_store_lost: Callable[[], bool],
        suspects: SuspectExchange,
    ) -> None:
        self._suspects = suspects
        self._process = process
        self._cell = cell
        self._covers = covers
        self._publishers = {item.kind: item for item in publishers}
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._budget = budget
        self._manifests = manifests
        self._get_services = get_services
        self._monotonic = monotonic
        self._on_change = on_change
        self._is_store_lost = is_store_lost
        self._sessions: set[_Session] = set()
        self._has_neighbours = asyncio.Event()
        self.is_leaving = False

    def count_attached(self) -> int:
        """Return how many entries of the cell are attached."""
        # One that has opened a new link may still have an old one.
        attached = {
            item.channel.peer.process
            for item in self._sessions
            if item.is_attached and item.channel.peer.role == "entry"
        }
        return len(attached)

    async def serve(self, channel: Channel) -> None:
        """Serve a process until its channel closes."""
        peer = channel.peer
        is_neighbour = peer.role == "entry" and not self._covers(peer.data_centre)
        session = _Session(channel, is_neighbour, peer.process == self._process)
        self._sessions.add(session)
        if is_neighbour:
            self._has_neighbours.set()
            self._suspects.join(channel, is_neighbour=True)
        if session.is_attached:
            self._attach(session)
        try:
            async for message in channel:
                self._handle(session, message)
        finally:
            self._remove(session)

    def _attach(self, session: _Session) -> None:
        session.is_attached = True
        peer = session.channel.peer
        if peer.role == "entry":
            self._budget.attach(peer.process, self._monotonic())
            self._suspects.join(session.channel, is_neighbour=False)
        log.event("process_attached", peer=peer.process, role=peer.role)
        self._on_change()

    def _remove(self, session: _Session) -> None:
        peer = session.channel.peer
        self._sessions.discard(session)
        for publisher in self._publishers.values():
            publisher.unfollow(session.put)
        self._dispatcher.release_all(session.placements)
        self._suspects.leave(session.channel)
        if not session.is_attached:
            return
        if all(item.channel.peer.process != peer.process for item in self._sessions):
            self._budget.detach(peer.process)
        log.event("process_detached", peer=peer.process, role=peer.role)
        self._on_change()

    def _handle(self, session: _Session, message: Any) -> None:
        channel = session.channel
        match message:
            case FollowBelief():
                if not session.is_attached and not session.is_neighbour:
                    self._attach(session)
                publisher = self._publishers.get(message.kind)
                if publisher is not None:
                    publisher.follow(session.put, message)
            case AskAges():
                self._budget.record_requests(message.requests, self._monotonic())
                channel.put(self._make_ages(message.sent))
            case ManifestAsk():
                self._manifests.handle_request(channel, message)
            case RepeatAsk():
                allowed = self._budget.try_acquire(message.service, self._monotonic())
                channel.put(RepeatAnswer(ask=message.ask, allowed=allowed))
            case SuspectNews() | TrialAsk() | TrialEnd():
                self._suspects.handle(channel, message)
            case _:
                self._dispatcher.handle(channel, session.placements, message)

    def _make_ages(self, sent: float) -> Ages:
        """Return the ages that a process requested, none if it did not."""
        ages = [item.get_age() for item in self._publishers.values() if sent]
        found = [age for age in ages if age is not None]
        return Ages(
            sent=sent,
            ages=found,
            leaving=self.is_leaving,
            away=self._is_store_lost(),
            at=get_boottime(),
        )

    def announce_leaving(self) -> None:
        """Notify attached processes that this hub is about to stop."""
        self.is_leaving = True
        self.announce()

    def announce(self) -> None:
        """Notify attached processes unasked, of a lost store or of a stop."""
        for session in self._sessions:
            session.channel.put(self._make_ages(0.0))

    async def run(self) -> None:
        """Report free places to other cells, until cancelled."""
        while True:
            await asyncio.sleep(LOAD_INTERVAL_S)
            neighbours = [item for item in self._sessions if item.is_neighbour]
            if not neighbours:
                self._has_neighbours.clear()
                await self._has_neighbours.wait()
                continue
            if not self.count_attached():
                # Another entry is the hub of this cell: make the other hubs dial it.
                for session in neighbours:
                    session.channel.close()
                continue
            free = {
                name: self._scheduler.count_free_slots(name)
                for name in self._get_services()
            }
            for session in neighbours:
                session.channel.put(CellLoad(cell=self._cell(), free=free))
