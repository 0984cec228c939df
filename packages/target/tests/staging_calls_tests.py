from __future__ import annotations

import asyncio
import unittest

from companion_fakes import FakeDriver, make_manifest

from marigold.core.exceptions import (
    OrderConflictError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.standins.virtual_time import get_time, run_virtual
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.staging_calls import (
    ANSWER_TIMEOUT_S,
    LOST_CALL_S,
    StagingCalls,
)
from marigold.target.weights.exceptions import EngineOrderError


class StagingCallTests(unittest.TestCase):
    """A version waits until no call of another one can be carried out any more."""

    def setUp(self):
        self.calls = StagingCalls(get_time)

    async def answer(self, seconds=0.0, error=None):
        await asyncio.sleep(seconds)
        if error is not None:
            raise error

    async def call(self, *answer, version="2"):
        await self.calls.run(version, 0, lambda: self.answer(*answer))

    def check_free(self, *versions):
        free = [item for item in ("2", "3") if self.calls.is_free_for(item)]
        self.assertEqual(free, list(versions))

    async def lose_call(self):
        with self.assertRaises(PlatformUnreachableError):
            await self.call(0.1, PlatformUnreachableError("reset"))

    def test_call_that_was_answered_is_over(self):
        async def run():
            await self.call(0.1)
            self.check_free("2", "3")
            for error in (PlatformError("400"), OrderConflictError("409")):
                with self.assertRaises(PlatformError):
                    await self.call(0.1, error)
                self.check_free("2", "3")

        run_virtual(run())

    def test_call_is_outstanding_until_its_late_answer(self):
        async def run():
            with self.assertRaises(PlatformUnreachableError):
                await self.call(10.0)
            self.assertEqual(get_time(), ANSWER_TIMEOUT_S)
            self.check_free("2")
            await asyncio.sleep(10.0)
            self.check_free("2", "3")

        run_virtual(run())

    def test_repeated_call_waits_for_the_first_one(self):
        async def run():
            for _ in range(2):
                with self.assertRaises(PlatformUnreachableError):
                    await self.call(2.5)
            await self.call()
            self.assertEqual(get_time(), 2.5)

        run_virtual(run())

    def test_lost_call_may_be_carried_out_for_some_time(self):
        async def run():
            await self.lose_call()
            await asyncio.sleep(LOST_CALL_S - 0.1)
            self.check_free("2")
            await asyncio.sleep(0.2)
            self.check_free("2", "3")

        run_virtual(run())

    def test_runner_that_restarted_has_forgotten_earlier_calls(self):
        async def run():
            self.calls.record_report(1)
            await self.lose_call()
            self.calls.record_report(1)
            self.check_free("2")
            self.calls.record_report(2)
            self.check_free("2", "3")

        run_virtual(run())

    def test_runner_that_restarted_may_have_got_a_later_call(self):
        async def run():
            self.calls.record_report(1)
            await asyncio.sleep(0.1)
            await self.lose_call()
            self.calls.record_report(2)
            self.check_free("2")

        run_virtual(run())

    def test_calls_of_the_previous_process_may_be_outstanding(self):
        async def run():
            self.calls = StagingCalls(get_time, LOST_CALL_S)
            self.calls.record_report(1)
            self.check_free()
            await asyncio.sleep(LOST_CALL_S)
            self.check_free("2", "3")

        run_virtual(run())

    def test_runner_that_restarted_has_forgotten_calls_of_the_previous_process(self):
        async def run():
            self.calls = StagingCalls(get_time, LOST_CALL_S)
            for started_ms in (1, 2):
                self.check_free()
                self.calls.record_report(started_ms)
            self.check_free("2", "3")

        run_virtual(run())

    def test_newest_version_that_is_staged_needs_no_wait(self):
        """Guards against a restarted host that waits though all chunks are staged."""

        async def run():
            self.calls = StagingCalls(get_time, LOST_CALL_S)
            for version in ("2", "3", "1"):
                self.calls.record_staged(version)
            self.check_free("3")

        run_virtual(run())


class SlowDriver(FakeDriver):
    """A runner that carries out one call late, whatever became of its caller."""

    def __init__(self, name, seconds):
        super().__init__()
        self._late = name
        self._seconds = seconds
        self._tasks = []

    async def _run(self, name, call):
        seconds = self._seconds if name == self._late else 0.0
        if seconds:
            self._late = None

        async def carry_out():
            await asyncio.sleep(seconds)
            await call

        self._tasks.append(asyncio.create_task(carry_out()))
        await asyncio.shield(self._tasks[-1])

    async def put_chunk(self, model, index, data):
        await self._run("put", super().put_chunk(model, index, data))

    async def load(self, model, version, sequence, expires_at=float("inf")):
        await self._run("load", super().load(model, version, sequence))


class StagedEngineTests(unittest.TestCase):
    """Loads beside a call of another version that the runner carries out late.

    Guards against tokens of a version of which some chunks were of another one.
    """

    def load_both(self, name):
        """Load version 2, of which one call is late, and then version 3."""

        async def run():
            driver = SlowDriver(name, 5.0)
            engine = StagedEngine(driver, "m", get_time)
            contents = {}
            for version in (2, 3):
                data, manifest = make_manifest(version)
                contents[version] = dict(enumerate(data))
                engine.staged_version = str(version)
                for index, item in enumerate(data):
                    await engine.put_chunk(str(version), index, item)
                for _ in range(100):
                    try:
                        await engine.load(manifest, len(driver.orders))
                        break
                    except EngineOrderError:
                        await asyncio.sleep(0.1)
                    if version == 2:
                        break
            self.assertEqual(driver.orders[-1][0], 3)
            for version, _, staged in driver.orders:
                self.assertEqual(staged, contents[version])

        run_virtual(run())

    def test_chunk_is_staged_late(self):
        self.load_both("put")

    def test_order_is_accepted_late(self):
        self.load_both("load")
