from __future__ import annotations

import asyncio
import json

from base import FleetTestCase

from marigold.standins.engine import CRASH_MARKER
from marigold.standins.topology import BackEnd, Topology

ROUNDS = 3
REGULAR_REQUESTS = 10


class QuarantineTests(FleetTestCase):
    topology = Topology(
        {"gyor-a": "hu-west"},
        {"gyor-a": 3},
        [BackEnd("assistant", "model", {"gyor-a": 5}, ["1"])],
    )

    async def send_poison(self):
        sends = [self.complete(entry, CRASH_MARKER) for entry in self.fleet.entries]
        return [json.loads(text)["error"] for _, text in await asyncio.gather(*sends)]

    async def send_regular(self, entry):
        return [
            await self.complete(entry, f"{entry.name} {number}", max_tokens=5)
            for number in range(REGULAR_REQUESTS)
        ]

    async def test_poison_request_at_every_entry_crashes_two_engines_at_most(self):
        tasks = [
            asyncio.create_task(self.send_regular(entry))
            for entry in self.fleet.entries
            for _ in range(4)
        ]
        for _ in range(ROUNDS):
            errors = await self.send_poison()
        self.assertEqual({error["type"] for error in errors}, {"quarantined"})
        self.assertEqual({error["executed"] for error in errors}, {"no"})
        failed = [
            answer
            for answers in await asyncio.gather(*tasks)
            for answer in answers
            if answer[0] != 200
        ]
        self.assertEqual(failed, [])
        crashed = [
            target.name
            for target in self.fleet.targets
            if not target.back_end.is_running()
        ]
        self.assertLessEqual(len(crashed), 2)
        self.assertGreater(len(crashed), 0)
