from __future__ import annotations

import os
import time
import unittest

from marigold.core.logging import BoundedWriter, RoutineLimit


class BoundedWriterTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_reader_that_stops_costs_lines_and_no_time(self):
        stream = BoundedWriter(self.writer, maximum_bytes=10_000)
        started = time.monotonic()
        for number in range(20_000):
            stream.write(f"event=line number={number}\n")
            stream.flush()
        self.assertLess(time.monotonic() - started, 1.0)

    def test_lines_that_were_dropped_are_counted_once_there_is_room(self):
        stream = BoundedWriter(self.writer, maximum_bytes=200)
        for number in range(10_000):
            stream.write(f"event=line number={number}\n")
            stream.flush()
        text = os.read(self.reader, 1 << 20).decode()
        stream.flush()
        stream.write("event=last\n")
        stream.flush()
        text += os.read(self.reader, 1 << 20).decode()
        self.assertIn("event=lines_dropped count=", text)
        self.assertTrue(text.endswith("event=last\n"))

    def test_reader_that_is_gone_is_no_error(self):
        reader, writer = os.pipe()
        stream = BoundedWriter(writer)
        os.close(reader)
        stream.write("event=line\n")
        stream.flush()
        os.close(writer)


class RoutineLimitTests(unittest.TestCase):
    def test_routine_events_are_bounded_a_second(self):
        now = [10.0]
        limit = RoutineLimit(lambda: now[0])
        limit.per_second = 5
        self.assertEqual(sum(limit.allow("sent") for _ in range(50)), 5)
        now[0] = 11.0
        self.assertEqual(sum(limit.allow("sent") for _ in range(50)), 5)

    def test_without_a_bound_all_are_written(self):
        limit = RoutineLimit()
        self.assertTrue(all(limit.allow("sent") for _ in range(1000)))
