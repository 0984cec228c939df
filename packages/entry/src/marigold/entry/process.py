"""The entry process: wiring of its parts."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from typing import Any

from aiohttp import ClientSession, TCPConnector

from marigold.core.clock import HybridClock
from marigold.core.commands import tune_garbage_collector
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

STOP_POLL_S = 0.02
# The sweep may pause for minutes; a long lease keeps its reads few.
SWEEP_LEASE_RATIO = 100


class EntryProcess(Process):
    """The process on an entry host."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        self._clock = HybridClock()
        self._rng = random.Random(cfg.seed or None)
        self._identity = Identity(
            cfg.process, "entry", cfg.data_centre, make_incarnation()
        )
        self._ctx = LinkContext(
            self._identity,
            self._clock,
            cfg.links,
            cfg.link_secret,
            self._make_heartbeat,
        )
        self._metrics = EntryMetrics()
        self._chain = AuditChain(cfg.process, self._identity.incarnation)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish running requests."""
        cfg = self._cfg
        output = configure_logging(
            cfg.process, cfg.data_centre, self._clock, cfg.log_file
        )
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                ClientSession(connector=TCPConnector(limit=0))
            )
            self._build(session)
            await self._hosts.refresh()
            peer_port = await stack.enter_async_context(
                serve_links(cfg.peers, self._ctx, self._peers.serve)
            )
            port = await stack.enter_async_context(
                serve_api(cfg, self._callers, self._administration, self._health)
            )
            tasks = [
                asyncio.create_task(self._spreader.run()),
                asyncio.create_task(self._hosts.run()),
                asyncio.create_task(self._shares.run()),
                asyncio.create_task(self._head_collector.run()),
                asyncio.create_task(self._rollout.keep_lease()),
                asyncio.create_task(self._rollout.run()),
                asyncio.create_task(self._sweeper.keep_lease()),
                asyncio.create_task(self._sweeper.run()),
            ]
            log.event("entry_ready", port=port, peer_port=peer_port)
            tune_garbage_collector()
            await stop.wait()
            await self._finish_running()
            await self._shares.leave()
            await cancel_tasks(*tasks)
            await self._shares.stop()
            await self._manifests.stop()
            await self._pool.stop()
            await self._peers.stop()
        log.event("entry_stopped")
        output.close()

    def _build(self, session: ClientSession) -> None:
        cfg = self._cfg
        objects = ObjectClient(session, cfg.platform)
        store = ListStore(objects)
        self._follower = ListFollower()
        acceptor = ListAcceptor(
            store, self._follower.get_state, self._follower.apply_state
        )
        self._acceptor = acceptor
        self._hosts = HostListPoller(session, cfg.platform)
        self._peers = EntryPeers(self._ctx, self._rng)
        subsets = RendezvousSubset(cfg.subset)
        self._pool = TargetPool(self._ctx, self._rng, self._pump, subsets)
        table = LimitTable(
            self._get_lists, self._pool.count_slots, cfg.limits.request_timeout
        )
        ledger = make_ledger(cfg, self._identity, table)
        limits = CustomerLimits(ledger, self._get_lists, time.monotonic())
        self._admission = AdmissionController(
            cfg.limits,
            limits,
            TwoChoiceRouter(),
            self._pool.get_views,
            FairShareAdmission,
            self._rng,
            self._clock,
            self._chain,
        )
        self._shares = ShareExchange(
            self._peers, ledger, limits, self._admission.on_shares_change
        )
        self._admission.set_share_exchange(self._shares)
        self._hosts.subscribe(self._shares.sync)
        self._follower.lists.subscribe(lambda _: ledger.refresh_limits())
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
        self._rollout = self._make_rollout(session, objects)
        self._pool.needs_all_local = self._rollout.is_leader
        self._runner = IdempotentDispatcher(
            dispatcher,
            ClaimStore(objects),
            AttemptRecovery(self._pool, dispatcher, cfg.limits.progress_timeout),
            cfg.process,
            cfg.claim_retention,
            cfg.limits.request_timeout,
            self._clock.now,
            self._is_entry_live,
        )
        self._sweeper = self._make_sweeper(objects)
        id_prefix = f"{cfg.process}-{self._identity.incarnation:x}"
        self._callers = CallerApi(
            cfg, self._follower, self._runner, self._metrics, id_prefix
        )
        self._administration = AdministrationApi(
            cfg.administration_digest,
            cfg.limits.lists_bytes,
            store,
            acceptor,
            self._get_status,
        )
        self._health = HealthApi(self._metrics, self._is_ready)
        self._hosts.subscribe(self._pool.sync)
        self._hosts.subscribe(self._peers.sync)
        self._hosts.exchange_with_peers(self._peers)
        self._head_collector = self._make_head_collector(objects)
        self._peers.subscribe(Heartbeat, self._head_collector.on_heartbeat)
        self._spreader = ListReplicator(
            self._identity, store, self._follower, acceptor, self._peers, self._rng
        )

    def _make_sweeper(self, objects: ObjectClient) -> ClaimSweeper:
        cfg = self._cfg
        seconds = cfg.platform.lease_seconds * SWEEP_LEASE_RATIO
        lease = self._make_lease(objects, "claims", seconds)
        return ClaimSweeper(objects, lease, seconds, cfg.claim_retention, self._rng)

    def _is_entry_live(self, process: str) -> bool:
        return process in self._peers.get_names()

    def _make_head_collector(self, objects: ObjectClient) -> ChainHeadCollector:
        cfg = self._cfg
        seconds = cfg.platform.lease_seconds
        lease = self._make_lease(objects, f"audit-{cfg.data_centre}", seconds)
        return ChainHeadCollector(self._identity, self._chain, objects, lease, seconds)

    def _make_lease(
        self, objects: ObjectClient, duty: str, seconds: float
    ) -> LeaseClient:
        holder = f"{self._cfg.process}/{self._identity.incarnation}"
        return LeaseClient(objects, f"leases/{duty}", holder, seconds)

    def _make_rollout(
        self, session: ClientSession, objects: ObjectClient
    ) -> RolloutController:
        cfg = self._cfg
        seconds = cfg.platform.lease_seconds
        lease = self._make_lease(objects, f"rollout-{cfg.data_centre}", seconds)
        client = WeightClient(session, cfg.platform)
        self._manifests = ManifestCache(client, self._rng)
        return RolloutController(
            cfg.data_centre,
            lease,
            seconds,
            self._manifests,
            self._pool,
            lambda: self._hosts.hosts,
            lambda: self._follower.current,
            lambda preference: make_planner(preference, cfg.platform.store_region),
            self._metrics.rollout_orders.add,
        )

    def _get_lists(self) -> CompiledLists:
        return self._follower.current

    def _pump(self) -> None:
        self._admission.admit_waiting()

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            generation=self._follower.state.generation,
            watching=self._spreader.is_watching,
            audit_sequence=self._chain.sequence,
            audit_digest=self._chain.digest,
        )

    def _is_ready(self) -> bool:
        return self._follower.current.generation > 0 and not self._callers.is_stopping

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
            "generation": self._follower.current.generation,
            "lists_watched": self._spreader.is_watching,
            "lists_faults": [str(fault) for fault in self._acceptor.faults],
            "running": self._callers.running,
            "entries": self._peers.get_names(),
            "shares_agreed": self._shares.is_agreed(),
            "targets": targets,
            "rollout": make_rollout_status(self._rollout, self._pool),
        }

    async def _finish_running(self) -> None:
        self._callers.is_stopping = True
        log.event("leaving", running=self._callers.running)
        try:
            async with asyncio.timeout(self._cfg.stop_timeout):
                while self._callers.running or self._runner.pending_writes:
                    await asyncio.sleep(STOP_POLL_S)
        except TimeoutError:
            log.event("stop_timeout_passed", running=self._callers.running)
