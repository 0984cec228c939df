"""Hub of an entry process: assembles its parts and activates them when needed.

Every entry process has a hub. It is active while entries of its cell are attached to
it, this one or others.
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
from marigold.core.metrics import Counter
from marigold.core.platform.adapter import Registry, WeightSource
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.part_codecs import ConfigurationCodec, ItemCodec, PartCodec
from marigold.core.platform.replication import CacheSubscriber, Publisher
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    Evacuation,
    Member,
    QuarantinedRequest,
    Runner,
    WantedVersion,
)
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.balancing.sizes import SizedPlacement
from marigold.entry.eligibility.rules import EligibilityRules
from marigold.entry.hub.budget import CellRetryBudget
from marigold.entry.hub.client import HubClient
from marigold.entry.hub.companions import CompanionLinks
from marigold.entry.hub.dispatch import PlacementDispatcher
from marigold.entry.hub.manifests import ManifestProxy
from marigold.entry.hub.membership import CellMembership
from marigold.entry.hub.neighbours import NeighbourCells
from marigold.entry.hub.service import HubService
from marigold.entry.membership.rendezvous import rank_hosts
from marigold.entry.rates.runner_rates import RunnerRates
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.minimum_versions import MinimumVersions
from marigold.entry.relay.queueing import DeadlineAdmission, DeadlineAwareOrder
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.relay.views import RunnerView
from marigold.entry.suspicion.exchange import SuspectExchange
from marigold.entry.suspicion.persistence import QuarantineStore
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import TrialQueue

log = get_logger(__name__)

# Limit on the requests that wait for prefill at one engine, which prefills them one
# after another. The hub knows of all requests that its entries sent.
MAXIMUM_PENDING_PREFILLS = 3


class Feeds:
    """State of the store; this process watches the store itself only while it must.

    `evacuations` is None in a deployment without them.
    """

    def __init__(
        self,
        configurations: FeedFollower[Configuration],
        runners: FeedFollower[Runner],
        versions: FeedFollower[WantedVersion],
        members: FeedFollower[Member],
        evacuations: FeedFollower[Evacuation] | None = None,
    ) -> None:
        self.evacuations = evacuations
        self.configurations = configurations
        self.runners = runners
        self.versions = versions
        self.members = members
        self._tasks: list[asyncio.Task[None]] = []

    def get_kinds(self) -> list[tuple[str, FeedFollower[Any], PartCodec[Any]]]:
        """Return the name, the follower and the codec of each kind of state."""
        kinds: list[tuple[str, FeedFollower[Any], PartCodec[Any]]] = [
            ("configuration", self.configurations, ConfigurationCodec()),
            ("runners", self.runners, ItemCodec(Runner)),
            ("versions", self.versions, ItemCodec(WantedVersion, has_valid_from=True)),
            ("members", self.members, ItemCodec(Member)),
        ]
        if self.evacuations is not None:
            kinds.append(("evacuations", self.evacuations, ItemCodec(Evacuation)))
        return kinds

    @property
    def is_watching(self) -> bool:
        """Return whether this process watches the store."""
        return bool(self._tasks)

    def set_watching(self, is_watching: bool) -> None:
        """Start or stop watching the store."""
        if is_watching == self.is_watching:
            return
        log.event("store_watched" if is_watching else "store_unwatched")
        if is_watching:
            followers = [follower for _, follower, _ in self.get_kinds()]
            self._tasks = [asyncio.create_task(item.run()) for item in followers]
        else:
            for task in self._tasks:
                task.cancel()
            self._tasks = []

    async def stop(self) -> None:
        """Stop watching the store."""
        await cancel_tasks(*self._tasks)


class Hub:
    """Hub of this process, and the client that attaches this entry to a hub."""

    def __init__(
        self,
        identity: Identity,
        ctx: LinkContext,
        membership: CellMembership,
        feeds: Feeds,
        regions: Mapping[str, str],
        companion_port: int,
        minimum_versions: MinimumVersions,
        get_engine: Callable[[str], EngineModel | None],
        get_services: Callable[[], Sequence[str]],
        get_origin: Callable[[], WeightSource | None],
        quarantine: Registry[QuarantinedRequest],
        revocation: float,
        rng: random.Random,
        is_joining: bool,
        rules: EligibilityRules,
        get_cold: Callable[[str], tuple[float, float]],
        deferred: Counter,
        sized: Counter,
        preferred: Counter,
        manifests_requested: Counter,
    ) -> None:
        self._identity = identity
        self._ctx = ctx
        self._membership = membership
        self._feeds = feeds
        self._serving: set[asyncio.Task[None]] = set()
        self._is_active = False
        self.retry_budget = CellRetryBudget(lambda: membership.count)
        self._neighbours = NeighbourCells(
            membership, self._dial_entry, rng, time.monotonic, regions, rules
        )
        self._directory = RunnerDirectory(
            feeds.runners,
            regions,
            time.monotonic,
            get_boottime,
            membership.covers,
            rules,
        )
        self.rates = RunnerRates(
            lambda view: self._get_attached_share(),
            get_cold,
            time.monotonic,
            rng,
            deferred,
        )
        self._directory.on_listed = self.rates.record_listing
        self._scheduler = RequestScheduler(
            self._directory,
            SizedPlacement(MAXIMUM_PENDING_PREFILLS, sized),
            DeadlineAwareOrder(),
            DeadlineAdmission(),
            minimum_versions,
            get_engine,
            rng,
            time.monotonic,
            get_boottime,
            self._neighbours,
            rules,
            self.rates,
            preferred,
        )
        self._neighbours.scheduler = self._scheduler
        self._manifests = ManifestProxy(
            get_origin,
            partial(_find_engine, get_engine, get_services),
            manifests_requested,
        )
        # The hub does not share the table of its own entry, but receives the updates of
        # that entry in the same way as those of others.
        table = SuspectTable()
        trials = TrialQueue(table, time.monotonic)
        suspects = SuspectExchange(table, trials, self._find_trial_owner)
        self._neighbours.on_suspect_update = partial(
            suspects.handle_update, is_own_cell=False
        )
        self._neighbours.on_trial_answer = suspects.handle_answer
        self._quarantine = QuarantineStore(
            table, quarantine, partial(suspects.publish, is_own_cell=False)
        )
        feeds.members.on_restore = self._quarantine.mark_restored
        kinds = feeds.get_kinds()
        self._service = HubService(
            identity.process,
            lambda: membership.cell,
            membership.covers,
            [Publisher(name, cache, codec) for name, cache, codec in kinds],
            PlacementDispatcher(
                self._scheduler,
                self._directory,
                regions,
                time.monotonic,
                rng,
                self.rates,
            ),
            self._scheduler,
            self.retry_budget,
            self._manifests,
            get_services,
            time.monotonic,
            self._update_links,
            self._is_store_lost,
            suspects,
        )
        feeds.configurations.on_availability_change = self._service.announce
        self._companions = CompanionLinks(
            self._directory,
            membership.covers,
            self._dial_companion,
            companion_port,
            self._serve_companion,
            self._on_load,
            rng,
        )
        self.client = HubClient(
            membership,
            self._dial_entry,
            self._open_local,
            self._set_watching,
            [CacheSubscriber(name, cache, codec) for name, cache, codec in kinds],
            feeds.configurations.get_store_age,
            revocation,
            is_joining,
        )
        membership.subscribe(self._on_change)
        feeds.runners.subscribe(self._on_change)

    async def run(self) -> None:
        """Stay attached to a hub and serve attached processes, until cancelled."""
        tasks = [
            asyncio.create_task(item.run())
            for item in (self._scheduler, self._service, self.client)
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            await cancel_tasks(*tasks, *self._serving)
            await self._neighbours.stop()
            await self._companions.stop()
            await self._manifests.stop()
            await self._quarantine.stop()
            await self._feeds.stop()

    def _get_attached_share(self) -> float:
        """Return the fraction of the entries of the cell that are attached here."""
        attached = self._service.count_attached()
        return min(attached / max(len(self._membership.get_hub_order()), 1), 1.0)

    def _find_trial_owner(self, fingerprint: str) -> Channel | None:
        """Return the channel to the hub that decides on a suspect; None if this one."""
        owner = rank_hosts(fingerprint, self._membership.cells.get_cells())[0]
        return self._neighbours.find_channel(owner)

    def _is_store_lost(self) -> bool:
        """Return whether the store is unreachable for this process or its hub.

        Entries do not return to a hub that the store did not answer, even if it gets
        fresh state from another one. A process that has just started to watch the
        store counts as cut off until the store's first answer.
        """
        configurations = self._feeds.configurations
        session = self.client.session
        if configurations.is_unavailable or session is None or self.client.is_own_hub:
            return configurations.is_unavailable
        if self._feeds.is_watching:
            return not configurations.has_answered
        return session.store_lost_at is not None

    def announce_leaving(self) -> None:
        """Make attached processes search for another hub."""
        self._service.announce_leaving()

    def announce_cold(self) -> None:
        """Limit listed runners that are cold by a configuration that came later."""
        self._directory.announce_cold()

    async def serve(self, link: Link) -> None:
        """Serve a process that has opened a link."""
        await self._service.serve(LinkChannel(link))

    def _on_change(self) -> None:
        """Apply a change of the cell or of its runners."""
        if self._is_active:
            self._directory.sync()
        self._update_links()

    def _update_links(self) -> None:
        """Keep links to companions and other hubs while an entry is attached."""
        is_active = self._service.count_attached() > 0
        if is_active != self._is_active:
            self._is_active = is_active
            log.event(
                "hub_active" if is_active else "hub_idle", cell=self._membership.cell
            )
            if is_active:
                self._directory.sync()
        self._companions.sync(is_active)
        self._neighbours.sync(is_active)
        self._quarantine.sync(is_active)

    def _set_watching(self, is_watching: bool) -> None:
        self._feeds.set_watching(is_watching)
        self._update_links()

    def _open_local(self) -> Channel:
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
            raise LinkError(f"{address} is not a companion")
        return _CompanionChannel(link, address, self._companions.handle_load)

    async def _serve_companion(self, channel: Channel) -> None:
        await self._service.serve(channel)

    def _on_load(self, view: RunnerView) -> None:
        self._scheduler.start_waiting(view.runner.service, view)


def _find_engine(
    get_engine: Callable[[str], EngineModel | None],
    get_services: Callable[[], Sequence[str]],
    model: str,
) -> EngineModel | None:
    """Return the cost model of the first service that has a model, or None."""
    engines = (get_engine(name) for name in get_services())
    return next((item for item in engines if item and model in item.models), None)


class _CompanionChannel(LinkChannel):
    """Channel to a companion that passes load reports to a handler."""

    def __init__(
        self, link: Link, address: str, on_load: Callable[[str, RunnerLoad], None]
    ) -> None:
        super().__init__(link)
        self._address = address
        self._on_load = on_load

    async def __aiter__(self) -> Any:
        """Yield all other messages until the link closes."""
        async for message in super().__aiter__():
            if isinstance(message, RunnerLoad):
                self._on_load(self._address, message)
            else:
                yield message
