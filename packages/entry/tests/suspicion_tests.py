from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from hub_fakes import RecordingChannel

from marigold.core.exceptions import PlatformUnreachableError
from marigold.core.platform.adapter import Listing
from marigold.core.schema.generated.deployment import QuarantinedRequest
from marigold.core.schema.generated.messages import (
    SuspectCase,
    SuspectNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from marigold.entry.suspicion import persistence
from marigold.entry.suspicion.batching import GATHER_S, UpdateBatcher
from marigold.entry.suspicion.exchange import SuspectExchange
from marigold.entry.suspicion.persistence import QuarantineStore
from marigold.entry.suspicion.suspects import (
    CASES_MAXIMUM,
    ENDS_MAXIMUM,
    PROBATION_S,
    REFUSED_S,
    SUSPECT_S,
    SuspectTable,
)
from marigold.entry.suspicion.trials import DOUBT_S, TrialQueue


def refuse(book, fingerprint="f", now=0.0):
    for earlier in range(ENDS_MAXIMUM):
        book.record_end(fingerprint, f"i{earlier}/1", earlier, now)


class SuspectTableTests(unittest.TestCase):
    def setUp(self):
        self.book = SuspectTable()

    def get_verdict(self, now=1.0, fingerprint="f"):
        return self.book.get_verdict(fingerprint, now)

    def test_third_end_after_another_refuses_for_a_time(self):
        verdicts = []
        for earlier in range(ENDS_MAXIMUM):
            self.book.record_end("f", f"i{earlier}", earlier, 0.0)
            verdicts.append(self.get_verdict())
        self.assertEqual(verdicts, ["suspect", "suspect", "refused"])
        self.assertEqual(self.get_verdict(REFUSED_S + 1), "suspect")
        self.assertEqual(self.get_verdict(REFUSED_S + PROBATION_S + 1), "clear")

    def test_copies_that_a_rack_took_down_together_are_one_end(self):
        for runner in range(16):
            self.book.record_end("f", f"i{runner}", 0, 0.0)
        self.assertEqual(self.get_verdict(), "suspect")
        self.assertEqual(self.book.find("f", 1.0).ends, 1)

    def test_whole_answer_clears_also_what_is_refused(self):
        refuse(self.book)
        self.assertTrue(self.book.clear("f"))
        self.assertEqual(self.get_verdict(), "clear")
        self.assertFalse(self.book.clear("f"))

    def test_end_after_a_refusal_refuses_for_twice_as_long(self):
        refuse(self.book)
        now = REFUSED_S + 1
        self.book.record_end("f", "i9", ENDS_MAXIMUM, now)
        self.assertEqual(self.get_verdict(now + 2 * REFUSED_S - 1), "refused")
        self.assertEqual(self.get_verdict(now + 2 * REFUSED_S + 1), "suspect")

    def test_news_in_any_order_lead_to_the_same(self):
        refuse(self.book)
        told = self.book.describe("f", 0.0)
        other = SuspectTable()
        other.record_end("f", "i0/1", 0, 0.0)
        self.assertTrue(other.merge(told, 0.0))
        self.assertFalse(other.merge(told, 0.0))
        self.assertEqual(other.get_verdict("f", 1.0), "refused")
        self.assertEqual(other.find("f", 1.0).runners, ["i0/1", "i1/1", "i2/1"])

    def test_suspicion_is_forgotten_and_news_do_not_prolong_it(self):
        self.book.record_end("f", "i0", 0, 0.0)
        told = self.book.describe("f", SUSPECT_S - 1)
        other = SuspectTable()
        other.merge(told, SUSPECT_S - 1)
        self.assertEqual(other.get_verdict("f", SUSPECT_S + 1), "clear")

    def test_flood_of_suspects_is_bounded_and_displaces_no_refusal(self):
        refuse(self.book)
        for number in range(3 * CASES_MAXIMUM):
            self.book.record_end(str(number), "i0", 0, 0.0)
        self.assertEqual(self.get_verdict(), "refused")
        self.assertLessEqual(len(self.book.describe_all(1.0)), CASES_MAXIMUM)

    def test_flood_of_refused_ones_is_bounded(self):
        for number in range(2 * CASES_MAXIMUM):
            refuse(self.book, str(number))
        self.assertLessEqual(len(self.book.describe_all(1.0)), CASES_MAXIMUM)


class TrialQueueTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.book = SuspectTable()
        self.trials = TrialQueue(self.book, lambda: self.now)
        self.answers = {}

    def ask(self, token, fingerprint="f"):
        def answer(is_allowed, ends):
            self.answers[token] = (is_allowed, ends)

        self.trials.ask(fingerprint, token, answer)
        return self.answers.get(token)

    def test_what_nothing_is_held_against_runs_freely(self):
        self.assertEqual([self.ask(n) for n in range(3)], [(True, 0)] * 3)

    def test_suspects_run_one_after_another(self):
        self.book.record_end("f", "i0", 0, 0.0)
        self.assertEqual(self.ask("a"), (True, 1))
        self.assertIsNone(self.ask("b"))
        self.assertEqual(self.ask("c", "g"), (True, 0))
        self.trials.end("a")
        self.assertEqual(self.answers["b"], (True, 1))

    def test_last_end_refuses_those_that_wait(self):
        self.book.record_end("f", "i0", 0, 0.0)
        self.ask("a")
        self.ask("b")
        self.book.record_end("f", "i1", 1, 0.0)
        self.assertNotIn("b", self.answers)
        self.book.record_end("f", "i2", 2, 0.0)
        self.assertEqual(self.answers["b"], (False, 3))
        self.assertEqual(self.ask("c"), (False, 3))

    def test_whole_answer_lets_all_go_that_wait(self):
        self.book.record_end("f", "i0", 0, 0.0)
        for token in "abc":
            self.ask(token)
        self.book.clear("f")
        self.assertEqual(self.answers["b"], (True, 0))
        self.assertEqual(self.answers["c"], (True, 0))

    def test_one_that_left_the_line_takes_no_turn(self):
        self.book.record_end("f", "i0", 0, 0.0)
        for token in "abc":
            self.ask(token)
        self.trials.end("b")
        self.trials.end("a")
        self.assertNotIn("b", self.answers)
        self.assertEqual(self.answers["c"], (True, 1))

    def test_after_a_doubtful_trial_none_runs_for_a_while(self):
        self.book.record_end("f", "i0", 0, 0.0)
        self.ask("a")
        self.ask("b")
        self.trials.end("a", is_inconclusive=True)
        self.assertEqual(self.answers["b"], (False, 1))
        self.assertEqual(self.ask("c"), (False, 1))
        self.now = DOUBT_S + 0.1
        self.assertEqual(self.ask("d"), (True, 1))

    def test_lines_are_bounded(self):
        for number in range(3 * CASES_MAXIMUM):
            self.book.record_end(str(number), "i0", 0, 0.0)
            self.ask(number, str(number))
            self.trials.end(number)
        self.assertLessEqual(len(self.trials._lines), CASES_MAXIMUM + 1)


class UpdateBatcherTests(unittest.IsolatedAsyncioTestCase):
    async def test_requests_of_one_end_are_told_together(self):
        book = SuspectTable()
        sent = []
        outbox = UpdateBatcher(book, sent.append, lambda: 0.0)
        for number in range(16):
            book.record_end(str(number), "i0", 0, 0.0)
            outbox.note(str(number))
        outbox.note("cleared")
        self.assertEqual(sent, [])
        await asyncio.sleep(GATHER_S * 2)
        self.assertEqual(len(sent), 1)
        self.assertEqual(len(sent[0].cases), 16)
        self.assertEqual(sent[0].cleared, ["cleared"])


class SuspectExchangeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.owner = None
        self.hub = self.make_hub()
        self.entries = [RecordingChannel(f"e{n}") for n in range(2)]
        self.neighbour = RecordingChannel("n0")
        for entry in self.entries:
            self.hub.join(entry, is_neighbour=False)
        self.hub.join(self.neighbour, is_neighbour=True)

    def make_hub(self):
        self.book = SuspectTable()
        trials = TrialQueue(self.book, lambda: 0.0)
        return SuspectExchange(self.book, trials, lambda _: self.owner, lambda: 0.0)

    def make_case(self, ends=1):
        return SuspectCase(
            fingerprint="f", ends=ends, runners=["i0"], refused=0.0, left=9.0
        )

    def get(self, channel, cls):
        return [item for item in channel.sent if isinstance(item, cls)]

    async def test_news_of_an_entry_go_to_entries_and_other_cells(self):
        self.hub.take(self.entries[0], SuspectNews(cases=[self.make_case()]))
        await asyncio.sleep(GATHER_S * 2)
        for channel in (self.entries[1], self.neighbour):
            (news,) = self.get(channel, SuspectNews)
            self.assertEqual(news.cases[0].fingerprint, "f")

    async def test_news_of_another_cell_go_to_the_own_entries_only(self):
        news = SuspectNews(cases=[self.make_case()])
        self.hub.take_news(news, is_own=False)
        await asyncio.sleep(GATHER_S * 2)
        self.assertEqual(len(self.get(self.entries[0], SuspectNews)), 1)
        self.assertEqual(self.get(self.neighbour, SuspectNews), [])

    async def test_newcomer_is_told_all(self):
        self.hub.take(self.entries[0], SuspectNews(cases=[self.make_case()]))
        late = RecordingChannel("e9")
        self.hub.join(late, is_neighbour=False)
        (news,) = self.get(late, SuspectNews)
        self.assertEqual([case.ends for case in news.cases], [1])

    async def test_trial_of_an_entry_that_is_gone_is_doubtful(self):
        first, second = self.entries
        self.hub.take(first, TrialAsk(ask=1, case=self.make_case()))
        self.hub.take(second, TrialAsk(ask=2, case=self.make_case()))
        self.assertEqual(len(self.get(first, TrialAnswer)), 1)
        self.assertEqual(self.get(second, TrialAnswer), [])
        self.hub.leave(first)
        (answer,) = self.get(second, TrialAnswer)
        self.assertFalse(answer.allowed)

    async def test_one_cell_decides_for_all(self):
        self.owner = RecordingChannel("hub of the other cell")
        self.hub.take(self.entries[0], TrialAsk(ask=7, case=self.make_case()))
        (asked,) = self.get(self.owner, TrialAsk)
        self.hub.take_answer(TrialAnswer(ask=asked.ask, allowed=True, ends=2))
        (answer,) = self.get(self.entries[0], TrialAnswer)
        self.assertEqual((answer.ask, answer.ends), (7, 2))
        self.hub.take(self.entries[0], TrialEnd(ask=7, doubtful=True))
        (end,) = self.get(self.owner, TrialEnd)
        self.assertEqual((end.ask, end.doubtful), (asked.ask, True))

    async def test_question_of_another_cell_is_answered_here(self):
        self.owner = RecordingChannel("hub of a third cell")
        self.hub.take(self.neighbour, TrialAsk(ask=3, case=self.make_case()))
        (answer,) = self.get(self.neighbour, TrialAnswer)
        self.assertEqual((answer.allowed, answer.ends), (True, 1))


class FakeRegistry:
    def __init__(self):
        self.items = {}
        self.calls = []
        self.is_away = False

    def _call(self, name):
        self.calls.append(name)
        if self.is_away:
            raise PlatformUnreachableError(name)

    async def put(self, item, is_known):
        self._call("put")
        self.items[item.fingerprint] = item

    async def read(self, is_stale):
        self._call("read")
        return Listing(dict(self.items), 1)

    async def delete(self, name):
        self._call("delete")
        self.items.pop(name, None)


class QuarantineStoreTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 0.0
        self.registry = FakeRegistry()
        self.book, self.keeper = self.make_keeper()
        self.addAsyncCleanup(self.keeper.stop)

    def make_keeper(self):
        book = SuspectTable()
        keeper = QuarantineStore(
            book,
            self.registry,
            lambda fingerprint: None,
            lambda: self.now,
            lambda: self.now,
        )
        return book, keeper

    async def wait_for(self, check):
        async with asyncio.timeout(5.0):
            while not check():
                await asyncio.sleep(0.01)

    async def test_refusal_outlives_all_processes(self):
        self.keeper.sync(True)
        refuse(self.book)
        await self.wait_for(lambda: self.registry.items)
        book, keeper = self.make_keeper()
        self.addAsyncCleanup(keeper.stop)
        keeper.sync(True)
        await self.wait_for(lambda: not book.is_empty)
        self.assertEqual(book.get_verdict("f", REFUSED_S - 1), "refused")
        self.assertEqual(book.get_verdict("f", REFUSED_S + 1), "suspect")

    async def test_suspects_and_cleared_ones_cost_no_writes(self):
        self.keeper.sync(True)
        self.book.record_end("f", "i0", 0, 0.0)
        self.book.clear("f")
        await asyncio.sleep(0.05)
        self.assertEqual(self.registry.calls, ["read"])

    async def test_refusal_is_written_once_and_removed_when_it_is_over(self):
        self.enterContext(mock.patch.object(persistence, "CLEAN_S", 0.1))
        self.keeper.sync(True)
        refuse(self.book)
        await self.wait_for(lambda: self.registry.items)
        await asyncio.sleep(0.3)
        self.assertEqual(self.registry.calls.count("put"), 1)
        self.now = REFUSED_S + 1
        await self.wait_for(lambda: not self.registry.items)

    async def test_write_waits_for_the_store(self):
        self.registry.is_away = True
        self.keeper.sync(True)
        refuse(self.book)
        await asyncio.sleep(0.05)
        self.assertEqual(self.registry.items, {})
        self.registry.is_away = False
        await self.wait_for(lambda: self.registry.items)

    async def test_objects_in_the_store_are_bounded(self):
        self.keeper.sync(True)
        for number in range(persistence.OBJECTS_MAXIMUM + 50):
            refuse(self.book, str(number))
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.registry.items), persistence.OBJECTS_MAXIMUM)

    async def test_clock_that_is_off_refuses_for_no_longer_than_the_bound(self):
        self.registry.items["f"] = QuarantinedRequest(
            fingerprint="f", ends=3, runners=[], until_ms=10**14
        )
        self.keeper.sync(True)
        await self.wait_for(lambda: not self.book.is_empty)
        self.assertEqual(self.book.get_verdict("f", 3601.0), "suspect")
