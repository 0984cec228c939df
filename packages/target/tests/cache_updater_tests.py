from __future__ import annotations

import asyncio
import random
import unittest

from companion_fakes import FakeSource

from marigold.core.exceptions import (
    ManifestError,
    PlatformUnreachableError,
    WeightsNotFoundError,
)
from marigold.core.links.identity import Identity
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.platform.part_codecs import ItemCodec
from marigold.core.platform.replication import CacheSubscriber, Publisher
from marigold.core.platform.weights import dump_manifest
from marigold.core.schema.generated.deployment import EngineModel, WantedVersion
from marigold.core.schema.generated.messages import (
    Ages,
    AskAges,
    FollowBelief,
    ManifestAnswer,
    ManifestAsk,
)
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.cache_updater import CacheUpdater
from marigold.target.companion.manifests import HubManifestSource

DIGEST = "0" * 64


class FakeHub:
    """A hub's end of a channel, with one cache."""

    def __init__(self, name, version):
        self.peer = Identity(name, "entry", "gyor-a", 1)
        self.cache = ObjectCache("versions")
        wanted = WantedVersion(model="m", version=version)
        self.cache.replace_all({"m": wanted}, version, "store")
        self.cache.confirm(version, 1.0)
        self.publisher = Publisher("versions", self.cache, ItemCodec(WantedVersion))
        self.sent = []
        self.answer = None
        self.updater = None

    def put(self, message):
        self.sent.append(message)
        match message:
            case FollowBelief():
                self.publisher.follow(
                    lambda change: self.updater.handle_message(self, change), message
                )
            case AskAges():
                ages = [self.publisher.get_age()]
                self.updater.handle_message(self, Ages(sent=message.sent, ages=ages))
            case ManifestAsk() if self.answer is not None:
                self.updater.handle_message(self, self.answer)


class CacheUpdaterTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.versions = FeedFollower(None, 1.0, 1.0, random.Random(1))
        subscriber = CacheSubscriber(
            "versions", self.versions, ItemCodec(WantedVersion)
        )
        self.updater = CacheUpdater([(self.versions, subscriber)])

    def attach(self, name, version):
        hub = FakeHub(name, version)
        hub.updater = self.updater
        self.updater.attach(hub)
        return hub


class CacheUpdaterTests(CacheUpdaterTestCase):
    async def test_newest_hub_is_the_current_one(self):
        self.attach("h1", 2)
        self.attach("h2", 3)
        self.assertEqual(self.versions.items["m"].version, 3)

    async def test_previous_hub_is_used_after_the_newest_is_lost(self):
        first = self.attach("h1", 2)
        second = self.attach("h2", 3)
        self.updater.detach(second)
        wanted = {"m": WantedVersion(model="m", version=4)}
        first.cache.apply_changes(wanted, 4, "store")
        self.assertEqual(self.versions.items["m"].version, 4)

    async def test_hub_with_older_data_does_not_revert_the_cache(self):
        self.attach("h1", 3)
        self.attach("h2", 2)
        self.assertEqual(self.versions.items["m"].version, 3)


class HubManifestSourceTests(CacheUpdaterTestCase):
    def setUp(self):
        super().setUp()
        self.engine = EngineModel(slots=1)
        self.manifests = HubManifestSource(
            lambda: FakeSource(2), self.updater, lambda: self.engine
        )

    async def test_origin_is_asked_without_a_hub(self):
        manifest = await self.manifests.get_manifest("m", 2)
        self.assertEqual(manifest.version, "2")

    def attach_with_manifest(self):
        """Attach a hub that sends a manifest with one chunk of 4 bytes."""
        hub = self.attach("h1", 2)
        manifest = Manifest(
            model="m", version="7", size=4, chunk_size=4, chunks=[DIGEST], digest=DIGEST
        )
        data = dump_manifest(manifest)
        hub.answer = ManifestAnswer(model="m", version=7, manifest=data)
        return hub

    async def test_hub_answers_instead_of_the_origin(self):
        self.attach_with_manifest()
        # The hub answers while the request is being sent.
        task = asyncio.create_task(self.manifests.get_manifest("m", 7))
        self.assertEqual((await task).version, "7")

    async def test_manifest_with_other_chunks_than_configured_is_doubted(self):
        """Guards against a hub that sends the same unfit manifest again."""
        hub = self.attach_with_manifest()
        self.engine = EngineModel(slots=1, chunks=2, chunk_bytes=4)
        for doubted in ([], [DIGEST]):
            with self.assertRaises(ManifestError):
                await self.manifests.get_manifest("m", 7)
            self.assertEqual(hub.sent[-1].doubted, doubted)

    async def test_version_that_no_longer_exists(self):
        self.attach("h1", 2).answer = ManifestAnswer(model="m", version=7, gone=True)
        with self.assertRaises(WeightsNotFoundError):
            await self.manifests.get_manifest("m", 7)

    async def test_hub_without_the_manifest_raises_unreachable(self):
        self.attach("h1", 2).answer = ManifestAnswer(model="m", version=7)
        with self.assertRaises(PlatformUnreachableError):
            await self.manifests.get_manifest("m", 7)
