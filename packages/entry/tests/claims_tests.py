from __future__ import annotations

import asyncio
import itertools
import random
import unittest
from unittest.mock import patch

from expression import Error, Ok
from fake_objects import FakeObjects as SharedFakeObjects

from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    PlatformUnreachableError,
)
from marigold.core.platform.objects import StoredObject
from marigold.core.schema.generated.messages import StartAttempt
from marigold.core.schema.generated.records import Claim
from marigold.entry.claims import store as store_module
from marigold.entry.claims.dispatcher import REPLAYED_HEADER, IdempotentDispatcher
from marigold.entry.claims.store import ClaimStore, get_claim_name
from marigold.entry.claims.sweeper import ClaimSweeper
from marigold.entry.exceptions import (
    AnswerNotKeptError,
    KeyInProgressError,
    KeyReusedError,
    NoCapacityError,
    TargetFailedError,
    UnreachableError,
)
from marigold.entry.lists.compiled import CustomerPlan
from marigold.entry.routing.calls import AttemptFailure
from marigold.entry.routing.requests import Answer, Request

RETENTION_S = 3600.0
REQUEST_TIMEOUT_S = 60.0


class FakeObjects:
    """The object API in memory."""

    def __init__(self):
        self.objects = {}
        self.versions = itertools.count(1)
        self.writes = 0
        self.reads = 0
        self.lost_answers = 0
        self.lost_writes = 0
        self.is_down = False
        self.goes_down = False

    def _check_up(self):
        if self.is_down:
            raise PlatformUnreachableError("outage")

    async def get(self, name):
        self.reads += 1
        await asyncio.sleep(0)
        self._check_up()
        if name not in self.objects:
            raise ObjectNotFoundError(name)
        version, data = self.objects[name]
        return StoredObject(name, data, version)

    async def update(self, name, data, version):
        self.writes += 1
        await asyncio.sleep(0)
        self._check_up()
        if self.lost_writes:
            self.lost_writes -= 1
            raise PlatformUnreachableError("lost on its way")
        current = self.objects.get(name, (0, b""))[0]
        if current != version:
            raise ObjectConflictError(name, current)
        self.objects[name] = (next(self.versions), data)
        self.is_down = self.goes_down
        self._check_up()
        if self.lost_answers:
            self.lost_answers -= 1
            raise PlatformUnreachableError("answer lost")
        return self.objects[name][0]


class FakeBackEnd:
    """Record of the attempts that the only target has run or voided."""

    def __init__(self):
        self.ran = []
        self.void = set()
        self.fences = []


class FakeDispatcher:
    def __init__(self, back_end):
        self.back_end = back_end
        self.error = None
        self.body = b"booked"
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.started = asyncio.Event()

    async def run(self, req):
        start = StartAttempt(
            attempt=f"{req.id}.1",
            request=req.id,
            incarnation=7,
            customer="c",
            service=req.service,
            method=req.method,
            path=req.path,
            headers={},
            body=req.body,
        )
        if req.claim is not None:
            await req.claim.record_attempt(start, "t-1")
        self.started.set()
        await self.may_finish.wait()
        if self.error is not None:
            raise self.error
        if start.attempt in self.back_end.void:
            raise NoCapacityError("void", 1.0)
        self.back_end.ran.append(start.attempt)
        self.back_end.fences.append(start.claim_fence)
        return Answer(201, {}, self.body)

    def finish(self, req):
        pass


class FakeRecovery:
    """Recovers attempts from the fake back end as from a target."""

    def __init__(self, back_end):
        self.back_end = back_end
        self.is_reachable = True

    async def recover(self, req, claim, name):
        if not self.is_reachable:
            return Error(AttemptFailure("target unreachable", "unknown"))
        if claim.attempt in self.back_end.ran:
            return Ok(Answer(201, {}, b"booked"))
        self.back_end.void.add(claim.attempt)
        return Error(AttemptFailure("link lost before start", "no"))


class FakeEntry:
    """The idempotent dispatcher of one entry process and its fakes."""

    def __init__(self, name, objects, back_end, live):
        self.dispatcher = FakeDispatcher(back_end)
        self.recovery = FakeRecovery(back_end)
        self.count = itertools.count(1)
        self.name = name
        self.idempotent = IdempotentDispatcher(
            self.dispatcher,
            ClaimStore(objects),
            self.recovery,
            name,
            RETENTION_S,
            REQUEST_TIMEOUT_S,
            itertools.count(1).__next__,
            live.__contains__,
        )

    async def run(self, body=b"plot 1", key="k", path="/new"):
        req = Request(
            id=f"{self.name}-{next(self.count)}",
            customer=CustomerPlan.__new__(CustomerPlan),
            service="booking",
            method="POST",
            path=path,
            headers={},
            body=body,
            timeout=REQUEST_TIMEOUT_S,
            idempotency_key=key,
        )
        req.customer.name = "c"
        async with asyncio.timeout(5):
            return await self.idempotent.run(req)


class ClaimTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.objects = FakeObjects()
        self.back_end = FakeBackEnd()
        self.live = {"e-1", "e-2"}
        self.first, self.second = (
            FakeEntry(name, self.objects, self.back_end, self.live)
            for name in ("e-1", "e-2")
        )

    async def kill_first_entry_mid_request(self, has_run):
        """Mark the first entry as dead while it runs a request."""
        self.first.dispatcher.may_finish.clear()
        task = asyncio.create_task(self.first.run())
        await self.first.dispatcher.started.wait()
        if has_run:
            self.back_end.ran.append("e-1-1.1")
        self.live.discard("e-1")
        return task

    async def end(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_repeated_request_gets_stored_answer_with_two_writes(self):
        first = await self.first.run()
        for entry in (self.first, self.second):
            answer = await entry.run()
            self.assertEqual((answer.status, answer.body), (201, first.body))
            self.assertEqual(answer.headers[REPLAYED_HEADER], "true")
        self.assertEqual(len(self.back_end.ran), 1)
        self.assertEqual(self.objects.writes, 2)

    async def test_different_request_with_same_key_is_refused(self):
        await self.first.run()
        for entry in (self.first, self.second):
            with self.assertRaises(KeyReusedError):
                await entry.run(body=b"plot 2")
        self.assertEqual(len(self.back_end.ran), 1)

    async def test_simultaneous_requests_run_once(self):
        results = await asyncio.gather(
            self.first.run(),
            self.second.run(),
            self.first.run(),
            return_exceptions=True,
        )
        self.assertEqual(len(self.back_end.ran), 1)
        for result in results:
            self.assertIsInstance(result, Answer | KeyInProgressError)

    async def test_request_running_at_a_live_entry_is_not_taken_over(self):
        task = await self.kill_first_entry_mid_request(has_run=False)
        self.live.add("e-1")
        with self.assertRaises(KeyInProgressError):
            await self.second.run()
        self.first.dispatcher.may_finish.set()
        self.assertEqual((await task).body, b"booked")

    async def test_answer_is_recovered_when_entry_dies_after_start(self):
        task = await self.kill_first_entry_mid_request(has_run=True)
        self.assertEqual((await self.second.run()).body, b"booked")
        self.assertEqual(self.back_end.ran, ["e-1-1.1"])
        await self.end(task)

    async def test_request_runs_once_when_entry_dies_before_start(self):
        task = await self.kill_first_entry_mid_request(has_run=False)
        self.assertEqual((await self.second.run()).body, b"booked")
        self.first.dispatcher.may_finish.set()
        with self.assertRaises(NoCapacityError):
            await task
        self.assertEqual(self.back_end.ran, ["e-2-1.1"])
        self.assertEqual((await self.second.run()).body, b"booked")
        self.assertEqual((await self.first.run()).body, b"booked")

    async def test_taken_over_claim_has_a_higher_fence(self):
        task = await self.kill_first_entry_mid_request(has_run=False)
        store = ClaimStore(self.objects)
        found = await store.read(next(iter(self.objects.objects)))
        await self.second.run()
        self.assertEqual(self.back_end.fences, [found.claim.fence + 1])
        await self.end(task)

    async def test_outcome_at_unreachable_target_is_unknown_and_not_rerun(self):
        task = await self.kill_first_entry_mid_request(has_run=True)
        self.second.recovery.is_reachable = False
        for _ in range(2):
            with self.assertRaises(TargetFailedError) as caught:
                await self.second.run()
            self.assertEqual(caught.exception.executed, "unknown")
        self.assertEqual(len(self.back_end.ran), 1)
        await self.end(task)

    async def test_lost_responses_of_the_store_cause_no_second_run(self):
        self.objects.lost_answers = 1
        await self.first.run()
        self.objects.lost_answers = 1
        await self.second.run(key="l")
        self.objects.lost_writes = 1
        await self.second.run(key="m")
        self.assertEqual(len(self.back_end.ran), 3)
        self.assertEqual((await self.second.run()).headers[REPLAYED_HEADER], "true")

    async def test_new_key_is_refused_without_waiting_in_an_outage(self):
        self.objects.is_down = True
        for _ in range(2):
            with self.assertRaises(UnreachableError) as caught:
                await self.first.run()
            self.assertEqual(caught.exception.executed, "no")
            self.assertGreater(caught.exception.retry_after, 0)
        self.assertEqual(self.objects.reads, 1)
        self.assertEqual(self.back_end.ran, [])

    async def test_outage_during_a_request_does_not_delay_the_answer(self):
        task = await self.kill_first_entry_mid_request(has_run=False)
        self.objects.is_down = True
        self.first.dispatcher.may_finish.set()
        self.assertEqual((await task).body, b"booked")
        self.assertEqual((await self.first.run()).headers[REPLAYED_HEADER], "true")
        self.assertEqual(len(self.back_end.ran), 1)

    async def test_key_of_an_unexecuted_request_can_be_reused(self):
        self.first.dispatcher.error = NoCapacityError("busy", 1.0)
        with self.assertRaises(NoCapacityError):
            await self.first.run()
        await self.second.run(body=b"plot 2")
        self.assertEqual(len(self.back_end.ran), 1)

    async def test_key_can_be_reused_after_an_outage_lost_the_claim_response(self):
        self.objects.goes_down = True
        with (
            patch("marigold.entry.claims.writer.WRITE_RETRY_DELAYS_S", [0.01] * 500),
            patch("marigold.entry.claims.dispatcher.CLAIM_WRITE_WAIT_S", 0),
        ):
            with self.assertRaises(UnreachableError) as caught:
                await self.first.run()
            self.assertEqual(caught.exception.executed, "no")
            self.objects.goes_down = self.objects.is_down = False
            await asyncio.gather(*self.first.idempotent._tasks)
        await self.second.run(body=b"plot 2")
        self.assertEqual(self.back_end.ran, ["e-2-1.1"])

    async def test_disconnected_caller_can_retry_at_another_entry(self):
        task = await self.kill_first_entry_mid_request(has_run=True)
        self.live.add("e-1")
        await self.end(task)
        await asyncio.gather(*self.first.idempotent._tasks)
        self.assertEqual((await self.second.run()).body, b"booked")
        self.assertEqual(len(self.back_end.ran), 1)

    async def test_large_answer_is_not_stored_and_not_rerun(self):
        self.first.dispatcher.body = bytes(store_module.MAXIMUM_BODY_BYTES + 1)
        await self.first.run()
        with self.assertRaises(AnswerNotKeptError) as caught:
            await self.second.run()
        self.assertEqual(caught.exception.executed, "yes")

    async def test_expired_key_can_be_reused(self):
        await self.first.run()
        self.second.idempotent._retention = -1.0
        await self.second.run()
        self.assertEqual(len(self.back_end.ran), 2)


class ClaimSweeperTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.objects = SharedFakeObjects()
        self.store = ClaimStore(self.objects)
        self.now = 1000.0
        self.sweeper = ClaimSweeper(
            self.objects, None, 6.0, 100.0, random.Random(3), lambda: self.now
        )
        self.name = get_claim_name("c", "k")
        shard = int(self.name.split("/")[1], 16)
        self.sweeper._shard = shard - 1
        self.shard = shard
        await self.store.write(self.name, self.make_claim(), 0)

    def make_claim(self):
        return Claim(
            request="r", attempt="r.1", fence=1, state="done", made_at=self.now
        )

    async def test_only_expired_claims_are_removed(self):
        self.now = 1099.0
        await self.sweeper.sweep_next()
        self.assertIsNotNone(await self.store.read(self.name))
        self.now = 1101.0
        self.sweeper._shard = self.shard - 1
        await self.sweeper.sweep_next()
        self.assertIsNone(await self.store.read(self.name))

    async def test_claim_renewed_during_the_sweep_stays(self):
        self.now = 1101.0
        found = await self.store.read(self.name)
        read = self.store.read

        async def read_late(name):
            await self.store.write(name, self.make_claim(), found.version)
            return found

        self.sweeper._store.read = read_late
        await self.sweeper.sweep_next()
        self.assertIsNotNone(await read(self.name))
