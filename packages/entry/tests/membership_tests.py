from __future__ import annotations

import asyncio
import random
import time
import unittest
from unittest import mock

from marigold.core.clock import HybridClock
from marigold.core.exceptions import LinkError, PlatformUnreachableError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links import dialing
from marigold.core.links.identity import Identity
from marigold.core.links.link import LinkContext
from marigold.core.schema.generated.messages import Heartbeat, Leaving, StartAttempt
from marigold.core.schema.generated.records import HostRecord
from marigold.core.schema.generated.settings import Links, Platform
from marigold.entry.membership import hosts, peers, pool, targets
from marigold.entry.membership.hosts import HostListPoller
from marigold.entry.membership.peers import EntryPeers
from marigold.entry.membership.pool import TargetPool
from marigold.entry.membership.subsets import MINIMUM_LOCAL_ENTRIES, RendezvousSubset
from marigold.entry.membership.targets import TargetConnection
from marigold.entry.routing.calls import AttemptCall

TIMEOUT_S = 5.0


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


def make_record(host, role="target", data_centre="gyor-a", address="", **fields):
    address = address or f"{host}:1"
    return HostRecord(
        host=host,
        role=role,
        data_centre=data_centre,
        region="hu-west",
        address=address,
        service="assistant" if role == "target" else "",
        **fields,
    )


def make_context(process="entry-1"):
    identity = Identity(process, "entry", "gyor-a", 1)
    return LinkContext(identity, HybridClock(), Links(), "s" * 16, Heartbeat)


def make_call(conn):
    start = StartAttempt(
        attempt="a",
        request="a",
        incarnation=0,
        customer="kavics-bt",
        service="assistant",
        method="POST",
        path="/",
        headers={},
        body=b"",
    )
    return AttemptCall(start, conn, 1.0)


class FakeLink:
    def __init__(self, peer):
        self.peer = peer
        self.sent = []
        self._messages = asyncio.Queue()

    def put(self, message):
        self._messages.put_nowait(message)

    def abort(self):
        self.put(None)

    async def send(self, message):
        self.sent.append(message)

    async def __aiter__(self):
        while (message := await self._messages.get()) is not None:
            yield message


class FakeNetwork:
    """Simulates processes by address; `links` holds the links opened to them."""

    def __init__(self):
        self.processes = {}
        self.links = {}

    def add(self, address, process, incarnation, role="entry"):
        self.processes[address] = Identity(process, role, "gyor-a", incarnation)

    def remove(self, address):
        del self.processes[address]
        if address in self.links:
            self.links[address].abort()

    async def open_link(self, address, ctx):
        await asyncio.sleep(0)
        if address not in self.processes:
            raise LinkError(address)
        self.links[address] = FakeLink(self.processes[address])
        return self.links[address]


class MembershipTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.network = FakeNetwork()
        for module in (dialing, peers, targets):
            self.patch(module, "open_link", self.network.open_link)
        self.patch(peers, "RECONNECT_S", 0.001)
        self.patch(peers, "FALLBACK_DIAL_INTERVAL_S", 0.01)
        self.rng = random.Random(1)

    def patch(self, module, name, value):
        self.enterContext(mock.patch.object(module, name, value))


class TargetTests(MembershipTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.network.add("old:1", "runner-1", 1, "target")
        self.record = make_record("runner-1", address="old:1")
        self.conn = TargetConnection(
            self.record, make_context(), self.rng, lambda: None
        )
        task = asyncio.create_task(self.conn.run())
        self.addAsyncCleanup(cancel_tasks, task)
        await wait_until(self.conn.is_open)

    def move(self):
        self.network.add("new:1", "runner-1", 2, "target")
        self.conn.update_record(make_record("runner-1", address="new:1"))

    async def test_connection_moves_to_the_new_address_of_a_replaced_host(self):
        self.patch(targets, "RECONNECT_S", 60.0)
        first = self.network.links["old:1"]
        first.abort()
        await wait_until(lambda: self.network.links["old:1"] is not first)
        await wait_until(self.conn.is_open)
        self.network.remove("old:1")
        await wait_until(lambda: not self.conn.is_open())
        self.move()
        await wait_until(lambda: self.conn.incarnation == 2)
        self.assertFalse(self.conn.view.leaving)

    async def test_running_attempts_finish_at_the_former_address(self):
        call = make_call(self.conn)
        self.conn.add(call)
        self.move()
        self.assertTrue(self.conn.view.leaving)
        self.assertTrue(self.conn.is_open())
        self.conn.remove(call)
        await wait_until(lambda: self.conn.incarnation == 2)
        self.assertFalse(self.conn.view.leaving)

    async def test_leaving_message_applies_to_its_incarnation_only(self):
        self.network.links["old:1"].put(Leaving(incarnation=1))
        await wait_until(lambda: self.conn.view.leaving)
        self.conn.update_record(self.record)
        self.assertTrue(self.conn.view.leaving)
        self.network.add("old:1", "runner-1", 2, "target")
        self.network.links["old:1"].abort()
        await wait_until(lambda: self.conn.incarnation == 2)
        self.assertFalse(self.conn.view.leaving)

    async def test_stale_leaving_state_clears_for_the_next_incarnation(self):
        leaving = make_record("runner-1", address="old:1", state="leaving")
        self.conn.update_record(leaving)
        self.assertTrue(self.conn.view.leaving)
        self.network.add("old:1", "runner-1", 2, "target")
        self.network.links["old:1"].abort()
        await wait_until(lambda: self.conn.incarnation == 2)
        self.conn.update_record(leaving)
        self.assertTrue(self.conn.view.leaving)
        self.conn.update_record(self.record)
        self.assertFalse(self.conn.view.leaving)


class SubsetTests(unittest.TestCase):
    entries = [make_record(f"entry-{number}", "entry") for number in range(35)]
    local = [make_record(f"runner-{number}") for number in range(570)]
    remote = [make_record(f"far-{number}", data_centre="bp-a") for number in range(30)]

    def choose(self, me, size, records, missing=()):
        return RendezvousSubset(size).choose(me, records, missing)

    def test_each_target_has_enough_entries_and_each_entry_enough_targets(self):
        records = self.entries + self.local + self.remote
        counts = dict.fromkeys((record.host for record in self.local), 0)
        for entry in self.entries:
            chosen = self.choose(entry, 64, records)
            self.assertGreaterEqual(len(chosen), 64)
            self.assertLess(len(chosen), 64 * 2)
            for host in chosen:
                counts[host] += 1
        self.assertGreaterEqual(min(counts.values()), MINIMUM_LOCAL_ENTRIES)

    def test_remote_targets_fill_the_rest_of_the_subset(self):
        local = self.local[:3]
        records = self.entries + local + self.remote
        chosen = self.choose(self.entries[0], 8, records)
        self.assertEqual(len(chosen), 8)
        self.assertLessEqual({record.host for record in local}, chosen)
        missing = {local[0].host}
        self.assertEqual(len(self.choose(self.entries[0], 8, records, missing)), 9)

    def test_losing_a_target_changes_at_most_one_other_choice(self):
        before = self.choose(self.entries[0], 64, self.entries + self.local)
        lost = next(record for record in self.local if record.host in before)
        rest = [record for record in self.local if record is not lost]
        after = self.choose(self.entries[0], 64, self.entries + rest)
        self.assertEqual(before - after, {lost.host})
        self.assertLessEqual(len(after - before), 1)


class TargetPoolTests(MembershipTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pool = TargetPool(
            make_context(), self.rng, lambda: None, RendezvousSubset(2)
        )
        self.addAsyncCleanup(self.pool.stop)
        self.records = [make_record(f"runner-{number}") for number in range(6)]
        others = [make_record(f"entry-{number}", "entry") for number in range(2, 30)]
        self.records += others
        for record in self.records:
            self.network.add(record.address, record.host, 1, "target")

    def get_hosts(self):
        return {conn.view.host for conn in self.pool}

    def is_open(self):
        return all(conn.is_open() for conn in self.pool)

    async def test_targets_outside_of_the_subset_are_removed_once_idle(self):
        self.pool.needs_all_local = lambda: True
        await self.pool.sync(self.records)
        self.assertEqual(len(self.get_hosts()), 6)
        await wait_until(self.is_open)
        self.pool.needs_all_local = lambda: False
        calls = [make_call(conn) for conn in self.pool]
        for call, conn in zip(calls, list(self.pool), strict=True):
            conn.add(call)
        await self.pool.sync(self.records)
        await self.pool.sync(self.records)
        kept = {conn.view.host for conn in self.pool if not conn.view.leaving}
        self.assertEqual(len(self.get_hosts()), 6)
        for call, conn in zip(calls, list(self.pool), strict=True):
            conn.remove(call)
        await self.pool.sync(self.records)
        self.assertEqual(self.get_hosts(), kept)
        self.assertLess(len(kept), 6)

    async def test_unreachable_target_is_replaced(self):
        await self.pool.sync(self.records)
        await wait_until(self.is_open)
        before = self.get_hosts()
        lost = min(before)
        self.network.remove(f"{lost}:1")
        await wait_until(lambda: not self.pool.get(lost).is_open())
        later = time.monotonic() + targets.UNREACHABLE_S + 1
        with mock.patch.object(pool.time, "monotonic", lambda: later):
            await self.pool.sync(self.records)
        self.assertEqual(len(self.get_hosts()), len(before) + 1)


class EntryPeersTests(MembershipTestCase):
    async def make_peers(self, process):
        made = EntryPeers(make_context(process), self.rng)
        self.addAsyncCleanup(made.stop)
        return made

    async def test_link_moves_to_the_new_address_of_a_replaced_entry(self):
        made = await self.make_peers("entry-1")
        self.network.add("old:1", "entry-2", 1)
        await made.sync([make_record("entry-2", "entry", address="old:1")])
        await wait_until(lambda: made.get_names() == ["entry-2"])
        self.network.remove("old:1")
        self.network.add("new:1", "entry-2", 2)
        await made.sync([make_record("entry-2", "entry", address="new:1")])
        await wait_until(lambda: "new:1" in self.network.links)
        await wait_until(lambda: made.get_names() == ["entry-2"])

    async def test_second_of_two_entries_dials_when_the_first_does_not(self):
        made = await self.make_peers("entry-9")
        self.network.add("a:1", "entry-2", 1)
        await made.sync([make_record("entry-2", "entry", address="a:1")])
        await wait_until(lambda: made.get_names() == ["entry-2"])

    async def test_link_stays_open_when_the_list_omits_its_host(self):
        made = await self.make_peers("entry-1")
        self.network.add("a:1", "entry-2", 1)
        await made.sync([make_record("entry-2", "entry", address="a:1")])
        await wait_until(lambda: made.get_names() == ["entry-2"])
        await made.sync([])
        await asyncio.sleep(0)
        self.assertEqual(made.get_names(), ["entry-2"])

    async def test_older_incarnation_does_not_replace_a_newer_one(self):
        made = await self.make_peers("entry-1")
        new = FakeLink(Identity("entry-2", "entry", "gyor-a", 2))
        task = asyncio.create_task(made.serve(new))
        self.addAsyncCleanup(cancel_tasks, task)
        await wait_until(made.get_names)
        async with asyncio.timeout(TIMEOUT_S):
            await made.serve(FakeLink(Identity("entry-2", "entry", "gyor-a", 1)))
        self.assertTrue(await made.send("entry-2", Leaving(incarnation=1)))
        self.assertEqual(len(new.sent), 1)


class HostListPollerTests(MembershipTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.records = [make_record("runner-1")]
        self.has_outage = False
        self.patch(hosts, "get_hosts", self.get_hosts)
        self.handled = []

    async def get_hosts(self, session, cfg):
        if self.has_outage:
            raise PlatformUnreachableError("outage")
        return self.records

    def make_poller(self, process="entry-1"):
        made = EntryPeers(make_context(process), self.rng)
        poller = HostListPoller(None, Platform(url="http://127.0.0.1:1"))
        poller.exchange_with_peers(made)

        async def store_records(records):
            self.handled = records

        poller.subscribe(store_records)
        return poller, made

    async def test_outage_keeps_the_last_list(self):
        poller, _ = self.make_poller()
        await poller.refresh()
        self.has_outage = True
        self.handled = []
        self.assertFalse(await poller.refresh())
        self.assertEqual(self.handled, self.records)

    async def test_process_started_in_an_outage_uses_the_list_of_a_peer(self):
        known, known_peers = self.make_poller()
        await known.refresh()
        self.has_outage = True
        new, new_peers = self.make_poller("entry-2")
        await new.refresh()
        link = FakeLink(Identity("entry-1", "entry", "gyor-a", 1))
        reverse_link = FakeLink(Identity("entry-2", "entry", "gyor-a", 1))
        tasks = [
            asyncio.create_task(new_peers.serve(link)),
            asyncio.create_task(known_peers.serve(reverse_link)),
        ]
        self.addAsyncCleanup(cancel_tasks, *tasks)
        await wait_until(lambda: link.sent)
        reverse_link.put(link.sent[0])
        await wait_until(lambda: reverse_link.sent)
        link.put(reverse_link.sent[0])
        await wait_until(lambda: new.hosts == self.records)
        self.assertEqual(self.handled, self.records)
