from __future__ import annotations

import asyncio
import json

from base import FleetTestCase

from marigold.standins.engine import make_tokens
from marigold.standins.topology import BackEnd, Topology

VALID_KEY = "Bearer kavics-bt-key"
SMALL_TOPOLOGY = Topology(
    {"gyor-a": "hu-west"},
    {"gyor-a": 1},
    [
        BackEnd("assistant", "model", {"gyor-a": 1}, ["1"]),
        BackEnd("booking", "service", {"gyor-a": 1}),
    ],
)


class RequestPathTests(FleetTestCase):
    topology = SMALL_TOPOLOGY

    async def test_requests_are_answered(self):
        entry = self.fleet.entries[0]
        status, text = await self.complete(entry, "how thick?", max_tokens=3)
        self.assertEqual(status, 200)
        content = json.loads(text)["choices"][0]["message"]["content"]
        self.assertEqual(content, "".join(make_tokens("1", "how thick?", 3)))
        status, text = await self.complete(entry, "a", max_tokens=3, stream=True)
        self.assertTrue(text.endswith("data: [DONE]\n\n"))
        status, text = await self.call(entry, "/services/booking/new", {"plot": 1})
        self.assertEqual(json.loads(text)["execution"], 1)
        await self.call(entry, "/services/booking/a%2Fb%3Fc?d=1", {})
        url = f"{self.find_target('booking').back_end_url}/executions"
        executions = (await self.fleet.get_json(url))["executions"]
        self.assertEqual(executions[-1]["path"], "/a/b?c")

    def find_target(self, service):
        return next(host for host in self.fleet.targets if host.service == service)

    async def test_errors_have_a_type_and_say_that_nothing_ran(self):
        entry = self.fleet.entries[0]
        cases = [
            ("/v1/chat/completions", {"model": 5}, VALID_KEY, 400, "malformed_request"),
            ("/v1/chat/completions", {}, "Bearer x", 401, "unauthorized"),
            ("/services/none/x", {}, VALID_KEY, 403, "not_allowed"),
        ]
        for path, body, key, status, kind in cases:
            with self.subTest(kind):
                got, text = await self.call(entry, path, body, Authorization=key)
                error = json.loads(text)["error"]
                self.assertEqual((got, error["type"]), (status, kind))
                self.assertEqual(error["executed"], "no")

    async def test_planned_stop_completes_running_requests(self):
        entry, target = self.fleet.entries[0], self.fleet.targets[0]
        running = asyncio.create_task(
            self.complete(entry, "long", max_tokens=100, stream=True)
        )
        while "attempt_started" not in target.read_log():
            await asyncio.sleep(0.01)
        stopped = await asyncio.gather(target.child.stop(), entry.child.stop())
        status, text = await running
        self.assertTrue(text.endswith("data: [DONE]\n\n"))
        self.assertEqual(stopped, [0, 0])
