from __future__ import annotations

import random
import unittest
from collections import Counter

from relay_fakes import ENGINE, make_context, make_view

from marigold.core.platform.adapter import LoadReport
from marigold.entry.relay.baselines import (
    FewestInFlightPlacement,
    RandomPlacement,
    RoundRobinPlacement,
)
from marigold.entry.relay.health import EJECTION_SCORE
from marigold.entry.relay.placement import OVERCOMMIT, EarliestStartPlacement


class EarliestStartPlacementTests(unittest.TestCase):
    def setUp(self):
        self.placement = EarliestStartPlacement()
        self.rng = random.Random(3)

    def choose(self, views, now=10.0, ctx=None):
        ctx = ctx or make_context()
        return self.placement.choose(ctx, ENGINE, views, now, self.rng)

    def test_less_loaded_runner_is_preferred(self):
        full, free = make_view("full"), make_view("free")
        full.update_load(LoadReport(16, 1, 16), 10.0)
        for _ in range(20):
            self.assertIs(self.choose([full, free]), free)

    def test_no_runner_is_chosen_when_all_are_full(self):
        views = [make_view(str(number)) for number in range(3)]
        for view in views:
            view.update_load(LoadReport(16, OVERCOMMIT, 16), 10.0)
        self.assertIsNone(self.choose(views))

    def test_old_load_report_of_a_full_runner_decays(self):
        view = make_view()
        view.update_load(LoadReport(16, OVERCOMMIT, 16), 10.0)
        self.assertIsNone(self.choose([view], now=10.1))
        self.assertIs(self.choose([view], now=12.5), view)

    def test_pending_prefills_count_towards_the_start(self):
        busy, free = make_view("busy"), make_view("free")
        for number in range(4):
            waiting = make_context(f"w{number}", prompt_tokens=3000)
            busy.start(waiting, 10.0)
            started = make_context(f"s{number}", prompt_tokens=3000)
            started.is_started = True
            free.start(started, 10.0)
        for _ in range(20):
            self.assertIs(self.choose([busy, free]), free)

    def test_engine_gets_one_pending_prefill_from_an_entry(self):
        view = make_view()
        ctx = make_context("w")
        view.start(ctx, 10.0)
        self.assertIsNone(self.choose([view]))
        ctx.is_started = True
        self.assertIs(self.choose([view]), view)

    def test_plain_service_runs_requests_concurrently(self):
        view = make_view(is_engine=False)
        view.start(make_context("w"), 10.0)
        self.assertIs(self.choose([view]), view)

    def test_equal_runners_share_the_requests(self):
        views = [make_view(str(number)) for number in range(8)]
        chosen = Counter(self.choose(views).id for _ in range(400))
        self.assertEqual(len(chosen), 8)
        self.assertLess(max(chosen.values()), 100)

    def test_runner_of_the_same_region_is_preferred_while_about_equal(self):
        near = make_view("near")
        far = make_view("far", region="east", data_centre="debr-a")
        for _ in range(20):
            self.assertIs(self.choose([near, far]), near)
        near.update_load(LoadReport(16, 1, 16), 10.0)
        self.assertIs(self.choose([near, far]), far)

    def test_failing_runner_gets_single_probes_only(self):
        bad, good = make_view("bad"), make_view("good")
        bad.health.record_failure(10.0, EJECTION_SCORE + 1)
        chosen = Counter()
        for tenth in range(10):
            now = 10.0 + tenth / 10
            chosen[self.choose([bad, good], now=now).id] += 1
        self.assertLessEqual(chosen["bad"], 2)

    def test_non_idempotent_request_is_no_probe(self):
        bad, good = make_view("bad"), make_view("good")
        bad.health.record_failure(10.0, EJECTION_SCORE + 1)
        ctx = make_context()
        ctx.is_idempotent = False
        for tenth in range(10):
            now = 10.0 + tenth / 10
            self.assertIs(self.choose([bad, good], now=now, ctx=ctx), good)

    def test_silent_runner_gets_no_requests(self):
        silent, good = make_view("silent"), make_view("good")
        silent.start(make_context("old"), 10.0)
        for _ in range(20):
            self.assertIs(self.choose([silent, good], now=12.0), good)


class BaselineTests(unittest.TestCase):
    def test_baselines_have_no_load_limit(self):
        view = make_view()
        view.update_load(LoadReport(16, 30, 16), 10.0)
        rng = random.Random(1)
        for cls in (RoundRobinPlacement, RandomPlacement, FewestInFlightPlacement):
            with self.subTest(cls.__name__):
                chosen = cls().choose(make_context(), ENGINE, [view], 10.0, rng)
                self.assertIs(chosen, view)
