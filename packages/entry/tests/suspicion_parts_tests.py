from __future__ import annotations

import unittest

from marigold.entry.suspicion.parts import (
    PROOF_LIFETIME_S,
    PROVEN_MAXIMUM,
    ProvenParts,
    is_part_key,
    make_part_key,
)
from marigold.entry.suspicion.suspects import (
    CASES_MAXIMUM,
    CRASHES_MAXIMUM,
    PROVEN_ALLOWANCE,
    REFUSED_S,
    SuspectTable,
)

FIRST, DEADLY, OTHER = (make_part_key("m", part) for part in ("f", "d", "o"))


class PartKeyTests(unittest.TestCase):
    def test_keys_differ_by_part_and_model_and_from_fingerprints(self):
        keys = {make_part_key(model, part) for model in "mn" for part in "ab"}
        self.assertEqual(len(keys), 4)
        self.assertTrue(all(is_part_key(key) for key in keys))
        self.assertFalse(is_part_key("0123456789abcdef"))


class ProvenPartsTests(unittest.TestCase):
    def test_proof_expires(self):
        parts = ProvenParts()
        parts.add(FIRST, 0.0)
        self.assertTrue(parts.is_proven(FIRST, PROOF_LIFETIME_S - 1))
        self.assertFalse(parts.is_proven(FIRST, PROOF_LIFETIME_S + 1))
        self.assertFalse(parts.is_proven(DEADLY, 0.0))

    def test_number_of_parts_is_limited_and_keeps_the_latest(self):
        parts = ProvenParts()
        parts.add(FIRST, 0.0)
        for number in range(2 * PROVEN_MAXIMUM):
            parts.add(str(number), 0.0)
            parts.add(FIRST, 0.0)
        self.assertTrue(parts.is_proven(FIRST, 1.0))
        self.assertFalse(parts.is_proven("0", 1.0))
        self.assertEqual(len(parts._responses), PROVEN_MAXIMUM)


class PartTableTests(unittest.TestCase):
    """The keys of a request are its fingerprint, then its parts, the last one first."""

    def setUp(self):
        self.table = SuspectTable()
        self.crashes = 0

    def crash(self, keys, table=None, runner=None, version=0, prior_crashes=None):
        table = table or self.table
        if prior_crashes is None:
            cases = {key: table.find(key, 0.0) for key in keys}
            prior_crashes = {key: case.crashes for key, case in cases.items() if case}
        self.crashes += 1
        runner = runner or f"i{self.crashes}/1"
        return table.record_crashes(keys, runner, prior_crashes, version, 0.0, 0.0)

    def crash_repeatedly(self, count, *parts, **options):
        """Record crashes of requests that differ and share parts."""
        for _ in range(count):
            self.crash([f"r{self.crashes}", *parts], **options)

    def get_verdicts(self, *keys, now=1.0):
        return [self.table.get_verdict(key, now) for key in keys]

    def prove(self, *keys):
        for key in keys:
            self.table.record_answer(key, 0, -1.0, 0.0)

    def test_part_is_refused_though_all_requests_differ(self):
        self.prove(FIRST)
        verdicts = []
        for _ in range(CRASHES_MAXIMUM):
            self.crash_repeatedly(1, DEADLY, FIRST)
            verdicts.append(self.get_verdicts(DEADLY, FIRST))
        self.assertEqual(
            verdicts, [["suspect", "clear"], ["suspect", "clear"], ["refused", "clear"]]
        )
        # All other cases are explained.
        keys = [case.fingerprint for case in self.table.describe_all(1.0)]
        self.assertEqual(set(keys), {DEADLY, FIRST})
        self.assertEqual(self.table.find(FIRST, 1.0).crashes, 0)

    def test_answered_part_is_refused_after_more_crashes(self):
        self.prove(FIRST)
        verdicts = []
        for number in range(CRASHES_MAXIMUM + PROVEN_ALLOWANCE):
            self.crash_repeatedly(1, make_part_key("m", f"o{number}"), FIRST)
            verdicts += self.get_verdicts(FIRST)
        self.assertEqual(verdicts, ["clear"] * 2 + ["suspect"] * 2 + ["refused"])

    def test_crashes_of_copies_in_one_rack_failure_count_once(self):
        for number in range(16):
            self.crash([f"r{number}", OTHER, FIRST], prior_crashes={})
        self.assertEqual(self.get_verdicts(OTHER, FIRST), ["suspect", "suspect"])
        self.assertEqual(self.table.find(FIRST, 0.0).crashes, 1)

    def test_only_one_part_is_refused_for_the_same_crashes(self):
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY, FIRST)
        self.assertEqual(self.get_verdicts(DEADLY, FIRST), ["refused", "clear"])

    def test_part_that_was_refused_in_place_of_another_is_released(self):
        self.crash_repeatedly(CRASHES_MAXIMUM, OTHER, DEADLY)
        self.assertEqual(self.get_verdicts(OTHER, DEADLY), ["refused", "clear"])
        # The first part goes on crashing runners without the last one.
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY)
        self.assertEqual(self.get_verdicts(DEADLY, OTHER), ["refused", "clear"])

    def test_request_that_was_alone_in_all_crashes_is_refused_in_place_of_its_part(
        self,
    ):
        for _ in range(CRASHES_MAXIMUM):
            self.crash(["same", DEADLY])
        self.assertEqual(self.get_verdicts("same", DEADLY), ["refused", "suspect"])
        self.crash(["different", DEADLY])
        self.assertEqual(self.get_verdicts(DEADLY, "same"), ["refused", "clear"])

    def test_crash_that_a_refused_part_explains_counts_against_no_other_key(self):
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY)
        for number in range(1, CRASHES_MAXIMUM + 1):
            changed = self.crash(["r", OTHER], runner=f"i{number}/1")
            self.assertEqual(changed, [])
        self.assertEqual(self.get_verdicts("r", OTHER), ["clear", "clear"])
        self.crash(["r", OTHER])
        self.assertEqual(self.get_verdicts("r", OTHER), ["suspect", "suspect"])

    def test_case_with_another_crash_is_not_explained(self):
        self.crash(["r", OTHER], runner="rack/1")
        self.crash(["r", OTHER], runner="i2/1")
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY)
        self.assertEqual(self.get_verdicts(OTHER), ["suspect"])

    def test_answer_to_a_later_request_clears(self):
        self.crash_repeatedly(1, DEADLY)
        self.assertTrue(self.table.record_answer(DEADLY, 0, 1.0, 2.0))
        self.assertIsNone(self.table.find(DEADLY, 2.0))

    def test_answer_to_an_earlier_request_shows_only_that_runners_can_answer(self):
        """Otherwise streams that began before would clear a part again and again."""
        self.crash_repeatedly(2, DEADLY)
        self.assertTrue(self.table.record_answer(DEADLY, 0, -1.0, 2.0))
        self.assertFalse(self.table.record_answer(DEADLY, 0, -1.0, 2.0))
        self.assertEqual(self.get_verdicts(DEADLY), ["clear"])
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY)
        self.assertEqual(self.get_verdicts(DEADLY), ["refused"])

    def test_answer_by_older_weights_does_not_clear(self):
        self.crash_repeatedly(2, DEADLY, version=2)
        self.table.record_answer(DEADLY, 1, 1.0, 2.0)
        self.assertEqual(self.table.find(DEADLY, 2.0).crashes, 2)
        self.table.record_answer(DEADLY, 2, 1.0, 2.0)
        self.assertIsNone(self.table.find(DEADLY, 2.0))

    def test_merge_does_not_depend_on_the_order_of_updates(self):
        self.prove(FIRST)
        cases = []
        self.table.subscribe(
            lambda key: cases.append(self.table.describe(key, 0.0)) or None
        )
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY, FIRST)
        self.crash(["r", OTHER], runner="rack/1")
        cases = [case for case in cases if case is not None]
        for order in (cases, cases[::-1]):
            other = SuspectTable()
            for case in order:
                other.merge(case, 0.0)
            verdicts = [other.get_verdict(key, 1.0) for key in (DEADLY, FIRST, OTHER)]
            self.assertEqual(verdicts, ["refused", "clear", "suspect"])

    def test_part_that_was_refused_in_place_of_another_is_released_elsewhere(self):
        other = SuspectTable()
        self.crash_repeatedly(CRASHES_MAXIMUM, OTHER, DEADLY)
        for case in self.table.describe_all(0.0):
            other.merge(case, 0.0)
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY, table=other)
        for case in other.describe_all(0.0):
            self.table.merge(case, 0.0)
        self.assertEqual(self.get_verdicts(DEADLY, OTHER), ["refused", "clear"])

    def test_other_processes_learn_that_a_part_was_answered(self):
        self.crash_repeatedly(1, FIRST)
        self.assertEqual(self.get_verdicts(FIRST), ["suspect"])
        other = SuspectTable()
        other.record_answer(FIRST, 0, -1.0, 0.0)
        other.merge(self.table.describe(FIRST, 0.0), 0.0)
        case = other.describe(FIRST, 0.0)
        self.assertTrue(case.proven)
        self.assertTrue(self.table.merge(case, 0.0))
        self.assertEqual(self.get_verdicts(FIRST), ["clear"])

    def test_refused_part_may_be_tried_after_a_time(self):
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY)
        self.assertEqual(self.get_verdicts(DEADLY, now=REFUSED_S + 1), ["suspect"])

    def test_flood_of_new_parts_is_limited_and_evicts_no_refusal(self):
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY)
        for number in range(2 * CASES_MAXIMUM):
            self.crash([f"r{number}", make_part_key("m", str(number))])
        self.assertEqual(self.get_verdicts(DEADLY), ["refused"])
        self.assertLessEqual(len(self.table.describe_all(1.0)), CASES_MAXIMUM)

    def test_begun_answer_shows_that_runners_can_answer(self):
        self.crash_repeatedly(1, FIRST)
        self.assertTrue(self.table.record_start(FIRST, 1.0))
        self.assertFalse(self.table.record_start(FIRST, 1.0))
        self.assertEqual(self.get_verdicts(FIRST), ["clear"])
        self.assertEqual(self.table.find(FIRST, 1.0).crashes, 1)

    def test_crashes_known_before_the_case_was_cleared_do_not_count(self):
        self.crash_repeatedly(2, FIRST)
        self.table.record_answer(FIRST, 0, 1.0, 1.0)
        # This request was sent before the answer.
        self.table.record_crashes(["r", FIRST], "i9/1", {FIRST: 2}, 0, 0.5, 2.0)
        self.assertEqual(self.table.find(FIRST, 2.0).crashes, 1)

    def test_two_refused_parts_explain_crashes_together(self):
        self.prove(FIRST)
        self.crash_repeatedly(CRASHES_MAXIMUM, DEADLY, FIRST)
        self.crash_repeatedly(CRASHES_MAXIMUM, OTHER, FIRST)
        self.assertEqual(self.get_verdicts(DEADLY, OTHER), ["refused", "refused"])
        self.assertEqual(self.table.find(FIRST, 1.0).crashes, 0)

    def test_part_that_is_answered_more_often_is_not_refused_in_place_of_a_rarer(self):
        self.prove(FIRST, FIRST, OTHER)
        # The same runners crash during requests with one of them.
        for number in range(CRASHES_MAXIMUM + PROVEN_ALLOWANCE):
            self.crash([f"o{number}", OTHER], runner=f"i{number}/1", prior_crashes={})
            self.crash([f"f{number}", FIRST], runner=f"i{number}/1")
        self.assertEqual(self.get_verdicts(FIRST), ["suspect"])
