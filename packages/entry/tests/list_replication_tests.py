from __future__ import annotations

import asyncio
import random
import unittest
from collections import defaultdict
from unittest import mock

from acceptance_tests import ALLOWANCES, PLANS, Node, make_allowances, make_plans
from fake_objects import FakeObjects

from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.identity import Identity
from marigold.core.schema.generated.messages import Heartbeat, ListsUpdate
from marigold.entry.lists import follower, replication
from marigold.entry.lists.follower import ListFollower
from marigold.entry.lists.replication import ListReplicator
from marigold.entry.lists.store import EDITED
from marigold.entry.membership.rendezvous import rank_hosts

TIMEOUT_S = 10.0


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


class FakeLink:
    """The sender's end of a link from `sender` to `receiver`."""

    def __init__(self, sender, receiver):
        self._sender = sender
        self._receiver = receiver
        self.peer = receiver.identity

    async def send(self, message):
        if self._sender.is_linked(self._receiver):
            back = FakeLink(self._receiver, self._sender)
            await self._receiver.peers.deliver(back, message)


class FakePeers:
    def __init__(self, entry):
        self._entry = entry
        self._handlers = defaultdict(list)
        self.received = []

    def subscribe(self, cls, handler):
        self._handlers[cls].append(handler)

    async def deliver(self, link, message):
        self.received.append(message)
        for handler in self._handlers[type(message)]:
            await handler(link, message)

    def get_local_names(self):
        return [
            other.identity.process
            for other in self._entry.get_linked()
            if other.identity.data_centre == self._entry.identity.data_centre
        ]

    async def send(self, process, message):
        for other in self._entry.get_linked():
            if other.identity.process == process:
                await FakeLink(self._entry, other).send(message)
                return True
        return False


class Entry(Node):
    """An entry with in-memory links to the other entries of its network."""

    def __init__(self, network, name, data_centre, objects):
        super().__init__(objects)
        self.network = network
        self.identity = Identity(name, "entry", data_centre, 1)
        self.peers = FakePeers(self)
        self.replicator = ListReplicator(
            self.identity,
            self.store,
            self.follower,
            self.acceptor,
            self.peers,
            random.Random(1),
        )
        self.task = None

    def is_linked(self, other):
        return other in self.network and self in self.network and other is not self

    def get_linked(self):
        return [other for other in self.network if self.is_linked(other)]

    def get_generation(self):
        return self.follower.state.generation

    async def send_heartbeat(self):
        message = Heartbeat(
            generation=self.get_generation(), watching=self.replicator.is_watching
        )
        for other in self.get_linked():
            await FakeLink(self, other).send(message)


class ReplicationTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for name, seconds in (
            ("ROLE_CHECK_INTERVAL_S", 0.002),
            ("RETRY_S", 0.002),
            ("ACCEPT_INTERVAL_S", 0.002),
            ("REMOTE_GRACE_S", 0.0),
            ("REQUEST_TIMEOUT_S", 0.01),
        ):
            self.enterContext(mock.patch.object(replication, name, seconds))
        self.objects = FakeObjects()
        self.network = []
        self.tasks = []
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        await cancel_tasks(*self.tasks)

    def add(self, name, data_centre="gyor-a", objects=None):
        entry = Entry(self.network, name, data_centre, objects or self.objects)
        self.network.append(entry)
        entry.task = asyncio.create_task(entry.replicator.run())
        self.tasks.append(entry.task)
        return entry

    def add_ranked(self, count, data_centre="gyor-a"):
        """Add entries; return them in order of rank."""
        names = [f"entry-{number}" for number in range(count)]
        ranked = rank_hosts(f"lists/{data_centre}", names)
        return [self.add(name, data_centre) for name in ranked]

    async def remove(self, entry):
        self.network.remove(entry)
        await cancel_tasks(entry.task)

    async def disconnect(self, entry):
        """Disconnect an entry from its peers and from the platform."""
        self.network.remove(entry)
        entry.store._objects = FakeObjects()
        entry.store._objects.outage = True
        await self.objects.notify()

    async def wait_for(self, generation, *entries):
        await wait_until(
            lambda: all(entry.get_generation() >= generation for entry in entries)
        )


class WatchTests(ReplicationTestCase):
    async def test_only_the_two_entries_ranked_first_watch(self):
        entries = self.add_ranked(6)
        await entries[5].change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await wait_until(lambda: entries[1].replicator.is_watching)
        watching = [entry.replicator.is_watching for entry in entries]
        self.assertEqual(watching, [True, True, False, False, False, False])

    async def test_change_is_pushed_to_entries_that_do_not_watch(self):
        entries = self.add_ranked(5)
        await entries[4].change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await self.wait_for(1, *entries)
        await entries[0].change(plans=(make_plans("alma", "barack"), 1))
        await self.wait_for(2, *entries)
        update = entries[3].peers.received[-1]
        self.assertEqual((update.base, list(update.plans)), (1, ["barack"]))

    async def test_another_entry_replaces_a_dead_watcher(self):
        entries = self.add_ranked(4)
        await entries[3].change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await self.wait_for(1, *entries)
        await self.remove(entries[0])
        await self.remove(entries[1])
        await wait_until(lambda: entries[2].replicator.is_watching)
        other = Node(self.objects)
        await other.change(plans=(make_plans("barack"), 1))
        await self.wait_for(2, entries[2], entries[3])

    async def test_entries_read_the_platform_without_heartbeats_of_watchers(self):
        self.enterContext(mock.patch.object(replication, "WATCHER_TIMEOUT_S", 0.01))
        entries = self.add_ranked(3)
        for entry in entries[:2]:
            entry.store._objects = FakeObjects()
            entry.store._objects.outage = True
        await Node(self.objects).change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await self.wait_for(1, entries[2])

    async def test_edit_of_a_dead_process_is_accepted(self):
        entries = self.add_ranked(3)
        store = entries[2].store
        edited = await store.get_edited()
        edited.pair.plans = await store.make_edited_list(PLANS, 1)
        edited.pair.allowances = await store.make_edited_list(ALLOWANCES, 1)
        await store.put_edited(edited.pair, 0)
        await self.wait_for(1, *entries)

    async def test_invalid_edit_is_checked_once(self):
        (entry,) = self.add_ranked(1)
        await self.objects.put(EDITED, b"no record")
        await wait_until(lambda: entry.acceptor.faults)
        with mock.patch.object(entry.acceptor, "advance") as advance:
            calls = self.objects.calls
            await wait_until(lambda: self.objects.calls > calls + 10)
            advance.assert_not_called()


class HeartbeatTests(ReplicationTestCase):
    async def test_heartbeat_repairs_a_missed_push(self):
        entries = self.add_ranked(3)
        await entries[0].change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await self.wait_for(1, *entries)
        await self.disconnect(entries[2])
        await entries[0].change(plans=(make_plans("barack"), 1))
        await self.wait_for(2, entries[0], entries[1])
        self.network.append(entries[2])
        await entries[0].send_heartbeat()
        await self.wait_for(2, entries[2])

    async def test_new_entry_gets_the_lists_from_peers_during_an_outage(self):
        entries = self.add_ranked(2)
        await entries[0].change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await self.wait_for(1, *entries)
        self.objects.outage = True
        await self.objects.notify()
        new = self.add("entry-new")
        await entries[0].send_heartbeat()
        await self.wait_for(1, new)
        self.assertEqual(set(new.follower.current.customers), {"alma"})

    async def test_data_centre_without_platform_gets_the_lists_from_another(self):
        (first,) = self.add_ranked(1)
        cut = FakeObjects()
        cut.outage = True
        second = self.add("entry-b", "bp-a", cut)
        await first.change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await first.send_heartbeat()
        await self.wait_for(1, second)

    async def test_highest_generation_wins_after_a_disconnection(self):
        (first,) = self.add_ranked(1)
        second = self.add("entry-b", "bp-a")
        await first.change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        await self.wait_for(1, first, second)
        await self.disconnect(second)
        await first.change(plans=(make_plans("barack"), 1))
        await self.wait_for(2, first)
        self.network.append(second)
        await second.send_heartbeat()
        await first.send_heartbeat()
        await self.wait_for(2, second)
        self.assertEqual(first.get_generation(), 2)


class UpdateTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = Node(FakeObjects())
        await self.node.change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        self.peer = ListFollower()

    async def send_updates(self, generation):
        for update in self.node.follower.make_updates(generation):
            is_applied = await self.peer.apply_update(update)
        return is_applied

    async def test_whole_lists_and_changes_give_the_same_state(self):
        await self.send_updates(0)
        await self.node.change(
            plans=(make_plans("barack"), 1), allowances=(make_allowances("basic"), 1)
        )
        await self.node.change(plans=(make_plans("barack", "korte"), 2))
        self.assertTrue(await self.send_updates(1))
        self.assertEqual(self.peer.state.digest, self.node.follower.state.digest)
        self.assertEqual(set(self.peer.current.customers), {"barack", "korte"})
        self.assertIsNone(self.peer.current.find_customer("alma"))
        self.assertIsNotNone(self.peer.current.find_customer("korte"))

    async def test_update_is_applied_only_if_newer_and_without_a_gap(self):
        await self.send_updates(0)
        await self.node.change(plans=(make_plans("barack"), 1))
        await self.node.change(plans=(make_plans("korte"), 2))
        updates = list(self.node.follower.make_updates(2))
        self.assertFalse(await self.peer.apply_update(updates[0]))
        self.assertTrue(await self.send_updates(1))
        whole = list(Node(FakeObjects()).follower.make_updates(0))
        self.assertEqual(whole, [])
        self.assertFalse(await self.peer.apply_update(updates[0]))

    async def test_older_state_of_the_platform_is_ignored(self):
        old = self.node.follower.state
        await self.node.change(plans=(make_plans("barack"), 1))
        self.assertFalse(await self.node.follower.apply_state(old))
        self.assertEqual(set(self.node.follower.current.customers), {"barack"})

    async def test_update_with_another_digest_is_refused(self):
        update = next(self.node.follower.make_updates(0))
        update.plans["alma"] = {**update.plans["alma"], "rate": 1000}
        self.assertFalse(await self.peer.apply_update(update))
        self.assertEqual(self.peer.state.generation, 0)

    async def test_invalid_update_is_refused(self):
        for plans in ({"alma": 5}, {"alma": {"plan": "none", "keys": []}}, {"a": {}}):
            with self.subTest(plans):
                update = ListsUpdate(
                    base=0,
                    generation=9,
                    edited="",
                    digest="",
                    plans=plans,
                    allowances={},
                    fallback={},
                )
                state = self.peer._apply(update)
                update.digest = state.digest
                self.assertFalse(await self.peer.apply_update(update))
                self.assertEqual(self.peer.state.generation, 0)

    async def test_peer_older_than_the_history_gets_the_whole_lists(self):
        for revision in range(1, follower.HISTORY_LENGTH + 3):
            await self.node.change(
                plans=(make_plans("alma", rate=revision + 1), revision)
            )
        last = self.node.follower.state.generation
        self.assertEqual(next(self.node.follower.make_updates(1)).base, 0)
        self.assertEqual(next(self.node.follower.make_updates(last - 1)).base, last - 1)

    async def test_key_can_move_between_customers(self):
        await self.send_updates(0)
        moved = PLANS.replace("alma:", "barack:")
        await self.node.change(plans=(moved, 1))
        await self.send_updates(1)
        self.assertEqual(self.peer.current.find_customer("alma").name, "barack")

    async def test_change_of_a_plan_applies_to_its_customers(self):
        await self.send_updates(0)
        await self.node.change(allowances=(make_allowances("basic", version="2"), 1))
        await self.send_updates(1)
        customer = self.peer.current.find_customer("alma")
        self.assertEqual(customer.get_model("m").version, "2")
