from __future__ import annotations

import asyncio
import unittest

from gate_fakes import (
    INCARNATION,
    FakeDriver,
    FakeLink,
    FakeResponse,
    make_gate,
    make_settings,
    make_start,
)

from marigold.core.schema.generated.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerTaken,
    CancelAttempt,
    ChunksHeld,
    FetchAttempt,
    Leaving,
    LeavingSeen,
    RefuseAttempt,
    TargetReport,
    VoidAnswer,
    VoidAttempt,
)
from marigold.target.exceptions import OldFenceError
from marigold.target.gate.drivers import BackEndError, BackEndUnreachableError
from marigold.target.gate.records import WINDOW_BYTES, AttemptRecord, AttemptTable


class GateTestCase(unittest.IsolatedAsyncioTestCase):
    """A gate with one served link."""

    kind = "service"
    settings: dict = {}

    async def asyncSetUp(self):
        self.driver = FakeDriver()
        cfg = make_settings(self.kind, **self.settings)
        self.gate = make_gate(self.driver, cfg)
        self.link = self.open_link()

    def open_link(self, process="entry-1"):
        link = FakeLink(process)
        task = asyncio.create_task(self.gate.serve(link))
        self.addAsyncCleanup(self._end, link, task)
        return link

    async def _end(self, link, task):
        link.close()
        await task


class BackEndLossTests(GateTestCase):
    async def test_failure_tells_whether_the_back_end_is_gone(self):
        for listens, outcome in ((True, "failed"), (False, "lost")):
            with self.subTest(outcome):
                link = self.open_link(outcome)
                self.driver.listens = listens
                self.driver.answer(outcome, BackEndError("connection reset"))
                link.put(make_start(outcome))
                self.assertEqual((await link.wait_for(AnswerEnd)).outcome, outcome)


class GateHandlerTests(GateTestCase):
    async def test_message_of_a_type_goes_to_its_handlers(self):
        taken = asyncio.get_running_loop().create_future()

        async def take(link, message):
            taken.set_result((link, message))

        self.gate.subscribe(ChunksHeld, take)
        held = ChunksHeld(model="m", version="1", digest="d", chunks=[1])
        self.link.put(Leaving(incarnation=1), held)
        self.assertEqual(await taken, (self.link, held))

    async def test_open_handler_gets_the_link(self):
        opened = asyncio.get_running_loop().create_future()

        async def take(link):
            opened.set_result(link)

        self.gate.on_open(take)
        link = self.open_link("entry-2")
        self.assertIs(await opened, link)


class FenceTests(unittest.TestCase):
    def test_older_order_is_refused_and_the_same_is_not(self):
        gate = make_gate()
        gate.check_fence(3)
        gate.check_fence(3)
        with self.assertRaises(OldFenceError):
            gate.check_fence(2)
        gate.check_fence(4)
        self.assertEqual(gate.make_report().fence, 4)


class AttemptTests(GateTestCase):
    async def start(self, attempt="r.1", **options):
        self.link.put(make_start(attempt, **options))
        await self.driver.wait_for_run(attempt)

    async def ask_void(self, attempt="r.1", link=None, **options):
        link = link or self.link
        count = len(link.get(VoidAnswer)) + 1
        link.put(VoidAttempt(attempt=attempt, incarnation=INCARNATION, **options))
        return (await link.wait_for(VoidAnswer, count)).state

    def put_fetch(self, link, sequence=0):
        link.put(
            FetchAttempt(attempt="r.1", incarnation=INCARNATION, sequence=sequence)
        )

    async def test_start_that_follows_its_void_never_runs(self):
        self.assertEqual(await self.ask_void(), "void")
        self.link.put(make_start())
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "void")
        self.assertEqual(self.driver.runs, [])

    async def test_other_incarnation_refuses_unrun(self):
        self.link.put(make_start(incarnation=INCARNATION - 1))
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "incarnation")
        self.assertEqual(self.driver.runs, [])

    async def test_attempt_past_its_deadline_is_refused(self):
        self.link.put(make_start(deadline=0.0))
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "expired")

    async def test_call_of_a_service_runs_on_after_its_cancellation(self):
        await self.start()
        self.link.put(CancelAttempt(attempt="r.1"))
        self.assertEqual(await self.ask_void(), "started")
        self.assertEqual(self.driver.cancelled, [])
        resp = FakeResponse()
        resp.write(b"booked", b"")
        self.driver.answer("r.1", resp)
        end = await self.link.wait_for(AnswerEnd)
        self.assertEqual(end.outcome, "done")

    async def test_cancellation_by_an_entry_that_lost_the_attempt_changes_nothing(self):
        await self.start()
        link = self.open_link("entry-2")
        self.put_fetch(link)
        record = self.gate._table.get("r.1")
        await wait_until(lambda: record.link is link)
        self.link.put(CancelAttempt(attempt="r.1"))
        await self.ask_void()
        resp = FakeResponse()
        resp.write(b"a", b"")
        self.driver.answer("r.1", resp)
        self.assertEqual((await link.wait_for(AnswerEnd)).chunks, 1)
        self.assertEqual(link.get(AnswerChunk)[0].data, b"a")

    async def test_fetch_over_a_new_link_crosses_a_blocked_send(self):
        await self.start()
        resp = FakeResponse()
        self.driver.answer("r.1", resp)
        await self.link.wait_for(AnswerHead)
        self.link.free.clear()
        resp.write(b"a")
        link = self.open_link("entry-1")
        await wait_until(lambda: self.gate._table.get("r.1").chunks)
        self.put_fetch(link)
        await link.wait_for(AnswerChunk)
        self.link.close()
        resp.write(b"b", b"")
        end = await link.wait_for(AnswerEnd)
        self.assertEqual(end.chunks, 2)
        self.assertEqual([chunk.data for chunk in link.get(AnswerChunk)], [b"a", b"b"])

    async def test_answer_fetched_twice_is_whole_on_the_last_link(self):
        await self.start()
        resp = FakeResponse()
        resp.write(b"a", b"b")
        self.driver.answer("r.1", resp)
        await self.link.wait_for(AnswerChunk, 2)
        first, second = self.open_link(), self.open_link()
        await first.wait_for(TargetReport)
        first.free.clear()
        self.put_fetch(first)
        await wait_until(lambda: self.gate._table.get("r.1").fetch_count == 1)
        self.put_fetch(second)
        await second.wait_for(AnswerChunk, 2)
        first.free.set()
        resp.write(b"c", b"")
        await second.wait_for(AnswerEnd)
        data = [chunk.data for chunk in second.get(AnswerChunk)]
        self.assertEqual(data, [b"a", b"b", b"c"])

    async def test_end_that_was_lost_is_fetched(self):
        await self.start()
        self.link.close()
        resp = FakeResponse()
        resp.write(b"a", b"")
        self.driver.answer("r.1", resp)
        link = self.open_link()
        while await self.ask_void(link=link) != "done":
            await asyncio.sleep(0)
        self.put_fetch(link)
        self.assertEqual((await link.wait_for(AnswerEnd)).chunks, 1)

    async def test_slow_link_holds_up_no_other(self):
        other = self.open_link("entry-2")
        await self.start()
        other.put(make_start("s.1"))
        await self.driver.wait_for_run("s.1")
        self.link.free.clear()
        for attempt in ("r.1", "s.1"):
            resp = FakeResponse()
            resp.write(b"x", b"")
            self.driver.answer(attempt, resp)
        self.assertEqual((await other.wait_for(AnswerEnd)).attempt, "s.1")

    async def test_answer_that_is_not_taken_stays_in_its_window(self):
        await self.start()
        resp = FakeResponse()
        part = bytes(WINDOW_BYTES // 2)
        resp.write(*[part] * 6, b"")
        self.driver.answer("r.1", resp)
        await self.link.wait_for(AnswerChunk, 2)
        record = self.gate._table.get("r.1")
        await wait_until(
            lambda: (
                record._window_opened is not None and not record._window_opened.is_set()
            )
        )
        self.assertLessEqual(record.size, WINDOW_BYTES)
        for sequence in range(1, 7):
            await self.link.wait_for(AnswerChunk, sequence)
            self.link.put(AnswerTaken(attempt="r.1", sequence=sequence))
        self.assertEqual((await self.link.wait_for(AnswerEnd)).chunks, 6)
        self.assertLessEqual(record.size, WINDOW_BYTES)

    async def test_older_claim_is_fenced(self):
        await self.start(claim="k", claim_fence=2)
        self.link.put(make_start("s.1", claim="k", claim_fence=1))
        self.assertEqual((await self.link.wait_for(RefuseAttempt)).reason, "fenced")

    async def test_unreachable_back_end_proves_that_nothing_ran(self):
        await self.start()
        self.driver.answer("r.1", BackEndUnreachableError("refused"))
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "unreachable")
        self.assertEqual(await self.ask_void(), "void")


class OrphanTests(GateTestCase):
    settings = {"orphan_timeout": 0.01}

    async def test_service_call_is_finished_without_its_entry(self):
        self.link.put(make_start(claim="k"))
        await self.driver.wait_for_run("r.1")
        self.link.close()
        record = self.gate._table.get("r.1")
        await wait_until(lambda: record.is_abandoned)
        resp = FakeResponse()
        resp.write(b"booked", b"")
        self.driver.answer("r.1", resp)
        link = self.open_link("entry-2")
        link.put(FetchAttempt(attempt="r.1", incarnation=INCARNATION, sequence=0))
        self.assertEqual((await link.wait_for(AnswerEnd)).outcome, "done")
        self.assertEqual(link.get(AnswerChunk)[0].data, b"booked")


class OrphanedModelTests(GateTestCase):
    kind = "model"
    settings = {"orphan_timeout": 0.01}

    async def test_model_request_is_cancelled_without_its_entry(self):
        self.link.put(make_start())
        await self.driver.wait_for_run("r.1")
        self.link.close()
        await wait_until(lambda: self.driver.cancelled == ["r.1"])
        self.assertEqual(self.gate.running, 0)


class CancelledModelTests(GateTestCase):
    kind = "model"

    async def test_cancel_right_behind_a_start_leaves_its_slot_free(self):
        cancel = CancelAttempt(attempt="r.1")
        self.link.put(make_start(), cancel, make_start("r.2"))
        await self.driver.wait_for_run("r.2")
        self.link.put(make_start("r.3"))
        await self.driver.wait_for_run("r.3")
        self.assertNotIn("r.1", self.driver.runs)


class LeavingTests(GateTestCase):
    settings = {"stop_timeout": 0.05}

    async def test_target_waits_until_the_entry_sends_no_more(self):
        leave = asyncio.create_task(self.gate.drain())
        await self.link.wait_for(Leaving)
        self.link.put(make_start())
        self.assertEqual((await self.link.wait_for(RefuseAttempt)).reason, "leaving")
        self.assertFalse(leave.done())
        self.link.put(LeavingSeen(incarnation=INCARNATION))
        await leave

    async def test_attempt_that_outlives_the_bound_is_answered(self):
        self.link.put(make_start(), LeavingSeen(incarnation=INCARNATION))
        await self.driver.wait_for_run("r.1")
        await self.gate.drain()
        self.assertEqual((await self.link.wait_for(AnswerEnd)).outcome, "stopped")


class AttemptTableTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.table = AttemptTable(60.0, 600.0, lambda: self.now)

    def test_what_was_dropped_is_never_said_to_be_void(self):
        record = AttemptRecord(make_start(created=5), FakeLink())
        self.table.add(record)
        self.table.mark_finished(record)
        for self.now in (61.0, 700.0):
            self.table.expire()
        self.assertEqual(self.table.get_state("r.1", 5), "forgotten")
        self.assertEqual(self.table.get_state("r.2", 6), "unseen")

    def test_dropped_void_mark_still_keeps_its_attempt_from_starting(self):
        self.table.mark_void("r.1", 5)
        self.now = 601.0
        self.table.expire()
        self.assertNotEqual(self.table.get_state("r.1", 5), "unseen")


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.001)
