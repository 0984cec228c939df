from __future__ import annotations

import asyncio
import random
import unittest

from hub_fakes import RecordingChannel, settle
from relay_fakes import make_view

from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.hub.companions import CompanionLinks


class FakeDirectory:
    def __init__(self, view):
        self.view = view

    def get_engines(self):
        return [self.view]

    def get_engines_at(self, host):
        return [self.view]


class CompanionLinksTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.view = make_view(held=[])
        self.is_lost = asyncio.Event()
        self.loaded = []
        self.links = CompanionLinks(
            FakeDirectory(self.view),
            lambda data_centre: True,
            self.dial,
            7800,
            self.serve,
            self.loaded.append,
            random.Random(1),
        )
        self.addAsyncCleanup(self.links.stop)
        self.links.sync(True)
        await settle()

    async def dial(self, address):
        return RecordingChannel(address)

    async def serve(self, channel):
        await self.is_lost.wait()

    def report(self, **fields):
        load = RunnerLoad(
            started_ms=self.view.runner.started_ms, running=0, waiting=0, **fields
        )
        self.links.handle_load(self.view.runner.address, load)

    async def test_runner_is_not_paused_after_its_companion_is_lost(self):
        """Guards against a runner that gets no requests until a companion is back."""
        self.report(paused=True, pace=3.0)
        self.assertFalse(self.view.is_open(0.0))
        self.loaded.clear()
        self.is_lost.set()
        await settle()
        self.assertTrue(self.view.is_open(0.0))
        self.assertEqual(self.view.slowdown, 1.0)
        self.assertEqual(self.loaded, [self.view])
