"""What a hub does for the processes that are attached to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

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
from marigold.entry.hub.dispatch import Ask, Dispatcher
from marigold.entry.hub.manifests import ManifestCache
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.suspicion.exchange import SuspectExchange

log = get_logger(__name__)

# Seconds between messages to other cells on free places, while there is traffic.
LOAD_INTERVAL_S = 0.2


class _Session:
    """One connected process.

    It is attached once it follows a belief here; before that it only compares hubs.
    """

    __slots__ = ("asks", "channel", "is_attached", "is_neighbour", "put")

    def __init__(self, channel: Channel, is_neighbour: bool, is_own: bool) -> None:
        self.channel = channel
        self.is_neighbour = is_neighbour
        self.is_attached = is_own
        self.asks: dict[int, Ask] = {}
        # One object for each session, by which publishers know it.
        self.put: Callable[[BeliefChange], None] = channel.put


class HubService:
    """Serves attached processes: beliefs and their ages, places, repeats.

    `is_own` tells whether a data centre belongs to this cell; hubs of other cells
    get free places only. `on_change` is called when processes of the cell come or go.
    `is_away` tells whether the store is out of reach of what this process goes by.
    """

    def __init__(
        self,
        process: str,
        cell: Callable[[], str],
        is_own: Callable[[str], bool],
        publishers: Sequence[Publisher[Any]],
        dispatcher: Dispatcher,
        desk: RequestScheduler,
        budget: CellRetryBudget,
        manifests: ManifestCache,
        get_services: Callable[[], Sequence[str]],
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
        is_away: Callable[[], bool],
        suspects: SuspectExchange,
    ) -> None:
        self._suspects = suspects
        self._process = process
        self._cell = cell
        self._is_own = is_own
        self._publishers = {item.kind: item for item in publishers}
        self._dispatcher = dispatcher
        self._desk = desk
        self._budget = budget
        self._manifests = manifests
        self._get_services = get_services
        self._monotonic = monotonic
        self._on_change = on_change
        self._is_away = is_away
        self._sessions: set[_Session] = set()
        self._has_neighbours = asyncio.Event()
        self.is_leaving = False

    def count_attached(self) -> int:
        """Return how many entries of the cell are attached."""
        return sum(
            item.is_attached and item.channel.peer.role == "entry"
            for item in self._sessions
        )

    async def serve(self, channel: Channel) -> None:
        """Serve a process until its channel closes."""
        peer = channel.peer
        is_neighbour = peer.role == "entry" and not self._is_own(peer.data_centre)
        session = _Session(channel, is_neighbour, peer.process == self._process)
        self._sessions.add(session)
        if is_neighbour:
            self._has_neighbours.set()
            self._suspects.join(channel, is_neighbour=True)
        if session.is_attached:
            self._attach(session)
        try:
            async for message in channel:
                self._take(session, message)
        finally:
            self._drop(session)

    def _attach(self, session: _Session) -> None:
        session.is_attached = True
        peer = session.channel.peer
        if peer.role == "entry":
            self._budget.attach(peer.process, self._monotonic())
            self._suspects.join(session.channel, is_neighbour=False)
        log.event("process_attached", peer=peer.process, role=peer.role)
        self._on_change()

    def _drop(self, session: _Session) -> None:
        peer = session.channel.peer
        self._sessions.discard(session)
        for publisher in self._publishers.values():
            publisher.unfollow(session.put)
        self._dispatcher.drop(session.asks)
        self._suspects.leave(session.channel)
        if not session.is_attached:
            return
        if all(item.channel.peer.process != peer.process for item in self._sessions):
            self._budget.detach(peer.process)
        log.event("process_detached", peer=peer.process, role=peer.role)
        self._on_change()

    def _take(self, session: _Session, message: Any) -> None:
        channel = session.channel
        match message:
            case FollowBelief():
                if not session.is_attached and not session.is_neighbour:
                    self._attach(session)
                publisher = self._publishers.get(message.kind)
                if publisher is not None:
                    publisher.follow(session.put, message)
            case AskAges():
                self._budget.count_requests(message.requests, self._monotonic())
                channel.put(self._make_ages(message.sent))
            case ManifestAsk():
                self._manifests.ask(channel, message)
            case RepeatAsk():
                allowed = self._budget.take(message.service, self._monotonic())
                channel.put(RepeatAnswer(ask=message.ask, allowed=allowed))
            case SuspectNews() | TrialAsk() | TrialEnd():
                self._suspects.take(channel, message)
            case _:
                self._dispatcher.take(channel, session.asks, message)

    def _make_ages(self, sent: float) -> Ages:
        ages = [item.get_age() for item in self._publishers.values()]
        found = [age for age in ages if age is not None]
        return Ages(
            sent=sent, ages=found, leaving=self.is_leaving, away=self._is_away()
        )

    def announce_leaving(self) -> None:
        """Tell attached processes that this hub is about to stop."""
        self.is_leaving = True
        self.announce()

    def announce(self) -> None:
        """Tell attached processes what they did not ask for: a loss, or a stop."""
        for session in self._sessions:
            session.channel.put(self._make_ages(0.0))

    async def run(self) -> None:
        """Tell other cells what is free, until cancelled."""
        while True:
            await asyncio.sleep(LOAD_INTERVAL_S)
            neighbours = [item for item in self._sessions if item.is_neighbour]
            if not neighbours:
                self._has_neighbours.clear()
                await self._has_neighbours.wait()
                continue
            if not self.count_attached():
                # Another entry of this cell is its hub.
                for session in neighbours:
                    session.channel.close()
                continue
            free = {
                name: self._desk.count_free_slots(name) for name in self._get_services()
            }
            for session in neighbours:
                session.channel.put(CellLoad(cell=self._cell(), free=free))
