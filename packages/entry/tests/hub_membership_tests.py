"""Registration of an entry in the store of the platform."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from hub_fakes import REGIONS, make_member

from marigold.core.exceptions import PlatformUnreachableError
from marigold.core.platform.adapter import Listing
from marigold.core.platform.followers import MemberFollower
from marigold.core.platform.positions import make_position
from marigold.entry.hub.membership import (
    CHECK_INTERVAL_S,
    CellMembership,
    maintain_registration,
)
from marigold.standins.virtual_time import get_time, run_virtual

# Seconds within which an entry checks once that it is registered.
CHECK_S = 1.5 * CHECK_INTERVAL_S


class FakeRegistry:
    """Registry of a store that may come back from a copy."""

    def __init__(self):
        self.era = 1
        self.items = {}
        self.puts = []
        self.is_unreachable = False

    async def put(self, item, is_known):
        if self.is_unreachable:
            raise PlatformUnreachableError("away")
        self.puts.append(is_known)
        self.items[item.process] = item

    async def read(self, is_stale):
        if self.is_unreachable:
            raise PlatformUnreachableError("away")
        return Listing(dict(self.items), make_position(self.era, 9))

    def restore(self, **items):
        self.era += 1
        self.items = items
        self.puts.clear()


class RegistrationTests(unittest.TestCase):
    """An entry is registered in each era of the store."""

    def run_script(self, script, is_bootstrap=True, is_reachable=True):
        async def main():
            self.own = make_member("own")
            self.registry = FakeRegistry()
            self.registry.is_unreachable = not is_reachable
            self.cache = MemberFollower(None, 2.0, 1.0, random.Random(1), get_time)
            membership = CellMembership(self.own, self.cache, REGIONS)
            task = asyncio.create_task(
                maintain_registration(
                    membership,
                    self.cache,
                    self.registry,
                    is_bootstrap,
                    random.Random(1),
                )
            )
            await membership.wait_joined()
            self.registry.is_unreachable = False
            await self.follow()
            await script()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run_virtual(main())

    async def follow(self):
        """Let the cache read the entries from the store."""
        listing = await self.registry.read(False)
        self.cache._apply_listing(listing, get_time())

    def check_registered(self, *puts):
        self.assertEqual(self.registry.items, {"own": self.own})
        self.assertEqual(self.registry.puts, list(puts))

    def test_registration_that_a_restored_store_lost(self):
        async def script():
            for _ in range(2):
                self.registry.restore()
                await self.follow()
                self.assertIn("own", self.cache.items)
                await asyncio.sleep(CHECK_S)
                self.check_registered(True)
                await asyncio.sleep(10 * CHECK_S)
                self.check_registered(True)

        for is_bootstrap in (True, False):
            with self.subTest(is_bootstrap=is_bootstrap):
                self.run_script(script, is_bootstrap)

    def test_store_that_does_not_come_back_gets_one_registration(self):
        async def script():
            await asyncio.sleep(10 * CHECK_S)
            self.check_registered(False)

        self.run_script(script)

    def test_registration_is_tried_again_while_the_store_is_away(self):
        async def script():
            self.registry.restore()
            await self.follow()
            self.registry.is_unreachable = True
            await asyncio.sleep(2 * CHECK_S)
            self.registry.is_unreachable = False
            await asyncio.sleep(CHECK_S)
            self.check_registered(True)

        self.run_script(script)

    def test_store_that_came_back_while_the_entry_joined(self):
        async def script():
            await asyncio.sleep(CHECK_S)
            self.check_registered(True)

        registered = FakeRegistry.put

        async def put(registry, item, is_known):
            await registered(registry, item, is_known)
            if registry.era == 1:
                # The cache knows the registration before it is lost.
                await self.follow()
                registry.restore()

        with mock.patch.object(FakeRegistry, "put", put):
            self.run_script(script)

    def test_entry_that_could_not_join(self):
        async def script():
            await asyncio.sleep(CHECK_S)
            self.check_registered(False)

        self.run_script(script, is_reachable=False)

    def test_entry_that_is_no_longer_listed(self):
        async def script():
            self.registry.items = {}
            self.registry.puts.clear()
            await self.follow()
            await asyncio.sleep(CHECK_S)
            self.check_registered(False)

        self.run_script(script)
