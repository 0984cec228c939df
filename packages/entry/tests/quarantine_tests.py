from __future__ import annotations

import asyncio
import unittest
from collections import defaultdict

from routing_fakes import BODY, FakeTarget, answer, make_dispatcher, make_request

from marigold.core.links.identity import Identity
from marigold.core.schema.generated.messages import AnswerEnd, RefuseAttempt
from marigold.entry.exceptions import AnswerError, QuarantinedError
from marigold.entry.routing.calls import AttemptFailure
from marigold.entry.routing.isolation import SETTLE_S, is_target_lost
from marigold.entry.routing.load import TargetView
from marigold.entry.routing.quarantine import (
    REFUSED_S,
    SUSPECT_S,
    PermitTable,
    SuspectQuarantine,
)
from marigold.entry.routing.suspects import SuspectCoordinator

POISON = b"CRASH"
RUN_S = 0.01
TIMEOUT_S = 20.0


class SuspectQuarantineTests(unittest.TestCase):
    def setUp(self):
        self.policy = SuspectQuarantine()

    def get_verdict(self, now=1.0):
        return self.policy.get_verdict("f", now)

    def test_second_target_lost_alone_is_refused_for_a_time(self):
        self.policy.add_loss("f", "a", True, False, 0.0)
        self.assertEqual(self.get_verdict(), "suspect")
        self.policy.add_loss("f", "b", True, True, 0.0)
        self.assertEqual(self.get_verdict(), "refused")
        self.policy.clear("f")
        self.assertEqual(self.get_verdict(), "refused")
        self.assertEqual(self.get_verdict(REFUSED_S + 1), "clear")

    def test_two_crashes_before_the_word_spread_are_enough(self):
        self.policy.add_loss("f", "a", True, False, 0.0)
        self.policy.suspect("f", ["b"], 0.0)
        self.assertEqual(self.get_verdict(), "refused")

    def test_one_crash_told_by_many_entries_counts_once(self):
        for _ in range(3):
            self.policy.suspect("f", ["a"], 0.0)
        self.assertEqual(self.get_verdict(), "suspect")

    def test_rack_lost_under_a_popular_request_condemns_nothing(self):
        for host in "abcd":
            self.policy.add_loss("f", host, False, False, 0.0)
        self.assertEqual(self.get_verdict(), "suspect")
        self.policy.clear("f")
        self.assertEqual(self.get_verdict(), "clear")
        self.policy.add_loss("f", "a", False, False, 0.0)
        self.assertEqual(self.get_verdict(SUSPECT_S + 1), "clear")

    def test_memory_is_bounded(self):
        for number in range(10_000):
            self.policy.suspect(str(number), [], 0.0)
        self.assertLess(len(self.policy.get_suspects(1.0)), 5_000)


class PermitBookTests(unittest.TestCase):
    def test_each_fingerprint_once_and_each_host_one_suspect(self):
        book = PermitTable()
        self.assertTrue(book.give("f", "r1", "a", 10.0, 0.0))
        self.assertFalse(book.give("f", "r2", "b", 10.0, 0.0))
        self.assertFalse(book.give("g", "r3", "a", 10.0, 0.0))
        self.assertTrue(book.give("g", "r3", "b", 10.0, 0.0))
        book.take_back("f", "r2")
        self.assertFalse(book.give("f", "r2", "c", 10.0, 0.0))
        book.take_back("f", "r1")
        self.assertTrue(book.give("f", "r2", "c", 10.0, 0.0))

    def test_permit_of_a_dead_entry_ends(self):
        book = PermitTable()
        book.give("f", "r1", "a", 10.0, 0.0)
        self.assertTrue(book.give("f", "r2", "a", 10.0, 10.0))


class TargetLossTests(unittest.TestCase):
    def test_cut_off_data_centre_is_no_loss(self):
        near, far = TargetView("a", "x", True), TargetView("b", "x", False)
        unreachable = AttemptFailure("target unreachable", "unknown")
        self.assertTrue(is_target_lost(unreachable, near))
        self.assertFalse(is_target_lost(unreachable, far))
        self.assertFalse(is_target_lost(AttemptFailure("cut", "unknown"), near))


class Engine:
    """A back end that ends when it gets the poison, with all that it runs."""

    def __init__(self):
        self.is_alive = True
        self.calls = []
        self.crash_delay = 0.0

    def crash(self):
        self.is_alive = False
        for call in self.calls:
            attempt = call.start.attempt
            end = AnswerEnd(
                attempt=attempt, outcome="lost", chunks=0, running=0, limit=16
            )
            call.put(end)
        self.calls = []

    def finish(self, call):
        if call in self.calls:
            self.calls.remove(call)
            for item in answer()(call.start.attempt):
                call.put(item)


class EngineTarget(FakeTarget):
    """A target of one entry in front of a shared engine."""

    def __init__(self, host, engine):
        super().__init__(host)
        self._engine = engine

    async def send(self, message):
        call = self._calls.get(message.attempt)
        engine = self._engine
        if not engine.is_alive:
            self.view.health.record_failure(message.attempt, 0.0)
            call.put(RefuseAttempt(attempt=message.attempt, reason="unreachable"))
            return
        engine.calls.append(call)
        if POISON in message.body and engine.crash_delay:
            asyncio.get_running_loop().call_later(engine.crash_delay, engine.crash)
        elif POISON in message.body:
            engine.crash()
        else:
            asyncio.get_running_loop().call_later(RUN_S, engine.finish, call)


class LocalLink:
    def __init__(self, peers, sender):
        self.peer = Identity(sender.name, "entry", "gyor-a", 1)
        self._peers = peers
        self._sender = sender

    async def send(self, message):
        await self._peers.deliver(self._sender, self.peer.process, message)


class LocalPeers:
    """The peers of one entry; messages to others are delivered at once."""

    def __init__(self, name, network):
        self.name = name
        self._network = network
        self._handlers = defaultdict(list)
        network[name] = self

    def on_open(self, handler):
        return

    def subscribe(self, cls, handler):
        self._handlers[cls].append(handler)

    def get_local_names(self):
        return [name for name in self._network if name != self.name]

    async def send(self, process, message):
        await self.deliver(self, process, message)
        return True

    async def deliver(self, sender, process, message):
        await asyncio.sleep(0)
        receiver = self._network[process]
        for handler in receiver._handlers[type(message)]:
            await handler(LocalLink(receiver, sender), message)


class DataCentreTests(unittest.IsolatedAsyncioTestCase):
    """Three entries before six engines."""

    def setUp(self):
        network = {}
        self.engines = [Engine() for _ in range(6)]
        self.dispatchers = []
        for name in ("entry-1", "entry-2", "entry-3"):
            coordinator = SuspectCoordinator(name, "gyor-a", LocalPeers(name, network))
            targets = [
                EngineTarget(f"assistant-{number}", engine)
                for number, engine in enumerate(self.engines)
                if self.is_reached(name, number)
            ]
            self.dispatchers.append(make_dispatcher(targets, coordinator))
        self.count = 0

    def is_reached(self, entry, engine):
        return True

    async def send(self, dispatcher, body):
        self.count += 1
        req = make_request(f"r{self.count}", body, is_idempotent=True)
        try:
            return (await dispatcher.run(req)).body
        except AnswerError as exc:
            return exc
        finally:
            dispatcher.finish(req)

    async def test_one_request_ends_two_targets_and_innocents_are_answered(self):
        sends = []
        for number, dispatcher in enumerate(self.dispatchers):
            for index in range(4):
                sends.append(self.send(dispatcher, b"innocent %d %d" % (number, index)))
        innocents = asyncio.gather(*sends)
        await asyncio.sleep(0)
        poisons = [
            self.send(dispatcher, POISON)
            for dispatcher in self.dispatchers
            for _ in range(3)
        ]
        got = await asyncio.wait_for(asyncio.gather(*poisons), TIMEOUT_S)
        self.assertEqual({type(item) for item in got}, {QuarantinedError})
        again = await asyncio.gather(*(self.send(d, POISON) for d in self.dispatchers))
        self.assertEqual([item.executed for item in again], ["no"] * 3)
        lost = [engine for engine in self.engines if not engine.is_alive]
        self.assertEqual(len(lost), 2)
        self.assertEqual(set(await asyncio.wait_for(innocents, TIMEOUT_S)), {BODY})


class SlowCopyTests(DataCentreTests):
    """Two entries reach engines of their own; one group takes longer to crash.

    Found in a whole run beside other load: three engines of five were lost.
    """

    def is_reached(self, entry, engine):
        return (entry == "entry-3") == (engine >= 4)

    async def test_copy_that_still_runs_counts_before_one_runs_alone(self):
        for engine in self.engines[4:]:
            engine.crash_delay = SETTLE_S * 0.6
        first, _, third = self.dispatchers
        sends = asyncio.gather(self.send(first, POISON), self.send(third, POISON))
        got = await asyncio.wait_for(sends, TIMEOUT_S)
        self.assertEqual({type(item) for item in got}, {QuarantinedError})
        lost = [engine for engine in self.engines if not engine.is_alive]
        self.assertEqual(len(lost), 2)
