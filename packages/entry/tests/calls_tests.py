from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace

from marigold.core.exceptions import LinkClosedError
from marigold.core.schema.generated.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerTaken,
    CancelAttempt,
    FetchAttempt,
    RefuseAttempt,
    StartAttempt,
    VoidAnswer,
    VoidAttempt,
)
from marigold.entry.routing.calls import (
    ACK_INTERVAL_BYTES,
    AttemptCall,
    CallConnection,
    LinkLost,
)
from marigold.entry.routing.dispatcher import Dispatcher, StreamedAnswer

INCARNATION = 7
PROGRESS_S = 5.0


class FakeConnection(CallConnection):
    """Connection that delivers the `replies` to each type of message sent."""

    def __init__(self):
        self.incarnation = INCARNATION
        self.sent = []
        self.opened = asyncio.Event()
        self.opened.set()
        self.leaving = False
        self.is_broken = False
        self.removed = []
        self.replies = {}

    async def send(self, message):
        if self.is_broken:
            raise LinkClosedError("closed")
        self.sent.append(message)
        for answer in self.replies.get(type(message), []):
            self.call.put(answer)

    def is_open(self):
        return self.opened.is_set()

    def is_leaving(self):
        return self.leaving

    def read_clock(self):
        return 99

    async def wait_open(self, timeout):
        try:
            async with asyncio.timeout(timeout):
                await self.opened.wait()
        except TimeoutError:
            return False
        return True

    def remove(self, call):
        self.removed.append(call)

    def get(self, cls):
        return [message for message in self.sent if isinstance(message, cls)]


def make_head():
    return AnswerHead(attempt="r.1", status=200, headers={})


def make_chunk(sequence, data=b"x"):
    return AnswerChunk(attempt="r.1", sequence=sequence, data=data)


def make_end(chunks, outcome="done"):
    return AnswerEnd(attempt="r.1", outcome=outcome, chunks=chunks, running=0, limit=2)


class CallTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        start = StartAttempt(
            attempt="r.1",
            request="r",
            incarnation=INCARNATION,
            customer="c",
            service="booking",
            method="POST",
            path="/new",
            headers={},
            body=b"",
        )
        self.conn = FakeConnection()
        self.call = self.conn.call = AttemptCall(start, self.conn, PROGRESS_S)

    def reply_to(self, cls, *answers):
        self.conn.replies[cls] = answers

    def answer_void(self, state):
        self.reply_to(VoidAttempt, VoidAnswer(attempt="r.1", state=state))

    async def read_all(self):
        parts = []
        async with asyncio.timeout(5):
            step = await self.call.open()
            while step.is_ok():
                step = await self.call.read()
                if step.is_error():
                    break
                if step.ok is None:
                    return b"".join(parts)
                parts.append(step.ok)
        return step.error


class CallTests(CallTestCase):
    async def test_link_lost_before_start_proves_no_execution(self):
        self.reply_to(StartAttempt, LinkLost())
        self.answer_void("void")
        failure = await self.read_all()
        self.assertEqual(failure.executed, "no")
        self.assertEqual(self.conn.get(VoidAttempt)[0].created, 99)

    async def test_link_lost_mid_answer_resumes_at_next_chunk(self):
        self.reply_to(StartAttempt, make_head(), make_chunk(0, b"a"), LinkLost())
        self.answer_void("done")
        late = [make_head(), make_chunk(0, b"a"), make_chunk(1, b"b"), make_end(2)]
        self.reply_to(FetchAttempt, *late)
        self.assertEqual(await self.read_all(), b"ab")
        self.assertEqual(self.conn.get(FetchAttempt)[0].sequence, 1)

    async def test_missing_chunk_fails_the_answer(self):
        self.reply_to(StartAttempt, make_head(), make_chunk(1), make_end(2))
        self.assertEqual((await self.read_all()).executed, "unknown")

    async def test_restarted_target_leaves_execution_unknown(self):
        self.reply_to(StartAttempt, LinkLost())
        self.conn.incarnation += 1
        self.assertEqual((await self.read_all()).executed, "unknown")

    async def test_forgotten_attempt_leaves_execution_unknown(self):
        self.reply_to(StartAttempt, LinkLost())
        self.answer_void("forgotten")
        self.assertEqual((await self.read_all()).executed, "unknown")

    async def test_refusal_proves_no_execution(self):
        self.reply_to(StartAttempt, RefuseAttempt(attempt="r.1", reason="busy"))
        self.assertEqual((await self.read_all()).executed, "no")

    async def test_call_without_link_is_not_sent(self):
        self.conn.opened.clear()
        self.assertEqual((await self.read_all()).executed, "no")

    async def test_nothing_is_sent_to_a_leaving_target(self):
        self.conn.leaving = True
        failure = await self.read_all()
        self.assertEqual((failure.reason, failure.executed), ("leaving", "no"))
        self.assertEqual(self.conn.sent, [])

    async def test_closing_link_does_not_block_event_loop(self):
        self.conn.is_broken = True
        asyncio.get_running_loop().call_soon(self._repair)
        self.answer_void("void")
        self.assertEqual((await self.read_all()).executed, "no")

    def _repair(self):
        self.conn.is_broken = False

    async def test_repeated_link_loss_sends_one_void_request(self):
        self.reply_to(StartAttempt, LinkLost(), LinkLost())
        self.answer_void("void")
        await self.read_all()
        self.assertEqual(len(self.conn.get(VoidAttempt)), 1)

    async def test_cancel_while_start_is_sent_releases_call(self):
        self.conn.send = self._block
        task = asyncio.create_task(self.call.open())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del self.conn.send
        await self.call.cancel()
        self.assertEqual(self.conn.removed, [self.call])
        self.assertEqual(len(self.conn.get(CancelAttempt)), 1)

    async def _block(self, message):
        await asyncio.Event().wait()

    async def test_read_chunks_are_acknowledged(self):
        part = bytes(ACK_INTERVAL_BYTES)
        chunks = [make_chunk(index, part) for index in range(3)]
        self.reply_to(StartAttempt, make_head(), chunks[0])
        self.reply_to(AnswerTaken, chunks[1])
        await self.call.open()
        await self.call.read()
        self.assertEqual(self.conn.get(AnswerTaken)[-1].sequence, 1)
        await self.call.read()
        self.assertEqual(self.conn.get(AnswerTaken)[-1].sequence, 2)


class DispatcherReadTests(CallTestCase):
    async def read(self, content_type):
        dispatcher = Dispatcher(None, None, None, None, None, None, None)
        head = make_head()
        head.headers["Content-Type"] = content_type
        self.reply_to(StartAttempt, head, make_chunk(0), make_end(1, "cut"))
        await self.call.open()
        req = SimpleNamespace(is_streamed=True)
        return await dispatcher.read_answer(req, self.call, head)

    async def test_only_event_streams_are_streamed(self):
        self.assertIsInstance((await self.read("text/event-stream")).ok, StreamedAnswer)

    async def test_cut_body_of_other_type_is_an_error(self):
        self.assertEqual((await self.read("application/json")).error.reason, "cut")


class SilentAttemptTests(CallTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.call = self.conn.call = AttemptCall(self.call.start, self.conn, 0.01)

    async def test_attempt_never_received_proves_no_execution(self):
        self.answer_void("void")
        self.assertEqual((await self.read_all()).executed, "no")

    async def test_attempt_without_progress_is_cancelled(self):
        self.answer_void("started")
        failure = await self.read_all()
        self.assertEqual((failure.reason, failure.executed), TIMED_OUT)
        self.assertEqual(len(self.conn.get(CancelAttempt)), 1)


TIMED_OUT = ("progress timeout", "unknown")
