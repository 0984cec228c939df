from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from marigold.core.exceptions import LeaseLostError
from marigold.core.schema.generated.lists import ModelAllowance, PlanAllowance
from marigold.core.schema.generated.messages import OrderProgress
from marigold.core.schema.generated.records import HostRecord, Manifest
from marigold.entry.lists.compiled import CompiledLists
from marigold.entry.rollout.controller import RolloutController
from marigold.entry.rollout.manifests import RECHECK_INTERVAL_S, ManifestCache
from marigold.entry.rollout.order_tracker import OrderTracker
from marigold.entry.rollout.wanted import compute_wanted
from marigold.entry.routing.load import TargetView

MANIFEST = Manifest(
    model="assistant",
    version="2",
    size=4,
    chunk_size=1,
    chunks=["a" * 64] * 4,
    digest="b" * 64,
)


class FakeLease:
    def __init__(self):
        self.fence = 7
        self.held = True

    def is_held(self):
        return self.held

    def check_held(self):
        if not self.held:
            raise LeaseLostError("lost")
        return self.fence


class FakeManifests:
    async def retain(self, keys):
        return

    def get(self, model, version):
        return MANIFEST


class FakeConnection:
    def __init__(self, host, is_local=True, versions=("1",)):
        self.view = TargetView(host, "assistant", is_local)
        self.view.kind = "model"
        self.view.versions = list(versions)
        self.incarnation = 1
        self.orders = []
        self.is_linked = True

    def is_open(self):
        return self.is_linked

    async def send(self, message):
        self.orders.append(message)

    def get_sent(self):
        sent = [(item.operation, item.version) for item in self.orders]
        self.orders.clear()
        return sent


class FakePool:
    def __init__(self, *conns):
        self.conns = {conn.view.host: conn for conn in conns}
        self.progress = None

    def __iter__(self):
        return iter(self.conns.values())

    def find(self, host):
        return self.conns.get(host)

    def on_progress(self, handler):
        self.progress = handler


def make_record(host, data_centre="gyor-a"):
    return HostRecord(
        host=host,
        role="target",
        data_centre=data_centre,
        region=data_centre,
        address=f"{host}:1",
        service="assistant",
        kind="model",
    )


def make_lists(*versions, replicas=0):
    models = [
        ModelAllowance(name="assistant", version=version, replicas=replicas)
        for version in versions
    ]
    plans = {"plan": PlanAllowance(precedence=0, models=models)}
    return CompiledLists(generation=1, plans=plans)


class RolloutControllerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.lease = FakeLease()
        self.conns = [FakeConnection("t1"), FakeConnection("t2")]
        self.remote = FakeConnection("t3", is_local=False)
        self.pool = FakePool(*self.conns, self.remote)
        self.lists = make_lists("2")
        self.records = [make_record("t1"), make_record("t2"), make_record("t3", "bp-a")]
        self.controller = RolloutController(
            "gyor-a",
            self.lease,
            6.0,
            FakeManifests(),
            self.pool,
            lambda: self.records,
            lambda: self.lists,
        )

    async def step(self):
        task = asyncio.create_task(self.controller.run())
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_local_targets_get_one_order_with_the_fence(self):
        await self.step()
        self.assertEqual(self.conns[0].orders[0].fence, 7)
        self.assertEqual(self.conns[0].get_sent(), [("load", "2")])
        self.assertEqual(self.remote.get_sent(), [])
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [])

    async def test_entry_without_the_lease_sends_no_orders(self):
        self.lease.held = False
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [])

    async def test_no_order_is_sent_when_the_lease_expires_after_the_check(self):
        self.lease.is_held = lambda: True
        self.lease.held = False
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [])

    async def test_new_leader_sends_its_fence_to_loaded_targets(self):
        for conn in (*self.conns, self.remote):
            conn.view.versions = ["2"]
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [("load", "2")])
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [])
        self.lease.fence = 8
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [("load", "2")])

    async def test_old_version_stays_until_all_live_hosts_load_the_new_one(self):
        self.conns[0].view.versions = ["1", "2"]
        await self.step()
        self.assertNotIn(("unload", "1"), self.conns[0].get_sent())
        self.conns[1].view.versions = ["1", "2"]
        self.remote.view.versions = ["1", "2"]
        await self.step()
        self.assertIn(("unload", "1"), self.conns[0].get_sent())

    async def test_leaving_target_gets_no_order_and_does_not_block_unloading(self):
        self.conns[0].view.leaving = True
        self.conns[1].view.versions = ["1", "2"]
        self.remote.view.versions = ["2"]
        await self.step()
        self.assertEqual(self.conns[0].get_sent(), [])
        self.assertIn(("unload", "1"), self.conns[1].get_sent())

    async def test_joining_target_gets_an_order(self):
        await self.step()
        for conn in self.conns:
            conn.get_sent()
        joined = FakeConnection("t4")
        self.pool.conns["t4"] = joined
        self.records.append(make_record("t4"))
        await self.step()
        self.assertEqual(joined.get_sent(), [("load", "2")])

    async def test_two_wanted_versions_are_both_ordered(self):
        self.lists = make_lists("2", "3")
        await self.step()
        orders = self.conns[0].orders
        self.assertEqual(orders[0].wanted, ["2", "3"])
        self.assertEqual(self.conns[0].get_sent(), [("load", "2"), ("load", "3")])

    async def test_replicas_limit_the_number_of_hosts(self):
        self.lists = make_lists("2", replicas=1)
        wanted = compute_wanted(self.lists, self.records)
        self.assertEqual([len(item.hosts) for item in wanted], [1])


class OrderTrackerTests(unittest.TestCase):
    def test_failed_order_is_retried_with_backoff(self):
        tracker = OrderTracker()
        record = tracker.get("t1", "load", "2")
        delays = []
        now = 0.0
        for _ in range(8):
            tracker.record_sent(record, ("key",), now)
            failed = OrderProgress(order="load-2", state="failed", chunks=0, total=4)
            tracker.record_progress("t1", failed, now)
            self.assertFalse(tracker.is_due(record, ("key",), now))
            delays.append(record.retry_at - now)
            now = record.retry_at
            self.assertTrue(tracker.is_due(record, ("key",), now))
        self.assertEqual(delays, sorted(delays))
        self.assertEqual(delays[-1], 60.0)

    def test_unanswered_order_is_resent(self):
        tracker = OrderTracker()
        record = tracker.get("t1", "load", "2")
        tracker.record_sent(record, ("key",), 0.0)
        self.assertFalse(tracker.is_due(record, ("key",), 1.0))
        self.assertTrue(tracker.is_due(record, ("key",), 6.0))


class FakeClient:
    def __init__(self, *manifests):
        self.manifests = list(manifests)

    async def get_manifest(self, model, version):
        return self.manifests.pop(0)


class ManifestCacheTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a rollout that goes on with a corrupt manifest."""

    async def read(self, *manifests):
        self.now = 10.0
        self.client = FakeClient(*manifests)
        cache = ManifestCache(self.client, random.Random(1), lambda: self.now)
        self.addAsyncCleanup(cache.stop)
        cache.get("assistant", "2")
        await asyncio.sleep(0)
        return cache

    async def recheck(self, cache, digest):
        cache.recheck(digest)
        await asyncio.sleep(0)
        return cache.get("assistant", "2")

    async def test_manifest_in_doubt_is_read_again(self):
        corrupt = replace(MANIFEST, digest="c" * 64)
        cache = await self.read(corrupt, MANIFEST)
        self.assertEqual(await self.recheck(cache, corrupt.digest), MANIFEST)

    async def test_doubts_of_many_hosts_cause_one_read(self):
        cache = await self.read(MANIFEST, MANIFEST, MANIFEST)
        for _ in range(10):
            self.assertEqual(await self.recheck(cache, MANIFEST.digest), MANIFEST)
        self.assertEqual(len(self.client.manifests), 1)

    async def test_sound_manifest_is_read_at_increasing_intervals(self):
        cache = await self.read(*[MANIFEST] * 100)
        while self.now < 70.0:
            await self.recheck(cache, MANIFEST.digest)
            self.now += RECHECK_INTERVAL_S
        self.assertGreaterEqual(len(self.client.manifests), 100 - 7)

    async def test_doubt_of_an_earlier_manifest_causes_no_read(self):
        cache = await self.read(MANIFEST, MANIFEST)
        await self.recheck(cache, "c" * 64)
        self.assertEqual(len(self.client.manifests), 1)
