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
    """A gate that serves one link."""

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
        self.addAsyncCleanup(self._close, link, task)
        return link

    async def _close(self, link, task):
        link.close()
        await task


class BackEndFailureTests(GateTestCase):
    async def test_failure_outcome_shows_whether_the_back_end_still_listens(self):
        for listens, outcome in ((True, "failed"), (False, "lost")):
            with self.subTest(outcome):
                link = self.open_link(outcome)
                self.driver.listens = listens
                self.driver.answer(outcome, BackEndError("connection reset"))
                link.put(make_start(outcome))
                self.assertEqual((await link.wait_for(AnswerEnd)).outcome, outcome)


class GateHandlerTests(GateTestCase):
    async def test_message_is_passed_to_the_handlers_of_its_type(self):
        received = asyncio.get_running_loop().create_future()

        async def handle(link, message):
            received.set_result((link, message))

        self.gate.subscribe(ChunksHeld, handle)
        held = ChunksHeld(model="m", version="1", digest="d", chunks=[1])
        self.link.put(Leaving(incarnation=1), held)
        self.assertEqual(await received, (self.link, held))

    async def test_open_handler_receives_the_link(self):
        opened = asyncio.get_running_loop().create_future()

        async def handle(link):
            opened.set_result(link)

        self.gate.on_open(handle)
        link = self.open_link("entry-2")
        self.assertIs(await opened, link)


class FenceTests(unittest.TestCase):
    def test_lower_fence_is_refused_and_the_same_is_accepted(self):
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

    async def request_void(self, attempt="r.1", link=None, **options):
        link = link or self.link
        count = len(link.get(VoidAnswer)) + 1
        link.put(VoidAttempt(attempt=attempt, incarnation=INCARNATION, **options))
        return (await link.wait_for(VoidAnswer, count)).state

    def put_fetch(self, link, sequence=0):
        link.put(
            FetchAttempt(attempt="r.1", incarnation=INCARNATION, sequence=sequence)
        )

    async def test_start_after_a_void_never_runs(self):
        self.assertEqual(await self.request_void(), "void")
        self.link.put(make_start())
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "void")
        self.assertEqual(self.driver.runs, [])

    async def test_start_for_another_incarnation_is_refused_without_running(self):
        self.link.put(make_start(incarnation=INCARNATION - 1))
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "incarnation")
        self.assertEqual(self.driver.runs, [])

    async def test_attempt_past_its_deadline_is_refused(self):
        self.link.put(make_start(deadline=0.0))
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "expired")

    async def test_cancelled_service_call_runs_to_its_end(self):
        await self.start()
        self.link.put(CancelAttempt(attempt="r.1"))
        self.assertEqual(await self.request_void(), "started")
        self.assertEqual(self.driver.cancelled, [])
        resp = FakeResponse()
        resp.write(b"booked", b"")
        self.driver.answer("r.1", resp)
        end = await self.link.wait_for(AnswerEnd)
        self.assertEqual(end.outcome, "done")

    async def test_cancellation_by_the_previous_entry_of_an_attempt_is_ignored(self):
        await self.start()
        link = self.open_link("entry-2")
        self.put_fetch(link)
        record = self.gate._table.get("r.1")
        await wait_until(lambda: record.link is link)
        self.link.put(CancelAttempt(attempt="r.1"))
        await self.request_void()
        resp = FakeResponse()
        resp.write(b"a", b"")
        self.driver.answer("r.1", resp)
        self.assertEqual((await link.wait_for(AnswerEnd)).chunks, 1)
        self.assertEqual(link.get(AnswerChunk)[0].data, b"a")

    async def test_fetch_over_a_new_link_works_while_a_send_is_blocked(self):
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

    async def test_answer_fetched_twice_is_complete_on_the_last_link(self):
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

    async def test_end_lost_with_its_link_can_be_fetched(self):
        await self.start()
        self.link.close()
        resp = FakeResponse()
        resp.write(b"a", b"")
        self.driver.answer("r.1", resp)
        link = self.open_link()
        while await self.request_void(link=link) != "done":
            await asyncio.sleep(0)
        self.put_fetch(link)
        self.assertEqual((await link.wait_for(AnswerEnd)).chunks, 1)

    async def test_slow_link_delays_no_other_link(self):
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

    async def test_buffered_answer_is_limited_to_the_window(self):
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

    async def test_start_with_an_older_claim_fence_is_refused(self):
        await self.start(claim="k", claim_fence=2)
        self.link.put(make_start("s.1", claim="k", claim_fence=1))
        self.assertEqual((await self.link.wait_for(RefuseAttempt)).reason, "fenced")

    async def test_attempt_at_an_unreachable_back_end_was_not_executed(self):
        await self.start()
        self.driver.answer("r.1", BackEndUnreachableError("refused"))
        refusal = await self.link.wait_for(RefuseAttempt)
        self.assertEqual(refusal.reason, "unreachable")
        self.assertEqual(await self.request_void(), "void")


class OrphanTests(GateTestCase):
    settings = {"orphan_timeout": 0.01}

    async def test_orphaned_service_call_runs_to_its_end(self):
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

    async def test_orphaned_model_request_is_cancelled(self):
        self.link.put(make_start())
        await self.driver.wait_for_run("r.1")
        self.link.close()
        await wait_until(lambda: self.driver.cancelled == ["r.1"])
        self.assertEqual(self.gate.running, 0)


class CancelledModelTests(GateTestCase):
    kind = "model"

    async def test_cancel_right_after_a_start_releases_its_slot(self):
        cancel = CancelAttempt(attempt="r.1")
        self.link.put(make_start(), cancel, make_start("r.2"))
        await self.driver.wait_for_run("r.2")
        self.link.put(make_start("r.3"))
        await self.driver.wait_for_run("r.3")
        self.assertNotIn("r.1", self.driver.runs)


class DrainTests(GateTestCase):
    settings = {"stop_timeout": 0.05}

    async def test_drain_waits_until_the_entry_acknowledges_it(self):
        drain = asyncio.create_task(self.gate.drain())
        await self.link.wait_for(Leaving)
        self.link.put(make_start())
        self.assertEqual((await self.link.wait_for(RefuseAttempt)).reason, "leaving")
        self.assertFalse(drain.done())
        self.link.put(LeavingSeen(incarnation=INCARNATION))
        await drain

    async def test_attempt_still_running_after_the_stop_timeout_is_answered(self):
        self.link.put(make_start(), LeavingSeen(incarnation=INCARNATION))
        await self.driver.wait_for_run("r.1")
        await self.gate.drain()
        self.assertEqual((await self.link.wait_for(AnswerEnd)).outcome, "stopped")


class AttemptTableTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.table = AttemptTable(60.0, 600.0, lambda: self.now)

    def test_dropped_attempt_is_forgotten_and_never_void(self):
        record = AttemptRecord(make_start(created=5), FakeLink())
        self.table.add(record)
        self.table.mark_finished(record)
        for self.now in (61.0, 700.0):
            self.table.expire()
        self.assertEqual(self.table.get_state("r.1", 5), "forgotten")
        self.assertEqual(self.table.get_state("r.2", 6), "unseen")

    def test_expired_tombstone_still_keeps_its_attempt_from_starting(self):
        self.table.mark_void("r.1", 5)
        self.now = 601.0
        self.table.expire()
        self.assertNotEqual(self.table.get_state("r.1", 5), "unseen")


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.001)
