from __future__ import annotations

import asyncio
import json
import signal

from base import FleetTestCase

from marigold.core.lifecycle import EXIT_STOPPED_TWICE
from marigold.standins.topology import BackEnd, Topology


class StopTimeoutTests(FleetTestCase):
    topology = Topology(
        {"gyor-a": "hu-west"},
        {"gyor-a": 1},
        [BackEnd("booking", "service", {"gyor-a": 1})],
    )
    settings = {"target": {"stop_timeout": 0.5}}

    async def start_endless_call(self):
        """Start a call that the service does not complete."""
        target = self.fleet.targets[0]
        await self.fleet.set_faults(target.back_end_url, delay=600.0)
        entry = self.fleet.entries[0]
        call = asyncio.create_task(self.call(entry, "/services/booking/new", {}))
        while "event=attempt_started" not in target.read_log():
            await asyncio.sleep(0.01)
        return target, call

    async def test_call_that_exceeds_the_stop_timeout_is_answered(self):
        target, call = await self.start_endless_call()
        self.assertEqual(await target.child.stop(), 0)
        status, text = await call
        error = json.loads(text)["error"]
        self.assertEqual((status, error["type"]), (502, "target_failed"))
        self.assertEqual(error["executed"], "unknown")
        self.assertIn("stopped", error["message"])

    async def test_second_signal_ends_the_process_at_once(self):
        entry = self.fleet.entries[0]
        _, call = await self.start_endless_call()
        entry.child.send_signal(signal.SIGTERM)
        while "event=leaving" not in entry.read_log():
            await asyncio.sleep(0.01)
        entry.child.send_signal(signal.SIGTERM)
        self.assertEqual(await entry.child.wait(), EXIT_STOPPED_TWICE)
        await asyncio.gather(call, return_exceptions=True)


class EntryStopTimeoutTests(FleetTestCase):
    topology = StopTimeoutTests.topology
    settings = {"entry": {"stop_timeout": 1.0}}

    async def test_call_that_exceeds_the_stop_timeout_is_answered(self):
        target = self.fleet.targets[0]
        await self.fleet.set_faults(target.back_end_url, delay=600.0)
        entry = self.fleet.entries[0]
        call = asyncio.create_task(self.call(entry, "/services/booking/new", {}))
        while "event=attempt_started" not in target.read_log():
            await asyncio.sleep(0.01)
        self.assertEqual(await entry.child.stop(), 0)
        status, text = await call
        error = json.loads(text)["error"]
        self.assertEqual((status, error["executed"]), (504, "unknown"))
