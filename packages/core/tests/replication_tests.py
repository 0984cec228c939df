from __future__ import annotations

import random
import unittest

from marigold.core.exceptions import LinkMessageError
from marigold.core.links.channels import LocalChannel
from marigold.core.links.identity import Identity, make_incarnation
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.platform.part_codecs import SERVICE, ConfigurationCodec, ItemCodec
from marigold.core.platform.replication import (
    CacheSubscriber,
    CacheSubscribers,
    Publisher,
)
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    Organisation,
    Route,
    Runner,
    Service,
    WeightedService,
)
from marigold.core.schema.generated.messages import Ages, BeliefChange

HUB = Identity("entry-1", "entry", "gyor-a", make_incarnation())


def make_runner(id, **changes):
    values = {
        "service": "model",
        "address": "10.0.0.1:80",
        "data_centre": "gyor-a",
        "slots": 8,
        "is_draining": False,
    }
    return Runner(id=id, **values | changes)


def make_configuration(version, routes=3):
    return Configuration(
        version=version,
        routes=[
            Route(
                name=f"r{number}",
                host="a.example",
                path_prefix=f"/{number}/",
                is_idempotent=True,
                is_stream=False,
                services=[WeightedService(service="plain", weight=1.0)],
            )
            for number in range(routes)
        ],
        services=[
            Service(name="plain"),
            Service(name="model", engine=EngineModel(slots=8, models=["m"])),
        ],
        organisations=[Organisation(name="masons", keys=["k"])],
    )


class ReplicationTestCase(unittest.TestCase):
    codec = ItemCodec(Runner)

    def setUp(self):
        self.now = 100.0
        self.hub = ObjectCache("runners", self.read_clock)
        self.publisher = Publisher("runners", self.hub, self.codec, self.read_clock)
        self.cache = ObjectCache("runners", self.read_clock)
        self.subscriber = self.make_subscriber()
        self.sent = []

    def read_clock(self):
        return self.now

    def make_subscriber(self, prefix=""):
        return CacheSubscriber(
            "runners", self.cache, self.codec, prefix, self.read_clock
        )

    def list_at(self, hub, revision, *ids):
        hub.replace_all({id: make_runner(id) for id in ids}, revision, "store")
        hub.confirm(revision, self.now)

    def follow(self, publisher=None):
        publisher = publisher or self.publisher
        publisher.follow(self.sent.append, self.subscriber.make_request())

    def deliver(self):
        sent, self.sent[:] = list(self.sent), []
        return [self.subscriber.apply(change, "hub") for change in sent]


class PublisherTests(ReplicationTestCase):
    def test_follower_gets_all_items_and_then_changes_only(self):
        self.list_at(self.hub, 5, "i1", "i2")
        self.follow()
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1", "i2"})
        self.hub.apply_changes({"i3": make_runner("i3"), "i1": None}, 6, "store")
        self.assertFalse(self.sent[0].whole)
        self.assertNotIn(b"i2", self.sent[0].items)
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i2", "i3"})
        self.assertEqual(self.cache.revision, 6)

    def test_follower_attached_before_the_first_listing_gets_it(self):
        self.follow()
        self.assertEqual(self.sent, [])
        self.list_at(self.hub, 5, "i1")
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1"})

    def test_change_after_a_gap_is_rejected_until_all_is_requested(self):
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.deliver()
        self.hub.apply_changes({"i2": make_runner("i2")}, 6, "store")
        self.sent.clear()
        self.hub.apply_changes({"i3": make_runner("i3")}, 7, "store")
        self.assertEqual(self.deliver(), [False])
        self.assertEqual(set(self.cache.items), {"i1"})
        self.follow()
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1", "i2", "i3"})

    def test_item_without_an_encoding_does_not_keep_others_from_followers(self):
        odd = make_runner("odd", service="\ud800")
        self.hub.replace_all({"i1": make_runner("i1"), "odd": odd}, 5, "store")
        self.hub.confirm(5, self.now)
        self.follow()
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1"})
        changes = {"i2": make_runner("i2"), "odd": make_runner("odd", slots=1)}
        self.hub.apply_changes(changes, 6, "store")
        self.hub.apply_changes({"odd": odd}, 7, "store")
        self.hub.apply_changes({"i3": make_runner("i3")}, 8, "store")
        self.assertEqual(self.deliver(), [True] * 3)
        self.assertLessEqual({"i1", "i2", "i3"}, set(self.cache.items))

    def test_malformed_parts_raise_an_error_and_change_nothing(self):
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.deliver()
        rng = random.Random(1)
        for _ in range(300):
            data = rng.randbytes(rng.randrange(1, 60))
            change = BeliefChange(kind="runners", base=5, revision=6, items=data)
            with self.subTest(data), self.assertRaises(LinkMessageError):
                self.subscriber.apply(change, "hub")
        self.assertEqual(set(self.cache.items), {"i1"})


class HubChangeTests(ReplicationTestCase):
    """A follower that switches from one hub to another."""

    def setUp(self):
        super().setUp()
        self.other = ObjectCache("runners", self.read_clock)
        self.second = Publisher("runners", self.other, self.codec, self.read_clock)
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.deliver()
        self.subscriber.apply_age(self.publisher.get_age(), self.now)

    def test_hub_that_is_behind_reverts_nothing(self):
        self.hub.apply_changes({"i2": make_runner("i2")}, 8, "store")
        self.deliver()
        self.list_at(self.other, 6, "i1")
        self.follow(self.second)
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1", "i2"})

    def test_hub_that_was_behind_is_followed_once_it_has_caught_up(self):
        self.hub.apply_changes({"i2": make_runner("i2")}, 8, "store")
        self.deliver()
        self.list_at(self.other, 6, "i1")
        self.follow(self.second)
        self.deliver()
        changes = {"i2": make_runner("i2"), "i3": make_runner("i3")}
        self.other.apply_changes(changes, 9, "store")
        self.assertEqual(self.deliver(), [True])
        self.assertEqual(set(self.cache.items), {"i1", "i2", "i3"})

    def test_hub_that_is_ahead_sends_what_was_missed(self):
        self.list_at(self.other, 9, "i4")
        self.follow(self.second)
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i4"})

    def test_hub_that_is_behind_confirms_nothing(self):
        self.hub.apply_changes({"i2": make_runner("i2")}, 8, "store")
        self.deliver()
        self.now += 3.0
        self.list_at(self.other, 6, "i1")
        self.follow(self.second)
        self.deliver()
        self.subscriber.apply_age(self.second.get_age(), self.now)
        self.assertGreaterEqual(self.cache.get_age(), 3.0)


class ExactStateTests(ReplicationTestCase):
    """What a follower holds is what the store had at the position that it names.

    Guards against a key that stayed in force after it was withdrawn: an entry applied
    the changes of a hub to contents that the hub never had.
    """

    def setUp(self):
        super().setUp()
        self.other = ObjectCache("runners", self.read_clock)
        self.second = Publisher("runners", self.other, self.codec, self.read_clock)
        self.list_at(self.hub, 1, "i1")

    def exchange_ages(self, publisher):
        """Apply the age of a hub; request all again if a message was missing."""
        if self.subscriber.apply_age(publisher.get_age(), self.now) is False:
            self.follow(publisher)
            self.deliver()
            self.subscriber.apply_age(publisher.get_age(), self.now)

    def move_to_hub_that_is_behind(self):
        self.list_at(self.other, 1, "i1")
        self.follow()
        self.deliver()
        self.hub.apply_changes({"i2": make_runner("i2")}, 2, "store")
        self.deliver()
        self.follow(self.second)
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1", "i2"})

    def test_hub_reads_an_addition_and_its_removal_at_once(self):
        self.move_to_hub_that_is_behind()
        self.list_at(self.other, 3, "i1")
        self.exchange_ages(self.second)
        self.assertEqual((self.cache.revision, set(self.cache.items)), (3, {"i1"}))
        self.assertEqual(self.cache.get_age(), 0.0)

    def test_hub_reads_an_addition_and_its_removal_beside_another_change(self):
        self.move_to_hub_that_is_behind()
        self.list_at(self.other, 4, "i1", "i4")
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i1", "i4"})

    def test_hub_reads_a_removal_and_its_reversal_at_once(self):
        self.list_at(self.other, 1, "i1")
        self.follow()
        self.deliver()
        self.hub.apply_changes({"i1": None}, 2, "store")
        self.deliver()
        self.follow(self.second)
        self.deliver()
        self.list_at(self.other, 3, "i1")
        self.exchange_ages(self.second)
        self.assertEqual(set(self.cache.items), {"i1"})

    def test_first_listing_of_a_hub_is_a_snapshot(self):
        self.follow()
        self.deliver()
        self.follow(self.second)
        self.list_at(self.other, 3, "i3")
        self.deliver()
        self.assertEqual(set(self.cache.items), {"i3"})

    def test_hub_that_got_its_state_from_another_one_passes_it_on(self):
        self.other.replace_all({"i3": make_runner("i3")}, 3, "hub")
        self.follow(self.second)
        self.deliver()
        self.assertEqual((self.cache.revision, set(self.cache.items)), (3, {"i3"}))

    def test_age_does_not_confirm_a_state_without_a_lost_change(self):
        self.follow()
        self.deliver()
        self.hub.apply_changes({"i1": None}, 2, "store")
        self.sent.clear()
        self.exchange_ages(self.publisher)
        self.assertEqual((self.cache.revision, set(self.cache.items)), (2, set()))

    def test_age_does_not_confirm_a_state_whose_change_is_malformed(self):
        self.follow()
        self.deliver()
        self.subscriber.apply_age(self.publisher.get_age(), self.now)
        self.now += 3.0
        self.hub.apply_changes({"i1": None}, 2, "store")
        self.sent[0].items = b"malformed"
        with self.assertRaises(LinkMessageError):
            self.deliver()
        self.sent.clear()
        self.hub.confirm(2, self.now)
        self.subscriber.apply_age(self.publisher.get_age(), self.now)
        self.assertEqual((self.cache.revision, self.cache.get_age()), (1, 3.0))

    def test_part_that_loses_its_encoding_is_removed(self):
        self.follow()
        self.deliver()
        odd = make_runner("i1", service="\ud800")
        self.hub.apply_changes({"i1": odd}, 2, "store")
        self.deliver()
        self.assertEqual(self.cache.items, {})

    def test_change_of_an_earlier_request_is_not_applied(self):
        self.follow()
        self.deliver()
        self.hub.apply_changes({"i2": make_runner("i2")}, 2, "store")
        change = self.sent.pop()
        self.subscriber.make_request()
        self.subscriber.apply(change, "hub")
        self.assertEqual((self.cache.revision, set(self.cache.items)), (1, {"i1"}))


class AgeTests(ReplicationTestCase):
    def setUp(self):
        super().setUp()
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.deliver()

    def test_age_is_that_of_the_hub_at_the_time_of_the_request(self):
        self.now += 2.0
        sent = self.now
        age = self.publisher.get_age()
        self.now += 0.5
        self.subscriber.apply_age(age, sent)
        self.assertAlmostEqual(self.cache.get_age(), 2.5)

    def test_delayed_response_does_not_reduce_the_age(self):
        """A hub, a link or this process may be suspended for seconds in between."""
        sent = self.now
        age = self.publisher.get_age()
        self.now += 6.0
        self.subscriber.apply_age(age, sent)
        self.assertAlmostEqual(self.cache.get_age(), 6.0)

    def test_nothing_is_confirmed_before_the_hub_has_sent_its_items(self):
        subscriber = self.make_subscriber()
        subscriber.make_request()
        self.now += 2.0
        subscriber.apply_age(self.publisher.get_age(), self.now)
        self.assertIsNone(self.cache.confirmed_at)


class ValidFromTests(ReplicationTestCase):
    """Earliest time at which the store can have received what a hub replicates.

    Guards against a failure of a restarted entry: it learnt of two models at once and
    dated both by the one named last, so that old weights of the other model could
    answer for too long.
    """

    codec = ItemCodec(Runner, has_valid_from=True)

    def change(self, id, age, revision):
        items = {id: make_runner(id)}
        self.hub.apply_changes(items, revision, "store", changed_at=self.now - age)

    def test_change_carries_its_earliest_possible_time(self):
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.deliver()
        self.change("i2", 1.5, 6)
        self.deliver()
        self.assertAlmostEqual(self.cache.valid_from["i2"], self.now - 1.5)

    def test_new_follower_gets_the_time_of_each_item(self):
        self.list_at(self.hub, 5, "i1")
        self.change("i2", 1.5, 6)
        first = self.now - 1.5
        self.now += 6.0
        self.change("i3", 0.5, 7)
        self.now += 1.0
        self.follow()
        self.deliver()
        self.assertNotIn("i1", self.cache.valid_from)
        self.assertAlmostEqual(self.cache.valid_from["i2"], first)
        self.assertAlmostEqual(self.cache.valid_from["i3"], self.now - 1.5)

    def test_unchanged_item_keeps_its_time(self):
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.deliver()
        self.change("i2", 0.0, 6)
        self.deliver()
        valid_from = self.cache.valid_from["i2"]
        self.now += 3.0
        self.follow(Publisher("runners", self.hub, self.codec, self.read_clock))
        self.change("i3", 0.0, 7)
        self.change("i2", 0.0, 8)
        self.deliver()
        self.assertEqual(self.cache.valid_from["i2"], valid_from)
        self.assertEqual(self.hub.valid_from["i2"], valid_from)

    def test_removed_item_has_no_time(self):
        self.list_at(self.hub, 5, "i1")
        self.follow()
        self.change("i2", 0.0, 6)
        self.hub.apply_changes({"i2": None}, 7, "store", changed_at=self.now)
        self.deliver()
        self.assertEqual(self.cache.valid_from, {})


class DelayedChangeTests(ReplicationTestCase):
    """Time of a change that reached the follower late.

    Guards against requests that began on old weights: entries counted the bound of a
    version from the arrival of the hub's message, after a suspension of either.
    """

    codec = ItemCodec(Runner, has_valid_from=True)
    # The boot time of the hub, less that of the follower.
    skew = 5000.0

    def setUp(self):
        super().setUp()
        self.publisher = Publisher("runners", self.hub, self.codec, self.read_hub_clock)
        self.subscribers = CacheSubscribers([self.subscriber], self.read_clock)
        self.channel = LocalChannel(HUB)
        self.hub.replace_all({"i1": make_runner("i1")}, 5, "store")
        self.hub.confirm(5, self.read_hub_clock())
        self.follow()
        self.deliver()

    def read_hub_clock(self):
        return self.now + self.skew

    def exchange_ages(self, there=0.001, back=0.001):
        sent = self.now
        self.now += there
        answer = Ages(sent=sent, ages=[], at=self.read_hub_clock())
        self.now += back
        self.subscribers.apply_ages(self.channel, answer)

    def change(self, age=0.0):
        """Have the hub publish a change; return when the store received it."""
        items = {"i2": make_runner("i2")}
        changed_at = self.read_hub_clock() - age
        self.hub.apply_changes(items, 6, "store", changed_at=changed_at)
        return self.now - age

    def deliver(self):
        sent, self.sent[:] = list(self.sent), []
        for change in sent:
            self.subscribers.apply(self.channel, change)

    def test_change_that_arrives_after_a_suspension_keeps_its_time(self):
        self.exchange_ages()
        changed_at = self.change(age=0.3)
        self.now += 4.0
        self.deliver()
        self.assertAlmostEqual(self.cache.valid_from["i2"], changed_at, delta=0.002)
        self.assertLessEqual(self.cache.valid_from["i2"], changed_at)

    def test_slow_exchange_of_ages_makes_the_time_earlier_never_later(self):
        self.exchange_ages(there=0.4, back=0.4)
        changed_at = self.change()
        self.now += 0.01
        self.deliver()
        self.assertLessEqual(self.cache.valid_from["i2"], changed_at)
        self.assertGreater(self.cache.valid_from["i2"], changed_at - 0.41)

    def test_fastest_exchange_of_ages_counts(self):
        self.exchange_ages()
        self.exchange_ages(there=3.0)
        changed_at = self.change()
        self.now += 4.0
        self.deliver()
        self.assertAlmostEqual(self.cache.valid_from["i2"], changed_at, delta=0.002)

    def test_other_hub_has_another_clock(self):
        self.exchange_ages()
        self.skew = 3000.0
        self.subscribers.forget_clock()
        self.exchange_ages()
        changed_at = self.change()
        self.now += 4.0
        self.deliver()
        self.assertAlmostEqual(self.cache.valid_from["i2"], changed_at, delta=0.002)

    def test_state_counts_from_its_request_while_the_clock_is_unknown(self):
        self.change(age=0.3)
        self.sent.clear()
        self.subscribers.forget_clock()
        self.follow()
        requested_at = self.now
        self.now += 4.0
        self.deliver()
        self.assertAlmostEqual(self.cache.valid_from["i2"], requested_at - 0.3)

    def test_change_counts_from_its_arrival_while_the_clock_is_unknown(self):
        self.change(age=0.3)
        self.now += 0.01
        self.deliver()
        self.assertAlmostEqual(self.cache.valid_from["i2"], self.now - 0.3)


class ConfigurationTests(unittest.TestCase):
    def setUp(self):
        self.hub = ObjectCache("configuration")
        self.publisher = Publisher("configuration", self.hub, ConfigurationCodec())
        self.hub.replace_all({"main": make_configuration(1, 500)}, 1, "store")
        self.hub.confirm(1, 1.0)

    def follow(self, prefix=""):
        cache = ObjectCache("configuration")
        subscriber = CacheSubscriber(
            "configuration", cache, ConfigurationCodec(), prefix
        )
        sent = []
        self.publisher.follow(sent.append, subscriber.make_request())
        subscriber.apply(sent.pop(), "hub")
        return cache, subscriber, sent

    def test_configuration_is_joined_from_its_parts(self):
        cache, _, _ = self.follow()
        self.assertEqual(cache.items["main"], self.hub.items["main"])

    def test_only_the_changed_route_is_sent(self):
        cache, subscriber, sent = self.follow()
        cfg = make_configuration(2, 500)
        cfg.routes[7].timeout = 3.0
        self.hub.apply_changes({"main": cfg}, 2, "store")
        self.assertLess(len(sent[0].items), 1000)
        subscriber.apply(sent.pop(), "hub")
        self.assertEqual(cache.items["main"].version, 2)
        self.assertEqual(
            sorted(cache.items["main"].routes, key=lambda item: item.name),
            sorted(cfg.routes, key=lambda item: item.name),
        )

    def test_companion_gets_only_the_services(self):
        cache, subscriber, sent = self.follow(SERVICE)
        cfg = cache.items["main"]
        self.assertEqual(cfg.routes, [])
        self.assertEqual([item.name for item in cfg.services], ["plain", "model"])
        self.hub.apply_changes({"main": make_configuration(2, 501)}, 2, "store")
        self.assertEqual(sent.pop().items, b"")
