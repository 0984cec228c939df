from __future__ import annotations

import random
import unittest
from collections import Counter

from marigold.entry.routing.load import REPORT_LIFETIME_S, TargetView
from marigold.entry.routing.requests import compute_affinity
from marigold.entry.routing.router import TwoChoiceRouter, select_version

NOW = 100.0


def make_view(name, *, is_local=True, limit=16, outstanding=0):
    view = TargetView(name, "assistant", is_local)
    view.is_open = True
    view.limit = limit
    view.outstanding = outstanding
    view.last_message_at = NOW
    view.reported_at = NOW
    return view


def make_views(count, **options):
    return [make_view(f"assistant-{index}", **options) for index in range(count)]


def answer(view, seconds, now, times=1):
    for index in range(times):
        view.health.record_start(f"{view.host}.{now}.{index}", now - seconds)
        view.health.record_progress(f"{view.host}.{now}.{index}", now)


def choose_many(views, count, affinity="", now=NOW):
    router = TwoChoiceRouter()
    rng = random.Random(5)
    return Counter(router.choose(views, affinity, now, rng).host for _ in range(count))


class LoadTests(unittest.TestCase):
    def test_refusal_applies_until_a_report_shows_capacity(self):
        view = make_view("a", limit=4)
        view.record_refusal(NOW)
        self.assertFalse(view.has_capacity(NOW + 0.1))
        view.record_load(4, 4, NOW + 0.2)
        self.assertFalse(view.has_capacity(NOW + 0.3))
        view.record_load(3, 4, NOW + 0.4)
        self.assertTrue(view.has_capacity(NOW + 0.4))

    def test_reports_and_refusals_expire(self):
        view = make_view("a", limit=4)
        view.record_load(4, 4, NOW)
        view.record_refusal(NOW)
        self.assertFalse(view.has_capacity(NOW + 0.5))
        self.assertTrue(view.has_capacity(NOW + REPORT_LIFETIME_S))

    def test_reported_others_excludes_own_attempts(self):
        view = make_view("a", outstanding=3)
        view.record_load(8, 16, NOW)
        self.assertEqual(view.reported_others, 5)
        self.assertEqual(view.get_load(NOW + 0.9), 8)


class TwoChoiceTests(unittest.TestCase):
    def test_less_loaded_target_is_selected(self):
        views = make_views(2)
        views[0].outstanding = 8
        self.assertEqual(choose_many(views, 20), {"assistant-1": 20})

    def test_idle_target_causes_no_herding(self):
        views = make_views(20, outstanding=8)
        views[3].outstanding = 0
        chosen = choose_many(views, 2000)
        self.assertLess(chosen["assistant-3"], 2000 * 3 / 20)

    def test_remote_target_is_used_only_without_healthy_local_one(self):
        local, remote = make_view("near"), make_view("far", is_local=False)
        local.outstanding = 12
        self.assertEqual(choose_many([local, remote], 20), {"near": 20})
        self.assertEqual(choose_many([remote], 1), {"far": 1})
        local.last_message_at = NOW - 2.0
        self.assertEqual(choose_many([local, remote], 20), {"far": 20})

    def test_silent_and_stalled_targets_are_ejected_within_two_seconds(self):
        for name, stall in (
            ("silent", lambda view: setattr(view, "last_message_at", NOW - 1.1)),
            ("stalled", lambda view: view.health.record_start("x", NOW - 1.0)),
        ):
            with self.subTest(name):
                views = make_views(4)
                for view in views:
                    answer(view, 0.1, NOW - 5.0)
                stall(views[0])
                self.assertNotIn("assistant-0", choose_many(views, 50))

    def test_long_answer_is_no_stall_while_others_progress(self):
        view = make_view("a")
        answer(view, 0.1, NOW - 50.0)
        view.health.record_start("long", NOW - 30.0)
        answer(view, 0.1, NOW)
        self.assertLess(view.health.get_latency(NOW), 0.2)

    def test_slow_target_gets_only_probes_until_it_recovers(self):
        views = make_views(4)
        for view in views:
            answer(view, 0.1, NOW - 1.0, times=3)
        answer(views[0], 1.0, NOW, times=3)
        chosen = choose_many(views, 100)
        self.assertEqual(chosen["assistant-0"], 1)
        answer(views[0], 0.1, NOW + 0.1)
        self.assertGreater(choose_many(views, 100)["assistant-0"], 10)

    def test_idle_failing_target_gets_only_probes(self):
        views = make_views(3, outstanding=4)
        views[0].outstanding = 0
        views[0].health.record_start("x", NOW)
        views[0].health.record_failure("x", NOW)
        self.assertNotIn("assistant-0", choose_many(views, 50))
        later = NOW + 1.0
        for view in views:
            view.last_message_at = later
        self.assertEqual(choose_many(views, 50, now=later)["assistant-0"], 1)

    def test_unhealthy_targets_are_used_when_there_is_no_other(self):
        views = make_views(2)
        for view in views:
            view.last_message_at = 0.0
        self.assertEqual(choose_many(views, 10).total(), 10)


class AffinityTests(unittest.TestCase):
    def test_affinity_selects_same_target_unless_overloaded(self):
        views = make_views(8)
        (preferred,) = choose_many(views, 50, "system prompt")
        (again,) = choose_many(list(reversed(views)), 50, "system prompt")
        self.assertEqual(again, preferred)
        view = next(view for view in views if view.host == preferred)
        view.outstanding = 8
        self.assertNotIn(preferred, choose_many(views, 50, "system prompt"))

    def test_affinities_spread_over_targets(self):
        views = make_views(8)
        router, rng = TwoChoiceRouter(), random.Random(1)
        chosen = Counter(
            router.choose(views, f"prefix {index}", NOW, rng).host
            for index in range(4000)
        )
        self.assertEqual(len(chosen), 8)
        self.assertLess(max(chosen.values()), 1.5 * 4000 / 8)

    def test_turns_of_a_conversation_share_their_affinity(self):
        system = {"role": "system", "content": "be brief"}
        first = {"role": "user", "content": "how thick a base?"}
        turn = {"role": "assistant", "content": "100 mm"}
        affinity = compute_affinity("assistant", [system, first])
        self.assertEqual(compute_affinity("assistant", [system, first, turn]), affinity)
        self.assertNotEqual(compute_affinity("other", [system, first]), affinity)
        self.assertNotEqual(compute_affinity("assistant", [system, turn]), affinity)


class VersionTests(unittest.TestCase):
    def test_wanted_version_is_preferred_to_fallback(self):
        old, new = make_views(2)
        old.versions, new.versions = ["1"], ["1", "2"]
        self.assertEqual(select_version([old, new], ["2", "1"]), ([new], "2"))
        self.assertEqual(select_version([old], ["2", "1"]), ([old], "1"))
        self.assertEqual(select_version([old], ["3"]), ([], ""))
        self.assertEqual(select_version([old, new], []), ([old, new], ""))
