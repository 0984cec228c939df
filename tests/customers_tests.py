from __future__ import annotations

import asyncio

from base import FleetTestCase

from marigold.core.logs import parse_lines
from marigold.entry.audit.order import find_violations
from marigold.entry.audit.records import parse_records
from marigold.entry.audit.report import make_reports
from marigold.entry.audit.verification import ChainHead, verify_chains
from marigold.standins.topology import BackEnd, Topology

CUSTOMER = "zuzalek"
CONCURRENCY_LIMIT = 4
THREE_ENTRIES = Topology(
    {"gyor-a": "hu-west"},
    {"gyor-a": 3},
    [BackEnd("assistant", "model", {"gyor-a": 1}, ["1"])],
)


class CustomerTests(FleetTestCase):
    topology = THREE_ENTRIES

    async def send(self, index):
        entry = self.fleet.entries[index % len(self.fleet.entries)]
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": str(index)}],
            "max_tokens": 5,
        }
        key = f"Bearer {CUSTOMER}-key"
        return await self.call(entry, "/v1/chat/completions", body, Authorization=key)

    async def test_concurrency_limit_holds_over_all_entries_and_in_the_audit(self):
        answers = await asyncio.gather(*(self.send(index) for index in range(15)))
        self.assertEqual({status for status, _ in answers}, {200})
        text = "".join(entry.read_log() for entry in self.fleet.entries)
        lines = list(parse_lines(text.splitlines()))
        records = parse_records(lines)
        self.assertEqual(len(records), 15)
        report = make_reports(lines, records)[0]
        self.assertLessEqual(report.peak, CONCURRENCY_LIMIT)
        last = max(records, key=lambda item: item.number)
        head = ChainHead(last.process, last.incarnation, last.number, last.digest)
        self.assertEqual(verify_chains(records, [head]), [])
        self.assertEqual(find_violations(records), [])
