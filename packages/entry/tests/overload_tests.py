from __future__ import annotations

import unittest

from marigold.entry.admission.overload import WaitEstimator


class WaitEstimatorTests(unittest.TestCase):
    def setUp(self):
        self.waits = WaitEstimator()
        self.waits.begin_wait("a", 100.0)

    def admit(self, customer, count, start, end):
        for index in range(count):
            now = start + (end - start) * index / count
            self.waits.record_admission(customer, now)

    def test_estimate_follows_the_rate_of_admissions(self):
        self.admit("a", 100, 100.0, 110.0)
        wait = self.waits.estimate("a", 49, 110.0)
        self.assertAlmostEqual(wait, 5.0, delta=0.5)

    def test_customer_without_admissions_gets_an_equal_share(self):
        self.admit("a", 100, 100.0, 110.0)
        self.waits.begin_wait("b", 110.0)
        wait = self.waits.estimate("b", 0, 110.0)
        self.assertAlmostEqual(wait, 0.2, delta=0.05)

    def test_customer_that_waits_for_long_gets_its_own_rate(self):
        self.waits.begin_wait("b", 100.0)
        self.admit("a", 100, 100.0, 110.0)
        self.admit("b", 10, 100.0, 110.0)
        self.assertAlmostEqual(self.waits.estimate("b", 0, 110.0), 1.0, delta=0.3)

    def test_burst_into_an_idle_service_is_not_refused(self):
        self.waits.record_admission("a", 100.1)
        self.assertEqual(self.waits.estimate("a", 999, 100.5), 0.0)
        self.admit("a", 10, 100.0, 102.0)
        self.waits.end_wait("a")
        self.assertEqual(self.waits.estimate("a", 999, 110.0), 0.0)
        self.waits.begin_wait("a", 110.0)
        self.assertEqual(self.waits.estimate("a", 999, 110.5), 0.0)

    def test_reset_discards_a_period_without_admissions(self):
        self.waits.record_admission("a", 100.0)
        self.assertGreater(self.waits.estimate("a", 30, 103.0), 60.0)
        self.waits.reset(103.0)
        self.assertEqual(self.waits.estimate("a", 30, 103.1), 0.0)
        self.admit("a", 100, 103.0, 108.0)
        wait = self.waits.estimate("a", 19, 108.0)
        self.assertAlmostEqual(wait, 1.0, delta=0.3)
