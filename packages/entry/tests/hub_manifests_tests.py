from __future__ import annotations

import asyncio
import unittest

from hub_fakes import RecordingChannel, settle

from marigold.core.exceptions import PlatformUnreachableError, WeightsNotFoundError
from marigold.core.platform.weights import load_manifest
from marigold.core.schema.generated.messages import ManifestAsk
from marigold.core.schema.generated.records import Manifest
from marigold.entry.hub.manifests import ManifestProxy

DIGEST = "0" * 64


class FakeOrigin:
    def __init__(self):
        self.calls = 0
        self.failure = None
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def get_manifest(self, model, version):
        self.calls += 1
        await self.is_open.wait()
        if self.failure is not None:
            raise self.failure
        return Manifest(
            model=model,
            version=str(version or 9),
            size=8,
            chunk_size=4,
            chunks=[DIGEST, DIGEST],
            digest=DIGEST,
        )


class ManifestProxyTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.origin = FakeOrigin()
        self.proxy = ManifestProxy(lambda: self.origin)
        self.channels = [RecordingChannel(f"c{number}") for number in range(30)]

    async def request_all(self, version=2):
        for channel in self.channels:
            self.proxy.handle_request(channel, ManifestAsk(model="m", version=version))
        await settle()

    async def test_manifest_is_fetched_once_for_all_companions_of_a_cell(self):
        self.origin.is_open.clear()
        await self.request_all()
        self.origin.is_open.set()
        await settle()
        await self.request_all()
        self.assertEqual(self.origin.calls, 1)
        for channel in self.channels:
            for answer in channel.sent:
                self.assertEqual(load_manifest(answer.manifest).version, "2")
            self.assertEqual(len(channel.sent), 2)

    async def test_failure_is_reported_and_not_cached(self):
        self.origin.failure = PlatformUnreachableError("away")
        await self.request_all()
        self.assertFalse(self.channels[0].sent[0].manifest)
        self.assertFalse(self.channels[0].sent[0].gone)
        self.origin.failure = None
        await self.request_all()
        self.assertTrue(self.channels[0].sent[1].manifest)

    async def test_missing_version_is_reported_as_gone(self):
        self.origin.failure = WeightsNotFoundError("gone")
        await self.request_all()
        self.assertTrue(self.channels[0].sent[0].gone)

    async def test_newest_version_is_not_cached(self):
        await self.request_all(version=0)
        await self.request_all(version=0)
        self.assertEqual(self.origin.calls, 2)
        self.assertEqual(load_manifest(self.channels[0].sent[0].manifest).version, "9")
