"""Weight exchanges of many hosts in one process, over emulated network segments.

Each host runs the target's weight exchange over real links, with an in-memory
engine and weight store. The plans come from the entry's planners.

    async with Swarm(segments, store, links, cfg) as swarm:
        await swarm.add_host("a1", "hu-west")
        swarm.send_orders(planner)
        await swarm.wait_for_replicas(1)
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack

from marigold.core.clock import HybridClock
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.identity import Identity
from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link, serve_links
from marigold.core.rollout.planner import HostPlan, PlanHost, RolloutPlanner
from marigold.core.schema.generated.messages import Heartbeat, LoadOrder
from marigold.core.schema.generated.settings import Address, Links, WeightSettings
from marigold.standins.memory_weights import MemoryEngine, MemoryOrigin, WeightStore
from marigold.standins.segments import SegmentMap, SegmentRelay
from marigold.target.weights.download import Download
from marigold.target.weights.exchange import WeightExchange
from marigold.target.weights.pacing import RatePacer

SECRET = "link-secret-of-the-swarm"


class SwarmHost:
    """A target host."""

    def __init__(self, swarm: Swarm, name: str, region: str) -> None:
        self._swarm = swarm
        self._stack = AsyncExitStack()
        self._relays: dict[str, SegmentRelay] = {}
        self._links: set[Link] = set()
        self._task: asyncio.Task[None] | None = None
        self.name = name
        self.region = region
        self.address = ""
        self.is_live = True
        self.loaded_at = 0.0
        self.download: Download | None = None
        self.engine = MemoryEngine(swarm.store.manifest)
        identity = Identity(name, "target", region, 1)
        self._ctx = LinkContext(
            identity,
            HybridClock(),
            swarm.links,
            SECRET,
            lambda: Heartbeat(generation=0),
        )
        self.exchange = WeightExchange(
            self._dial,
            swarm.cfg,
            self.engine,
            MemoryOrigin(swarm.store, swarm.segments, name),
            RatePacer(swarm.cfg.upload_rate, lambda: False),
            random.Random(f"{swarm.seed}/{name}"),
        )

    async def start(self) -> None:
        """Accept links."""
        port = await self._stack.enter_async_context(
            serve_links(Address(host="127.0.0.1", port=0), self._ctx, self._accept)
        )
        self.address = f"127.0.0.1:{port}"

    async def _accept(self, link: Link) -> None:
        self._links.add(link)
        try:
            await self.exchange.serve(link)
        finally:
            self._links.discard(link)

    async def _dial(self, address: str) -> Link:
        if address not in self._relays:
            peer = self._swarm.get_host_name(address)
            segments = self._swarm.segments
            forward, backward = (
                segments.get_path(self.name, peer),
                segments.get_path(peer, self.name),
            )
            relay = SegmentRelay(address, forward, backward)
            await relay.start()
            self._relays[address] = relay
        return await open_link(self._relays[address].address, self._ctx)

    def apply_plan(self, plan: HostPlan) -> None:
        """Start to fetch by a plan, or change the running download to it."""
        manifest = self._swarm.store.manifest
        order = LoadOrder(
            order="load-2",
            fence=1,
            operation="load",
            model=manifest.model,
            version=manifest.version,
            manifest=b"",
            origin_chunks=plan.origin_chunks,
            sources=plan.sources,
            remote=plan.remote,
        )
        if self.download is not None:
            self.exchange.update_order(self.download, order)
            return
        self.download = self.exchange.start(manifest, order)
        self._task = asyncio.create_task(self._load(self.download))

    async def _load(self, download: Download) -> None:
        await download.completed.wait()
        await self.engine.load(download.manifest, 1)
        self.loaded_at = time.monotonic()
        self._swarm.replica_loaded.set()

    async def stop(self) -> None:
        """Abort the links and tasks of the host."""
        self.is_live = False
        if self._task is not None:
            await cancel_tasks(self._task)
        await self.exchange.stop()
        for link in list(self._links):
            link.abort()
        for relay in self._relays.values():
            await relay.stop()
        await self._stack.aclose()


class Swarm:
    """Hosts that exchange the weights of one version."""

    def __init__(
        self,
        segments: SegmentMap,
        store: WeightStore,
        links: Links,
        cfg: WeightSettings,
        seed: int = 1,
    ) -> None:
        self.segments = segments
        self.store = store
        self.links = links
        self.cfg = cfg
        self.seed = seed
        self.hosts: dict[str, SwarmHost] = {}
        self.replica_loaded = asyncio.Event()
        self.started_at = 0.0

    async def __aenter__(self) -> Swarm:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await asyncio.gather(*(host.stop() for host in self.hosts.values()))

    def get_host_name(self, address: str) -> str:
        """Return the name of the host at an address."""
        return next(
            host.name for host in self.hosts.values() if host.address == address
        )

    async def add_host(self, name: str, region: str) -> SwarmHost:
        """Start a host."""
        self.segments.regions[name] = region
        host = SwarmHost(self, name, region)
        await host.start()
        self.hosts[name] = host
        return host

    def send_orders(self, planner: RolloutPlanner) -> None:
        """Plan for the live hosts and apply the plan of each."""
        hosts = [
            PlanHost(host.name, host.region, host.address, host.is_live)
            for host in self.hosts.values()
        ]
        chunks = len(self.store.manifest.chunks)
        plans = planner.plan(chunks, hosts, time.monotonic(), random.Random(self.seed))
        self.started_at = self.started_at or time.monotonic()
        for name, plan in plans.items():
            self.hosts[name].apply_plan(plan)

    def count_replicas(self) -> int:
        """Return the number of live hosts that have loaded the version."""
        return sum(host.is_live and host.loaded_at > 0 for host in self.hosts.values())

    async def wait_for_replicas(self, count: int, timeout: float) -> bool:
        """Wait for `count` replicas; return whether they were loaded in time."""
        try:
            async with asyncio.timeout(timeout):
                while self.count_replicas() < count:
                    self.replica_loaded.clear()
                    await self.replica_loaded.wait()
        except TimeoutError:
            return False
        return True

    def get_times(self) -> list[float]:
        """Return the sorted seconds until each replica was loaded."""
        times = [host.loaded_at for host in self.hosts.values() if host.loaded_at]
        return sorted(item - self.started_at for item in times)
