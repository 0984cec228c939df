from __future__ import annotations

import asyncio
import time
import unittest

from routing_fakes import (
    BODY,
    FakePeers,
    FakeTarget,
    answer,
    make_dispatcher,
    make_request,
    refuse,
)

from marigold.entry.exceptions import (
    NoCapacityError,
    QuarantinedError,
    TargetFailedError,
)
from marigold.entry.routing.retries import MAXIMUM_REFUSALS
from marigold.entry.routing.suspects import SuspectCoordinator

TIMEOUT_S = 5.0


class DispatcherTests(unittest.IsolatedAsyncioTestCase):
    def make_dispatcher(self, *targets):
        self.targets = targets
        self.coordinator = SuspectCoordinator("entry-1", "gyor-a", FakePeers())
        return make_dispatcher(targets, self.coordinator)

    def run_request(self, *targets, **options):
        return self.make_dispatcher(*targets).run(make_request(**options))

    async def test_answer_cut_before_first_chunk_is_retried_on_other_target(self):
        first = FakeTarget("a", answer("cut", 0))
        got = await self.run_request(
            first, FakeTarget("b", answer()), is_idempotent=True, is_streamed=True
        )
        self.assertEqual([part async for part in got], [BODY])
        self.assertEqual([target.view.outstanding for target in self.targets], [0, 0])

    async def test_answer_cut_after_first_chunk_ends_stream_with_error(self):
        got = await self.run_request(
            FakeTarget("a", answer("cut")), is_idempotent=True, is_streamed=True
        )
        parts = []
        with self.assertRaises(TargetFailedError) as caught:
            async for part in got:
                parts.append(part)
        self.assertEqual(parts, [BODY])
        self.assertNotEqual(caught.exception.executed, "no")

    async def test_non_idempotent_request_that_may_have_run_is_not_retried(self):
        second = FakeTarget("b", answer())
        with self.assertRaises(TargetFailedError) as caught:
            await self.run_request(FakeTarget("a", answer("cut", 0)), second)
        self.assertEqual(second.started, [])
        self.assertEqual(caught.exception.executed, "unknown")
        self.assertEqual(caught.exception.retry_after, 0.0)

    async def test_refused_request_is_retried_on_other_target(self):
        got = await self.run_request(
            FakeTarget("a", refuse("leaving")), FakeTarget("b", answer())
        )
        self.assertEqual(got.body, BODY)

    async def test_refusal_after_cut_answer_leaves_execution_unknown(self):
        with self.assertRaises(NoCapacityError) as caught:
            await self.run_request(
                FakeTarget("a", answer("cut", 0)),
                FakeTarget("b", refuse("busy")),
                is_idempotent=True,
            )
        self.assertEqual(caught.exception.executed, "unknown")
        self.assertGreater(caught.exception.retry_after, 0)

    async def test_requeue_after_busy_is_bounded(self):
        target = FakeTarget("a", refuse("busy"))
        with self.assertRaises(NoCapacityError) as caught:
            await self.run_request(target)
        self.assertEqual(len(target.started), MAXIMUM_REFUSALS)
        self.assertEqual(caught.exception.executed, "no")
        attempts = {start.attempt for start in target.started}
        self.assertEqual(len(attempts), MAXIMUM_REFUSALS)

    async def test_only_target_is_retried(self):
        target = FakeTarget("a", answer("cut", 0), answer())
        got = await self.run_request(target, is_idempotent=True)
        self.assertEqual(got.body, BODY)

    async def test_request_that_crashes_two_targets_is_quarantined(self):
        targets = [FakeTarget(name, answer("lost", 0)) for name in "abc"]
        dispatcher = self.make_dispatcher(*targets)
        with self.assertRaises(QuarantinedError) as caught:
            await dispatcher.run(make_request(is_idempotent=True))
        self.assertEqual(caught.exception.executed, "unknown")
        with self.assertRaises(QuarantinedError) as caught:
            await dispatcher.run(make_request(is_idempotent=True))
        self.assertEqual(caught.exception.executed, "no")
        self.assertEqual([len(target.started) for target in targets], [1, 1, 0])

    async def test_suspect_that_completes_in_isolation_is_cleared(self):
        targets = [FakeTarget("a", answer("lost", 0)), FakeTarget("b", answer())]
        req = make_request(is_idempotent=True)
        got = await self.make_dispatcher(*targets).run(req)
        self.assertEqual(got.body, BODY)
        self.assertEqual(self.coordinator.get_verdict(req.get_fingerprint()), "clear")
        self.assertFalse(targets[1].view.is_reserved)
        self.assertEqual([target.view.outstanding for target in targets], [0, 0])

    async def test_stream_cut_by_crash_marks_request_as_suspect(self):
        req = make_request(is_idempotent=True, is_streamed=True)
        dispatcher = self.make_dispatcher(FakeTarget("a", answer("lost")))
        with self.assertRaises(TargetFailedError):
            async for _ in await dispatcher.run(req):
                pass
        self.assertEqual(self.coordinator.get_verdict(req.get_fingerprint()), "suspect")

    async def test_queued_request_is_quarantined_after_refusal(self):
        target = FakeTarget("a", answer())
        target.view.limit = 0
        req = make_request(is_idempotent=True)
        running = asyncio.create_task(self.make_dispatcher(target).run(req))
        await asyncio.sleep(0)
        for host in "xy":
            await self.coordinator.report_loss(req.get_fingerprint(), host, True, False)
        target.view.limit = 16
        with self.assertRaises(QuarantinedError):
            await asyncio.wait_for(running, TIMEOUT_S)
        self.assertEqual((target.started, target.view.outstanding), ([], 0))

    async def test_target_that_runs_a_suspect_has_no_capacity(self):
        target = FakeTarget("a", lambda attempt: [])
        dispatcher = self.make_dispatcher(target)
        req = make_request(is_idempotent=True)
        await self.coordinator.report_loss(req.get_fingerprint(), "x", True, False)
        running = asyncio.create_task(dispatcher.run(req))
        async with asyncio.timeout(TIMEOUT_S):
            while not target.started and not running.done():
                await asyncio.sleep(0)
        self.assertFalse(target.view.has_capacity(time.monotonic()))
        running.cancel()
        await asyncio.wait([running])
        dispatcher.finish(req)
        self.assertTrue(target.view.has_capacity(time.monotonic()))

    async def test_request_cleared_meanwhile_needs_no_permit(self):
        target = FakeTarget("a", answer("lost", 0), answer())
        dispatcher = self.make_dispatcher(target)
        asked = asyncio.Event()

        async def refuse_permit(*args):
            asked.set()
            return False

        self.coordinator.request_permit = refuse_permit
        req = make_request(is_idempotent=True)
        running = asyncio.create_task(dispatcher.run(req))
        await asyncio.wait_for(asked.wait(), TIMEOUT_S)
        await self.coordinator.report_clear(req.get_fingerprint())
        self.assertEqual((await asyncio.wait_for(running, TIMEOUT_S)).body, BODY)
