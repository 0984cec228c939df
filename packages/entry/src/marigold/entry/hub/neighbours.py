"""Links of a hub to the hubs of other cells, and requests that spill over to them."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Mapping

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
from marigold.entry.eligibility.rules import EligibilityRules
from marigold.entry.hub.dispatch import Place
from marigold.entry.hub.membership import CellMembership
from marigold.entry.hub.places import RemotePlace, make_place_ask
from marigold.entry.hub.spillover import NeighbourLoad, choose_neighbour
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.overflow import Overflow
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.scheduler import RequestScheduler

log = get_logger(__name__)

Dialer = Callable[[str], Awaitable[Channel]]

# Seconds before the hub of a cell is dialled again, and seconds of silence after which
# a link is dropped in favour of the next entry in the cell's hub order.
RETRY_S = 1.0
SILENCE_S = 1.5
# Seconds that the hub of another cell may take to answer.
ANSWER_TIMEOUT_S = 0.15
# Retry-After when the link to the cell is lost in which a request waits.
LOST_RETRY_S = 0.3
# Entries of a cell that are dialled, in hub order.
CANDIDATES = 3


class _Link:
    """Link to the hub of another cell, and the placements requested there."""

    __slots__ = ("channel", "neighbour", "pending")

    def __init__(self, channel: Channel, neighbour: NeighbourLoad) -> None:
        self.channel = channel
        self.neighbour = neighbour
        self.pending: dict[int, asyncio.Future[Place | PlaceRefusal]] = {}


class NeighbourCells(Overflow):
    """Keeps one link to each other cell while this process is a hub."""

    def __init__(
        self,
        membership: CellMembership,
        dial: Dialer,
        rng: random.Random,
        monotonic: Callable[[], float],
        regions: Mapping[str, str],
        rules: EligibilityRules,
    ) -> None:
        self._membership = membership
        self._dial = dial
        self._regions = regions
        self._rules = rules
        self._rng = rng
        self._monotonic = monotonic
        self._ask_ids = itertools.count(1)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._offers: set[asyncio.Task[None]] = set()
        self._links: dict[str, _Link] = {}
        self.scheduler: RequestScheduler | None = None
        # Handle other hubs' updates on suspects, and their answers about trials.
        self.on_suspect_update: Callable[[SuspectNews], None] = lambda update: None
        self.on_trial_answer: Callable[[TrialAnswer], None] = lambda answer: None

    def sync(self, is_active: bool) -> None:
        """Keep links to all other cells, or to none if inactive."""
        wanted: set[str] = set()
        if is_active:
            wanted = set(self._membership.cells.get_cells()) - {self._membership.cell}
        for cell in wanted - self._tasks.keys():
            self._tasks[cell] = asyncio.create_task(self._maintain(cell))
        for cell in self._tasks.keys() - wanted:
            self._tasks.pop(cell).cancel()

    def find_channel(self, cell: str) -> Channel | None:
        """Return the channel to the hub of another cell, or None without a link."""
        link = self._links.get(cell)
        return None if link is None else link.channel

    async def stop(self) -> None:
        """Close all links."""
        await cancel_tasks(*self._tasks.values(), *self._offers)

    async def _maintain(self, cell: str) -> None:
        attempt = 0
        while True:
            members = self._membership.cells.get_hub_order(cell)[:CANDIDATES]
            if members:
                member = members[attempt % len(members)]
                attempt = (
                    0 if await self._run_link(cell, member.address) else attempt + 1
                )
            await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    async def _run_link(self, cell: str, address: str) -> bool:
        """Serve one link until it ends; return whether it could be opened."""
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
            for fut in link.pending.values():
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
            self._handle(link, message)

    def _handle(self, link: _Link, message: object) -> None:
        match message:
            case CellLoad():
                link.neighbour.update(message.free, self._monotonic())
            case SuspectNews():
                self.on_suspect_update(message)
            case TrialAnswer():
                self.on_trial_answer(message)
            case PlaceGrant():
                place = RemotePlace(
                    message.ask,
                    message.runner,
                    message.started,
                    message.version,
                    link.channel.put,
                )
                fut = link.pending.pop(message.ask, None)
                if fut is None or fut.done():
                    place.release("unused", 0.0)
                else:
                    fut.set_result(place)
            case PlaceRefusal():
                fut = link.pending.pop(message.ask, None)
                if fut is not None and not fut.done():
                    fut.set_result(message)

    def offer(self, req: PlacementRequest, fut: asyncio.Future[Place]) -> bool:
        """Request a place in another cell; return False if none has a free place."""
        if req.is_forwarded:
            return False
        now = self._monotonic()
        neighbours = [
            link.neighbour
            for cell, link in self._links.items()
            if self._may_use(cell, req)
        ]
        found = choose_neighbour(neighbours, req.service, now, self._rng)
        if found is None:
            return False
        found.reserve(req.service)
        link = self._links[found.name]
        self._keep(asyncio.create_task(self._request_place(link, req, fut)))
        return True

    def forward(self, req: PlacementRequest, fut: asyncio.Future[Place]) -> bool:
        """Let a request wait in another cell; return False if none may serve it.

        The hub there refuses it if none of its runners may serve it either.
        """
        cells = [cell for cell in self._links if self._may_use(cell, req)]
        if not cells:
            return False
        now = self._monotonic()
        weights = [
            1.0 + self._links[cell].neighbour.get_free(req.service, now)
            for cell in cells
        ]
        cell = self._rng.choices(cells, [max(item, 0.1) for item in weights])[0]
        # Asked before the task starts, as the link may be lost until then.
        link = self._links[cell]
        ask_id = next(self._ask_ids)
        answer: asyncio.Future[Place | PlaceRefusal] = asyncio.Future()
        link.pending[ask_id] = answer
        ask = make_place_ask(ask_id, req, now, is_forwarded=True)
        link.channel.put(ask)
        log.routine("place_forwarded", request=req.id, cell=cell)
        self._keep(
            asyncio.create_task(self._wait_elsewhere(link, answer, ask_id, req, fut))
        )
        return True

    def _may_use(self, cell: str, req: PlacementRequest) -> bool:
        """Return whether some data centre of another cell may serve a request."""
        return any(
            region in req.regions if req.regions is not None else True
            for centre, region in self._regions.items()
            if self._membership.cells.get_cell(centre) == cell
            and centre not in self._rules.evacuated
        )

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._offers.add(task)
        task.add_done_callback(self._offers.discard)

    async def _wait_elsewhere(
        self,
        link: _Link,
        answer: asyncio.Future[Place | PlaceRefusal],
        ask_id: int,
        req: PlacementRequest,
        fut: asyncio.Future[Place],
    ) -> None:
        """Wait for a place that another hub grants or refuses, or for the caller."""
        try:
            await asyncio.wait({answer, fut}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if link.pending.pop(ask_id, None) is not None:
                link.channel.put(PlaceEnd(ask=ask_id, outcome="unused"))
        place = None if answer.cancelled() or not answer.done() else answer.result()
        if fut.done():
            if isinstance(place, RemotePlace):
                place.release("unused", 0.0)
        elif isinstance(place, RemotePlace):
            fut.set_result(place)
        elif isinstance(place, PlaceRefusal):
            retry_after = place.retry_after or LOST_RETRY_S
            fut.set_exception(NotServedError(place.reason, retry_after))
        elif not self.forward(req, fut):
            reason = f"the link to {link.neighbour.name} is lost"
            fut.set_exception(NotServedError(reason, LOST_RETRY_S))

    async def _request_place(
        self, link: _Link, req: PlacementRequest, fut: asyncio.Future[Place]
    ) -> None:
        ask_id = next(self._ask_ids)
        answer: asyncio.Future[Place | PlaceRefusal] = asyncio.Future()
        link.pending[ask_id] = answer
        link.channel.put(
            make_place_ask(ask_id, req, self._monotonic(), is_spilled=True)
        )
        place: Place | PlaceRefusal | None = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                place = await answer
        except (TimeoutError, asyncio.CancelledError):
            link.pending.pop(ask_id, None)
            link.channel.put(PlaceEnd(ask=ask_id, outcome="unused"))
        if fut.done():
            if isinstance(place, RemotePlace):
                place.release("unused", 0.0)
        elif isinstance(place, RemotePlace):
            log.routine("place_elsewhere", request=req.id, cell=link.neighbour.name)
            fut.set_result(place)
        else:
            link.neighbour.mark_full(req.service)
            if self.scheduler is not None:
                self.scheduler.requeue(req, fut)
