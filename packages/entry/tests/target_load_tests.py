from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from marigold.core.clock import HybridClock
from marigold.core.exceptions import LinkError
from marigold.core.links.identity import Identity
from marigold.core.links.link import LinkContext
from marigold.core.schema.generated.messages import (
    AnswerEnd,
    Heartbeat,
    RefuseAttempt,
    StartAttempt,
)
from marigold.core.schema.generated.records import HostRecord
from marigold.core.schema.generated.settings import Links
from marigold.entry.membership.targets import TargetConnection
from marigold.entry.routing.calls import AttemptCall
from marigold.entry.routing.load import RECONNECT_GRACE_S
from marigold.standins.virtual_time import get_time, run_virtual

DIALING = "marigold.core.links.dialing"


def make_connection(on_change, seed=1):
    identity = Identity("entry-1", "entry", "gyor-a", 1)
    ctx = LinkContext(identity, HybridClock(), Links(), "s" * 16, Heartbeat)
    record = HostRecord(
        host="assistant-1",
        role="target",
        data_centre="gyor-a",
        region="hu-west",
        address="127.0.0.1:1",
        service="assistant",
        kind="model",
        state="live",
    )
    return TargetConnection(record, ctx, random.Random(seed), on_change)


def make_call(conn, attempt):
    start = StartAttempt(
        attempt=attempt,
        request=attempt,
        incarnation=0,
        customer="kavics-bt",
        service="assistant",
        method="POST",
        path="/",
        headers={},
        body=b"",
    )
    return AttemptCall(start, conn, 1.0)


class TargetLoadTests(unittest.IsolatedAsyncioTestCase):
    """Passes messages of a target to its connection directly, without a link."""

    def setUp(self):
        self.changes = 0
        self.conn = make_connection(self.count_change)
        self.view = self.conn.view
        self.view.is_open = True
        self.view.limit = 8
        self.calls = [make_call(self.conn, f"r{index}.1") for index in range(2)]
        for call in self.calls:
            self.conn.add(call)

    def count_change(self):
        self.changes += 1

    async def test_end_of_attempt_updates_load_of_others(self):
        self.conn._handle(
            AnswerEnd(attempt="r0.1", outcome="done", chunks=0, running=5, limit=8)
        )
        self.assertEqual((self.view.outstanding, self.view.reported_others), (1, 4))
        for call in self.calls:
            self.conn.remove(call)
        self.assertEqual(self.view.outstanding, 0)

    async def test_report_after_refusal_triggers_admission(self):
        self.conn._handle(RefuseAttempt(attempt="r0.1", reason="busy"))
        self.assertFalse(self.view.has_room(self.view.heard_at))
        before = self.changes
        self.conn._handle(Heartbeat(generation=0, running=1, limit=8))
        self.assertGreater(self.changes, before)
        self.assertTrue(self.view.has_room(self.view.heard_at))

    async def test_unreachable_back_end_counts_as_failure(self):
        self.conn._handle(RefuseAttempt(attempt="r0.1", reason="unreachable"))
        self.assertEqual(self.view.health.failures, 1)
        self.conn._handle(
            AnswerEnd(attempt="r1.1", outcome="done", chunks=0, running=0, limit=8)
        )
        self.assertEqual(self.view.health.failures, 0)


class ReconnectTests(unittest.TestCase):
    """Reconnects to silent and slow hosts while requests wait."""

    def simulate(self, seed, seconds):
        """Run a connection whose nth connect takes `seconds(n)` seconds.

        Return the times at which connects started and ended and links opened.
        """
        started, ended, opened = [], [], []

        async def open_slow_link(address, ctx):
            started.append(get_time())
            takes = seconds(len(started))
            try:
                async with asyncio.timeout(ctx.cfg.connect_timeout):
                    await asyncio.sleep(takes)
            except TimeoutError:
                raise LinkError("silent") from None
            finally:
                ended.append(get_time())
            return SimpleNamespace(abort=lambda: None)

        async def serve(conn, link):
            opened.append(get_time())
            await asyncio.Event().wait()

        async def main():
            conn = make_connection(lambda: None, seed)
            with (
                mock.patch(f"{DIALING}.open_link", open_slow_link),
                mock.patch.object(TargetConnection, "_serve_renewed", serve),
            ):
                task = asyncio.create_task(conn.run())
                await asyncio.sleep(30.0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        run_virtual(main())
        return started, ended, opened

    def test_silent_connect_does_not_delay_the_next(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                _, _, opened = self.simulate(seed, lambda n: 99.0 if n == 1 else 0.1)
                self.assertLess(opened[0], RECONNECT_GRACE_S / 2)

    def test_slow_host_is_connected_within_grace_time(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                _, _, opened = self.simulate(seed, lambda n: 0.8)
                self.assertLess(opened[0], RECONNECT_GRACE_S)

    def test_at_most_three_concurrent_connects_to_silent_host(self):
        started, ended, opened = self.simulate(1, lambda n: 99.0)
        self.assertEqual(opened, [])
        timeout = Links().connect_timeout
        # The last three end with the test, before their timeout.
        for first, end in list(zip(started, ended, strict=True))[:-3]:
            self.assertAlmostEqual(end - first, timeout)
        running = [
            sum(a <= at < b for a, b in zip(started, ended, strict=True))
            for at in started
        ]
        self.assertLessEqual(max(running), 3)

    def test_first_link_cancels_other_connects(self):
        started, ended, opened = self.simulate(1, lambda n: 0.8)
        self.assertEqual(len(opened), 1)
        self.assertEqual(ended, [opened[0]] * len(started))
