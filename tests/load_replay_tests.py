from __future__ import annotations

import unittest

from marigold.standins.bench.load import (
    BASELINES,
    CHOSEN,
    QUIET,
    replay,
    replay_switching,
)

SEED = 1
# A peak that all engines together cannot take: they do about 140 a second.
OVERLOAD = 180.0


class OverloadTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.chosen = replay(CHOSEN, SEED, OVERLOAD)
        cls.baselines = {
            policies.name: replay(policies, SEED, OVERLOAD) for policies in BASELINES
        }

    def test_chosen_policies_earn_more_than_each_baseline(self):
        for name, base in self.baselines.items():
            with self.subTest(name):
                self.assertGreater(self.chosen.worth, base.worth)

    def test_late_requests_are_served_as_well(self):
        self.assertGreater(self.chosen.late, 0)
        self.assertGreater(self.chosen.served, 0.9)


class AddedEnginesTests(unittest.TestCase):
    def test_load_within_what_engines_take_is_served_whole(self):
        run = replay(CHOSEN, SEED)
        self.assertGreater(run.served, 0.995)
        self.assertGreater(run.worth, 0.9)


class SwitchingTests(unittest.TestCase):
    def test_switch_of_all_engines_costs_less_than_with_each_baseline(self):
        chosen = replay_switching(CHOSEN, SEED, QUIET)
        self.assertGreater(chosen.served, 0.99)
        for policies in BASELINES:
            with self.subTest(policies.name):
                base = replay_switching(policies, SEED, QUIET)
                self.assertGreater(chosen.worth, base.worth)
