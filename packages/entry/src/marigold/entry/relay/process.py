"""The relaying entry process: wiring of its parts."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import AsyncExitStack
from typing import TypeVar

from aiohttp import ClientSession, web

from marigold.core.boottime import get_boottime
from marigold.core.clock import HybridClock
from marigold.core.commands import tune_collector
from marigold.core.connections import make_connector, split_address
from marigold.core.documents import DocumentError
from marigold.core.lifecycle import Process, cancel_tasks
from marigold.core.links.identity import Identity, make_incarnation
from marigold.core.links.link import LinkContext
from marigold.core.links.transport import open_link
from marigold.core.logging import configure_bounded_logging, get_logger
from marigold.core.platform.adapter import Adapter, Feed, load_adapter
from marigold.core.platform.feeds import FeedFollower
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    Runner,
    WantedVersion,
)
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.settings import Bounds, Links, RelaySettings
from marigold.core.serving import serve_paths
from marigold.core.settings import load_settings
from marigold.entry.relay.catalogue import Catalogue
from marigold.entry.relay.companions import CompanionLinks, Dialer
from marigold.entry.relay.desk import PlacementDesk
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.floors import VersionFloors
from marigold.entry.relay.forwarding import Forwarder, make_runner_session
from marigold.entry.relay.freshness import KeyFreshness
from marigold.entry.relay.front import CallerFront, CatalogueSource
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.placement import EarliestStartPlacement
from marigold.entry.relay.queueing import InTimeOrder, Servability
from marigold.entry.relay.repeats import SlidingRepeatBudget
from marigold.entry.relay.serving import RequestServer

log = get_logger(__name__)

T = TypeVar("T")

# Seconds that connections to runners are kept unused; runners close idle ones
# later than that.
RUNNER_KEEPALIVE_S = 4.0
STORE_KEEPALIVE_S = 30.0
# Seconds that callers' idle connections are kept; the bounds of configurations
# are shorter, and callers close theirs themselves.
CALLER_KEEPALIVE_S = 300.0
# Bytes of a request's head that are read before its own bound is checked.
HEAD_BYTES = 65536
BACKLOG = 1024
# The platform takes an entry out of rotation after two misses a second apart;
# connections are accepted until it surely has.
ACCEPT_AFTER_STOP_S = 3.0
# Seconds after SIGTERM from which kept connections are refused: what starts later
# might not end within the grace.
SERVE_AFTER_STOP_S = 4.0
# Seconds before the end of the grace at which what still runs is given up.
STOP_MARGIN_S = 0.4
STOP_POLL_S = 0.05
# Seconds that the interpreter may have run before this process reads the clock.
START_MARGIN_S = 1.5
# Seconds for which changes of the runner list gather; a leaving runner has to be
# known within two seconds.
RUNNER_GATHER_S = 0.3
LINKS = Links(heartbeat_interval=1.0, silence_timeout=3.0)


class RelayProcess(Process):
    """The process on an entry host in front of a platform's runners."""

    def __init__(self, path: str, cfg: RelaySettings) -> None:
        self._path = path
        self._cfg = cfg
        self._rng = random.Random(cfg.seed or None)
        self._clock = HybridClock()
        self._metrics = RelayMetrics()
        self._started_at = get_boottime()
        self._floors = VersionFloors()
        self._freshness = KeyFreshness()
        self._repeats = SlidingRepeatBudget()
        self._take_bounds(cfg.bounds)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish running requests."""
        cfg = self._cfg
        output = configure_bounded_logging(
            cfg.process, cfg.data_centre, self._clock, cfg.log_lines
        )
        log.event("relay_starts", adapter=cfg.platform.adapter)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload)
        adapter = load_adapter(cfg.platform)
        async with AsyncExitStack() as stack:
            store = await stack.enter_async_context(
                ClientSession(connector=make_connector(STORE_KEEPALIVE_S))
            )
            runners = await stack.enter_async_context(
                make_runner_session(RUNNER_KEEPALIVE_S)
            )
            self._build(adapter, store, runners)
            await self._serve(stack, adapter, stop)
        log.event("relay_stopped")
        output.close()

    def _build(
        self, adapter: Adapter, store: ClientSession, runners: ClientSession
    ) -> None:
        cfg = self._cfg
        access = cfg.platform
        self._configurations: FeedFollower[Configuration] = self._follow(
            adapter.make_configuration_feed(store), access.configuration_wait
        )
        self._runners: FeedFollower[Runner] = self._follow(
            adapter.make_runner_feed(store), access.watch_wait, RUNNER_GATHER_S
        )
        self._versions: FeedFollower[WantedVersion] = self._follow(
            adapter.make_version_feed(store), access.watch_wait
        )
        self._source = CatalogueSource(self._configurations.get_age)
        self._configurations.subscribe(self._take_configuration)
        self._versions.subscribe(self._take_versions)
        directory = self._directory = RunnerDirectory(
            self._runners, cfg.data_centre, cfg.regions, time.monotonic, get_boottime
        )
        self._desk = PlacementDesk(
            directory,
            EarliestStartPlacement(),
            InTimeOrder(),
            Servability(),
            self._floors,
            self._get_engine,
            self._rng,
            time.monotonic,
            get_boottime,
        )
        self._companions = CompanionLinks(
            directory,
            self._make_dialer(),
            cfg.companion_port,
            self._desk.pump,
            self._rng,
        )
        if cfg.companion_port:
            self._runners.subscribe(self._companions.sync)
        server = RequestServer(
            self._desk,
            Forwarder(runners, adapter.dialect),
            adapter.dialect,
            self._repeats,
            self._metrics,
            self._rng,
        )
        self._front = CallerFront(
            self._source,
            self._freshness,
            server,
            adapter.dialect,
            self._metrics,
            self._rng,
        )

    def _follow(
        self, feed: Feed[T], wait: float, gather: float = 0.0
    ) -> FeedFollower[T]:
        timeout = self._cfg.platform.call_timeout
        return FeedFollower(feed, wait, timeout, self._rng, gather=gather)

    def _make_dialer(self) -> Dialer:
        cfg = self._cfg
        ctx = LinkContext(
            Identity(cfg.process, "entry", cfg.data_centre, make_incarnation()),
            self._clock,
            LINKS,
            "",
            lambda: Heartbeat(generation=0),
        )
        return lambda address: open_link(address, ctx)

    async def _serve(
        self, stack: AsyncExitStack, adapter: Adapter, stop: asyncio.Event
    ) -> None:
        cfg = self._cfg
        callers = web.Server(
            self._front.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=CALLER_KEEPALIVE_S,
            max_line_size=HEAD_BYTES,
            max_field_size=HEAD_BYTES,
            auto_decompress=False,
        )
        site = await self._listen(stack, callers, cfg.callers)
        readiness = {adapter.dialect.readiness_path: self._get_readiness}
        await stack.enter_async_context(serve_paths(cfg.readiness, readiness))
        metrics = {"/metrics": self._get_metrics}
        await stack.enter_async_context(serve_paths(cfg.metrics, metrics))
        tasks = [
            asyncio.create_task(item.run())
            for item in (
                self._configurations,
                self._runners,
                self._versions,
                self._desk,
            )
        ]
        log.event("relay_listens", address=cfg.callers)
        tune_collector()
        try:
            await stop.wait()
            await self._finish_running(site)
        finally:
            await cancel_tasks(*tasks)
            await self._companions.stop()

    async def _listen(
        self, stack: AsyncExitStack, server: web.Server, address: str
    ) -> web.TCPSite:
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = split_address(address)
        site = web.TCPSite(runner, host, port, backlog=BACKLOG)
        await site.start()
        return site

    async def _get_readiness(self, req: web.Request) -> web.Response:
        is_ready = self._front.is_ready() and self._runners.confirmed_at is not None
        return web.Response(status=200 if is_ready else 503)

    async def _get_metrics(self, req: web.Request) -> web.Response:
        return web.Response(text=self._metrics.render())

    def _get_engine(self, service: str) -> EngineModel | None:
        catalogue = self._source.catalogue
        return None if catalogue is None else catalogue.get_engine(service)

    def _take_configuration(self) -> None:
        found = list(self._configurations.items.values())
        if not found:
            log.event("configuration_missing", kept=self._source.catalogue is not None)
            return
        newest = max(found, key=lambda item: item.version)
        current = self._source.catalogue
        if current is not None and newest.version < current.version:
            log.event(
                "configuration_outdated", version=newest.version, kept=current.version
            )
            return
        self._source.catalogue = Catalogue(newest)
        log.event(
            "configuration_in_force",
            version=newest.version,
            routes=len(newest.routes),
            organisations=len(newest.organisations),
            revision=self._configurations.revision,
        )

    def _take_versions(self) -> None:
        now = get_boottime()
        for wanted in self._versions.items.values():
            log.event("version_named", model=wanted.model, version=wanted.version)
            if self._versions.has_watched:
                self._floors.note(wanted.model, wanted.version, now)
            else:
                stability = self._cfg.bounds.stability_ms / 1000
                due_at = self._started_at + stability - START_MARGIN_S
                self._floors.note_earlier(wanted.model, wanted.version, due_at)

    def _reload(self) -> None:
        """Read the settings again; what is wrong with them keeps the old ones."""
        try:
            cfg = load_settings(self._path, RelaySettings)
        except DocumentError as exc:
            log.event("settings_rejected", reason=exc)
            return
        log.event("settings_reloaded", changed=cfg != self._cfg)
        self._take_bounds(cfg.bounds)

    def _take_bounds(self, bounds: Bounds) -> None:
        """Let the policies go by the bounds of the deployment."""
        self._cfg.bounds = bounds
        self._floors.bound = bounds.version_ms / 1000
        self._freshness.is_strict = bounds.refuse_stale_keys
        self._freshness.revocation = bounds.revocation_ms / 1000
        self._freshness.configuration = bounds.configuration_ms / 1000
        self._repeats.ratio = bounds.retry_ratio
        self._repeats.extra = bounds.retry_extra
        self._repeats.window = bounds.retry_window_s

    async def _finish_running(self, site: web.TCPSite) -> None:
        front = self._front
        front.is_stopping = True
        started = time.monotonic()
        log.event("relay_stopping", running=front.running)
        end = started + self._cfg.bounds.grace_s - STOP_MARGIN_S
        while time.monotonic() < end:
            since = time.monotonic() - started
            if since >= SERVE_AFTER_STOP_S:
                front.is_closed = True
            if since >= ACCEPT_AFTER_STOP_S and not front.running:
                break
            await asyncio.sleep(STOP_POLL_S)
        await site.stop()
        log.event("relay_finished", running=front.running)
