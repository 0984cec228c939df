from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from gate_fakes import FakeLink

from marigold.core.platform.weights import dump_manifest
from marigold.core.schema.generated.messages import LoadOrder, OrderProgress
from marigold.core.schema.generated.settings import WeightSettings
from marigold.standins.memory_weights import MemoryEngine, MemoryOrigin, WeightStore
from marigold.standins.segments import SegmentMap
from marigold.target.exceptions import OldFenceError
from marigold.target.weights.exchange import WeightExchange
from marigold.target.weights.orders import GateControls, OrderExecutor
from marigold.target.weights.pacing import RatePacer

SIZE_BYTES = 64_000
CHUNK_BYTES = 16_000


class FakeGate:
    def __init__(self, engine):
        self.engine = engine
        self.fence = 0
        self.running = 0
        self.withheld = set()
        self.published = []
        self.refreshed = asyncio.Event()

    def check_fence(self, fence):
        if fence < self.fence:
            raise OldFenceError(fence, self.fence)
        self.fence = fence

    async def refresh(self):
        versions = await self.engine.get_versions()
        self.published = [item for item in versions if item not in self.withheld]
        self.refreshed.set()


class OrderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = WeightStore(random.Random(1).randbytes(SIZE_BYTES), CHUNK_BYTES)
        self.engine = MemoryEngine(self.store.manifest)
        self.engine.versions.append("1")
        self.gate = FakeGate(self.engine)
        self.link = FakeLink()
        segments = SegmentMap(0.0, 0.0, 0.0, "hu-west")
        segments.regions["host"] = "hu-west"
        rng = random.Random(1)
        self.exchange = WeightExchange(
            self.dial,
            WeightSettings(chunk_timeout=0.2),
            self.engine,
            MemoryOrigin(self.store, segments, "host"),
            RatePacer(1e9, lambda: False),
            rng,
        )
        gate = GateControls(
            self.gate.check_fence,
            self.gate.refresh,
            lambda version: self.gate.running,
            self.gate.withheld,
        )
        self.orders = OrderExecutor("assistant", self.engine, self.exchange, gate, rng)
        self.addAsyncCleanup(self.exchange.stop)
        self.addAsyncCleanup(self.orders.stop)

    async def dial(self, address):
        raise AssertionError("no peers here")

    def make_order(self, operation="load", version="2", fence=1, wanted=("2",)):
        manifest = self.store.manifest
        return LoadOrder(
            order=f"{operation}-{version}",
            fence=fence,
            operation=operation,
            model="assistant",
            version=version,
            manifest=dump_manifest(manifest) if operation == "load" else b"",
            origin_chunks=list(range(len(manifest.chunks))),
            wanted=list(wanted),
        )

    def get_states(self, order):
        sent = self.link.get(OrderProgress)
        return [item.state for item in sent if item.order == order]

    async def wait_for_state(self, order, state):
        async with asyncio.timeout(10):
            while state not in self.get_states(order):
                await asyncio.sleep(0.01)

    async def test_version_is_published_after_the_engine_confirms_it(self):
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "confirmed")
        self.assertEqual(self.gate.published, ["1", "2"])

    async def test_order_of_a_leader_that_lost_its_lease_is_refused(self):
        await self.orders.handle_order(self.link, self.make_order(fence=5))
        await self.wait_for_state("load-2", "confirmed")
        old = self.make_order("unload", "1", fence=4)
        await self.orders.handle_order(self.link, old)
        self.assertEqual(self.get_states("unload-1"), ["refused"])
        self.assertEqual(self.engine.versions, ["1", "2"])

    async def test_fence_is_checked_again_before_the_engine_is_ordered(self):
        self.gate.running = 1
        await self.orders.handle_order(
            self.link, self.make_order("unload", "1", fence=4)
        )
        await self.wait_for_state("unload-1", "accepted")
        self.gate.check_fence(5)
        self.gate.running = 0
        await self.wait_for_state("unload-1", "refused")
        self.assertEqual(self.engine.versions, ["1"])

    async def test_version_that_the_engine_does_not_report_is_not_published(self):
        self.engine.reports_false_load = True
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "failed")
        self.assertNotIn("confirmed", self.get_states("load-2"))
        self.assertNotIn("2", self.gate.published)
        self.engine.reports_false_load = False
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "confirmed")

    async def test_chunk_that_the_engine_stored_corruptly_is_fetched_again(self):
        put = self.engine.put_chunk
        damaged = []

        async def put_chunk(version, index, data):
            await put(version, index, data)
            if index == 1 and not damaged:
                damaged.append(index)
                self.engine.chunks[version, index] = bytes(len(data))

        self.engine.put_chunk = put_chunk
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "confirmed")
        self.assertEqual(damaged, [1])

    async def test_manifest_with_a_wrong_whole_digest_is_not_loaded(self):
        self.store.manifest.digest = "0" * 64
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "failed")
        self.assertEqual(self.engine.versions, ["1"])
        self.assertEqual(self.link.get(OrderProgress)[-1].doubted, "0" * 64)

    async def test_order_with_another_manifest_keeps_the_chunks_that_match_it(self):
        """Guards against a copy that a wrong digit holds up for good."""
        sound = self.store.manifest
        chunks = ["0" * 64, *sound.chunks[1:]]
        self.store.manifest = replace(sound, chunks=chunks)
        await self.orders.handle_order(self.link, self.make_order())
        async with asyncio.timeout(10):
            while not any(item.doubted for item in self.link.get(OrderProgress)):
                await asyncio.sleep(0.01)
        self.store.manifest = sound
        reads = self.store.reads
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "confirmed")
        self.assertEqual(self.store.reads, reads + 1)

    async def test_load_of_an_unwanted_version_is_cancelled(self):
        self.store.is_down = True
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "fetching")
        await self.orders.handle_order(
            self.link, self.make_order("unload", "0", wanted=["1"])
        )
        await self.wait_for_state("load-2", "cancelled")
        self.assertEqual(self.engine.chunks, {})

    async def test_load_of_a_wanted_version_continues_beside_another_order(self):
        self.store.is_down = True
        await self.orders.handle_order(self.link, self.make_order(wanted=["2", "3"]))
        await self.wait_for_state("load-2", "fetching")
        other = self.make_order("unload", "0", wanted=["2", "3"])
        await self.orders.handle_order(self.link, other)
        self.store.is_down = False
        await self.wait_for_state("load-2", "confirmed")

    async def test_unload_waits_for_running_requests(self):
        self.gate.running = 1
        await self.orders.handle_order(self.link, self.make_order("unload", "1"))
        async with asyncio.timeout(5):
            await self.gate.refreshed.wait()
        self.assertEqual(self.gate.published, [])
        self.assertEqual(self.engine.versions, ["1"])
        self.gate.running = 0
        await self.wait_for_state("unload-1", "confirmed")
        self.assertEqual(self.engine.versions, [])

    async def test_repeated_order_after_the_engine_lost_the_version_loads_again(self):
        await self.orders.handle_order(self.link, self.make_order())
        await self.wait_for_state("load-2", "confirmed")
        self.engine.versions.clear()
        self.engine.chunks.clear()
        await self.orders.handle_order(self.link, self.make_order())
        async with asyncio.timeout(10):
            while "2" not in self.engine.versions:
                await asyncio.sleep(0.01)
