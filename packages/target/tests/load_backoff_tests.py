from __future__ import annotations

from companion_tests import ReconcilerTestCase

from marigold.target.companion.load_backoff import CRASHES_BEFORE_WAIT, WAIT_S


class LoadBackoffTests(ReconcilerTestCase):
    """A runner that crashes while it loads a version."""

    async def test_version_that_crashes_its_runner_is_loaded_with_backoff(self):
        load = self.driver.load

        async def crash(model, version, sequence, expires_at):
            await load(model, version, sequence, expires_at)
            self.driver.held = []
            self.driver.started_ms += 1

        self.driver.load = crash
        self.schedule.add(2, self.now)
        await self.reconcile()
        await self.complete_copy(2)
        for _ in range(100):
            await self.reconcile(0.1)
        self.assertEqual(len(self.driver.orders), CRASHES_BEFORE_WAIT)
        await self.reconcile(WAIT_S)
        await self.reconcile(0.1)
        self.assertEqual(len(self.driver.orders), CRASHES_BEFORE_WAIT + 1)
        # A newer version is loaded at once.
        self.schedule.add(3, self.now)
        self.source.versions = {2, 3}
        self.driver.load = load
        await self.reconcile(0.1)
        await self.complete_copy(3)
        await self.reconcile(0.1)
        self.assertEqual(self.driver.orders[-1][0], 3)

    async def test_successful_load_resets_the_crash_count(self):
        self.schedule.add(2, self.now)
        await self.reconcile()
        await self.complete_copy(2)
        for started_ms in range(2, 12):
            await self.reconcile(0.1)
            await self.reconcile(0.1)
            self.driver.held, self.driver.started_ms = [], started_ms
        self.assertEqual(len(self.driver.orders), 10)
