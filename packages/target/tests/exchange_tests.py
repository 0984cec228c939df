from __future__ import annotations

import asyncio
import math
import random
import unittest
from dataclasses import replace

from marigold.core.rollout.planner import HostPlan, SwarmPlanner
from marigold.core.schema.generated.settings import Links, WeightSettings
from marigold.standins.memory_weights import WeightStore
from marigold.standins.segments import SegmentMap
from marigold.standins.swarm import Swarm
from marigold.target.weights.exceptions import EngineOrderError

SIZE_BYTES = 256_000
CHUNK_BYTES = 16_000
TIMEOUT_S = 20.0


class ExchangeTestCase(unittest.IsolatedAsyncioTestCase):
    preference = SwarmPlanner.ORIGIN_BYTES
    host_rate = 0.0
    chunk_timeout = 0.1

    async def asyncSetUp(self):
        self.segments = SegmentMap(self.host_rate, 0.0, 0.0, "hu-west")
        weights = random.Random(1).randbytes(SIZE_BYTES)
        self.store = WeightStore(weights, CHUNK_BYTES)
        links = Links(heartbeat_interval=0.1, silence_timeout=0.6)
        cfg = WeightSettings(upload_rate=1e9, chunk_timeout=self.chunk_timeout)
        swarm = Swarm(self.segments, self.store, links, cfg)
        self.swarm = await self.enterAsyncContext(swarm)
        self.planner = SwarmPlanner(self.preference, "hu-west")

    async def add_hosts(self, *regions):
        for number, region in enumerate(regions):
            await self.swarm.add_host(f"host-{number}", region)
        return list(self.swarm.hosts.values())

    async def check_replicas(self, count):
        is_done = await self.swarm.wait_for_replicas(count, TIMEOUT_S)
        self.assertTrue(is_done, f"{self.swarm.count_replicas()} of {count}")
        for host in self.swarm.hosts.values():
            self.assertEqual(host.engine.wrong_bytes, 0)

    async def wait_for_chunks(self, host, count):
        async with asyncio.timeout(TIMEOUT_S):
            while len(host.download.held) < count:
                host.download.changed.clear()
                await host.download.changed.wait()


class ExchangeTests(ExchangeTestCase):
    async def test_origin_sends_one_copy_and_slow_links_carry_one(self):
        await self.add_hosts("hu-west", "hu-west", "hu-east", "hu-east")
        self.swarm.send_orders(self.planner)
        await self.check_replicas(4)
        self.assertEqual(self.segments.origin.bytes, SIZE_BYTES)
        bytes_between = self.segments.inter_region["hu-west", "hu-east"].bytes
        self.assertLess(bytes_between, 1.5 * SIZE_BYTES)

    async def test_corrupt_chunks_from_the_origin_are_fetched_again(self):
        self.store.corrupt_chunks = 3
        await self.add_hosts("hu-west", "hu-west")
        self.swarm.send_orders(self.planner)
        await self.check_replicas(2)
        self.assertEqual(self.store.corrupt_chunks, 0)

    async def test_peer_that_sends_corrupt_chunks_is_dropped(self):
        hosts = await self.add_hosts("hu-west", "hu-west", "hu-west")
        bad = hosts[0].engine

        async def get_chunk(version, index):
            return bytes(len(bad.chunks[version, index]))

        bad.get_chunk = get_chunk
        self.swarm.send_orders(self.planner)
        await self.check_replicas(3)

    async def test_fetches_resume_after_the_weight_store_was_down(self):
        self.store.is_down = True
        await self.add_hosts("hu-west", "hu-west")
        self.swarm.send_orders(self.planner)
        async with asyncio.timeout(TIMEOUT_S):
            while self.store.reads < 3:
                await asyncio.sleep(0.01)
        self.store.is_down = False
        await self.check_replicas(2)

    async def test_region_without_its_peers_falls_back_to_the_origin(self):
        hosts = await self.add_hosts("hu-west", "hu-east", "hu-east")
        await hosts[0].stop()
        hosts[0].is_live = True
        self.swarm.send_orders(self.planner)
        hosts[0].is_live = False
        await self.check_replicas(2)

    async def test_origin_failure_drops_the_fallback_chunks(self):
        hosts = await self.add_hosts("hu-west", "hu-west")
        self.store.is_down = True
        self.swarm.send_orders(self.planner)
        exchange, download = hosts[0].exchange, hosts[0].download
        share = exchange._origins[download.digest]
        exchange._fallback_chunks[download.digest].update(range(len(download.missing)))
        exchange._update_origin_limit(download)
        async with asyncio.timeout(TIMEOUT_S):
            while share.allowed != set(download.order.origin_chunks):
                await asyncio.sleep(0.01)
        self.assertLess(exchange.get_origin_failure_age(), TIMEOUT_S)
        self.store.is_down = False
        await self.check_replicas(2)

    async def test_chunk_refused_by_the_engine_is_no_origin_failure(self):
        hosts = await self.add_hosts("hu-west", "hu-west")
        engine, refused = hosts[0].engine, []
        put_chunk = engine.put_chunk

        async def refuse_first(version, index, data):
            if len(refused) < 3:
                refused.append(index)
                raise EngineOrderError("busy")
            await put_chunk(version, index, data)

        engine.put_chunk = refuse_first
        self.swarm.send_orders(self.planner)
        await self.check_replicas(2)
        self.assertEqual(len(refused), 3)
        self.assertEqual(hosts[0].exchange.get_origin_failure_age(), math.inf)

    async def test_joining_host_fetches_from_its_peers(self):
        await self.add_hosts("hu-west", "hu-west")
        self.swarm.send_orders(self.planner)
        await self.check_replicas(2)
        await self.swarm.add_host("late", "hu-west")
        self.swarm.send_orders(self.planner)
        await self.check_replicas(3)
        self.assertLess(self.segments.origin.bytes, 2 * SIZE_BYTES)


class OtherManifestTests(ExchangeTestCase):
    """Hosts of one version that have different manifests of it.

    Guards against a host with a corrupt manifest that gets no chunks from its peers and
    does not learn why.
    """

    async def start(self, corrupt_hosts):
        """Start a copy whose manifest is corrupt at some of two hosts."""
        hosts = await self.add_hosts("hu-west", "hu-west")
        sound = self.store.manifest
        for number, host in enumerate(hosts):
            if number in corrupt_hosts:
                chunks = ["0" * 64, *sound.chunks[1:]]
                self.store.manifest = replace(sound, chunks=chunks, digest="1" * 64)
            plan = HostPlan()
            plan.sources = [item.address for item in hosts if item is not host]
            host.apply_plan(plan)
            self.store.manifest = sound
        return [host.download.evidence for host in hosts]

    async def wait_for_reasons(self, evidence):
        async with asyncio.timeout(TIMEOUT_S):
            while not evidence.reasons:
                await asyncio.sleep(0.01)

    async def test_host_that_starts_last(self):
        for evidence in await self.start({1}):
            await self.wait_for_reasons(evidence)
            self.assertEqual(evidence.reasons, ["peers"])

    async def test_host_that_starts_first(self):
        for evidence in await self.start({0}):
            await self.wait_for_reasons(evidence)

    async def test_hosts_with_the_same_manifest(self):
        found = await self.start(set())
        await asyncio.sleep(0.5)
        self.assertEqual([evidence.reasons for evidence in found], [[], []])


class SlowLinkTests(ExchangeTestCase):
    host_rate = 800_000.0
    chunk_timeout = 0.2

    async def test_stalled_host_delays_no_other_and_completes_later(self):
        hosts = await self.add_hosts("hu-west", "hu-west", "hu-west")
        self.swarm.send_orders(self.planner)
        await self.wait_for_chunks(hosts[0], 2)
        self.segments.freeze("host-0", True)
        await self.check_replicas(2)
        self.assertFalse(hosts[0].loaded_at)
        self.segments.freeze("host-0", False)
        await self.check_replicas(3)

    async def test_others_complete_after_a_seeding_host_stops(self):
        hosts = await self.add_hosts("hu-west", "hu-west", "hu-west")
        self.swarm.send_orders(self.planner)
        await self.wait_for_chunks(hosts[0], 2)
        await hosts[0].stop()
        await self.check_replicas(2)
