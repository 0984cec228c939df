from __future__ import annotations

import random
import unittest

from relay_fakes import make_context, make_route

from marigold.entry.relay.baselines import FifoOrder
from marigold.entry.relay.queueing import (
    OLDEST_FIRST_INTERVAL,
    RATE_WINDOW_S,
    RETRY_JITTER,
    RETRY_MAXIMUM_S,
    DeadlineAdmission,
    DeadlineAwareOrder,
    StartRate,
)

START_S = 0.1


class DeadlineAwareOrderTests(unittest.TestCase):
    def test_in_time_requests_run_before_late_ones(self):
        late = make_context("late", arrived_at=0.0)
        fresh = make_context("fresh", arrived_at=0.9)
        picked = DeadlineAwareOrder().pick([late, fresh], START_S, now=1.0)
        self.assertIs(picked, fresh)

    def test_newest_in_time_request_runs_first(self):
        older = make_context("older", arrived_at=0.85)
        newer = make_context("newer", arrived_at=0.95)
        picked = DeadlineAwareOrder().pick([older, newer], START_S, now=1.0)
        self.assertIs(picked, newer)

    def test_oldest_late_request_runs_first(self):
        older = make_context("older", arrived_at=0.1)
        newer = make_context("newer", arrived_at=0.3)
        picked = DeadlineAwareOrder().pick([newer, older], START_S, now=1.0)
        self.assertIs(picked, older)

    def test_request_that_lost_its_runner_runs_first(self):
        lost = make_context("lost", arrived_at=0.0)
        lost.tried.add("i1")
        fresh = make_context("fresh", arrived_at=0.9)
        urgent = make_context("urgent", arrived_at=0.9, precedence=0)
        order = DeadlineAwareOrder()
        self.assertIs(order.pick([fresh, lost], START_S, now=1.0), lost)
        self.assertIs(order.pick([lost, urgent], START_S, now=1.0), urgent)

    def test_less_urgent_request_never_runs_before_a_more_urgent_one(self):
        urgent = make_context("urgent", arrived_at=0.0, precedence=0)
        other = make_context("other", arrived_at=0.9, precedence=1)
        order = DeadlineAwareOrder()
        for _ in range(2 * OLDEST_FIRST_INTERVAL):
            self.assertIs(order.pick([other, urgent], START_S, now=1.0), urgent)

    def test_late_requests_are_not_starved_by_a_long_overload(self):
        late = make_context("late", arrived_at=0.0)
        order = DeadlineAwareOrder()
        picked = []
        for turn in range(OLDEST_FIRST_INTERVAL):
            fresh = make_context(f"f{turn}", arrived_at=0.95)
            picked.append(order.pick([late, fresh], START_S, now=1.0))
        self.assertEqual(picked.count(late), 1)


class FifoOrderTests(unittest.TestCase):
    def test_first_in_first_out(self):
        contexts = [make_context(str(at), arrived_at=at) for at in (0.3, 0.1, 0.2)]
        picked = FifoOrder().pick(contexts, START_S, now=1.0)
        self.assertEqual(picked.id, "0.1")


class StartRateTests(unittest.TestCase):
    def test_rate_counts_the_starts_of_the_last_second(self):
        rate = StartRate(0.0)
        for tenth in range(30):
            rate.record_start(tenth / 10)
        self.assertAlmostEqual(rate.get(2.9), 10.0, delta=1.0)

    def test_rate_is_at_least_one(self):
        self.assertEqual(StartRate(0.0).get(5.0), 1.0)

    def test_rate_is_unknown_until_runners_could_start_for_a_window(self):
        rate = StartRate(0.0)
        self.assertFalse(rate.is_known(RATE_WINDOW_S / 2))
        self.assertTrue(rate.is_known(RATE_WINDOW_S))
        rate.restart(5.0)
        self.assertFalse(rate.is_known(5.0 + RATE_WINDOW_S / 2))


class DeadlineAdmissionTests(unittest.TestCase):
    def setUp(self):
        self.servability = DeadlineAdmission()

    def test_request_behind_too_many_others_is_refused_on_arrival(self):
        ctx = make_context(arrived_at=0.0)
        self.assertFalse(self.servability.is_admissible(ctx, 30, 12.0, START_S, 0.0))

    def test_late_request_that_can_be_served_waits(self):
        ctx = make_context(arrived_at=0.0)
        self.assertTrue(self.servability.is_admissible(ctx, 12, 12.0, START_S, 0.0))

    def test_caller_of_a_plain_service_stays_until_its_deadline(self):
        route = make_route(is_stream=False, is_resumable=False, timeout=1.0)
        ctx = make_context(route=route, timeout=0.9)
        self.assertTrue(self.servability.can_start_in_time(ctx, START_S, 0.7))
        self.assertFalse(self.servability.can_start_in_time(ctx, START_S, 0.85))

    def test_retry_after_covers_the_backlog_with_jitter(self):
        rng = random.Random(1)
        times = [self.servability.get_retry_after(12, 12.0, rng) for _ in range(50)]
        self.assertGreaterEqual(min(times), 1.0)
        self.assertLessEqual(max(times), 1.0 + RETRY_JITTER)
        self.assertGreater(max(times) - min(times), 0.2)

    def test_retry_after_is_bounded(self):
        seconds = self.servability.get_retry_after(900, 1.0, random.Random(1))
        self.assertLessEqual(seconds, RETRY_MAXIMUM_S * (1 + RETRY_JITTER))
