from __future__ import annotations

import random
import unittest

from marigold.entry.hub.budget import CellRetryBudget
from marigold.entry.relay.retry_budget import SlidingRetryBudget

RATIO = 0.2
EXTRA = 454
WINDOW_S = 10.0
SERVICE = "model"


class CellRetryBudgetTests(unittest.TestCase):
    def make(self, entries):
        budget = CellRetryBudget(lambda: entries)
        budget.set_limits(RATIO, EXTRA, WINDOW_S)
        return budget

    def acquire_all(self, budget, now):
        count = 0
        while budget.try_acquire(SERVICE, now):
            count += 1
        return count

    def test_most_extra_retries_are_available_only_after_a_whole_window(self):
        budget = self.make(1)
        budget.attach("e0", 0.0)
        self.assertLessEqual(self.acquire_all(budget, WINDOW_S - 0.1), 0.1 * EXTRA)
        later = 2 * WINDOW_S + 1
        self.assertGreaterEqual(self.acquire_all(budget, later), 0.79 * EXTRA)

    def test_ratio_counts_the_requests_of_all_attached_entries(self):
        budget = self.make(20)
        budget.record_requests({SERVICE: 600}, 1.0)
        budget.record_requests({SERVICE: 400}, 2.0)
        acquired = self.acquire_all(budget, 2.0)
        self.assertLess(acquired, 1000 * RATIO)
        self.assertGreater(acquired, 100)

    def test_total_limit_holds_at_any_size_and_with_uneven_cells(self):
        for entries in (8, 99, 732):
            with self.subTest(entries):
                sizes = [entries // 2, entries // 4]
                sizes.append(entries - sum(sizes))
                budgets = [self.make(entries) for _ in sizes]
                for budget, size in zip(budgets, sizes, strict=True):
                    for number in range(size):
                        budget.attach(f"e{number}", 0.0)
                acquired = sum(self.acquire_all(item, 100.0) for item in budgets)
                self.assertLessEqual(acquired, EXTRA)
                self.assertGreaterEqual(acquired, 0.75 * EXTRA)

    def test_total_limit_holds_in_every_window_while_entries_move_between_hubs(self):
        """Partitions and hub failures move entries, and the old hub learns late."""
        for seed in range(20):
            with self.subTest(seed):
                self.assertLessEqual(self.simulate_moves(random.Random(seed)), EXTRA)

    def simulate_moves(self, rng):
        """Return the highest number of retries in any window."""
        entries = 12
        budgets = [self.make(entries) for _ in range(3)]
        hub_of = {f"e{number}": rng.randrange(3) for number in range(entries)}
        for name, hub in hub_of.items():
            budgets[hub].attach(name, 0.0)
        detaching = []
        times = []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(20.0)
            for item in [item for item in detaching if item[0] <= now]:
                detaching.remove(item)
                budgets[item[1]].detach(item[2])
            if rng.random() < 0.02:
                name = rng.choice(list(hub_of))
                # The old hub detaches the entry only when its link has been silent.
                if all(item[2] != name for item in detaching):
                    detaching.append((now + rng.random() * 3.0, hub_of[name], name))
                    others = [hub for hub in range(3) if hub != hub_of[name]]
                    hub_of[name] = rng.choice(others)
                    budgets[hub_of[name]].attach(name, now)
            if rng.choice(budgets).try_acquire(SERVICE, now):
                times.append(now)
            if rng.random() < 0.05:
                burst = rng.choice(budgets)
                times += [now] * self.acquire_all(burst, now)
        start = most = 0
        for end, time in enumerate(times):
            while times[start] <= time - WINDOW_S:
                start += 1
            most = max(most, end + 1 - start)
        return most

    def test_hubs_and_entries_without_a_hub_stay_within_the_ratio_together(self):
        hub = self.make(10)
        alone = [SlidingRetryBudget(RATIO, 0.0, WINDOW_S) for _ in range(10)]
        for _ in range(100):
            hub.record_requests({SERVICE: 10}, 1.0)
            for budget in alone:
                budget.record_request(SERVICE, 1.0)
        acquired = self.acquire_all(hub, 2.0)
        acquired += sum(self.acquire_all(budget, 2.0) for budget in alone)
        self.assertLessEqual(acquired, 1000 * RATIO)
