"""The hub in one entry process: what it holds and when it is active.

Every entry has one. It is active while this entry is its own hub, or others of its
cell are attached to it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.channels import Channel, LinkChannel, LocalChannel
from marigold.core.links.identity import Identity
from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Registry, WeightSource
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.replication import (
    CacheSubscriber,
    ConfigurationCodec,
    ItemCodec,
    PartCodec,
    Publisher,
)
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    Member,
    QuarantinedRequest,
    Runner,
    WantedVersion,
)
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.hub.budget import CellRetryBudget
from marigold.entry.hub.client import HubClient
from marigold.entry.hub.companions import CompanionLinks
from marigold.entry.hub.dispatch import Dispatcher
from marigold.entry.hub.manifests import ManifestCache
from marigold.entry.hub.membership import CellMembership
from marigold.entry.hub.neighbours import NeighbourCells
from marigold.entry.hub.service import HubService
from marigold.entry.membership.rendezvous import rank_hosts
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.minimum_versions import MinimumVersions
from marigold.entry.relay.placement import EarliestStartPlacement
from marigold.entry.relay.queueing import DeadlineAdmission, DeadlineAwareOrder
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.relay.views import RunnerView
from marigold.entry.suspicion.exchange import SuspectExchange
from marigold.entry.suspicion.persistence import QuarantineStore
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import TrialQueue

log = get_logger(__name__)

# Prompts that may wait at one engine: it reads them one after another, and each hub
# knows of all that its entries sent.
UNREAD_PROMPTS = 3


class Feeds:
    """What the store holds, followed by this process while `watch` says so."""

    def __init__(
        self,
        configurations: FeedFollower[Configuration],
        runners: FeedFollower[Runner],
        versions: FeedFollower[WantedVersion],
        members: FeedFollower[Member],
    ) -> None:
        self.configurations = configurations
        self.runners = runners
        self.versions = versions
        self.members = members
        self._tasks: list[asyncio.Task[None]] = []

    def get_kinds(self) -> list[tuple[str, FeedFollower[Any], PartCodec[Any]]]:
        """Return name, belief and codec of each kind."""
        return [
            ("configuration", self.configurations, ConfigurationCodec()),
            ("runners", self.runners, ItemCodec(Runner)),
            ("versions", self.versions, ItemCodec(WantedVersion, has_valid_from=True)),
            ("members", self.members, ItemCodec(Member)),
        ]

    @property
    def is_watching(self) -> bool:
        """Tell whether this process follows the store."""
        return bool(self._tasks)

    def watch(self, is_watching: bool) -> None:
        """Begin or end to follow the store."""
        if is_watching == self.is_watching:
            return
        log.event("store_watched" if is_watching else "store_unwatched")
        if is_watching:
            followers = [belief for _, belief, _ in self.get_kinds()]
            self._tasks = [asyncio.create_task(item.run()) for item in followers]
        else:
            for task in self._tasks:
                task.cancel()
            self._tasks = []

    async def stop(self) -> None:
        """End to follow the store."""
        await cancel_tasks(*self._tasks)


class Hub:
    """The parts of a hub and of its own entry's attachment to one."""

    def __init__(
        self,
        identity: Identity,
        ctx: LinkContext,
        roster: CellMembership,
        feeds: Feeds,
        regions: Mapping[str, str],
        companion_port: int,
        floors: MinimumVersions,
        get_engine: Callable[[str], EngineModel | None],
        get_services: Callable[[], Sequence[str]],
        get_origin: Callable[[], WeightSource | None],
        quarantine: Registry[QuarantinedRequest],
        bound: float,
        rng: random.Random,
        is_newcomer: bool,
    ) -> None:
        self._identity = identity
        self._ctx = ctx
        self._roster = roster
        self._feeds = feeds
        self._serving: set[asyncio.Task[None]] = set()
        self._is_active = False
        self.retry_budget = CellRetryBudget(lambda: roster.count)
        self._neighbours = NeighbourCells(roster, self._dial_entry, rng, time.monotonic)
        self._directory = RunnerDirectory(
            feeds.runners, regions, time.monotonic, get_boottime, roster.covers
        )
        self._desk = RequestScheduler(
            self._directory,
            EarliestStartPlacement(UNREAD_PROMPTS),
            DeadlineAwareOrder(),
            DeadlineAdmission(),
            floors,
            get_engine,
            rng,
            time.monotonic,
            get_boottime,
            self._neighbours,
        )
        self._neighbours.desk = self._desk
        self._manifests = ManifestCache(get_origin)
        # Apart from what the own entry holds against requests: the hub learns that as
        # it learns it from the others.
        book = SuspectTable()
        trials = TrialQueue(book, time.monotonic)
        suspects = SuspectExchange(book, trials, self._find_trial_owner)
        self._neighbours.take_news = partial(suspects.take_news, is_own=False)
        self._neighbours.take_answer = suspects.take_answer
        self._keeper = QuarantineStore(
            book, quarantine, partial(suspects.spread, is_own=False)
        )
        kinds = feeds.get_kinds()
        self._service = HubService(
            identity.process,
            lambda: roster.cell,
            roster.covers,
            [Publisher(name, belief, codec) for name, belief, codec in kinds],
            Dispatcher(self._desk, self._directory, regions, time.monotonic, rng),
            self._desk,
            self.retry_budget,
            self._manifests,
            get_services,
            time.monotonic,
            self._sync,
            self._is_away,
            suspects,
        )
        feeds.configurations.on_availability_change = self._service.announce
        self._companions = CompanionLinks(
            self._directory,
            roster.covers,
            self._dial_companion,
            companion_port,
            self._serve_companion,
            self._note_load,
            rng,
        )
        self.client = HubClient(
            roster,
            self._dial_entry,
            self._attach_own,
            self._watch,
            [CacheSubscriber(name, belief, codec) for name, belief, codec in kinds],
            feeds.configurations.get_store_age,
            bound,
            is_newcomer,
        )
        roster.subscribe(self._arrange)
        feeds.runners.subscribe(self._arrange)

    async def run(self) -> None:
        """Be attached, and serve who attaches, until cancelled."""
        tasks = [
            asyncio.create_task(item.run())
            for item in (self._desk, self._service, self.client)
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            await cancel_tasks(*tasks, *self._serving)
            await self._neighbours.stop()
            await self._companions.stop()
            await self._manifests.stop()
            await self._keeper.stop()
            await self._feeds.stop()

    def _find_trial_owner(self, fingerprint: str) -> Channel | None:
        """Return the hub that decides on a suspected request, None for this one."""
        owner = rank_hosts(fingerprint, self._roster.cells.get_cells())[0]
        return self._neighbours.find_channel(owner)

    def _is_away(self) -> bool:
        """Tell whether the store does not answer this process, or the hub it follows.

        One that it did not answer is no hub to go back to, though another tells it
        all; one that tries it is none before its answer.
        """
        configurations = self._feeds.configurations
        session = self.client.session
        if configurations.is_unavailable or session is None or self.client.is_own_hub:
            return configurations.is_unavailable
        if self._feeds.is_watching:
            return not configurations.has_answered
        return session.away_at is not None

    def announce_leaving(self) -> None:
        """Let attached processes look for another hub."""
        self._service.announce_leaving()

    async def serve(self, link: Link) -> None:
        """Serve a process that opened a link."""
        await self._service.serve(LinkChannel(link))

    def _arrange(self) -> None:
        """Follow a change of the cell or of its runners."""
        if self._is_active:
            self._directory.sync()
        self._sync()

    def _sync(self) -> None:
        """Hold links while any entry of the cell is attached."""
        is_active = self._service.count_attached() > 0
        if is_active != self._is_active:
            self._is_active = is_active
            log.event("hub_active" if is_active else "hub_idle", cell=self._roster.cell)
            if is_active:
                self._directory.sync()
        self._companions.sync(is_active)
        self._neighbours.sync(is_active)
        self._keeper.sync(is_active)

    def _watch(self, is_watching: bool) -> None:
        self._feeds.watch(is_watching)
        self._sync()

    def _attach_own(self) -> Channel:
        near, far = LocalChannel(self._identity), LocalChannel(self._identity)
        near.connect(far)
        task = asyncio.create_task(self._service.serve(far))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        return near

    async def _dial_entry(self, address: str) -> Channel:
        return LinkChannel(await open_link(address, self._ctx))

    async def _dial_companion(self, address: str) -> Channel:
        link = await open_link(address, self._ctx)
        if link.peer.role != "target":
            link.abort()
            raise LinkError(f"{address} is no companion")
        return _CompanionChannel(link, address, self._companions.take)

    async def _serve_companion(self, channel: Channel) -> None:
        await self._service.serve(channel)

    def _note_load(self, view: RunnerView) -> None:
        self._desk.start_waiting(view.runner.service, view)


class _CompanionChannel(LinkChannel):
    """A channel that hands reports of load to their taker."""

    def __init__(
        self, link: Link, address: str, take: Callable[[str, RunnerLoad], None]
    ) -> None:
        super().__init__(link)
        self._address = address
        self._take = take

    async def __aiter__(self) -> Any:
        """Yield the other messages until the link closes."""
        async for message in super().__aiter__():
            if isinstance(message, RunnerLoad):
                self._take(self._address, message)
            else:
                yield message
