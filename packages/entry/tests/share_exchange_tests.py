from __future__ import annotations

import time
import unittest
from collections import defaultdict
from types import SimpleNamespace

from admission_base import make_customer, make_limits, make_request, make_view

from marigold.core.clock import HybridClock
from marigold.core.schema.generated.settings import CallerLimits
from marigold.entry.admission.controller import AdmissionController
from marigold.entry.admission.exchange import ShareExchange
from marigold.entry.admission.fair import FairShareAdmission
from marigold.entry.admission.limits import TokenBucket
from marigold.entry.audit.chain import AuditChain
from marigold.entry.exceptions import RateLimitedError

NAMES = ("e1", "e2", "e3", "e4")


class Peers:
    """Peers of one entry, to which messages are delivered at once."""

    def __init__(self, name, all_peers):
        self.name = name
        self.all_peers = all_peers
        self.handlers = defaultdict(list)
        all_peers[name] = self

    def subscribe(self, cls, handler):
        self.handlers[cls].append(handler)

    def on_open(self, handler):
        pass

    def get_names(self):
        return [name for name in self.all_peers if name != self.name]

    async def send(self, process, message):
        link = SimpleNamespace(
            peer=SimpleNamespace(process=self.name, incarnation=1),
            send=lambda answer: self.all_peers[process].send(self.name, answer),
        )
        for handler in self.all_peers[process].handlers[type(message)]:
            await handler(link, message)


class ShareExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.customer = make_customer("a", rate=0.001, burst=8, concurrency=4)
        views = [make_view("t1", limit=100)]
        peers = {}
        self.admissions = {}
        self.shares = {}
        self.ledgers = {}
        for name in NAMES:
            others = [item for item in NAMES if item != name]
            entries = (name, *others)
            ledger, limits = make_limits({"a": self.customer}, views, entries)
            self.ledgers[name] = ledger
            admission = self.admissions[name] = AdmissionController(
                CallerLimits(),
                limits,
                None,
                lambda service: [],
                FairShareAdmission,
                None,
                HybridClock(),
                AuditChain(name, 1),
            )
            self.shares[name] = ShareExchange(
                Peers(name, peers), ledger, limits, admission.on_shares_change
            )
            admission.set_share_exchange(self.shares[name])
            self.addAsyncCleanup(self.shares[name].stop)
        hosts = [SimpleNamespace(host=name, role="entry") for name in NAMES]
        for _ in range(4):
            for shares in self.shares.values():
                await shares.sync(hosts)
                await shares._send_all()
        for shares in self.shares.values():
            shares._first_agreed = 0.0
        for ledger in self.ledgers.values():
            # All entries have held their units long enough to fill their buckets.
            ledger.agreed_at = -1e9

    async def enter(self, name):
        try:
            await self.admissions[name].enter(make_request(self.customer))
        except RateLimitedError as exc:
            self.assertGreater(exc.retry_after, 0)
            return 0
        return 1

    async def count_sent(self, name):
        sent = []

        async def record(peer):
            sent.append(peer)

        self.shares[name]._send_demand = record
        await self.shares[name]._send_due_demands()
        return len(sent)

    async def test_entries_without_needs_send_rarely(self):
        others = len(NAMES) - 1
        self.assertEqual(await self.count_sent("e1"), 0)
        ledger = self.ledgers["e1"]
        ledger.set_need("slots/a", 4, time.monotonic())
        self.assertEqual(await self.count_sent("e1"), others)
        self.assertEqual(await self.count_sent("e1"), others)
        ledger._registry._resources.clear()
        # The end of the need is reported once.
        self.assertEqual(await self.count_sent("e1"), others)
        self.assertEqual(await self.count_sent("e1"), 0)

    async def test_rate_limit_applies_across_entries(self):
        acquired = 0
        for _ in range(12):
            for name in NAMES:
                acquired += await self.enter(name)
        self.assertLessEqual(acquired, 8)
        self.assertGreaterEqual(acquired, 4)

    async def test_one_entry_gets_nearly_the_whole_burst(self):
        acquired = 0
        for _ in range(12):
            acquired += await self.enter("e1")
        self.assertLessEqual(acquired, 8)
        self.assertGreaterEqual(acquired, 6)


class TokenBucketTests(unittest.TestCase):
    def test_received_units_earn_no_tokens_for_the_time_before(self):
        bucket = TokenBucket(1, 0.0)
        bucket.refill(rate=1.0, burst=50.0, units=8, now=10.0)
        self.assertEqual(bucket.tokens, 10.0)
        bucket.refill(rate=1.0, burst=1.0, units=4, now=10.0)
        self.assertEqual(bucket.tokens, 4.0)
