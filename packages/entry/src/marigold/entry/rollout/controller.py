"""Rollout of model versions to the targets of a data centre.

One entry of each data centre holds a lease and is the leader. It orders the
targets of its data centre to load the versions that the lists want and to unload
the others. Every order carries the fencing number of the lease. Orders are
computed from the current state only, so that a new leader can continue without
any state of its predecessor.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from marigold.core.exceptions import LeaseLostError, LinkClosedError, PlatformError
from marigold.core.logging import get_logger
from marigold.core.platform.leases import LeaseClient
from marigold.core.platform.weights import dump_manifest
from marigold.core.rollout.planner import (
    HostPlan,
    PlanHost,
    RolloutPlanner,
    make_planner,
)
from marigold.core.schema.generated.messages import LoadOrder, OrderProgress
from marigold.core.schema.generated.records import HostRecord, Manifest
from marigold.entry.lists.compiled import CompiledLists
from marigold.entry.membership.pool import TargetPool
from marigold.entry.membership.targets import TargetConnection
from marigold.entry.rollout.manifests import ManifestCache
from marigold.entry.rollout.order_tracker import OrderRecord, OrderTracker, make_key
from marigold.entry.rollout.wanted import WantedVersion, compute_wanted

log = get_logger(__name__)

ORDER_INTERVAL_S = 0.25
SEND_TIMEOUT_S = 1.0
RENEWALS_PER_LEASE = 4


class RolloutController:
    """Sends orders to the targets of one data centre while it holds the lease.

    `get_records` returns the host list and `get_lists` the lists in force.
    `count_state` is called with the order and its state on each state change.
    """

    def __init__(
        self,
        data_centre: str,
        lease: LeaseClient,
        lease_seconds: float,
        manifests: ManifestCache,
        pool: TargetPool,
        get_records: Callable[[], Iterable[HostRecord]],
        get_lists: Callable[[], CompiledLists],
        make_plan: Callable[[str], RolloutPlanner] = make_planner,
        count_state: Callable[[str, str], None] = lambda order, state: None,
    ) -> None:
        self._data_centre = data_centre
        self._lease = lease
        self._lease_seconds = lease_seconds
        self._manifests = manifests
        self._pool = pool
        self._get_records = get_records
        self._get_lists = get_lists
        self._make_planner = make_plan
        self._count_state = count_state
        self._plans: dict[tuple[str, str], tuple[object, dict[str, HostPlan]]] = {}
        self.orders = OrderTracker()
        self.wanted: list[WantedVersion] = []
        pool.on_progress(self._on_progress)

    def is_leader(self) -> bool:
        """Return whether this entry holds the lease and sends the orders."""
        return self._lease.is_held()

    def _on_progress(self, host: str, progress: OrderProgress) -> None:
        record = self.orders.record_progress(host, progress, time.monotonic())
        if progress.doubted:
            log.routine("manifest_doubted", target=host, order=progress.order)
            self._manifests.recheck(progress.doubted)
        if record is not None:
            self._count_state(progress.order, progress.state)
            log.event(
                "order_progress",
                target=host,
                order=progress.order,
                state=progress.state,
                chunks=progress.chunks,
                total=progress.total,
                detail=progress.detail,
            )

    async def keep_lease(self) -> None:
        """Renew the lease, or wait for it to become free, until cancelled."""
        was_held = False
        while True:
            try:
                await self._lease.renew_or_acquire()
            except PlatformError as exc:
                log.event("lease_unavailable", reason=exc)
            if self.is_leader() != was_held:
                was_held = not was_held
                log.event("lease_changed", held=was_held, fence=self._lease.fence)
            await asyncio.sleep(self._lease_seconds / RENEWALS_PER_LEASE)

    async def run(self) -> None:
        """Send orders while the lease is held, until cancelled."""
        while True:
            self.wanted = compute_wanted(self._get_lists(), self._get_records())
            if self.is_leader() and self.wanted:
                await self._send_orders()
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _send_orders(self) -> None:
        await self._manifests.retain({item.key for item in self.wanted})
        local = [conn for conn in self._pool if self._is_rollout_target(conn)]
        await asyncio.gather(*(self._send_host_orders(conn) for conn in local))

    def _is_rollout_target(self, conn: TargetConnection) -> bool:
        view = conn.view
        return view.is_local and view.kind == "model" and conn.is_open()

    async def _send_host_orders(self, conn: TargetConnection) -> None:
        """Send one host the orders that are due."""
        if conn.view.leaving:
            return
        items = [item for item in self.wanted if item.model == conn.view.service]
        if not items:
            return
        host = conn.view.host
        for item in items:
            if any(record.host == host for record in item.hosts):
                await self._send_load(conn, item)
        if self._may_unload(items):
            kept = {item.version for item in items if self._is_host_of(item, host)}
            for version in conn.view.versions:
                if version not in kept:
                    await self._send_unload(conn, version)

    def _is_host_of(self, item: WantedVersion, host: str) -> bool:
        return any(record.host == host for record in item.hosts)

    def _may_unload(self, items: list[WantedVersion]) -> bool:
        """Return whether each wanted version is loaded at all its live hosts.

        Until then, all loaded versions keep serving.
        """
        return all(self._is_loaded_everywhere(item) for item in items)

    def _is_loaded_everywhere(self, item: WantedVersion) -> bool:
        loaded = [
            item.version in conn.view.versions
            for record in item.hosts
            if (conn := self._pool.find(record.host)) is not None
            and conn.is_open()
            and not conn.view.leaving
        ]
        return bool(loaded) and all(loaded)

    async def _send_load(self, conn: TargetConnection, item: WantedVersion) -> None:
        manifest = self._manifests.get(*item.key)
        is_loaded = item.version in conn.view.versions
        if manifest is None and not is_loaded:
            return
        order = self._make_order("load", item.model, item.version)
        if manifest is not None:
            order.manifest = dump_manifest(manifest)
        if not is_loaded:
            self._fill_plan(order, conn, item, manifest)
        await self._send_if_due(conn, order)

    def _fill_plan(
        self,
        order: LoadOrder,
        conn: TargetConnection,
        item: WantedVersion,
        manifest: Manifest,
    ) -> None:
        plan = self._get_plan(item, manifest).get(conn.view.host)
        if plan is not None:
            order.origin_chunks = plan.origin_chunks
            order.sources = plan.sources
            order.remote = plan.remote

    def _get_plan(self, item: WantedVersion, manifest: Manifest) -> dict[str, HostPlan]:
        hosts = [self._make_plan_host(record) for record in item.hosts]
        key = (
            manifest.digest,
            item.distribution,
            tuple((host.host, host.address, host.is_live) for host in hosts),
        )
        cached = self._plans.get(item.key)
        if cached is None or cached[0] != key:
            rng = random.Random(f"{item.model}@{item.version}")
            planner = self._make_planner(item.distribution)
            plans = planner.plan(len(manifest.chunks), hosts, time.monotonic(), rng)
            cached = (key, plans)
            self._plans[item.key] = cached
            log.event("rollout_planned", model=item.model, version=item.version)
        return cached[1]

    def _make_plan_host(self, record: HostRecord) -> PlanHost:
        """Return a planner host; without a connection it is assumed to be live."""
        conn = self._pool.find(record.host)
        is_live = conn is None or (conn.is_open() and not conn.view.leaving)
        return PlanHost(record.host, record.region, record.address, is_live)

    async def _send_unload(self, conn: TargetConnection, version: str) -> None:
        order = self._make_order("unload", conn.view.service, version)
        await self._send_if_due(conn, order)

    def _make_order(self, operation: str, model: str, version: str) -> LoadOrder:
        return LoadOrder(
            order=f"{operation}-{version}",
            fence=0,
            operation=operation,
            model=model,
            version=version,
            manifest=b"",
            wanted=[item.version for item in self.wanted if item.model == model],
        )

    async def _send_if_due(self, conn: TargetConnection, order: LoadOrder) -> None:
        """Send an order if it is due at the host."""
        host = conn.view.host
        record = self.orders.get(host, order.operation, order.version)
        try:
            order.fence = self._lease.check_held()
            key = make_key(order, conn.incarnation)
            if not self._is_due(conn, record, key, order):
                return
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await conn.send(order)
        except (LeaseLostError, LinkClosedError, TimeoutError) as exc:
            log.event("order_not_sent", target=host, order=order.order, reason=exc)
            return
        self.orders.record_sent(record, key, time.monotonic())
        log.event(
            "order_sent",
            target=host,
            operation=order.operation,
            version=order.version,
            fence=order.fence,
        )

    def _is_due(
        self,
        conn: TargetConnection,
        record: OrderRecord,
        key: tuple[object, ...],
        order: LoadOrder,
    ) -> bool:
        is_loaded = order.version in conn.view.versions
        if order.operation == "load" and is_loaded:
            return record.key[:2] != key[:2]
        return self.orders.is_due(record, key, time.monotonic())
