"""The relaying entry process, which connects the components."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import AsyncExitStack
from functools import partial
from typing import TypeVar

from aiohttp import ClientSession, web

from marigold.core.boottime import estimate_process_start, get_boottime
from marigold.core.clock import HybridClock
from marigold.core.commands import tune_garbage_collector
from marigold.core.connections import make_connector, split_address
from marigold.core.documents import DocumentError
from marigold.core.lifecycle import Process, cancel_tasks, wait_for_stop
from marigold.core.links.identity import Identity, make_incarnation
from marigold.core.links.link import LinkContext
from marigold.core.links.transport import serve_links
from marigold.core.logging import configure_bounded_logging, get_logger
from marigold.core.platform.adapter import Adapter, WeightSource, load_adapter
from marigold.core.schema.generated.deployment import Member
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.settings import (
    Address,
    Bounds,
    Links,
    RelaySettings,
)
from marigold.core.serving import READ_BYTES, BoundedServer, serve_paths
from marigold.core.settings import load_settings
from marigold.core.stalls import StallMonitor
from marigold.entry.balancing.placement import StaleLoadPlacement
from marigold.entry.eligibility.evacuations import make_rules
from marigold.entry.hub.hub import Feeds, Hub
from marigold.entry.hub.membership import CellMembership, maintain_registration
from marigold.entry.hub.scheduler import EntryScheduler
from marigold.entry.memory.budget import MemoryBudget
from marigold.entry.memory.reading import BodyReader
from marigold.entry.rates.permits import EntryRates
from marigold.entry.relay.crashes import CrashDetector
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.forwarding import Forwarder, make_runner_session
from marigold.entry.relay.freshness import KeyFreshness
from marigold.entry.relay.frontend import CallerFrontend
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.minimum_versions import MinimumVersions
from marigold.entry.relay.queueing import DeadlineAdmission, DeadlineAwareOrder
from marigold.entry.relay.retry_budget import SlidingRetryBudget
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.relay.serving import RequestServer
from marigold.entry.relay.source import CatalogueSource
from marigold.entry.relay.store_watches import get_maximum_age, make_feeds
from marigold.entry.relay.version_recorder import VersionRecorder
from marigold.entry.relay.views import RunnerView
from marigold.entry.suspicion.admission import SuspectAdmission
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import TrialQueue

log = get_logger(__name__)

T = TypeVar("T")

# Seconds for which idle connections to runners are kept, less than runners keep them.
RUNNER_KEEPALIVE_S = 4.0
STORE_KEEPALIVE_S = 30.0
# The same for the origin of weights, which is asked for a manifest now and then. It
# accepts few connections from all hosts together, and keeps those of hosts that lost
# their power.
ORIGIN_KEEPALIVE_S = 0.0
# Seconds for which callers' idle connections are kept: longer than the bounds of
# configurations, as callers close idle connections themselves.
CALLER_KEEPALIVE_S = 300.0
# Maximum bytes of a header line that is parsed; the configured bound is checked later.
MAXIMUM_HEAD_BYTES = 65536
BACKLOG = 1024
# Seconds after SIGTERM in which connections are still accepted. The platform removes
# the entry from rotation after two failed readiness checks, one second apart.
ACCEPT_AFTER_STOP_S = 3.0
# Seconds after SIGTERM from which requests are refused, also on open connections. A
# later request might not end within the grace period, and its caller does not know of
# the stop. The platform counts 3 s from the signal, which a busy process sees late.
SERVE_AFTER_STOP_S = 2.9
# Seconds before the end of the grace period at which running requests are ended, and in
# which their error responses are sent.
STOP_MARGIN_S = 0.5
LAST_ANSWERS_S = 0.2
STOP_POLL_S = 0.05
LINKS = Links(heartbeat_interval=2.0, silence_timeout=3.0, connect_timeout=0.4)


class RelayProcess(Process):
    """The process on an entry host in front of a platform's runners."""

    def __init__(self, path: str, cfg: RelaySettings) -> None:
        self._path = path
        self._cfg = cfg
        self._rng = random.Random(cfg.seed or None)
        self._clock = HybridClock()
        self._metrics = RelayMetrics()
        self._started_at = estimate_process_start()
        self._stalls = StallMonitor()
        self._minimum_versions = MinimumVersions()
        self._freshness = KeyFreshness()
        self._retry_budget = SlidingRetryBudget()

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then drain running requests."""
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
            origin = await stack.enter_async_context(
                ClientSession(connector=make_connector(ORIGIN_KEEPALIVE_S))
            )
            self._build(adapter, store, runners, origin)
            await self._serve(stack, adapter, stop)
        log.event("relay_stopped")
        output.close()

    def _build(
        self,
        adapter: Adapter,
        store: ClientSession,
        runners: ClientSession,
        origin: ClientSession,
    ) -> None:
        cfg = self._cfg
        feeds = self._feeds = make_feeds(
            cfg, adapter, store, self._rng, self._stalls.get_earliest_arrival
        )
        self._registry = adapter.make_member_registry(store)
        self._quarantine = adapter.make_quarantine_registry(store)
        self._make_origin = partial(adapter.make_weight_source, origin)
        self._source = CatalogueSource(feeds.configurations)
        recorder = VersionRecorder(
            feeds.versions,
            self._minimum_versions,
            self._started_at,
            lambda: self._cfg.bounds.stability_ms / 1000,
        )
        feeds.versions.subscribe(recorder.record)
        self._rules = make_rules(feeds.evacuations)
        self._build_hub(feeds)
        directory = self._directory = RunnerDirectory(
            feeds.runners,
            cfg.regions,
            time.monotonic,
            get_boottime,
            rules=self._rules,
        )
        feeds.runners.subscribe(directory.sync)
        feeds.configurations.subscribe(directory.announce_cold)
        feeds.configurations.subscribe(self._hub.announce_cold)
        client = self._hub.client
        rates = self._rates = EntryRates(
            lambda: client.session,
            client.next_ask_id,
            self._membership.covers,
            lambda view: 1 / len(self._membership.get_hub_order()),
            self._source.get_cold,
            time.monotonic,
            get_boottime,
            self._rng,
            self._metrics.rate_deferred,
        )
        directory.on_listed = rates.record_listing
        self._hub.rates.find_known = directory.find
        self._local_scheduler = RequestScheduler(
            directory,
            StaleLoadPlacement(self._metrics.placements, self._metrics.sized),
            DeadlineAwareOrder(),
            DeadlineAdmission(),
            self._minimum_versions,
            self._source.get_engine,
            self._rng,
            time.monotonic,
            get_boottime,
            rules=self._rules,
            rates=rates,
            preferred=self._metrics.preferred,
        )
        rates.on_permit = self._on_permit
        rates.count_waiting = self._local_scheduler.count_waiting
        client.make_rate_notices = lambda: rates.make_notices(directory.get_engines())
        scheduler = EntryScheduler(
            self._hub.client,
            self._local_scheduler,
            directory,
            self._retry_budget,
            lambda service: self._source.get_engine(service) is not None,
            time.monotonic,
            self._rules,
            self._stalls.get_read_delay,
            cfg.place_by_size,
        )
        suspects = self._suspects = SuspectTable()
        suspect_admission = SuspectAdmission(
            suspects, TrialQueue(suspects, time.monotonic), self._hub.client
        )
        crashes = CrashDetector(self._metrics, suspect_admission.record_crash)
        directory.on_restart = crashes.record_restart
        forwarder = Forwarder(
            runners, adapter.header_codec, scheduler.mark_leaving, rates.record_answer
        )
        server = self._server = RequestServer(
            scheduler,
            forwarder,
            adapter.header_codec,
            self._metrics,
            self._rng,
            lambda: self._freshness.may_use_key(self._source.get_age()),
            crashes,
            suspect_admission,
        )
        region = cfg.regions.get(cfg.data_centre, "")
        self._frontend = CallerFrontend(
            self._source,
            self._freshness,
            server,
            adapter.header_codec,
            self._metrics,
            self._rng,
            cfg.data_centre,
            region,
            self._stalls.get_read_delay,
            BodyReader(MemoryBudget(cfg.memory_mb, time.monotonic)),
        )

    def _on_permit(self, view: RunnerView) -> None:
        self._local_scheduler.start_waiting(view.runner.service, view)

    def _build_hub(self, feeds: Feeds) -> None:
        cfg = self._cfg
        identity = Identity(cfg.process, "entry", cfg.data_centre, make_incarnation())
        self._ctx = LinkContext(
            identity, self._clock, LINKS, "", lambda: Heartbeat(generation=0)
        )
        own = Member(
            process=cfg.process,
            address=cfg.peers,
            data_centre=cfg.data_centre,
            capacity=cfg.capacity,
        )
        self._membership = CellMembership(own, feeds.members, cfg.regions)
        self._hub = Hub(
            identity,
            self._ctx,
            self._membership,
            feeds,
            cfg.regions,
            cfg.companion_port,
            self._minimum_versions,
            self._source.get_engine,
            self._source.get_engine_services,
            self._get_origin,
            self._quarantine,
            get_maximum_age(self._cfg.bounds),
            self._rng,
            is_joining=not cfg.bootstrap,
            rules=self._rules,
            get_cold=self._source.get_cold,
            deferred=self._metrics.rate_deferred,
            sized=self._metrics.sized,
            preferred=self._metrics.preferred,
            manifests_requested=self._metrics.manifests_requested,
        )
        self._apply_bounds(cfg.bounds)

    async def _serve(
        self, stack: AsyncExitStack, adapter: Adapter, stop: asyncio.Event
    ) -> None:
        cfg = self._cfg
        callers = BoundedServer(
            self._frontend.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=CALLER_KEEPALIVE_S,
            max_line_size=MAXIMUM_HEAD_BYTES,
            max_field_size=MAXIMUM_HEAD_BYTES,
            read_bufsize=READ_BYTES // 2,
            auto_decompress=False,
        )
        site = await self._listen(stack, callers, cfg.callers)
        readiness = {adapter.header_codec.readiness_path: self._get_readiness}
        await stack.enter_async_context(serve_paths(cfg.readiness, readiness))
        metrics = {"/metrics": self._get_metrics}
        await stack.enter_async_context(serve_paths(cfg.metrics, metrics))
        host, port = split_address(cfg.peers)
        peers = serve_links(Address(host=host, port=port), self._ctx, self._hub.serve)
        await stack.enter_async_context(peers)
        tasks = [
            asyncio.create_task(self._stalls.run()),
            asyncio.create_task(self._local_scheduler.run()),
            asyncio.create_task(self._join_cell()),
        ]
        log.event("relay_listens", address=cfg.callers, peers=cfg.peers)
        tune_garbage_collector()
        try:
            try:
                await self._wait(stop, tasks)
            except Exception:
                # Running requests have no part in the failure.
                await self._drain(site)
                raise
            await self._drain(site)
        finally:
            await cancel_tasks(*tasks)
            await self._rates.stop()

    async def _wait(self, stop: asyncio.Event, tasks: list[asyncio.Task[None]]) -> None:
        """Wait for the stop; raise the error of a task that fails before."""
        stopping = asyncio.create_task(stop.wait())
        try:
            await wait_for_stop(stopping, *tasks)
        finally:
            stopping.cancel()

    async def _join_cell(self) -> None:
        """Join the other entries and stay attached to a hub until cancelled."""
        members = self._feeds.members
        registering = asyncio.create_task(
            maintain_registration(
                self._membership,
                members,
                self._registry,
                self._cfg.bootstrap,
                self._rng,
            )
        )
        try:
            await self._membership.wait_joined()
            await self._hub.run()
        finally:
            await cancel_tasks(registering)

    async def _listen(
        self, stack: AsyncExitStack, server: web.Server, address: str
    ) -> web.TCPSite:
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(self._close_callers, runner)
        host, port = split_address(address)
        site = web.TCPSite(runner, host, port, backlog=BACKLOG)
        await site.start()
        return site

    async def _close_callers(self, runner: web.ServerRunner) -> None:
        self._frontend.is_shut_down = True
        await runner.cleanup()

    async def _get_readiness(self, req: web.Request) -> web.Response:
        runners = self._feeds.runners
        is_ready = (
            self._frontend.is_ready()
            and runners.confirmed_at is not None
            and self._rules.is_confirmed()
        )
        return web.Response(status=200 if is_ready else 503)

    async def _get_metrics(self, req: web.Request) -> web.Response:
        return web.Response(text=self._metrics.render())

    def _get_origin(self) -> WeightSource | None:
        """Return the source of weights that the configuration names, or None."""
        origin = self._source.get_origin()
        return None if origin is None else self._make_origin(origin.address)

    def _reload(self) -> None:
        """Reload the settings; keep the old ones when the new ones are invalid."""
        try:
            cfg = load_settings(self._path, RelaySettings)
        except DocumentError as exc:
            log.event("settings_rejected", reason=exc)
            return
        log.event("settings_reloaded", changed=cfg != self._cfg)
        self._apply_bounds(cfg.bounds)

    def _apply_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds of the deployment to the policies."""
        self._cfg.bounds = bounds
        self._minimum_versions.bound = bounds.version_ms / 1000
        self._freshness.is_strict = bounds.refuse_stale_keys
        self._freshness.revocation = bounds.revocation_ms / 1000
        self._freshness.configuration = bounds.configuration_ms / 1000
        self._retry_budget.ratio = bounds.retry_ratio
        self._retry_budget.window = bounds.retry_window_s
        self._hub.retry_budget.set_limits(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
        )

    async def _drain(self, site: web.TCPSite) -> None:
        frontend = self._frontend
        frontend.is_stopping = True
        started = time.monotonic()
        frontend.closes_at = started + SERVE_AFTER_STOP_S
        log.event("relay_stopping", running=frontend.running)
        self._hub.announce_leaving()
        end = started + self._cfg.bounds.grace_s - STOP_MARGIN_S
        self._server.set_deadline(end)
        while time.monotonic() < end + LAST_ANSWERS_S:
            since = time.monotonic() - started
            if since >= ACCEPT_AFTER_STOP_S and not frontend.running:
                break
            await asyncio.sleep(STOP_POLL_S)
        await site.stop()
        log.event("relay_finished", running=frontend.running)
