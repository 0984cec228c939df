"""The policy against parts that crash runners, over many seeds of a simulated fleet."""

from __future__ import annotations

import unittest
from unittest import mock

from suspicion_fleet import (
    DOCUMENTS,
    DURATION_S,
    FIRST_PARTS,
    STABILITY_S,
    SimulatedFleet,
)

SEEDS = range(10)
LATE_SENDS_MAXIMUM = 3
# Share of harmless requests that are served from twice the stability window after the
# last crash on; the platform asks for half.
SERVED_MINIMUM = 0.9
HARMLESS_PARTS = (*FIRST_PARTS, *(f"d{number}" for number in range(DOCUMENTS + 1)))


class SuspicionFleetTests(unittest.TestCase):
    def setUp(self):
        self.enterContext(mock.patch("marigold.entry.suspicion.trials.log"))

    def check(self, deadly_parts, **options):
        for seed in SEEDS:
            name = f"seed {seed}"
            fleet = SimulatedFleet(seed, deadly_parts, **options)
            fleet.run()
            for part in deadly_parts:
                self.assertGreaterEqual(len(fleet.crashes[part]), 3, name)
                late = fleet.count_late_sends(part)
                self.assertLessEqual(late, LATE_SENDS_MAXIMUM, name)
            self.check_harmless(fleet, name)

    def check_harmless(self, fleet, name):
        start = max(fleet.crash_times) + 2 * STABILITY_S
        self.assertLess(start, DURATION_S - 1, name)
        share = fleet.get_served_share(start, DURATION_S)
        self.assertGreaterEqual(share, SERVED_MINIMUM, name)
        self.assertEqual(fleet.get_refusals(HARMLESS_PARTS, start), [], name)

    def test_deadly_part(self):
        self.check({"x": 0.05})

    def test_frequent_deadly_part(self):
        self.check({"x": 0.3})

    def test_deadly_first_part(self):
        self.check({"x": 0.08}, is_first=True)

    def test_deadly_part_beside_a_harmless_one(self):
        self.check({"x": 0.05}, has_companion=True)

    def test_deadly_first_part_beside_a_harmless_one(self):
        self.check({"x": 0.05}, is_first=True, has_companion=True)

    def test_deadly_part_beside_a_harmless_one_and_rack_crashes(self):
        self.check({"x": 0.05}, has_companion=True, rack_crashes=4)

    def test_deadly_part_beside_rack_crashes(self):
        self.check({"x": 0.05}, rack_crashes=4)

    def test_rack_crashes_alone_condemn_no_part(self):
        self.check({}, rack_crashes=8)

    def test_two_deadly_parts(self):
        self.check({"x": 0.05, "y": 0.05}, rack_crashes=1)

    def test_part_that_was_answered_before(self):
        self.check({"x": 0.1}, is_known=True)

    def test_first_part_that_was_answered_before(self):
        self.check({"x": 0.1}, is_known=True, is_first=True)

    def test_part_that_is_deadly_on_new_weights_only(self):
        versions = {"x": 2}
        self.check({"x": 0.08}, is_known=True, deadly_versions=versions, update_at=6.0)
