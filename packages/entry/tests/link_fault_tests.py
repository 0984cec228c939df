from __future__ import annotations

import asyncio
import random
import unittest

from gate_fakes import (
    INCARNATION,
    FakeDriver,
    FakeResponse,
    make_gate,
    make_settings,
    make_start,
)

from marigold.core.clock import HybridClock
from marigold.core.links.identity import Identity
from marigold.core.links.link import LinkContext
from marigold.core.links.transport import serve_links
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.records import HostRecord
from marigold.core.schema.generated.settings import Address, Links
from marigold.entry.membership.targets import TargetConnection
from marigold.entry.routing.calls import AttemptCall
from marigold.standins.shaper import ShapedLink

SECRET = "secret-of-the-tests"


class LinkedCallTests(unittest.IsolatedAsyncioTestCase):
    """Runs attempts on a real link between an entry's connection and a target."""

    maximum_age = 3600.0

    def make_context(self, process, role, incarnation):
        cfg = Links(
            heartbeat_interval=0.05,
            silence_timeout=0.3,
            maximum_age=self.maximum_age,
        )
        identity = Identity(process, role, "gyor-a", incarnation)
        return LinkContext(
            identity, HybridClock(), cfg, SECRET, lambda: Heartbeat(generation=0)
        )

    async def asyncSetUp(self):
        self.driver = FakeDriver()
        cfg = make_settings()
        self.gate = make_gate(self.driver, cfg)
        ctx = self.make_context("t-1", "target", INCARNATION)
        address = Address(host="127.0.0.1", port=0)
        port = await self.enterAsyncContext(serve_links(address, ctx, self.serve))
        self.links = []
        self.shaper = ShapedLink(f"127.0.0.1:{port}")
        self.addAsyncCleanup(self.shaper.stop)
        record = HostRecord(
            host="t-1",
            role="target",
            data_centre="gyor-a",
            region="hu-west",
            address=await self.shaper.start(),
            service="booking",
        )
        ctx = self.make_context("e-1", "entry", 1)
        self.conn = TargetConnection(record, ctx, random.Random(4), lambda: None)
        task = asyncio.create_task(self.conn.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        self.assertTrue(await self.conn.wait_open(5))

    async def serve(self, link):
        self.links.append(link)
        await self.gate.serve(link)

    def make_call(self, attempt="r.1"):
        call = AttemptCall(make_start(attempt), self.conn, 10.0)
        self.conn.add(call)
        return call

    async def read_all(self, call):
        parts = []
        step = await call.open()
        while step.is_ok():
            step = await call.read()
            if step.is_error():
                break
            if step.ok is None:
                return b"".join(parts)
            parts.append(step.ok)
        self.fail(repr(step.error))

    async def run_with_fault(self, fault):
        """Answer one attempt and inject a fault in the middle of the answer."""
        reading = asyncio.create_task(self.read_all(self.make_call()))
        await self.driver.wait_for_run("r.1")
        resp = FakeResponse()
        self.driver.answer("r.1", resp)
        resp.write(b"first ")
        await fault()
        resp.write(b"second", b"")
        async with asyncio.timeout(10):
            self.assertEqual(await reading, b"first second")
        self.assertEqual(self.driver.runs, ["r.1"])

    async def test_answer_survives_a_silent_connection(self):
        async def silence():
            self.shaper.silence()

        await self.run_with_fault(silence)

    async def test_answer_survives_a_cut(self):
        async def cut():
            self.shaper.cut()
            self.shaper.heal()

        await self.run_with_fault(cut)

    async def test_answer_survives_a_frozen_link(self):
        async def freeze():
            self.shaper.faults.frozen = True
            while self.conn.is_open():
                await asyncio.sleep(0.01)
            self.shaper.heal()

        await self.run_with_fault(freeze)

    async def test_start_into_a_silent_connection_runs_once(self):
        self.shaper.silence()
        call = self.make_call()
        opened = await call.open()
        self.assertEqual(opened.error.executed, "no")
        self.assertEqual(self.driver.runs, [])


class LinkAgeTests(LinkedCallTests):
    maximum_age = 0.2

    async def test_link_is_renewed_before_the_old_one_closes(self):
        self.assertTrue(self.conn.is_open())

        async def renew():
            while len(self.links) < 2:
                self.assertTrue(self.conn.is_open())
                await asyncio.sleep(0.01)

        await self.run_with_fault(renew)
        self.assertTrue(self.conn.is_open())
