from __future__ import annotations

import random
import unittest

from marigold.core.platform.part_codecs import ItemCodec
from marigold.core.platform.replication import CacheSubscriber, Publisher
from marigold.core.platform.version_follower import (
    SUPERSEDED_MAXIMUM,
    VersionFollower,
)
from marigold.core.schema.generated.deployment import WantedVersion

MODEL = "assistant"


class SupersededVersionTests(unittest.TestCase):
    """Memory of versions that are no longer the newest.

    Guards against requests that began on old weights: entries that started after a
    second version had been named did not know of the first one, and sent requests to
    weights from before both until the time limit of the second.
    """

    def setUp(self):
        self.now = 100.0
        self.store_revision = 1
        self.hub = self.make_follower()
        self.publisher = self.make_publisher(self.hub)
        self.list_version(self.hub, 1)

    def read_clock(self):
        return self.now

    def make_follower(self):
        return VersionFollower(None, 2.0, 1.0, random.Random(1), self.read_clock)

    def make_publisher(self, cache):
        codec = ItemCodec(WantedVersion, has_valid_from=True)
        return Publisher("versions", cache, codec, self.read_clock)

    def name_version(self, version):
        self.store_revision += 1
        self.hub.apply_changes(
            {MODEL: WantedVersion(model=MODEL, version=version)},
            self.store_revision,
            "store",
            changed_at=self.now,
        )

    def list_version(self, cache, version):
        items = {MODEL: WantedVersion(model=MODEL, version=version)}
        cache.replace_all(items, self.store_revision, "store")
        cache.confirm(self.store_revision, self.now)

    def start_entry(self, publisher):
        """Return the cache of an entry that starts now and attaches to a hub."""
        cache = self.make_follower()
        codec = ItemCodec(WantedVersion, has_valid_from=True)
        subscriber = CacheSubscriber("versions", cache, codec, clock=self.read_clock)
        publisher.follow(
            lambda change: subscriber.apply(change, "hub"), subscriber.make_request()
        )
        return cache

    def get_named_times(self, cache):
        return {
            item.version: cache.valid_from.get(name)
            for name, item in cache.items.items()
        }

    def test_entry_that_starts_later_learns_of_all_versions(self):
        self.now = 114.0
        self.name_version(2)
        self.now = 115.0
        self.name_version(3)
        self.now = 116.5
        cache = self.start_entry(self.publisher)
        self.assertEqual(self.get_named_times(cache), {1: None, 2: 114.0, 3: 115.0})

    def test_entry_that_becomes_the_hub_passes_them_on(self):
        self.now = 114.0
        self.name_version(2)
        self.now = 115.0
        self.name_version(3)
        cache = self.start_entry(self.publisher)
        self.list_version(cache, 3)
        self.now = 119.0
        later = self.start_entry(self.make_publisher(cache))
        self.assertEqual(self.get_named_times(later), {1: None, 2: 114.0, 3: 115.0})

    def test_attached_entry_keeps_them(self):
        cache = self.start_entry(self.publisher)
        self.now = 114.0
        self.name_version(2)
        self.now = 115.0
        self.name_version(3)
        self.assertEqual(self.get_named_times(cache), {1: None, 2: 114.0, 3: 115.0})

    def test_version_of_unknown_time_stays_undated(self):
        self.now = 115.0
        self.name_version(3)
        times = self.get_named_times(self.start_entry(self.publisher))
        self.assertEqual(times, {1: None, 3: 115.0})

    def make_late_hub(self, *versions):
        """Return the cache of a hub that lists the first version, and sees the others.

        It does not know since when the first one has been wanted.
        """
        hub = self.make_follower()
        for version in versions:
            self.store_revision += 1
            items = {MODEL: WantedVersion(model=MODEL, version=version)}
            changed_at = None if version == versions[0] else self.now
            hub.replace_all(items, self.store_revision, "store", changed_at)
            hub.confirm(self.store_revision, self.now)
        return hub

    def follow(self, cache, hub):
        codec = ItemCodec(WantedVersion, has_valid_from=True)
        subscriber = CacheSubscriber("versions", cache, codec, clock=self.read_clock)
        self.make_publisher(hub).follow(
            lambda change: subscriber.apply(change, "hub"), subscriber.make_request()
        )

    def test_version_is_not_dated_before_the_store_was_known_to_lack_it(self):
        """Guards against an entry that refused older weights at once.

        Its new hub had started after the version was named, and knew no time for it.
        """
        cache = self.start_entry(self.publisher)
        self.now = 113.0
        cache.confirm(self.store_revision, self.now)
        self.now = 116.0
        self.follow(cache, self.make_late_hub(2))
        self.assertEqual(self.get_named_times(cache), {1: None, 2: 113.0})

    def test_each_version_that_the_entry_missed_is_dated_alike(self):
        cache = self.start_entry(self.publisher)
        self.now = 113.0
        cache.confirm(self.store_revision, self.now)
        self.now = 116.0
        self.follow(cache, self.make_late_hub(2, 3))
        self.assertEqual(self.get_named_times(cache), {1: None, 2: 113.0, 3: 116.0})

    def test_older_version_is_not_dated_by_what_the_entry_knows(self):
        self.now = 101.0
        hub = self.make_late_hub(1, 2)
        self.now = 110.0
        cache = self.make_follower()
        self.list_version(cache, 2)
        self.now = 116.0
        items = {MODEL: WantedVersion(model=MODEL, version=3)}
        hub.apply_changes(items, 9, "store", changed_at=self.now)
        self.follow(cache, hub)
        times = self.get_named_times(cache)
        self.assertEqual(times, {1: None, 2: 101.0, 3: 116.0})

    def test_number_of_versions_is_limited(self):
        for version in range(2, 40):
            self.name_version(version)
        cache = self.start_entry(self.publisher)
        known = sorted(item.version for item in cache.items.values())
        self.assertEqual(known, list(range(39 - SUPERSEDED_MAXIMUM, 40)))

    def test_model_whose_name_ends_in_its_version_is_kept(self):
        items = {"m@2": WantedVersion(model="m@2", version=2)}
        self.hub.replace_all(items, 8, "store")
        self.assertEqual(self.hub.items, items)

    def test_removed_model_leaves_nothing(self):
        self.name_version(2)
        self.hub.apply_changes({MODEL: None}, 9, "store", changed_at=self.now)
        self.assertEqual(self.hub.items, {})
        self.assertEqual(self.hub.valid_from, {})
