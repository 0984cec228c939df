from __future__ import annotations

import unittest

from fake_objects import FakeObjects

from marigold.core.exceptions import LeaseLostError, PlatformUnreachableError
from marigold.core.platform.leases import LeaseClient

TERM_S = 6.0
NAME = "leases/orders"


class SlowObjects(FakeObjects):
    """Fake store whose reads take `read_seconds` of the test's clock."""

    def __init__(self, test):
        super().__init__()
        self.test = test
        self.read_seconds = 0.0

    async def get(self, name):
        self.test.now += self.read_seconds
        return await super().get(name)


class LeaseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 100.0
        self.objects = SlowObjects(self)
        self.first, self.second = (self.make_client(name) for name in ("e-1", "e-2"))
        self.assertTrue(await self.first.renew_or_acquire())

    def make_client(self, process):
        return LeaseClient(self.objects, NAME, process, TERM_S, lambda: self.now)

    async def watch_for(self, seconds):
        """Let the second process watch the lease; return whether it acquired it."""
        until = self.now + seconds
        while self.now < until and not await self.second.renew_or_acquire():
            self.now += 1.0
        return self.second.is_held()

    async def test_renewed_lease_is_kept(self):
        for _ in range(20):
            self.now += TERM_S / 3
            self.assertTrue(await self.first.renew_or_acquire())
            self.assertFalse(await self.second.renew_or_acquire())
        self.assertEqual(self.first.check_held(), 1)

    async def test_holder_suspended_beyond_the_term_loses_the_lease(self):
        self.assertTrue(await self.watch_for(TERM_S * 2))
        self.assertEqual(self.second.check_held(), 2)
        with self.assertRaises(LeaseLostError):
            self.first.check_held()
        self.assertFalse(await self.first.renew_or_acquire())
        self.assertFalse(self.first.is_held())

    async def test_two_processes_never_hold_the_lease_at_once(self):
        self.objects.read_seconds = 2.0
        for _ in range(50):
            await self.first.renew_or_acquire()
            await self.second.renew_or_acquire()
            self.assertFalse(self.first.is_held() and self.second.is_held())
            self.now += 1.0

    async def test_term_starts_at_the_response_with_the_version(self):
        self.objects.read_seconds = 2.0
        await self.second.renew_or_acquire()
        observed_at = self.now
        self.objects.read_seconds = 0.0
        self.now = observed_at + TERM_S - 0.1
        self.assertFalse(await self.second.renew_or_acquire())
        self.now = observed_at + TERM_S
        self.assertTrue(await self.second.renew_or_acquire())

    async def test_lease_expires_at_its_holder_during_an_outage(self):
        self.objects.outage = True
        self.now += TERM_S / 2
        with self.assertRaises(PlatformUnreachableError):
            await self.first.renew_or_acquire()
        with self.assertRaises(LeaseLostError):
            self.first.check_held()

    async def test_restarted_holder_gets_a_higher_fencing_number(self):
        restarted = self.make_client("e-1")
        self.assertFalse(await restarted.renew_or_acquire())
        self.now += TERM_S
        self.assertTrue(await restarted.renew_or_acquire())
        self.assertEqual(restarted.check_held(), 2)
        await self.first.renew_or_acquire()
        self.assertFalse(self.first.is_held())
