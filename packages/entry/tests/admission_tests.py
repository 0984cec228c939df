from __future__ import annotations

import asyncio
import random
import time
import unittest

from admission_base import make_customer, make_limits, make_request, make_view
from eliot import add_destinations, remove_destination

from marigold.core.clock import HybridClock
from marigold.core.schema.generated.settings import CallerLimits
from marigold.entry.admission.controller import AdmissionController
from marigold.entry.admission.fair import FairShareAdmission
from marigold.entry.audit.chain import ADMISSION_EVENT, AuditChain
from marigold.entry.exceptions import (
    NoCapacityError,
    RateLimitedError,
    UnreachableError,
)
from marigold.entry.routing.load import RECONNECT_GRACE_S, SILENCE_S
from marigold.entry.routing.router import TwoChoiceRouter

NO_EXCLUSIONS = frozenset()


class AdmissionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.views = [make_view("t1")]
        self.customers = {}
        _, self.limits = make_limits(self.customers, self.views)
        self.admission = AdmissionController(
            CallerLimits(),
            self.limits,
            TwoChoiceRouter(),
            lambda service: self.views,
            FairShareAdmission,
            random.Random(4),
            HybridClock(),
            AuditChain("e1", 1),
        )

    def make(self, name, **options):
        self.customers[name] = make_customer(name, **options)
        return self.customers[name]

    async def start(self, req, excluded=NO_EXCLUSIONS):
        task = asyncio.create_task(self.admission.acquire(req, excluded))
        await asyncio.sleep(0)
        return task

    def end(self, req, grant):
        grant.target.outstanding -= 1
        self.admission.leave(req)
        self.admission.admit_waiting()

    async def test_audit_record_contains_generation_in_force(self):
        records = []
        self.addCleanup(remove_destination, records.append)
        add_destinations(records.append)
        await self.admission.acquire(make_request(self.make("a")), NO_EXCLUSIONS)
        found = [item for item in records if item["message_type"] == ADMISSION_EVENT]
        # Events buffered before the destination was added come first.
        self.assertEqual(found[-1]["generation"], 1)

    async def test_version_without_capacity_blocks_no_other(self):
        stuck = self.make("stuck", plan="large", precedence=0)
        self.views.append(make_view("t2", versions=("2",), limit=1))
        running = make_request(stuck, versions=("2",))
        await self.admission.acquire(running, NO_EXCLUSIONS)
        waiting = await self.start(make_request(stuck, 1, versions=("2",)))
        free = make_request(self.make("free"))
        await asyncio.wait_for(self.admission.acquire(free, NO_EXCLUSIONS), 5)
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_retried_attempt_blocks_no_other(self):
        customer = self.make("a")
        first, second = make_request(customer, 1), make_request(customer, 2)
        self.views.append(make_view("t2"))
        grant = await self.admission.acquire(first, NO_EXCLUSIONS)
        other = next(view for view in self.views if view is not grant.target)
        other.outstanding = 1
        grant.target.outstanding -= 1
        retried = await self.start(first, frozenset({grant.target.host}))
        await asyncio.wait_for(self.admission.acquire(second, NO_EXCLUSIONS), 5)
        self.assertFalse(retried.done())
        other.outstanding = 0
        self.admission.admit_waiting()
        self.assertIs((await retried).target, other)

    async def test_plan_is_limited_to_its_share_of_slots(self):
        self.views[:] = [make_view("t1", limit=10)]
        customer = self.make("a", capacity=0.5)
        tasks = [await self.start(make_request(customer, n)) for n in range(10)]
        self.assertEqual(sum(task.done() for task in tasks), 5)
        other = make_request(self.make("b", plan="basic"))
        await asyncio.wait_for(self.admission.acquire(other, NO_EXCLUSIONS), 5)
        self.end(make_request(customer, 0), tasks[0].result())
        await asyncio.sleep(0)
        self.assertEqual(sum(task.done() for task in tasks), 6)
        for task in tasks:
            task.cancel()

    async def test_end_of_request_admits_next_one_at_concurrency_limit(self):
        self.views[:] = [make_view("t1", limit=10)]
        customer = self.make("a", concurrency=1)
        first, second = make_request(customer, 1), make_request(customer, 2)
        grant = await self.admission.acquire(first, NO_EXCLUSIONS)
        task = await self.start(second)
        self.assertFalse(task.done())
        self.end(first, grant)
        await asyncio.wait_for(task, 5)

    async def test_grant_of_cancelled_request_is_released(self):
        customer = self.make("a")
        first = make_request(customer, 1)
        grant = await self.admission.acquire(first, NO_EXCLUSIONS)
        task = await self.start(make_request(customer, 2))
        self.end(first, grant)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(self.views[0].outstanding, 0)

    async def test_wait_ends_at_the_deadline(self):
        customer = self.make("a")
        await self.admission.acquire(make_request(customer, 1), NO_EXCLUSIONS)
        with self.assertRaises(NoCapacityError) as raised:
            await self.admission.acquire(
                make_request(customer, 2, timeout=0.01), NO_EXCLUSIONS
            )
        self.assertGreater(raised.exception.retry_after, 0)

    async def test_request_that_would_wait_too_long_is_refused_at_once(self):
        customer = self.make("a", rate=10_000.0, burst=1000, concurrency=100)
        await self.admission.acquire(make_request(customer, 0), NO_EXCLUSIONS)
        tasks = [await self.start(make_request(customer, n)) for n in range(1, 30)]
        waits = self.admission._get_queue("assistant").waits
        started = time.monotonic() - 10.0
        waits.end_wait("a")
        waits.begin_wait("a", started)
        for index in range(20):
            waits.record_admission("a", started + index / 2)
        with self.assertRaises(NoCapacityError) as raised:
            await self.admission.enter(make_request(customer, 99))
        self.assertGreater(raised.exception.retry_after, 3.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.admission.enter(make_request(customer, 100))

    async def test_customer_at_its_concurrency_gets_rate_limited_error(self):
        self.views[:] = [make_view("t1", limit=10)]
        customer = self.make("a", concurrency=1)
        await self.admission.acquire(make_request(customer, 1), NO_EXCLUSIONS)
        with self.assertRaises(RateLimitedError):
            await self.admission.acquire(
                make_request(customer, 2, timeout=0.01), NO_EXCLUSIONS
            )

    def lose_link(self, lost_at):
        self.views[0].is_open = False
        self.views[0].lost_at = lost_at

    async def test_request_waits_for_reconnect(self):
        self.lose_link(time.monotonic())
        task = await self.start(make_request(self.make("a")))
        self.assertFalse(task.done())
        self.views[0].is_open = True
        self.admission.admit_waiting()
        grant = await asyncio.wait_for(task, 5)
        self.assertIs(grant.target, self.views[0])

    async def test_silent_or_lost_link_does_not_raise_wait_estimate(self):
        # The target is full of requests that it will not answer, and others wait for
        # 1.5 s until its silent link is closed and opened again.
        customer = self.make("a", rate=10_000.0, burst=1000, concurrency=100)
        await self.admission.acquire(make_request(customer, 0), NO_EXCLUSIONS)
        tasks = [await self.start(make_request(customer, n)) for n in range(1, 30)]
        waits = self.admission._get_queue("assistant").waits
        waits.end_wait("a")
        waits.begin_wait("a", time.monotonic() - 1.5)
        waits.record_admission("a", time.monotonic() - 1.4)
        self.views[0].last_message_at = time.monotonic() - 1.2 * SILENCE_S
        await self.admission.enter(make_request(customer, 97))
        self.lose_link(time.monotonic())
        self.admission.admit_waiting()
        await self.admission.enter(make_request(customer, 98))
        self.views[0].last_message_at = time.monotonic()
        self.views[0].is_open = True
        self.admission.admit_waiting()
        await self.admission.enter(make_request(customer, 99))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_wait_for_reconnect_is_bounded(self):
        self.lose_link(time.monotonic())
        started = time.monotonic()
        with self.assertRaises(UnreachableError):
            await self.admission.acquire(make_request(self.make("a")), NO_EXCLUSIONS)
        self.assertLess(time.monotonic() - started, 2 * RECONNECT_GRACE_S)

    async def test_request_does_not_wait_for_link_lost_long_ago(self):
        self.lose_link(time.monotonic() - 2 * RECONNECT_GRACE_S)
        task = await self.start(make_request(self.make("a")))
        await asyncio.sleep(0)
        self.assertIsInstance(task.exception(), UnreachableError)
