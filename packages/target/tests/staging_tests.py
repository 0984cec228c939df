from __future__ import annotations

import asyncio
import unittest

from companion_fakes import FakeDriver, make_manifest

from marigold.core.exceptions import OrderExpiredError, PlatformUnreachableError
from marigold.standins.virtual_time import get_time, run_virtual
from marigold.target.companion.staging import CHECK_ROUNDS, StagedEngine
from marigold.target.weights.exceptions import EngineOrderError

# A chunk that became corrupt earlier than this before the order spoils the load.
FORGIVEN_S = 3.0


class TimedDriver(FakeDriver):
    """A runner whose calls take `call_s`; `reads` holds the last read of each chunk.

    `suspended_s` is the time for which this host was suspended, which the loop's clock
    does not count, and `on_call` is called before each call.
    """

    def __init__(self):
        super().__init__()
        self.call_s = 0.0
        self.suspended_s = 0.0
        self.reads = {}
        self.on_call = lambda name, index: None
        self.ordered_at = None
        self.running = 0

    def get_boottime(self):
        return get_time() + self.suspended_s

    async def get_chunk(self, model, index):
        self.on_call("get", index)
        data = await super().get_chunk(model, index)
        self.reads[index] = self.get_boottime()
        self.running += 1
        await asyncio.sleep(self.call_s)
        self.running -= 1
        return data

    async def load(self, model, version, sequence, expires_at=float("inf")):
        self.on_call("load", None)
        if self.get_boottime() >= expires_at:
            raise OrderExpiredError("late")
        await super().load(model, version, sequence)
        self.ordered_at = self.get_boottime()


class CheckedLoadTests(unittest.TestCase):
    """Loads of chunks that became corrupt after they were compared."""

    def setUp(self):
        self.driver = TimedDriver()
        self.engine = StagedEngine(self.driver, "m", self.driver.get_boottime)
        self.data, self.manifest = make_manifest(2)

    async def fill_and_load(self):
        self.engine.staged_version = "2"
        for index, data in enumerate(self.data):
            await self.engine.put_chunk("2", index, data)
        await self.engine.load(self.manifest, 0)

    def load(self):
        run_virtual(self.fill_and_load())

    def suspend_once(self, at, seconds):
        """Suspend this host at a call; the first chunk becomes corrupt meanwhile."""

        def suspend(*call):
            if call == at:
                self.driver.on_call = lambda *call: None
                self.driver.suspended_s += seconds
                self.driver.staged[0] = b"corrupt"

        self.driver.on_call = suspend

    def check_loaded(self):
        self.assertEqual(self.driver.orders, [(2, 0, dict(enumerate(self.data)))])
        oldest = min(self.driver.reads.values())
        self.assertLess(self.driver.ordered_at - oldest, FORGIVEN_S)

    def test_chunk_that_becomes_corrupt_in_a_suspension_within_the_check(self):
        """Guards against a load of chunks that were compared before a suspension."""
        self.suspend_once(("get", 5), 4.0)
        self.load()
        self.check_loaded()

    def test_chunk_that_becomes_corrupt_in_a_suspension_before_the_order(self):
        """Guards against an order that is sent after its check has expired."""
        self.suspend_once(("load", None), 4.0)
        self.load()
        self.check_loaded()

    def test_slow_runner_gets_its_version(self):
        """Guards against a check that takes longer than it is valid."""
        for call_s in (0.2, 0.5, 1.5):
            with self.subTest(call_s=call_s):
                self.setUp()
                self.driver.call_s = call_s
                self.load()
                self.check_loaded()

    def test_check_that_never_ends_in_time_allows_no_load(self):
        self.driver.call_s = FORGIVEN_S
        with self.assertRaises(EngineOrderError):
            self.load()
        self.assertEqual(self.driver.orders, [])
        self.assertEqual(self.driver.reads.keys(), set(range(len(self.data))))

    def test_order_that_always_expires_ends_the_load(self):
        def suspend(name, index):
            if name == "load":
                self.driver.suspended_s += FORGIVEN_S
                calls.append(name)

        calls = []
        self.driver.on_call = suspend
        with self.assertRaises(EngineOrderError):
            self.load()
        self.assertEqual(len(calls), CHECK_ROUNDS)
        self.assertEqual(self.driver.orders, [])

    def test_no_comparison_outlasts_a_load_that_failed(self):
        """Guards against chunks that are staged after the lock was released."""

        def corrupt(name, index):
            if self.driver.running:
                self.driver.put_chunk = refuse
                self.driver.staged[2] = b"corrupt"

        async def refuse(model, index, data):
            raise PlatformUnreachableError("down")

        async def run():
            with self.assertRaises(EngineOrderError):
                await self.fill_and_load()
            self.assertEqual(self.driver.running, 0)

        self.driver.call_s = 0.5
        self.driver.on_call = corrupt
        run_virtual(run())
        self.assertEqual(self.driver.orders, [])
