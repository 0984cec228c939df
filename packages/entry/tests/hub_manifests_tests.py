from __future__ import annotations

import asyncio
import unittest

from hub_fakes import RecordingChannel, settle

from marigold.core.exceptions import PlatformUnreachableError, WeightsNotFoundError
from marigold.core.metrics import Counter
from marigold.core.platform.weights import load_manifest
from marigold.core.schema.generated.deployment import EngineModel
from marigold.core.schema.generated.messages import ManifestAsk
from marigold.core.schema.generated.records import Manifest
from marigold.entry.hub.manifests import RECHECK_INTERVAL_S, ManifestProxy

DIGEST = "0" * 64
WRONG = "1" + DIGEST[1:]


class FakeOrigin:
    def __init__(self):
        self.calls = 0
        self.digest = DIGEST
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
            chunks=[self.digest, DIGEST],
            digest=self.digest,
        )


class ManifestProxyTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.origin = FakeOrigin()
        self.now = 100.0
        self.outcomes = Counter("manifests", "", ("outcome",))
        self.engine = EngineModel(slots=1, chunks=2, chunk_bytes=4)
        self.proxy = ManifestProxy(
            lambda: self.origin,
            lambda model: self.engine,
            self.outcomes,
            lambda: self.now,
        )
        self.channels = [RecordingChannel(f"c{number}") for number in range(30)]

    async def request_all(self, version=2, doubted=()):
        for channel in self.channels:
            self.request(channel, version, doubted)
        await settle()

    def request(self, channel, version=2, doubted=()):
        ask = ManifestAsk(model="m", version=version, doubted=list(doubted))
        self.proxy.handle_request(channel, ask)

    def get_last_digest(self, channel):
        return load_manifest(channel.sent[-1].manifest).digest


class ManifestProxyTests(ManifestProxyTestCase):
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

    async def test_manifest_with_other_chunks_than_configured_is_not_sent(self):
        """Guards against chunks of an earlier version in a load, or none that fit."""
        for chunks, size in ((3, 4), (1, 4), (2, 5)):
            self.engine = EngineModel(slots=1, chunks=chunks, chunk_bytes=size)
            await self.request_all()
            self.assertFalse(self.channels[0].sent[-1].manifest)
        self.engine = EngineModel(slots=1)
        await self.request_all()
        self.assertTrue(self.channels[0].sent[-1].manifest)

    async def test_version_that_is_gone_is_requested_again_later(self):
        """Guards against a named version that one wrong answer removes for good."""
        self.origin.failure = WeightsNotFoundError("gone")
        for _ in range(3):
            await self.request_all()
        self.assertEqual(self.origin.calls, 1)
        self.origin.failure = None
        self.now += RECHECK_INTERVAL_S
        await self.request_all()
        self.assertTrue(self.channels[0].sent[-1].manifest)

    async def test_newest_version_is_not_cached(self):
        await self.request_all(version=0)
        await self.request_all(version=0)
        self.assertEqual(self.origin.calls, 2)
        self.assertEqual(load_manifest(self.channels[0].sent[0].manifest).version, "9")


class DoubtedManifestTests(ManifestProxyTestCase):
    """Guards against a corrupt manifest that a hub passes on until it restarts."""

    async def asyncSetUp(self):
        self.origin.digest = WRONG
        await self.request_all()
        self.origin.digest = DIGEST

    async def test_origin_is_asked_again_once_for_all_companions(self):
        await self.request_all(doubted=[WRONG])
        self.assertEqual(self.origin.calls, 2)
        for channel in self.channels:
            self.assertEqual(self.get_last_digest(channel), DIGEST)
        self.assertEqual(self.outcomes.get("changed"), 1)

    async def test_companion_that_doubts_meanwhile_gets_the_newer_manifest(self):
        self.origin.is_open.clear()
        for channel in self.channels[:2]:
            self.request(channel, doubted=[WRONG])
            await settle()
        self.origin.is_open.set()
        await settle()
        for channel in self.channels[:2]:
            self.assertEqual(self.get_last_digest(channel), DIGEST)

    async def test_companion_that_doubts_later_gets_the_newer_manifest(self):
        self.request(self.channels[0], doubted=[WRONG])
        await settle()
        self.now += 10 * RECHECK_INTERVAL_S
        self.request(self.channels[1], doubted=[WRONG])
        await settle()
        self.assertEqual(self.get_last_digest(self.channels[1]), DIGEST)
        self.assertEqual(self.origin.calls, 2)

    async def test_sound_manifest_in_doubt_is_requested_at_an_interval(self):
        await self.request_all(doubted=[WRONG])
        for _ in range(3):
            for channel in self.channels:
                self.request(channel, doubted=[DIGEST])
                await settle()
            self.now += RECHECK_INTERVAL_S
        self.assertEqual(self.origin.calls, 4)
        self.assertEqual(self.outcomes.get("confirmed"), 2)

    async def test_failure_keeps_the_manifest_for_others(self):
        self.origin.failure = PlatformUnreachableError("away")
        self.request(self.channels[0], doubted=[WRONG])
        await settle()
        self.assertFalse(self.channels[0].sent[-1].manifest)
        self.request(self.channels[1])
        self.assertEqual(self.get_last_digest(self.channels[1]), WRONG)
