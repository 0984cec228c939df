"""Links of a hub to the hubs of other cells, and requests that go there."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

from marigold.core.exceptions import LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    CellLoad,
    PlaceEnd,
    PlaceGrant,
    PlaceRefusal,
    SuspectNews,
    TrialAnswer,
)
from marigold.entry.hub.dispatch import Place
from marigold.entry.hub.membership import CellMembership
from marigold.entry.hub.places import RemotePlace, make_place_ask
from marigold.entry.hub.spillover import NeighbourLoad, choose_neighbour
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.scheduler import Overflow, RequestScheduler

log = get_logger(__name__)

Dialer = Callable[[str], Awaitable[Channel]]

# Seconds before the hub of a cell is dialled again, and after which a link that told
# nothing is given up for the next entry in the cell's order.
RETRY_S = 1.0
SILENCE_S = 1.5
# Seconds that another cell may take to answer.
ANSWER_TIMEOUT_S = 0.15
# Entries of a cell that are dialled, its first hub first.
CANDIDATES = 3


class _Link:
    """The link to one cell and what was asked there."""

    __slots__ = ("asks", "channel", "neighbour")

    def __init__(self, channel: Channel, neighbour: NeighbourLoad) -> None:
        self.channel = channel
        self.neighbour = neighbour
        self.asks: dict[int, asyncio.Future[Place | None]] = {}


class NeighbourCells(Overflow):
    """One link for each other cell, while this process is a hub."""

    def __init__(
        self,
        roster: CellMembership,
        dial: Dialer,
        rng: random.Random,
        monotonic: Callable[[], float],
    ) -> None:
        self._roster = roster
        self._dial = dial
        self._rng = rng
        self._monotonic = monotonic
        self._numbers = itertools.count(1)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._trials: set[asyncio.Task[None]] = set()
        self._links: dict[str, _Link] = {}
        self.desk: RequestScheduler | None = None
        # What other hubs tell of suspected requests, and answer on their trials.
        self.take_news: Callable[[SuspectNews], None] = lambda news: None
        self.take_answer: Callable[[TrialAnswer], None] = lambda answer: None

    def sync(self, is_active: bool) -> None:
        """Keep links to the other cells, or to none."""
        wanted: set[str] = set()
        if is_active:
            wanted = set(self._roster.cells.get_cells()) - {self._roster.cell}
        for cell in wanted - self._tasks.keys():
            self._tasks[cell] = asyncio.create_task(self._keep(cell))
        for cell in self._tasks.keys() - wanted:
            self._tasks.pop(cell).cancel()

    def find_channel(self, cell: str) -> Channel | None:
        """Return the channel to the hub of another cell, None where it is lost."""
        link = self._links.get(cell)
        return None if link is None else link.channel

    async def stop(self) -> None:
        """Close all links."""
        await cancel_tasks(*self._tasks.values(), *self._trials)

    async def _keep(self, cell: str) -> None:
        turn = 0
        while True:
            members = self._roster.cells.get_hub_order(cell)[:CANDIDATES]
            if members:
                member = members[turn % len(members)]
                turn = 0 if await self._hold(cell, member.address) else turn + 1
            await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    async def _hold(self, cell: str, address: str) -> bool:
        """Hold a link until it ends; tell whether there was one."""
        try:
            channel = await self._dial(address)
        except LinkError as exc:
            log.routine("neighbour_unreachable", cell=cell, reason=exc)
            return False
        link = self._links[cell] = _Link(channel, NeighbourLoad(cell))
        log.event("neighbour_linked", cell=cell, hub=channel.peer.process)
        try:
            await self._listen(link)
        finally:
            channel.close()
            if self._links.get(cell) is link:
                del self._links[cell]
            for fut in link.asks.values():
                fut.cancel()
            log.event("neighbour_lost", cell=cell, hub=channel.peer.process)
        return True

    async def _listen(self, link: _Link) -> None:
        messages = aiter(link.channel)
        while True:
            try:
                async with asyncio.timeout(SILENCE_S):
                    message = await anext(messages)
            except (TimeoutError, StopAsyncIteration):
                return
            self._take(link, message)

    def _take(self, link: _Link, message: object) -> None:
        match message:
            case CellLoad():
                link.neighbour.update(message.free, self._monotonic())
            case SuspectNews():
                self.take_news(message)
            case TrialAnswer():
                self.take_answer(message)
            case PlaceGrant():
                place = RemotePlace(
                    message.ask,
                    message.runner,
                    message.started,
                    message.version,
                    link.channel.put,
                )
                fut = link.asks.pop(message.ask, None)
                if fut is None or fut.done():
                    place.end("unused", 0.0)
                else:
                    fut.set_result(place)
            case PlaceRefusal():
                fut = link.asks.pop(message.ask, None)
                if fut is not None and not fut.done():
                    fut.set_result(None)

    def offer(self, demand: PlacementRequest, fut: asyncio.Future[Place]) -> bool:
        """Tell whether another cell is asked for a place."""
        now = self._monotonic()
        neighbours = [link.neighbour for link in self._links.values()]
        found = choose_neighbour(neighbours, demand.service, now, self._rng)
        if found is None:
            return False
        found.reserve(demand.service)
        task = asyncio.create_task(self._try(self._links[found.name], demand, fut))
        self._trials.add(task)
        task.add_done_callback(self._trials.discard)
        return True

    async def _try(
        self, link: _Link, demand: PlacementRequest, fut: asyncio.Future[Place]
    ) -> None:
        number = next(self._numbers)
        answer: asyncio.Future[Place | None] = asyncio.Future()
        link.asks[number] = answer
        link.channel.put(
            make_place_ask(number, demand, self._monotonic(), is_spilled=True)
        )
        place: Place | None = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                place = await answer
        except (TimeoutError, asyncio.CancelledError):
            link.asks.pop(number, None)
            link.channel.put(PlaceEnd(ask=number, outcome="unused"))
        if fut.done():
            if isinstance(place, RemotePlace):
                place.end("unused", 0.0)
        elif place is not None:
            log.routine("place_elsewhere", request=demand.id, cell=link.neighbour.name)
            fut.set_result(place)
        else:
            link.neighbour.mark_full(demand.service)
            if self.desk is not None:
                self.desk.requeue(demand, fut)
