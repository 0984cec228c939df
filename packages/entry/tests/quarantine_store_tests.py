"""Refused requests in the store of the platform."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from suspicion_fakes import FakeRegistry, refuse

from marigold.core.schema.generated.deployment import QuarantinedRequest
from marigold.entry.suspicion import persistence
from marigold.entry.suspicion.persistence import QuarantineStore
from marigold.entry.suspicion.suspects import REFUSED_S, SuspectTable


class QuarantineStoreTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 0.0
        self.registry = FakeRegistry()
        self.table, self.store = self.make_store()
        self.addAsyncCleanup(self.store.stop)

    def make_store(self):
        table = SuspectTable()
        store = QuarantineStore(
            table,
            self.registry,
            lambda fingerprint: None,
            lambda: self.now,
            lambda: self.now,
        )
        return table, store

    async def wait_for(self, check):
        async with asyncio.timeout(5.0):
            while not check():
                await asyncio.sleep(0.01)


class QuarantineStoreTests(QuarantineStoreTestCase):
    async def test_refusal_outlives_all_processes(self):
        self.store.sync(True)
        refuse(self.table)
        await self.wait_for(lambda: self.registry.items)
        table, store = self.make_store()
        self.addAsyncCleanup(store.stop)
        store.sync(True)
        await self.wait_for(lambda: not table.is_empty)
        self.assertEqual(table.get_verdict("f", REFUSED_S - 1), "refused")
        self.assertEqual(table.get_verdict("f", REFUSED_S + 1), "suspect")

    async def test_suspects_and_cleared_requests_are_not_stored(self):
        self.store.sync(True)
        self.table.record_crash("f", "i0", 0, 0.0)
        self.table.clear("f")
        await asyncio.sleep(0.05)
        self.assertEqual(self.registry.calls, ["read"])

    async def test_refusal_is_stored_once_and_deleted_when_it_expires(self):
        self.enterContext(mock.patch.object(persistence, "CLEANUP_INTERVAL_S", 0.1))
        self.store.sync(True)
        refuse(self.table)
        await self.wait_for(lambda: self.registry.items)
        await asyncio.sleep(0.3)
        self.assertEqual(self.registry.calls.count("put"), 1)
        self.now = REFUSED_S + 1
        await self.wait_for(lambda: not self.registry.items)

    async def test_write_is_retried_until_the_store_is_reachable(self):
        self.registry.is_unreachable = True
        self.store.sync(True)
        refuse(self.table)
        await asyncio.sleep(0.05)
        self.assertEqual(self.registry.items, {})
        self.registry.is_unreachable = False
        await self.wait_for(lambda: self.registry.items)

    async def test_number_of_stored_objects_is_limited(self):
        self.store.sync(True)
        for number in range(persistence.OBJECTS_MAXIMUM + 50):
            refuse(self.table, str(number))
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.registry.items), persistence.OBJECTS_MAXIMUM)

    async def test_clock_skew_does_not_extend_a_refusal_beyond_the_maximum(self):
        self.registry.items["f"] = QuarantinedRequest(
            fingerprint="f", ends=3, runners=[], until_ms=10**14
        )
        self.store.sync(True)
        await self.wait_for(lambda: not self.table.is_empty)
        self.assertEqual(self.table.get_verdict("f", 3601.0), "suspect")

    async def test_refusal_during_a_write_is_stored_at_once(self):
        written = self.registry.put

        async def put(item, is_known):
            await written(item, is_known)
            refuse(self.table, "g")

        self.registry.put = put
        self.store.sync(True)
        refuse(self.table)
        await self.wait_for(lambda: "g" in self.registry.items)


class RestoredTests(QuarantineStoreTestCase):
    """What a return of the store from a copy lost or brought back is mended."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.sync(True)
        refuse(self.table)
        await self.wait_for(lambda: self.registry.items)

    async def restore(self, **items):
        """Come back with other items; return the calls of the next moments."""
        self.registry.items = items
        self.registry.calls.clear()
        self.store.mark_restored()
        await asyncio.sleep(0.1)
        return self.registry.calls

    async def test_refusal_that_the_copy_lacks(self):
        stored = dict(self.registry.items)
        self.assertEqual(await self.restore(), ["read", "put"])
        self.assertEqual(self.registry.items, stored)

    async def test_refusal_that_the_copy_has_with_fewer_crashes(self):
        stored = self.registry.items["f"]
        older = QuarantinedRequest(fingerprint="f", ends=1, runners=[], until_ms=0)
        self.assertEqual(await self.restore(f=older), ["read", "put"])
        self.assertEqual(self.registry.items, {"f": stored})

    async def test_copy_that_lacks_nothing(self):
        self.assertEqual(await self.restore(**self.registry.items), ["read"])

    async def test_cleared_refusal_does_not_come_back(self):
        stored = dict(self.registry.items)
        self.table.clear("f")
        await self.wait_for(lambda: not self.registry.items)
        self.assertEqual(await self.restore(**stored), ["read", "delete"])
        self.assertEqual(self.registry.items, {})
        self.assertEqual(self.table.get_verdict("f", 1.0), "clear")

    async def test_refusal_of_another_hub_is_left_to_it(self):
        other = QuarantinedRequest(fingerprint="g", ends=3, runners=[], until_ms=10**6)
        items = self.registry.items | {"g": other}
        self.assertEqual(await self.restore(**items), ["read"])

    async def test_expired_refusal_is_deleted(self):
        self.now = 20.0
        expired = QuarantinedRequest(fingerprint="g", ends=3, runners=[], until_ms=1)
        items = self.registry.items | {"g": expired}
        self.assertEqual(await self.restore(**items), ["read", "delete"])

    async def test_store_that_is_away_again(self):
        self.enterContext(mock.patch.object(persistence, "RETRY_S", 0.2))
        self.registry.is_unreachable = True
        self.assertEqual(await self.restore(), ["read"])
        self.registry.is_unreachable = False
        await self.wait_for(lambda: self.registry.items)

    async def test_hub_that_is_active_again_lists_what_is_there(self):
        self.store.sync(False)
        self.assertEqual(await self.restore(), [])
        self.store.sync(True)
        await self.wait_for(lambda: self.registry.items)
