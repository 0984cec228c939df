from __future__ import annotations

import asyncio
import json
import signal

from base import FleetTestCase

from marigold.standins.topology import BackEnd, Topology

TWO_ENTRIES = Topology(
    {"gyor-a": "hu-west"},
    {"gyor-a": 2},
    [BackEnd("booking", "service", {"gyor-a": 1})],
)
KEY = {"Idempotency-Key": "plot-7"}
ATTEMPT_STARTED = "event=attempt_started"
CLAIM_WRITES = {"PUT objects/claims", "DELETE objects/claims"}


class KeyedRequestTests(FleetTestCase):
    topology = TWO_ENTRIES

    async def book(self, entry, plot=7):
        path = "/services/booking/new"
        status, text = await self.call(entry, path, {"plot": plot}, **KEY)
        return status, json.loads(text)

    async def get_executions(self):
        url = f"{self.fleet.targets[0].back_end_url}/executions"
        return (await self.fleet.get_json(url))["executions"]

    async def count_claim_writes(self):
        """Return the number of claim writes, without the renewals of leases."""
        calls = await self.fleet.get_json(f"{self.fleet.platform_url}/calls")
        kinds = calls["by_kind"].items()
        return sum(n for kind, n in kinds if kind in CLAIM_WRITES)

    async def test_booking_runs_once_when_its_entry_is_killed(self):
        first, second = self.fleet.entries
        target = self.fleet.targets[0]
        await self.fleet.set_faults(target.back_end_url, delay=1.0)
        running = asyncio.create_task(self.book(first))
        await self.wait_for_event(target, ATTEMPT_STARTED)
        await first.child.kill()
        await asyncio.gather(running, return_exceptions=True)
        while (answer := await self.book(second))[0] == 409:
            await asyncio.sleep(0.05)
        self.assertEqual(answer[0], 200)
        self.assertEqual(answer[1]["execution"], 1)
        self.assertEqual(len(await self.get_executions()), 1)

    async def test_repeated_booking_is_answered_from_its_claim_also_in_an_outage(self):
        first, second = self.fleet.entries
        before = await self.count_claim_writes()
        status, answer = await self.book(first)
        self.assertEqual(status, 200)
        self.assertEqual(await self.count_claim_writes() - before, 2)
        self.assertEqual(await self.book(second), (200, answer))
        self.assertEqual((await self.book(second, plot=8))[0], 422)
        await self.fleet.set_faults(self.fleet.platform_url, outage=True)
        self.assertEqual(await self.book(first), (200, answer))
        other_key = {"Idempotency-Key": "plot-9"}
        path = "/services/booking/new"
        status, text = await self.call(first, path, {}, **other_key)
        error = json.loads(text)["error"]
        self.assertEqual((status, error["executed"]), (503, "no"))
        self.assertEqual(len(await self.get_executions()), 1)

    async def test_planned_stop_waits_until_the_claim_is_written(self):
        first, second = self.fleet.entries
        target = self.fleet.targets[0]
        await self.fleet.set_faults(target.back_end_url, delay=0.5)
        running = asyncio.create_task(self.book(first))
        await self.wait_for_event(target, ATTEMPT_STARTED)
        await self.fleet.set_faults(self.fleet.platform_url, outage=True)
        answer = await running
        self.assertEqual(answer[0], 200)
        first.child.send_signal(signal.SIGTERM)
        await self.wait_for_event(first, "event=leaving")
        await self.fleet.set_faults(self.fleet.platform_url, outage=False)
        self.assertEqual(await first.child.wait(), 0)
        await target.child.kill()
        self.assertEqual(await self.book(second), answer)

    async def wait_for_event(self, host, event):
        while event not in host.read_log():
            await asyncio.sleep(0.01)
