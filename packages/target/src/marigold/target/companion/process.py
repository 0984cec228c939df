"""The companion process, which runs beside a platform's runner."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import AsyncExitStack

from aiohttp import ClientSession, web

from marigold.core.boottime import get_boottime
from marigold.core.clock import HybridClock
from marigold.core.connections import make_connector, split_address
from marigold.core.lifecycle import Process, cancel_tasks, wait_for_stop
from marigold.core.links.channels import Channel, LinkChannel
from marigold.core.links.identity import Identity, make_incarnation
from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link, serve_links
from marigold.core.logging import configure_bounded_logging, get_logger
from marigold.core.platform.adapter import (
    Adapter,
    RunnerDriver,
    WeightSource,
    load_adapter,
)
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.followers import VersionedFollower
from marigold.core.platform.part_codecs import SERVICE, ConfigurationCodec, ItemCodec
from marigold.core.platform.replication import CacheSubscriber
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    Runner,
    WantedVersion,
    WeightOrigin,
)
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.settings import (
    Address,
    CompanionSettings,
    Links,
    WeightSettings,
)
from marigold.core.serving import serve_paths
from marigold.target.companion.cache_updater import CacheUpdater
from marigold.target.companion.copies import VersionCopies
from marigold.target.companion.fetch_planner import FetchPlanner
from marigold.target.companion.loads import LoadReporter
from marigold.target.companion.manifests import HubManifestSource
from marigold.target.companion.metrics import CompanionMetrics
from marigold.target.companion.peer_directory import PeerDirectory, get_held_version
from marigold.target.companion.reconciler import WeightReconciler
from marigold.target.companion.service_configuration import ServiceConfiguration
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.staging_calls import (
    CALL_TIMEOUT_S,
    LOST_CALL_S,
    StagingCalls,
)
from marigold.target.companion.switch_stagger import SwitchStagger
from marigold.target.companion.switching import Switching
from marigold.target.companion.version_schedule import VersionSchedule
from marigold.target.switches.timing import LOAD_S, SwitchTiming
from marigold.target.weights.exchange import WeightExchange
from marigold.target.weights.origin_fallback import StaggeredFallback
from marigold.target.weights.pacing import RatePacer
from marigold.target.weights.uploads import UploadBudget

log = get_logger(__name__)

KEEPALIVE_S = 30.0
# The same for the origin of weights: a connection serves chunk after chunk. The origin
# accepts few connections from all hosts together, and keeps those of hosts that lost
# their power.
ORIGIN_KEEPALIVE_S = 0.5
BYTES_PER_MEGABIT = 125_000
# Fraction of the host's link used for uploads; the runner's answers need the rest.
UPLOAD_FRACTION = 0.93
# Fraction of a link that carries payload; packet headers take the rest.
PAYLOAD_FRACTION = 0.95
LINKS = Links(heartbeat_interval=1.0, silence_timeout=3.0)
# Timeout of one chunk, which includes the time in a busy peer's queue. A chunk that
# times out wastes the bandwidth spent on it.
CHUNK_TIMEOUT_S = 4.0
# Seconds without any chunk after which more are requested from the origin.
FALLBACK_DELAY_S = 1.0
# Seconds between the first and the second host of a region that may ask the origin for
# a chunk planned for another host.
FALLBACK_STEP_S = 1.0
# Maximum seconds before a failed source is asked again; an origin that recovers should
# be used at once.
SOURCE_RETRY_S = 0.3
PARALLEL_CHUNKS = 6
# Fraction of the host's link used for fetches; callers' prompts need the rest and would
# queue behind chunks that arrive faster than the link carries them.
DOWNLOAD_FRACTION = 0.85
# Bytes of a chunk that are sent at once; they delay live answers by 18 ms on a link of
# 3.65 Mbit/s.
PART_BYTES = 8 * 1024
# Copies that this host may send in total, and initially of each chunk. Regions have few
# hosts, and one of them may have to serve another region too.
UPLOAD_COPIES = 4.0
CHUNK_SENDS = 32
BUFFER_BYTES = 8 * 1024 * 1024
# Seconds that one watch of the configuration waits; a companion reads only the cost
# model and the origin from it.
CONFIGURATION_WAIT_S = 20.0
# The same for the list of runners, which names the peers. Its changes are batched, as a
# link to a new peer is not urgent.
RUNNER_WAIT_S = 4.0
RUNNER_BATCH_DELAY_S = 0.5


class CompanionProcess(Process):
    """The process that keeps one runner's weights up to date."""

    def __init__(self, cfg: CompanionSettings) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg.seed or None)
        self._clock = HybridClock()
        self._metrics = CompanionMetrics()
        self._calls = StagingCalls(settled_at=get_boottime() + LOST_CALL_S)
        self._exchange: WeightExchange | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Update the runner's weights until `stop` is set."""
        cfg = self._cfg
        output = configure_bounded_logging(
            cfg.process, cfg.data_centre, self._clock, cfg.log_lines
        )
        log.event("companion_starts", runner=cfg.runner, service=cfg.service)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, log.event, "reload_ignored"
        )
        adapter = load_adapter(cfg.platform)
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                ClientSession(connector=make_connector(KEEPALIVE_S))
            )
            origin = await stack.enter_async_context(
                ClientSession(connector=make_connector(ORIGIN_KEEPALIVE_S))
            )
            updater = self._make_updater(adapter, session)
            following = asyncio.create_task(updater.run())
            metrics = {"/metrics": self._get_metrics}
            await stack.enter_async_context(serve_paths(cfg.metrics, metrics))
            main = asyncio.create_task(
                self._run_updates(adapter, session, origin, updater)
            )
            stopping = asyncio.create_task(stop.wait())
            try:
                await wait_for_stop(stopping, main, following)
            finally:
                await cancel_tasks(stopping, main, following)
        log.event("companion_stopped")
        output.close()

    def _make_updater(self, adapter: Adapter, session: ClientSession) -> CacheUpdater:
        access = self._cfg.platform
        timeout = access.call_timeout
        self._configurations: FeedFollower[Configuration] = VersionedFollower(
            adapter.make_configuration_feed(session, is_stale=True),
            CONFIGURATION_WAIT_S,
            timeout,
            self._rng,
        )
        self._runners: FeedFollower[Runner] = FeedFollower(
            adapter.make_runner_feed(session, is_stale=True),
            RUNNER_WAIT_S,
            timeout,
            self._rng,
            batch_delay=RUNNER_BATCH_DELAY_S,
        )
        self._versions: FeedFollower[WantedVersion] = VersionedFollower(
            adapter.make_version_feed(session), access.watch_wait, timeout, self._rng
        )
        services = CacheSubscriber(
            "configuration", self._configurations, ConfigurationCodec(), SERVICE
        )
        runners = CacheSubscriber("runners", self._runners, ItemCodec(Runner))
        versions = CacheSubscriber(
            "versions", self._versions, ItemCodec(WantedVersion, has_valid_from=True)
        )
        return CacheUpdater(
            [
                (self._configurations, services),
                (self._runners, runners),
                (self._versions, versions),
            ]
        )

    async def _run_updates(
        self,
        adapter: Adapter,
        session: ClientSession,
        origin_session: ClientSession,
        updater: CacheUpdater,
    ) -> None:
        """Serve links, then wait for the model and reconcile the runner.

        Links are served first, as the configuration may come from a hub.
        """
        cfg = self._cfg
        ctx = LinkContext(
            Identity(cfg.process, "target", cfg.data_centre, make_incarnation()),
            self._clock,
            LINKS,
            "",
            lambda: Heartbeat(generation=0),
        )
        loads = LoadReporter()
        host, port = split_address(cfg.peers)

        async def serve(link: Link) -> None:
            if link.peer.role == "entry":
                await self._serve_hub(LinkChannel(link), loads, updater)
            elif self._exchange is None:
                link.abort()
            else:
                await self._exchange.serve(link)

        reporter = asyncio.create_task(loads.run())
        try:
            async with serve_links(Address(host=host, port=port), ctx, serve):
                service = ServiceConfiguration(self._configurations, cfg.service)
                model, origin, engine = await service.wait_for_model()
                source = HubManifestSource(
                    lambda: adapter.make_weight_source(
                        origin_session, (service.get_origin() or origin).address
                    ),
                    updater,
                    service.get_engine,
                )
                driver = adapter.make_runner_driver(session, cfg.runner, CALL_TIMEOUT_S)
                reconciler = self._build(
                    driver, source, ctx, loads, model, origin, engine
                )
                await reconciler.run()
        finally:
            await cancel_tasks(reporter)
            if self._exchange is not None:
                await self._exchange.stop()

    async def _serve_hub(
        self, hub: Channel, loads: LoadReporter, updater: CacheUpdater
    ) -> None:
        loads.attach(hub)
        updater.attach(hub)
        try:
            async for message in hub:
                updater.handle_message(hub, message)
        finally:
            updater.detach(hub)
            loads.detach(hub)

    def _build(
        self,
        driver: RunnerDriver,
        source: WeightSource,
        ctx: LinkContext,
        loads: LoadReporter,
        model: str,
        origin: WeightOrigin,
        costs: EngineModel,
    ) -> WeightReconciler:
        cfg = self._cfg
        region = cfg.regions.get(origin.data_centre, origin.data_centre)
        engine = StagedEngine(driver, model, calls=self._calls)
        size = costs.chunks * costs.chunk_bytes
        rate = cfg.link_mbps * BYTES_PER_MEGABIT
        copy_time = size / (rate * PAYLOAD_FRACTION)
        origin_rate = origin.bytes_per_second or rate
        first_copy_time = size / (origin_rate * PAYLOAD_FRACTION)
        exchange = self._exchange = WeightExchange(
            lambda address: open_link(address, ctx),
            WeightSettings(
                buffer_bytes=BUFFER_BYTES,
                chunk_timeout=CHUNK_TIMEOUT_S,
                parallel=PARALLEL_CHUNKS,
            ),
            engine,
            source,
            RatePacer(rate * UPLOAD_FRACTION, lambda: False),
            self._rng,
            UploadBudget(UPLOAD_COPIES, CHUNK_SENDS, PART_BYTES),
            SOURCE_RETRY_S,
            FALLBACK_DELAY_S,
            StaggeredFallback(
                cfg.peers,
                lambda version: copies.get_local_fetching(version),
                lambda version: copies.get_delay(version),
                FALLBACK_STEP_S,
            ),
            RatePacer(rate * DOWNLOAD_FRACTION, lambda: False),
        )
        schedule = VersionSchedule(cfg.bounds.version_ms / 1000, copy_time)
        stagger = SwitchStagger()
        peers = PeerDirectory(
            cfg.peers,
            cfg.data_centre,
            cfg.regions,
            self._get_peers,
            lambda: self._runners.change_count,
        )
        timing = SwitchTiming(
            copy_time, load=costs.load or LOAD_S, origin_time=first_copy_time
        )
        switching = Switching(timing, stagger, schedule, peers, region, self._metrics)
        self._runners.subscribe(lambda: self._add_held_versions(schedule, model))
        self._versions.subscribe(lambda: self._add_named_versions(schedule, model))
        self._add_held_versions(schedule, model)
        self._add_named_versions(schedule, model)
        copies = VersionCopies(
            model,
            source,
            engine,
            exchange,
            schedule,
            stagger,
            peers,
            FetchPlanner(region, first_copy_time),
            get_boottime,
            self._metrics.manifests_checked,
        )
        return WeightReconciler(
            model,
            driver,
            source,
            engine,
            copies,
            schedule,
            stagger,
            peers,
            loads,
            self._metrics,
            copy_time,
            get_boottime,
            switching,
        )

    def _get_peers(self) -> dict[str, Runner]:
        """Return the service's runners by the address of their companion."""
        _, port = split_address(self._cfg.peers)
        found = {}
        for runner in self._runners.items.values():
            if runner.service == self._cfg.service and not runner.is_draining:
                host, _ = split_address(runner.address)
                found[f"{host}:{port}"] = runner
        return found

    def _add_held_versions(self, schedule: VersionSchedule, model: str) -> None:
        for runner in self._get_peers().values():
            version = get_held_version(runner.held)
            if version is not None:
                schedule.add(version, get_boottime())

    def _add_named_versions(self, schedule: VersionSchedule, model: str) -> None:
        named = {
            name: wanted
            for name, wanted in self._versions.items.items()
            if wanted.model == model
        }
        # A hub also sends superseded versions, which are not to be loaded any more.
        name = max(named, key=lambda item: named[item].version, default=None)
        if name is not None:
            version = named[name].version
            valid_from = self._versions.valid_from.get(name, get_boottime())
            schedule.add(version, valid_from, is_named=True)
            log.event("version_named", model=model, version=version)

    async def _get_metrics(self, req: web.Request) -> web.Response:
        return web.Response(text=self._metrics.render())
