from __future__ import annotations

import unittest

from replication_tests import make_configuration

from marigold.core.platform.object_cache import ObjectCache
from marigold.core.platform.part_codecs import ConfigurationCodec
from marigold.core.platform.replication import CacheSubscriber, Publisher


class RequiredKeysTests(unittest.TestCase):
    """Followers know whether keys are required where no organisation is listed."""

    codec = ConfigurationCodec()

    def setUp(self):
        self.hub = ObjectCache("configuration")
        self.cache = ObjectCache("configuration")
        publisher = Publisher("configuration", self.hub, self.codec)
        subscriber = CacheSubscriber("configuration", self.cache, self.codec)
        self.hub.replace_all({"main": make_configuration(1)}, 1, "store")
        self.hub.confirm(1, 1.0)
        publisher.follow(
            lambda change: subscriber.apply(change, "hub"), subscriber.make_request()
        )

    def test_removed_organisations_still_require_keys(self):
        """Guards against followers of a hub that let all requests in."""
        for version, requires_keys in enumerate((True, False, True), 2):
            with self.subTest(version):
                cfg = make_configuration(version)
                cfg.organisations = []
                cfg.requires_keys = requires_keys
                self.hub.apply_changes({"main": cfg}, version, "store")
                self.assertEqual(self.cache.items["main"], cfg)

    def test_parts_without_a_head_require_keys(self):
        parts = self.codec.split({"main": make_configuration(2)})
        del parts["head"]
        self.assertTrue(self.codec.join(parts)["main"].requires_keys)
