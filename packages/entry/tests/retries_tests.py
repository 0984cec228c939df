from __future__ import annotations

import random
import unittest

from marigold.core.schema.generated.settings import Retries
from marigold.entry.routing.calls import AttemptFailure
from marigold.entry.routing.retries import (
    MAXIMUM_REFUSALS,
    AttemptHistory,
    BudgetedRetry,
)

CUT = AttemptFailure("cut", "unknown")
BUSY = AttemptFailure("busy", "no")
VOID = AttemptFailure("link lost before start", "no")
# Concurrent requests of an engine in the users' deployments.
ENGINE_SLOTS = 8
REFUSED_CONNECTION = AttemptFailure("unreachable", "no")
LOST = AttemptFailure("lost", "unknown")


def make_history(*failures, is_idempotent=True):
    history = AttemptHistory("assistant", is_idempotent)
    for index, failure in enumerate(failures):
        history.add(failure, f"assistant-{index}")
    return history


def get_delay(policy, history, now=0.0, time_left=60.0):
    return policy.get_delay(history, time_left, now, random.Random(3))


class AttemptHistoryTests(unittest.TestCase):
    def test_executed_is_no_only_if_proved_for_every_attempt(self):
        self.assertEqual(make_history(VOID, BUSY).executed, "no")
        self.assertEqual(make_history(CUT, BUSY).executed, "unknown")

    def test_busy_target_is_not_excluded(self):
        self.assertEqual(make_history(BUSY, CUT).excluded, {"assistant-1"})


class BudgetedRetryTests(unittest.TestCase):
    def test_unknown_outcome_is_retried_only_when_idempotent(self):
        policy = BudgetedRetry(Retries())
        self.assertIsNotNone(get_delay(policy, make_history(CUT)))
        history = make_history(CUT, is_idempotent=False)
        self.assertIsNone(get_delay(policy, history))
        history = make_history(VOID, is_idempotent=False)
        self.assertIsNotNone(get_delay(policy, history))

    def test_refusals_for_load_use_no_budget_and_are_bounded(self):
        policy = BudgetedRetry(Retries(budget_floor=0, budget_ratio=0))
        busy = [BUSY] * (MAXIMUM_REFUSALS - 1)
        self.assertEqual(get_delay(policy, make_history(*busy)), 0.0)
        self.assertIsNone(get_delay(policy, make_history(*busy, BUSY)))

    def test_refused_connections_use_no_budget_and_are_bounded(self):
        policy = BudgetedRetry(Retries(budget_floor=0, budget_ratio=0))
        for _ in range(100):
            self.assertIsNotNone(get_delay(policy, make_history(REFUSED_CONNECTION)))
        refused = [REFUSED_CONNECTION] * 3
        self.assertIsNone(get_delay(policy, make_history(*refused)))

    def test_refused_connection_after_a_crash_is_retried_without_budget(self):
        policy = BudgetedRetry(Retries(budget_floor=1, budget_ratio=0))
        self.assertIsNotNone(get_delay(policy, make_history(LOST)))
        self.assertIsNone(get_delay(policy, make_history(LOST)))
        history = make_history(LOST, REFUSED_CONNECTION)
        self.assertIsNotNone(get_delay(policy, history))

    def test_requests_of_two_lost_engines_are_retried_without_traffic(self):
        policy = BudgetedRetry(Retries())
        for _ in range(2 * ENGINE_SLOTS):
            self.assertIsNotNone(get_delay(policy, make_history(LOST)))

    def test_requests_on_lost_link_are_retried_without_budget(self):
        policy = BudgetedRetry(Retries(budget_floor=0, budget_ratio=0))
        for _ in range(100):
            self.assertIsNotNone(get_delay(policy, make_history(VOID)))
        self.assertIsNone(get_delay(policy, make_history(VOID, VOID, VOID)))
        self.assertIsNone(get_delay(policy, make_history(CUT)))

    def test_attempts_and_deadline_bound_retries(self):
        policy = BudgetedRetry(Retries(maximum_attempts=2))
        self.assertIsNone(get_delay(policy, make_history(CUT, CUT)))
        self.assertIsNone(get_delay(policy, make_history(CUT), time_left=0.0))

    def test_delay_is_jittered_up_to_a_doubling_limit(self):
        policy = BudgetedRetry(Retries(budget_floor=1e6, maximum_attempts=9))
        rng = random.Random(3)
        for attempts, limit in ((1, 0.1), (2, 0.2), (6, 1.0)):
            history = make_history(*[CUT] * attempts)
            delays = [policy.get_delay(history, 60, 0, rng) for _ in range(500)]
            self.assertLess(min(delays), limit * 0.05)
            self.assertGreater(max(delays), limit * 0.95)
            self.assertLessEqual(max(delays), limit)

    def run_failing_service(self, policy, requests, seconds):
        attempts = 0
        for index in range(requests):
            now = index * seconds / requests
            policy.record_request("assistant", now)
            history = make_history()
            for _ in range(10):
                attempts += 1
                history.add(CUT, "assistant-1")
                if get_delay(policy, history, now) is None:
                    break
        return attempts

    def test_retries_of_failing_service_are_a_share_of_live_traffic(self):
        cfg = Retries()
        attempts = self.run_failing_service(BudgetedRetry(cfg), 6000, 60)
        self.assertLess(attempts, 6000 * (1 + cfg.budget_ratio) + cfg.budget_floor)
        self.assertGreater(attempts, 6000)

    def test_unused_budget_does_not_accumulate(self):
        cfg = Retries()
        policy = BudgetedRetry(cfg)
        for index in range(10_000):
            policy.record_request("assistant", index * 0.1)
        delays = [get_delay(policy, make_history(CUT), 1100.0) for _ in range(100)]
        self.assertLessEqual(100 - delays.count(None), cfg.budget_floor)

    def test_budgets_of_services_are_independent(self):
        policy = BudgetedRetry(Retries())
        self.run_failing_service(policy, 100, 1)
        other = AttemptHistory("booking", True)
        other.add(CUT, "booking-1")
        self.assertIsNotNone(get_delay(policy, other, 1.0))
