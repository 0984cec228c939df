from __future__ import annotations

import unittest

from marigold.standins.bench.load import (
    BASELINES,
    CELL_POLICIES,
    ENTRY_POLICIES,
    QUIET,
    replay,
    replay_suspended,
    replay_switching,
    scale_fleet,
)

SEED = 1
SEEDS = (1, 2, 3)
# Requests a second; all engines together can process about 140.
OVERLOAD = 180.0
# Fraction of the sends that may be in vain without a fault, and the requests that may
# reach an engine long after their callers left; the platform allows a few.
FUTILE_FRACTION = 0.01
GONE_MAXIMUM = 3


class OverloadTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.chosen = replay(ENTRY_POLICIES, SEED, OVERLOAD)
        cls.baselines = {
            policies.name: replay(policies, SEED, OVERLOAD) for policies in BASELINES
        }

    def test_entry_policies_earn_more_than_each_baseline(self):
        for name, base in self.baselines.items():
            with self.subTest(name):
                self.assertGreater(self.chosen.worth, base.worth)

    def test_late_requests_are_served(self):
        self.assertGreater(self.chosen.late, 0)
        self.assertGreater(self.chosen.served, 0.9)


class NormalLoadTests(unittest.TestCase):
    def test_load_within_engine_capacity_is_served(self):
        run = replay(ENTRY_POLICIES, SEED)
        self.assertGreater(run.served, 0.995)
        self.assertGreater(run.worth, 0.9)


class SwitchingTests(unittest.TestCase):
    def get_mean_worth(self, policies):
        runs = [replay_switching(policies, seed, QUIET) for seed in SEEDS]
        for run in runs:
            self.assertGreater(run.served, 0.99)
        return sum(run.worth for run in runs) / len(runs)

    def test_switch_of_all_engines_costs_less_than_with_each_baseline(self):
        chosen = self.get_mean_worth(CELL_POLICIES)
        for policies in BASELINES:
            with self.subTest(policies.name):
                self.assertGreater(chosen, self.get_mean_worth(policies))


class ManyEntriesTests(unittest.TestCase):
    """Forty entries in three data centres; engines are added during the load."""

    @classmethod
    def setUpClass(cls):
        fleet = scale_fleet(40, 27, 8, 3)
        cls.cells = replay(CELL_POLICIES, SEED, fleet.peak, fleet)
        cls.entries = replay(ENTRY_POLICIES, SEED, fleet.peak, fleet)

    def test_hubs_serve_more_in_time_than_entries(self):
        self.assertGreater(self.cells.in_time, 1.05 * self.entries.in_time)

    def test_hubs_serve_nearly_all_requests(self):
        self.assertGreater(self.cells.served, 0.998)

    def test_busier_data_centres_spill_over_to_others(self):
        self.assertIn("spilled=", self.cells.describe())
        self.assertNotIn("spilled=0 ", self.cells.describe())


class FutileSendTests(unittest.TestCase):
    """Requests that are sent although their callers leave before an answer."""

    def replay_all(self, play):
        for policies in (CELL_POLICIES, ENTRY_POLICIES):
            for seed in SEEDS:
                yield policies.name, seed, play(policies, seed)

    def test_overload(self):
        runs = self.replay_all(lambda policies, seed: replay(policies, seed, OVERLOAD))
        futile = {
            (name, seed): f"{run.left} of {run.sent}"
            for name, seed, run in runs
            if run.left >= FUTILE_FRACTION * run.sent
        }
        self.assertEqual(futile, {})

    def test_hosts_that_stand_still(self):
        runs = self.replay_all(
            lambda policies, seed: replay_suspended(policies, seed, OVERLOAD, 4, 6.0)
        )
        gone = {
            (name, seed): run.gone
            for name, seed, run in runs
            if run.gone > GONE_MAXIMUM
        }
        self.assertEqual(gone, {})
