from __future__ import annotations

import unittest

from marigold.core.clock import COUNTER_BITS, HybridClock, get_clock_ms


class HybridClockTests(unittest.TestCase):
    def test_readings_increase_while_the_wall_clock_is_constant(self):
        clock = HybridClock(lambda: 5)
        first = clock.now()
        self.assertGreater(clock.now(), first)
        self.assertEqual(get_clock_ms(first), 5)

    def test_reading_is_greater_than_an_observed_one(self):
        clock = HybridClock(lambda: 5)
        clock.observe(900 << COUNTER_BITS)
        self.assertGreater(clock.now(), 900 << COUNTER_BITS)

    def test_observed_reading_far_ahead_is_ignored(self):
        clock = HybridClock(lambda: 5)
        clock.observe(10_000_000 << COUNTER_BITS)
        self.assertEqual(get_clock_ms(clock.now()), 5)
