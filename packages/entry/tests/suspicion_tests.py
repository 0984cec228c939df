from __future__ import annotations

import asyncio
import unittest

from hub_fakes import RecordingChannel
from suspicion_fakes import refuse

from marigold.core.schema.generated.messages import (
    SuspectCase,
    SuspectNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from marigold.entry.suspicion.batching import BATCH_INTERVAL_S, UpdateBatcher
from marigold.entry.suspicion.exchange import SuspectExchange
from marigold.entry.suspicion.suspects import (
    CASES_MAXIMUM,
    CRASHES_MAXIMUM,
    PROBATION_S,
    REFUSED_S,
    SUSPECT_S,
    SuspectTable,
)
from marigold.entry.suspicion.trials import INCONCLUSIVE_DELAY_S, TrialQueue


class SuspectTableTests(unittest.TestCase):
    def setUp(self):
        self.table = SuspectTable()

    def get_verdict(self, now=1.0, fingerprint="f"):
        return self.table.get_verdict(fingerprint, now)

    def test_third_successive_crash_refuses_for_a_time(self):
        verdicts = []
        for prior_crashes in range(CRASHES_MAXIMUM):
            self.table.record_crash("f", f"i{prior_crashes}", prior_crashes, 0.0)
            verdicts.append(self.get_verdict())
        self.assertEqual(verdicts, ["suspect", "suspect", "refused"])
        self.assertEqual(self.get_verdict(REFUSED_S + 1), "suspect")
        self.assertEqual(self.get_verdict(REFUSED_S + PROBATION_S + 1), "clear")

    def test_crashes_of_copies_in_one_rack_failure_count_once(self):
        for runner in range(16):
            self.table.record_crash("f", f"i{runner}", 0, 0.0)
        self.assertEqual(self.get_verdict(), "suspect")
        self.assertEqual(self.table.find("f", 1.0).crashes, 1)

    def test_complete_response_clears_a_refusal(self):
        refuse(self.table)
        self.assertTrue(self.table.clear("f"))
        self.assertEqual(self.get_verdict(), "clear")
        self.assertFalse(self.table.clear("f"))

    def test_crash_after_a_refusal_doubles_the_time_of_refusal(self):
        refuse(self.table)
        now = REFUSED_S + 1
        self.table.record_crash("f", "i9", CRASHES_MAXIMUM, now)
        self.assertEqual(self.get_verdict(now + 2 * REFUSED_S - 1), "refused")
        self.assertEqual(self.get_verdict(now + 2 * REFUSED_S + 1), "suspect")

    def test_merge_does_not_depend_on_the_order_of_updates(self):
        refuse(self.table)
        case = self.table.describe("f", 0.0)
        other = SuspectTable()
        other.record_crash("f", "i0/1", 0, 0.0)
        self.assertTrue(other.merge(case, 0.0))
        self.assertFalse(other.merge(case, 0.0))
        self.assertEqual(other.get_verdict("f", 1.0), "refused")
        self.assertEqual(other.find("f", 1.0).runners, ["i0/1", "i1/1", "i2/1"])

    def test_suspicion_expires_and_updates_do_not_prolong_it(self):
        self.table.record_crash("f", "i0", 0, 0.0)
        case = self.table.describe("f", SUSPECT_S - 1)
        other = SuspectTable()
        other.merge(case, SUSPECT_S - 1)
        self.assertEqual(other.get_verdict("f", SUSPECT_S + 1), "clear")

    def test_number_of_suspects_is_limited_and_evicts_no_refusal(self):
        refuse(self.table)
        for number in range(3 * CASES_MAXIMUM):
            self.table.record_crash(str(number), "i0", 0, 0.0)
        self.assertEqual(self.get_verdict(), "refused")
        self.assertLessEqual(len(self.table.describe_all(1.0)), CASES_MAXIMUM)

    def test_number_of_refusals_is_limited(self):
        for number in range(2 * CASES_MAXIMUM):
            refuse(self.table, str(number))
        self.assertLessEqual(len(self.table.describe_all(1.0)), CASES_MAXIMUM)


class TrialQueueTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.table = SuspectTable()
        self.trials = TrialQueue(self.table, lambda: self.now)
        self.answers = {}

    def request(self, token, fingerprint="f"):
        def answer(is_allowed, crashes):
            self.answers[token] = (is_allowed, crashes)

        self.trials.request(fingerprint, token, answer)
        return self.answers.get(token)

    def test_requests_without_a_case_run_freely(self):
        self.assertEqual([self.request(n) for n in range(3)], [(True, 0)] * 3)

    def test_suspects_run_one_at_a_time(self):
        self.table.record_crash("f", "i0", 0, 0.0)
        self.assertEqual(self.request("a"), (True, 1))
        self.assertIsNone(self.request("b"))
        self.assertEqual(self.request("c", "g"), (True, 0))
        self.trials.end("a")
        self.assertEqual(self.answers["b"], (True, 1))

    def test_last_tolerated_crash_refuses_waiting_requests(self):
        self.table.record_crash("f", "i0", 0, 0.0)
        self.request("a")
        self.request("b")
        self.table.record_crash("f", "i1", 1, 0.0)
        self.assertNotIn("b", self.answers)
        self.table.record_crash("f", "i2", 2, 0.0)
        self.assertEqual(self.answers["b"], (False, 3))
        self.assertEqual(self.request("c"), (False, 3))

    def test_complete_response_admits_all_waiting_requests(self):
        self.table.record_crash("f", "i0", 0, 0.0)
        for token in "abc":
            self.request(token)
        self.table.clear("f")
        self.assertEqual(self.answers["b"], (True, 0))
        self.assertEqual(self.answers["c"], (True, 0))

    def test_cancelled_request_gets_no_trial(self):
        self.table.record_crash("f", "i0", 0, 0.0)
        for token in "abc":
            self.request(token)
        self.trials.end("b")
        self.trials.end("a")
        self.assertNotIn("b", self.answers)
        self.assertEqual(self.answers["c"], (True, 1))

    def test_no_trial_starts_soon_after_an_inconclusive_one(self):
        self.table.record_crash("f", "i0", 0, 0.0)
        self.request("a")
        self.request("b")
        self.trials.end("a", is_inconclusive=True)
        self.assertEqual(self.answers["b"], (False, 1))
        self.assertEqual(self.request("c"), (False, 1))
        self.now = INCONCLUSIVE_DELAY_S + 0.1
        self.assertEqual(self.request("d"), (True, 1))

    def test_number_of_queues_is_limited(self):
        for number in range(3 * CASES_MAXIMUM):
            self.table.record_crash(str(number), "i0", 0, 0.0)
            self.request(number, str(number))
            self.trials.end(number)
        self.assertLessEqual(len(self.trials._queues), CASES_MAXIMUM + 1)


class UpdateBatcherTests(unittest.IsolatedAsyncioTestCase):
    async def test_requests_of_one_crash_are_sent_in_one_update(self):
        table = SuspectTable()
        sent = []
        batcher = UpdateBatcher(table, sent.append, lambda: 0.0)
        for number in range(16):
            table.record_crash(str(number), "i0", 0, 0.0)
            batcher.add(str(number))
        batcher.add("cleared")
        self.assertEqual(sent, [])
        await asyncio.sleep(BATCH_INTERVAL_S * 2)
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
        self.table = SuspectTable()
        trials = TrialQueue(self.table, lambda: 0.0)
        return SuspectExchange(self.table, trials, lambda _: self.owner, lambda: 0.0)

    def make_case(self, crashes=1):
        return SuspectCase(
            fingerprint="f", ends=crashes, runners=["i0"], refused=0.0, left=9.0
        )

    def get(self, channel, cls):
        return [item for item in channel.sent if isinstance(item, cls)]

    async def test_update_of_an_entry_goes_to_entries_and_other_cells(self):
        self.hub.handle(self.entries[0], SuspectNews(cases=[self.make_case()]))
        await asyncio.sleep(BATCH_INTERVAL_S * 2)
        for channel in (self.entries[1], self.neighbour):
            (update,) = self.get(channel, SuspectNews)
            self.assertEqual(update.cases[0].fingerprint, "f")

    async def test_update_of_another_cell_goes_to_the_own_entries_only(self):
        update = SuspectNews(cases=[self.make_case()])
        self.hub.handle_update(update, is_own_cell=False)
        await asyncio.sleep(BATCH_INTERVAL_S * 2)
        self.assertEqual(len(self.get(self.entries[0], SuspectNews)), 1)
        self.assertEqual(self.get(self.neighbour, SuspectNews), [])

    async def test_joining_entry_receives_all_cases(self):
        self.hub.handle(self.entries[0], SuspectNews(cases=[self.make_case()]))
        late = RecordingChannel("e9")
        self.hub.join(late, is_neighbour=False)
        (update,) = self.get(late, SuspectNews)
        self.assertEqual([case.ends for case in update.cases], [1])

    async def test_trial_of_a_lost_entry_is_inconclusive(self):
        first, second = self.entries
        self.hub.handle(first, TrialAsk(ask=1, case=self.make_case()))
        self.hub.handle(second, TrialAsk(ask=2, case=self.make_case()))
        self.assertEqual(len(self.get(first, TrialAnswer)), 1)
        self.assertEqual(self.get(second, TrialAnswer), [])
        self.hub.leave(first)
        (answer,) = self.get(second, TrialAnswer)
        self.assertFalse(answer.allowed)

    async def test_trial_is_forwarded_to_the_cell_that_decides(self):
        self.owner = RecordingChannel("hub of the other cell")
        self.hub.handle(self.entries[0], TrialAsk(ask=7, case=self.make_case()))
        (forwarded,) = self.get(self.owner, TrialAsk)
        self.hub.handle_answer(TrialAnswer(ask=forwarded.ask, allowed=True, ends=2))
        (answer,) = self.get(self.entries[0], TrialAnswer)
        self.assertEqual((answer.ask, answer.ends), (7, 2))
        self.hub.handle(self.entries[0], TrialEnd(ask=7, doubtful=True))
        (end,) = self.get(self.owner, TrialEnd)
        self.assertEqual((end.ask, end.doubtful), (forwarded.ask, True))

    async def test_trial_of_another_cell_is_not_forwarded_again(self):
        self.owner = RecordingChannel("hub of a third cell")
        self.hub.handle(self.neighbour, TrialAsk(ask=3, case=self.make_case()))
        (answer,) = self.get(self.neighbour, TrialAnswer)
        self.assertEqual((answer.allowed, answer.ends), (True, 1))
