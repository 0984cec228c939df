"""Followers of kinds that must not go back when the store is restored."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest

from marigold.core.platform.adapter import Changes, Feed, Listing
from marigold.core.platform.followers import (
    REWRITE_S,
    MemberFollower,
    RunnerFollower,
    VersionedFollower,
)
from marigold.core.platform.part_codecs import SERVICE, ConfigurationCodec, ItemCodec
from marigold.core.platform.positions import make_position
from marigold.core.platform.replication import CacheSubscriber, Publisher
from marigold.core.platform.version_follower import VersionFollower
from marigold.core.schema.generated.deployment import (
    Configuration,
    Member,
    Runner,
    Service,
    WantedVersion,
)
from marigold.standins.virtual_time import get_time, run_virtual


class FollowerTestCase(unittest.TestCase):
    cls = VersionedFollower

    def setUp(self):
        self.now = 100.0
        self.follower = self.cls(None, 2.0, 1.0, random.Random(1), lambda: self.now)

    def list(self, era, revision, **items):
        listing = Listing(items, make_position(era, revision))
        self.follower._apply_listing(listing, self.now)

    def change(self, era, revision, **items):
        changes = Changes(items, make_position(era, revision))
        self.follower._apply_watch_result(changes, self.now)


def make_configuration(version):
    return Configuration(version=version, routes=[], services=[])


class ConfigurationTests(FollowerTestCase):
    """A confirmed configuration stays in force until a newer one comes."""

    def get_version(self):
        return self.follower.items["main"].version

    def test_older_version_of_the_copy(self):
        self.list(1, 900, main=make_configuration(17))
        self.list(2, 3, main=make_configuration(15))
        self.assertEqual(self.get_version(), 17)
        self.change(2, 4, main=make_configuration(16))
        self.assertEqual(self.get_version(), 17)
        self.change(2, 5, main=make_configuration(21))
        self.assertEqual(self.get_version(), 21)

    def test_copy_without_a_configuration(self):
        self.list(1, 900, main=make_configuration(17))
        self.list(2, 3)
        self.assertEqual(self.get_version(), 17)

    def test_parts_without_a_version(self):
        service = Service(name="plain")
        self.list(1, 900, main=make_configuration(17))
        subscriber = CacheSubscriber(
            "configuration", self.follower, ConfigurationCodec(), SERVICE
        )
        hub = VersionedFollower(None, 2.0, 1.0, random.Random(1), lambda: self.now)
        cfg = Configuration(version=18, routes=[], services=[service])
        hub._apply_listing(Listing({"main": cfg}, make_position(1, 901)), self.now)
        publisher = Publisher("configuration", hub, ConfigurationCodec())
        publisher.follow(
            lambda change: subscriber.apply(change, "hub"), subscriber.make_request()
        )
        self.assertEqual(self.follower.items["main"].services, [service])


class VersionTests(FollowerTestCase):
    """Wanted versions, superseded ones and their dates do not go back."""

    cls = VersionFollower

    def name(self, version):
        return WantedVersion(model="m", version=version)

    def test_older_version_of_the_copy(self):
        self.list(1, 900, m=self.name(1))
        self.now = 110.0
        self.change(1, 901, m=self.name(2))
        self.now = 115.0
        self.change(1, 902, m=self.name(3))
        items, times = dict(self.follower.items), dict(self.follower.valid_from)
        self.now = 117.0
        self.list(2, 3, m=self.name(1))
        self.assertEqual(
            (self.follower.items, self.follower.valid_from), (items, times)
        )
        self.now = 118.0
        self.change(2, 4, m=self.name(2))
        self.now = 119.0
        self.change(2, 5, m=self.name(3))
        self.assertEqual(
            (self.follower.items, self.follower.valid_from), (items, times)
        )

    def test_model_that_is_removed_stays_removed(self):
        self.list(1, 900, m=self.name(1))
        self.change(1, 901, m=None)
        self.assertEqual(self.follower.items, {})


class MemberTests(FollowerTestCase):
    """Entries that the copy lacks are still known, as they register again."""

    cls = MemberFollower

    def test_entry_that_the_copy_lacks(self):
        first, second = (
            Member(process=name, address="10.0.0.1:80", data_centre="a", capacity=1.0)
            for name in ("e1", "e2")
        )
        self.list(1, 900, e1=first, e2=second)
        self.list(2, 3, e1=first)
        self.assertEqual(self.follower.items, {"e1": first, "e2": second})


def make_runner(draining=False, started=7):
    return Runner(
        id="i1",
        service="plain",
        address="10.0.0.1:80",
        data_centre="a",
        slots=4,
        is_draining=draining,
        started_ms=started,
    )


class RunnerTests(FollowerTestCase):
    """A copy brings back no runner that was seen to leave, end or start again."""

    cls = RunnerFollower

    def test_runner_that_drains(self):
        self.list(1, 900, i1=make_runner())
        self.change(1, 901, i1=make_runner(draining=True))
        self.list(2, 3, i1=make_runner())
        self.assertTrue(self.follower.items["i1"].is_draining)

    def test_runner_that_started_again(self):
        self.list(1, 900, i1=make_runner(started=9))
        self.list(2, 3, i1=make_runner(started=7, draining=True))
        self.assertEqual(self.follower.items["i1"], make_runner(started=9))

    def test_removed_runner_is_believed_once_it_is_still_listed_later(self):
        self.list(1, 900, i1=make_runner())
        self.change(1, 901, i1=None)
        self.list(2, 3, i1=make_runner())
        self.assertEqual(self.follower.items, {})
        self.assertEqual(self.follower._listing_at, self.now + REWRITE_S)
        self.now += REWRITE_S
        self.list(2, 9, i1=make_runner())
        self.assertIn("i1", self.follower.items)

    def test_runner_that_the_copy_lacks_has_time_to_write_again(self):
        self.list(1, 900, i1=make_runner())
        self.list(2, 3)
        self.assertEqual(self.follower.items, {})
        self.assertEqual(self.follower.recovered_at, self.now)

    def test_later_start_of_a_removed_runner(self):
        self.list(1, 900, i1=make_runner())
        self.change(1, 901, i1=None)
        self.list(2, 3, i1=make_runner(started=9))
        self.assertIn("i1", self.follower.items)

    def test_runner_that_was_back_before_the_return(self):
        self.list(1, 900, i1=make_runner())
        self.change(1, 901, i1=None)
        self.change(1, 902, i1=make_runner())
        self.list(2, 3, i1=make_runner())
        self.assertIn("i1", self.follower.items)

    def test_runner_that_wrote_again_between_two_returns(self):
        self.list(1, 900, i1=make_runner())
        self.list(2, 3)
        self.change(2, 4, i1=make_runner())
        self.list(3, 5, i1=make_runner())
        self.assertIn("i1", self.follower.items)

    def test_runner_that_is_removed_again_after_it_was_back(self):
        self.list(1, 900, i1=make_runner())
        self.change(1, 901, i1=None)
        self.change(1, 902, i1=make_runner())
        self.change(1, 903, i1=None)
        self.list(2, 3, i1=make_runner())
        self.assertEqual(self.follower.items, {})


class HubChangeTests(FollowerTestCase):
    """A later hub lists the runners again that its predecessor withheld."""

    cls = RunnerFollower

    async def check(self, is_known_before):
        feed = ListedFeed({"i1": make_runner()}, make_position(2, 3))
        later = RunnerFollower(feed, 2.0, 1.0, random.Random(1), get_time)
        subscriber = CacheSubscriber(
            "runners", later, ItemCodec(Runner), clock=get_time
        )
        publisher = Publisher("runners", self.follower, ItemCodec(Runner))

        def follow():
            publisher.follow(
                lambda change: subscriber.apply(change, "hub"),
                subscriber.make_request(),
            )

        self.list(1, 900, i1=make_runner())
        if is_known_before:
            follow()
        self.change(1, 901, i1=None)
        self.list(2, 3, i1=make_runner())
        if not is_known_before:
            follow()
        subscriber.apply_age(publisher.get_age(), get_time())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(later.run(), REWRITE_S / 2)
        self.assertEqual((later.items, feed.reads), ({}, 0))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(later.run(), REWRITE_S)
        self.assertEqual(later.items, {"i1": make_runner()})
        self.assertEqual(feed.reads, 1)

    def test_entry_that_followed_the_hub_over_the_return(self):
        run_virtual(self.check(is_known_before=True))

    def test_entry_that_started_after_the_return(self):
        run_virtual(self.check(is_known_before=False))


class ListedFeed(Feed):
    """Feed of a store that does not change."""

    name = "runners"

    def __init__(self, items, revision):
        self._items = items
        self._revision = revision
        self.reads = 0

    async def read(self):
        self.reads += 1
        return Listing(dict(self._items), self._revision)

    async def watch(self, revision, wait):
        await asyncio.sleep(wait)
        return Changes({}, revision)
