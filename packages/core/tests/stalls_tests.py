from __future__ import annotations

import unittest

from marigold.core.stalls import BACKLOG_S, STALL_S, TICK_S, StallMonitor


class StallMonitorTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.monitor = StallMonitor(lambda: self.now)
        self.run_for(1.0)

    def run_for(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.monitor.tick()
            self.now += TICK_S

    def test_running_process_handles_input_at_once(self):
        self.assertEqual(self.monitor.get_earliest_arrival(), self.now)

    def test_input_handled_before_the_first_tick_after_a_stall_may_be_old(self):
        stalled_at = self.now - TICK_S
        self.now += 4.0
        self.assertAlmostEqual(self.monitor.get_earliest_arrival(), stalled_at)

    def test_input_handled_soon_after_a_stall_may_be_as_old_as_the_stall(self):
        stalled_at = self.now - TICK_S
        self.now += 4.0
        self.run_for(BACKLOG_S / 2)
        self.assertAlmostEqual(self.monitor.get_earliest_arrival(), stalled_at)

    def test_input_handled_later_has_arrived_after_the_stall(self):
        self.now += 4.0
        self.run_for(BACKLOG_S + 2 * TICK_S)
        self.assertEqual(self.monitor.get_earliest_arrival(), self.now)

    def test_late_tick_of_a_busy_process_is_no_stall(self):
        self.now += STALL_S / 2
        self.monitor.tick()
        self.assertEqual(self.monitor.get_earliest_arrival(), self.now)

    def test_several_stalls_count_from_the_first(self):
        stalled_at = self.now - TICK_S
        for _ in range(3):
            self.now += 0.1
            self.monitor.tick()
        self.assertAlmostEqual(self.monitor.get_earliest_arrival(), stalled_at)

    def test_backlog_of_a_busy_process_takes_longer(self):
        """Guards against input of a stall that was dated at a later, shorter one."""
        stalled_at = self.now - TICK_S
        self.now += 4.0
        self.monitor.tick()
        for _ in range(3):
            self.now += BACKLOG_S * 0.6
            self.monitor.tick()
        self.assertAlmostEqual(self.monitor.get_earliest_arrival(), stalled_at)

    def test_stalls_with_time_between_them_count_alone(self):
        self.now += 4.0
        self.run_for(BACKLOG_S + 2 * TICK_S)
        stalled_at = self.now - TICK_S
        self.now += 1.0
        self.assertAlmostEqual(self.monitor.get_earliest_arrival(), stalled_at)

    def test_monitor_that_does_not_run_reports_no_stall(self):
        monitor = StallMonitor(lambda: self.now)
        self.now += 4.0
        self.assertEqual(monitor.get_earliest_arrival(), self.now)
