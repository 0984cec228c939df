"""The entry process, which creates and connects the entry's components."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack, suppress
from typing import Any

from aiohttp import ClientSession

from marigold.core.clock import HybridClock
from marigold.core.commands import tune_garbage_collector
from marigold.core.connections import make_connector
from marigold.core.lifecycle import Process, cancel_tasks
from marigold.core.links.identity import Identity, make_incarnation
from marigold.core.links.link import LinkContext
from marigold.core.links.transport import serve_links
from marigold.core.logging import configure_logging, get_logger
from marigold.core.platform.leases import LeaseClient
from marigold.core.platform.objects import ObjectClient
from marigold.core.platform.weights import WeightClient
from marigold.core.rollout.planner import make_planner
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.settings import EntrySettings
from marigold.entry.admission.controller import AdmissionController
from marigold.entry.admission.exchange import ShareExchange, make_ledger
from marigold.entry.admission.fair import FairShareAdmission
from marigold.entry.admission.limits import CustomerLimits, LimitTable
from marigold.entry.api.administration import AdministrationApi
from marigold.entry.api.callers import CallerApi
from marigold.entry.api.server import HealthApi, serve_api
from marigold.entry.audit.chain import AuditChain
from marigold.entry.audit.heads import ChainHeadCollector
from marigold.entry.claims.dispatcher import IdempotentDispatcher
from marigold.entry.claims.recovery import AttemptRecovery
from marigold.entry.claims.store import ClaimStore
from marigold.entry.claims.sweeper import ClaimSweeper
from marigold.entry.lists.acceptance import ListAcceptor
from marigold.entry.lists.compiled import CompiledLists
from marigold.entry.lists.follower import ListFollower
from marigold.entry.lists.replication import ListReplicator
from marigold.entry.lists.store import ListStore
from marigold.entry.membership.hosts import HostListPoller
from marigold.entry.membership.peers import EntryPeers
from marigold.entry.membership.pool import TargetPool
from marigold.entry.membership.subsets import RendezvousSubset
from marigold.entry.metrics import EntryMetrics
from marigold.entry.rollout.controller import RolloutController
from marigold.entry.rollout.manifests import ManifestCache
from marigold.entry.rollout.status import make_rollout_status
from marigold.entry.routing.dispatcher import Dispatcher
from marigold.entry.routing.isolation import SuspectIsolation
from marigold.entry.routing.retries import BudgetedRetry
from marigold.entry.routing.router import TwoChoiceRouter
from marigold.entry.routing.suspects import SuspectCoordinator

log = get_logger(__name__)

# Seconds that idle connections to the object API are kept.
OBJECTS_KEEPALIVE_S = 15.0
STOP_POLL_INTERVAL_S = 0.02
# Seconds for the error responses to requests that exceed the stop timeout.
LAST_ANSWERS_S = 1.0
# The sweep may pause for minutes, so its lease can be long. A long lease is read less
# often.
SWEEP_LEASE_RATIO = 100


class EntryProcess(Process):
    """Process of one entry."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        self._clock = HybridClock()
        self._rng = random.Random(cfg.seed or None)
        self._identity = Identity(
            cfg.process, "entry", cfg.data_centre, make_incarnation()
        )
        self._link_ctx = LinkContext(
            self._identity,
            self._clock,
            cfg.links,
            cfg.link_secret,
            self._make_heartbeat,
        )
        self._metrics = EntryMetrics()
        self._audit_chain = AuditChain(cfg.process, self._identity.incarnation)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then wait for running requests and stop."""
        cfg = self._cfg
        output = configure_logging(
            cfg.process, cfg.data_centre, self._clock, cfg.log_file
        )
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                ClientSession(connector=make_connector(OBJECTS_KEEPALIVE_S))
            )
            self._build_components(session)
            await self._host_poller.refresh()
            peer_port = await stack.enter_async_context(
                serve_links(cfg.peers, self._link_ctx, self._peers.serve)
            )
            port = await stack.enter_async_context(
                serve_api(
                    cfg, self._caller_api, self._administration_api, self._health_api
                )
            )
            tasks = [
                asyncio.create_task(self._list_replicator.run()),
                asyncio.create_task(self._host_poller.run()),
                asyncio.create_task(self._share_exchange.run()),
                asyncio.create_task(self._head_collector.run()),
                asyncio.create_task(self._rollout_controller.keep_lease()),
                asyncio.create_task(self._rollout_controller.run()),
                asyncio.create_task(self._claim_sweeper.keep_lease()),
                asyncio.create_task(self._claim_sweeper.run()),
            ]
            log.event("entry_ready", port=port, peer_port=peer_port)
            tune_garbage_collector()
            await stop.wait()
            await self._drain()
            await self._share_exchange.leave()
            await cancel_tasks(*tasks)
            await self._share_exchange.stop()
            await self._manifests.stop()
            await self._pool.stop()
            await self._peers.stop()
        log.event("entry_stopped")
        output.close()

    def _build_components(self, session: ClientSession) -> None:
        cfg = self._cfg
        objects = ObjectClient(session, cfg.platform)
        list_store = ListStore(objects)
        self._list_follower = ListFollower()
        list_acceptor = ListAcceptor(
            list_store, self._list_follower.get_state, self._list_follower.apply_state
        )
        self._list_acceptor = list_acceptor
        self._host_poller = HostListPoller(session, cfg.platform)
        self._peers = EntryPeers(self._link_ctx, self._rng)
        subsets = RendezvousSubset(cfg.subset)
        self._pool = TargetPool(self._link_ctx, self._rng, self._admit_waiting, subsets)
        limit_table = LimitTable(
            self._get_lists, self._pool.count_slots, cfg.limits.request_timeout
        )
        share_ledger = make_ledger(cfg, self._identity, limit_table)
        limits = CustomerLimits(share_ledger, self._get_lists, time.monotonic())
        self._admission = AdmissionController(
            cfg.limits,
            limits,
            TwoChoiceRouter(),
            self._pool.get_views,
            FairShareAdmission,
            self._rng,
            self._clock,
            self._audit_chain,
        )
        self._share_exchange = ShareExchange(
            self._peers, share_ledger, limits, self._admission.on_shares_change
        )
        self._admission.set_share_exchange(self._share_exchange)
        self._host_poller.subscribe(self._share_exchange.sync)
        self._list_follower.lists.subscribe(lambda _: share_ledger.refresh_limits())
        coordinator = SuspectCoordinator(cfg.process, cfg.data_centre, self._peers)
        dispatcher = Dispatcher(
            cfg,
            self._admission,
            self._pool,
            BudgetedRetry(cfg.retries),
            SuspectIsolation(
                cfg.limits, coordinator, self._admission, self._pool, self._rng
            ),
            self._metrics,
            self._rng,
        )
        self._rollout_controller = self._make_rollout_controller(session, objects)
        self._pool.needs_all_local = self._rollout_controller.is_leader
        self._idempotent_dispatcher = IdempotentDispatcher(
            dispatcher,
            ClaimStore(objects),
            AttemptRecovery(self._pool, dispatcher, cfg.limits.progress_timeout),
            cfg.process,
            cfg.claim_retention,
            cfg.limits.request_timeout,
            self._clock.now,
            self._is_entry_live,
        )
        self._claim_sweeper = self._make_claim_sweeper(objects)
        id_prefix = f"{cfg.process}-{self._identity.incarnation:x}"
        self._caller_api = CallerApi(
            cfg,
            self._list_follower,
            self._idempotent_dispatcher,
            self._metrics,
            id_prefix,
        )
        self._administration_api = AdministrationApi(
            cfg.administration_digest,
            cfg.limits.lists_bytes,
            list_store,
            list_acceptor,
            self._get_status,
        )
        self._health_api = HealthApi(self._metrics, self._is_ready)
        self._host_poller.subscribe(self._pool.sync)
        self._host_poller.subscribe(self._peers.sync)
        self._host_poller.exchange_with_peers(self._peers)
        self._head_collector = self._make_head_collector(objects)
        self._peers.subscribe(Heartbeat, self._head_collector.on_heartbeat)
        self._list_replicator = ListReplicator(
            self._identity,
            list_store,
            self._list_follower,
            list_acceptor,
            self._peers,
            self._rng,
        )

    def _make_claim_sweeper(self, objects: ObjectClient) -> ClaimSweeper:
        cfg = self._cfg
        lease_seconds = cfg.platform.lease_seconds * SWEEP_LEASE_RATIO
        lease = self._make_lease(objects, "claims", lease_seconds)
        return ClaimSweeper(
            objects, lease, lease_seconds, cfg.claim_retention, self._rng
        )

    def _is_entry_live(self, process: str) -> bool:
        return process in self._peers.get_names()

    def _make_head_collector(self, objects: ObjectClient) -> ChainHeadCollector:
        cfg = self._cfg
        lease_seconds = cfg.platform.lease_seconds
        lease = self._make_lease(objects, f"audit-{cfg.data_centre}", lease_seconds)
        return ChainHeadCollector(
            self._identity, self._audit_chain, objects, lease, lease_seconds
        )

    def _make_lease(
        self, objects: ObjectClient, role: str, lease_seconds: float
    ) -> LeaseClient:
        holder = f"{self._cfg.process}/{self._identity.incarnation}"
        return LeaseClient(objects, f"leases/{role}", holder, lease_seconds)

    def _make_rollout_controller(
        self, session: ClientSession, objects: ObjectClient
    ) -> RolloutController:
        cfg = self._cfg
        lease_seconds = cfg.platform.lease_seconds
        lease = self._make_lease(objects, f"rollout-{cfg.data_centre}", lease_seconds)
        client = WeightClient(session, cfg.platform)
        self._manifests = ManifestCache(client, self._rng)
        return RolloutController(
            cfg.data_centre,
            lease,
            lease_seconds,
            self._manifests,
            self._pool,
            lambda: self._host_poller.hosts,
            lambda: self._list_follower.current,
            lambda preference: make_planner(preference, cfg.platform.store_region),
            self._metrics.rollout_orders.add,
        )

    def _get_lists(self) -> CompiledLists:
        return self._list_follower.current

    def _admit_waiting(self) -> None:
        self._admission.admit_waiting()

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            generation=self._list_follower.state.generation,
            watching=self._list_replicator.is_watching,
            audit_sequence=self._audit_chain.sequence,
            audit_digest=self._audit_chain.digest,
        )

    def _is_ready(self) -> bool:
        return (
            self._list_follower.current.generation > 0
            and not self._caller_api.is_stopping
        )

    def _get_status(self) -> dict[str, Any]:
        targets = [
            {
                "host": conn.view.host,
                "service": conn.view.service,
                "open": conn.view.is_open,
                "leaving": conn.view.leaving,
                "outstanding": conn.view.outstanding,
                "limit": conn.view.limit,
                "versions": conn.view.versions,
            }
            for conn in self._pool
        ]
        return {
            "process": self._cfg.process,
            "data_centre": self._cfg.data_centre,
            "generation": self._list_follower.current.generation,
            "lists_watched": self._list_replicator.is_watching,
            "lists_faults": [str(fault) for fault in self._list_acceptor.faults],
            "running": self._caller_api.running,
            "entries": self._peers.get_names(),
            "shares_agreed": self._share_exchange.is_agreed(),
            "targets": targets,
            "rollout": make_rollout_status(self._rollout_controller, self._pool),
        }

    async def _drain(self) -> None:
        """Refuse new requests and wait for running ones and their claim writes."""
        self._caller_api.is_stopping = True
        log.event("leaving", running=self._caller_api.running)
        try:
            await self._wait_drained(self._cfg.stop_timeout)
        except TimeoutError:
            log.event("stop_timeout_passed", running=self._caller_api.running)
            self._caller_api.end_running()
            with suppress(TimeoutError):
                await self._wait_drained(LAST_ANSWERS_S)

    async def _wait_drained(self, seconds: float) -> None:
        async with asyncio.timeout(seconds):
            while (
                self._caller_api.running or self._idempotent_dispatcher.pending_writes
            ):
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
