"""Positions, caches and hubs after the store came back from a copy."""

from __future__ import annotations

import random
import unittest

from marigold.core.platform.adapter import Listing
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.followers import VersionedFollower
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.platform.part_codecs import ConfigurationCodec, ItemCodec
from marigold.core.platform.positions import (
    get_era,
    get_revision,
    is_restored,
    make_position,
)
from marigold.core.platform.replication import CacheSubscriber, Publisher
from marigold.core.schema.generated.deployment import (
    Configuration,
    Organisation,
    WantedVersion,
)


def make_item(version):
    return WantedVersion(model="m", version=version)


class PositionTests(unittest.TestCase):
    """Positions are ordered over eras, and within one by revision."""

    def test_order(self):
        positions = [
            make_position(era, revision)
            for era, revision in ((0, 5), (0, 900), (1, 3), (1, 4), (2, 0))
        ]
        self.assertEqual(positions, sorted(positions))
        self.assertEqual(make_position(0, 900), 900)
        self.assertEqual(
            [(get_era(item), get_revision(item)) for item in positions[2:]],
            [(1, 3), (1, 4), (2, 0)],
        )

    def test_return_of_the_store(self):
        self.assertTrue(is_restored(make_position(1, 900), make_position(2, 3)))
        self.assertFalse(is_restored(make_position(1, 3), make_position(1, 900)))
        self.assertFalse(is_restored(0, make_position(2, 3)))


class CacheTests(unittest.TestCase):
    """A cache takes the lower revisions of a later era, and no earlier era."""

    def setUp(self):
        self.cache = ObjectCache("things", lambda: 50.0)
        self.restored = []
        self.cache.on_restore = lambda: self.restored.append(self.cache.restored_era)
        self.cache.replace_all({"a": 1}, make_position(1, 900), "store")

    def test_listing_of_a_later_era(self):
        self.assertTrue(self.cache.replace_all({"b": 2}, make_position(2, 3), "store"))
        self.assertEqual(self.cache.items, {"b": 2})
        self.assertEqual((self.restored, self.cache.recovered_at), ([2], 50.0))

    def test_late_listing_of_an_earlier_era(self):
        self.cache.replace_all({"b": 2}, make_position(2, 3), "store")
        self.assertFalse(
            self.cache.replace_all({"a": 1}, make_position(1, 901), "store")
        )
        self.assertEqual(self.cache.items, {"b": 2})

    def test_confirmation_in_a_later_era(self):
        self.cache.confirm(make_position(2, 3), 50.0)
        self.assertEqual(self.restored, [2])

    def test_first_contents_are_no_return(self):
        cache = ObjectCache("things", lambda: 50.0)
        cache.replace_all({"a": 1}, make_position(7, 900), "store")
        self.assertEqual(cache.restored_era, 0)


class ReplicationTests(unittest.TestCase):
    """Followers have the state of their hub after a return, whatever they had."""

    def setUp(self):
        self.codec = ItemCodec(WantedVersion)
        self.cache = self.make_cache(1, 900, a=1, b=1)

    def make_cache(self, era, revision, **versions):
        cache = ObjectCache("versions", lambda: 50.0)
        self.set(cache, era, revision, **versions)
        return cache

    def set(self, cache, era, revision, **versions):
        items = {name: make_item(version) for name, version in versions.items()}
        cache.replace_all(items, make_position(era, revision), "store")
        cache.confirm(make_position(era, revision), 50.0)

    def follow(self, cache, hub):
        subscriber = CacheSubscriber("versions", cache, self.codec, "", lambda: 50.0)
        publisher = Publisher("versions", hub, self.codec, lambda: 50.0)

        def receive(change):
            if not subscriber.apply(change, "hub"):
                publisher.follow(receive, subscriber.make_request())

        publisher.follow(receive, subscriber.make_request())

    def get_versions(self, cache):
        return {name: item.version for name, item in cache.items.items()}

    def test_follower_of_a_hub_whose_store_returns(self):
        hub = self.make_cache(1, 900, a=1, b=1)
        self.follow(self.cache, hub)
        self.set(hub, 2, 3, a=1)
        self.assertEqual(self.get_versions(self.cache), {"a": 1})
        self.assertEqual(self.cache.restored_era, 2)
        self.set(hub, 2, 4, a=1, c=1)
        self.assertEqual(self.get_versions(self.cache), {"a": 1, "c": 1})

    def test_follower_that_was_ahead_of_its_hub_before_the_return(self):
        hub = self.make_cache(1, 890, a=1)
        self.follow(self.cache, hub)
        self.set(hub, 2, 3, a=1, c=1)
        self.assertEqual(self.get_versions(self.cache), {"a": 1, "c": 1})

    def test_follower_that_was_ahead_of_a_hub_that_changes_in_nothing(self):
        hub = self.make_cache(1, 890, a=1, b=1)
        self.set(self.cache, 1, 900, a=1)
        subscriber = CacheSubscriber("versions", self.cache, self.codec)
        publisher = Publisher("versions", hub, self.codec)
        publisher.follow(
            lambda change: subscriber.apply(change, "hub"), subscriber.make_request()
        )
        self.set(hub, 2, 3, a=1, b=1)
        subscriber.apply_age(publisher.get_age(), 50.0)
        self.assertEqual(self.get_versions(self.cache), {"a": 1, "b": 1})

    def test_follower_that_is_an_era_ahead_of_its_hub(self):
        self.set(self.cache, 2, 3, a=1, c=1)
        hub = self.make_cache(1, 900, a=1, b=1)
        self.follow(self.cache, hub)
        self.set(hub, 1, 901, a=1, b=2)
        self.assertEqual(self.get_versions(self.cache), {"a": 1, "c": 1})
        self.set(hub, 2, 4, a=1, d=1)
        self.assertEqual(self.get_versions(self.cache), {"a": 1, "d": 1})

    def test_caches_that_differ_at_one_position(self):
        self.set(self.cache, 2, 3, a=1, b=1)
        hub = self.make_cache(2, 3, a=1)
        self.follow(self.cache, hub)
        self.assertEqual(self.get_versions(self.cache), {"a": 1})
        kept = self.make_cache(1, 900, a=1, b=1)
        self.set(kept, 2, 3, a=1, b=1)
        newcomer = self.make_cache(2, 3, a=1)
        self.follow(newcomer, kept)
        self.assertEqual(self.get_versions(newcomer), {"a": 1, "b": 1})


class JoinedConfigurationTests(unittest.TestCase):
    """No configuration is joined from the parts of two histories.

    One entry kept version 17, which the restored store lacks; another one started
    after the return, and has version 15 of the copy at the same position.
    """

    def get_time(self):
        return 50.0

    def make_cache(self):
        return VersionedFollower(None, 2.0, 1.0, random.Random(1), self.get_time)

    def list(self, cache, era, revision, version, *names):
        organisations = [Organisation(name=name) for name in names]
        cfg = Configuration(
            version=version, routes=[], services=[], organisations=organisations
        )
        listing = Listing({"main": cfg}, make_position(era, revision))
        cache._apply_listing(listing, 50.0)

    def make_kept(self, revision=3):
        cache = self.make_cache()
        self.list(cache, 1, 900, 17, "both", "lost")
        self.list(cache, 2, revision, 15, "both", "old")
        return cache

    def make_new(self):
        cache = self.make_cache()
        self.list(cache, 2, 3, 15, "both", "old")
        return cache

    def follow(self, cache, hub):
        """Make a cache follow a hub; return a function that ends that."""
        codec = ConfigurationCodec()
        subscriber = CacheSubscriber("things", cache, codec, "", self.get_time)
        publisher = Publisher("things", hub, codec, self.get_time)

        def receive(change):
            if not subscriber.apply(change, "hub"):
                publisher.follow(receive, subscriber.make_request())

        publisher.follow(receive, subscriber.make_request())
        subscriber.apply_age(publisher.get_age(), 50.0)
        return lambda: publisher.unfollow(receive)

    def check(self, cache, version, *names):
        cfg = cache.items["main"]
        self.assertEqual(cfg.version, version)
        self.assertEqual({item.name for item in cfg.organisations}, set(names))

    def test_entry_that_is_ahead_of_a_new_hub(self):
        entry, hub = self.make_kept(revision=8), self.make_new()
        self.follow(entry, hub)
        self.list(hub, 2, 9, 21, "both", "old", "later")
        self.check(entry, 21, "both", "old", "later")

    def test_entry_that_reads_the_store_beside_its_hub(self):
        entry, hub = self.make_new(), self.make_new()
        self.follow(entry, hub)
        self.list(entry, 2, 8, 17, "both", "added")
        self.list(hub, 2, 6, 16, "both", "old", "added")
        self.list(hub, 2, 9, 21, "both", "old", "added", "later")
        self.check(entry, 21, "both", "old", "added", "later")

    def test_entry_that_has_what_an_earlier_hub_kept(self):
        entry, hub = self.make_cache(), self.make_new()
        stop = self.follow(entry, self.make_kept())
        self.check(entry, 17, "both", "lost")
        stop()
        self.follow(entry, hub)
        self.list(hub, 2, 4, 21, "both", "old", "later")
        self.check(entry, 21, "both", "old", "later")

    def test_entry_whose_hub_has_what_an_earlier_hub_kept(self):
        entry, hub = self.make_new(), self.make_cache()
        stop = self.follow(hub, self.make_kept())
        stop()
        self.follow(entry, hub)
        self.check(entry, 17, "both", "lost")
        self.list(hub, 2, 4, 21, "both", "later")
        self.check(entry, 21, "both", "later")

    def test_entry_whose_hub_follows_one_that_kept_more(self):
        entry, hub = self.make_new(), self.make_new()
        self.follow(entry, hub)
        self.follow(hub, self.make_kept())
        self.check(entry, 17, "both", "lost")
        self.assertEqual(entry.restored_era, 2)


class FeedTests(unittest.TestCase):
    """A follower of the store takes the first listing of a later era."""

    def test_listing_with_lower_revisions(self):
        follower = FeedFollower(None, 2.0, 1.0, random.Random(1), lambda: 50.0)
        for era, revision, items in ((1, 900, {"a": 1}), (2, 3, {"b": 2})):
            listing = Listing(items, make_position(era, revision))
            follower._apply_listing(listing, 50.0)
        self.assertEqual(follower.items, {"b": 2})
        self.assertEqual(follower.revision, make_position(2, 3))
