from __future__ import annotations

import logging
import os
import subprocess
import sys
import time
import unittest

from eliot import add_destinations, remove_destination

from marigold.core.logging import (
    LIBRARY_CHARACTERS,
    BoundedWriter,
    LibraryHandler,
    RoutineEventLimiter,
    routine_event_limiter,
)


class BoundedWriterTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_stalled_reader_causes_dropped_lines_but_no_delay(self):
        stream = BoundedWriter(self.writer, maximum_bytes=10_000)
        started = time.monotonic()
        for number in range(20_000):
            stream.write(f"event=line number={number}\n")
            stream.flush()
        self.assertLess(time.monotonic() - started, 1.0)

    def test_number_of_dropped_lines_is_written_once_there_is_room(self):
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

    def test_closed_reader_is_ignored(self):
        reader, writer = os.pipe()
        stream = BoundedWriter(writer)
        os.close(reader)
        stream.write("event=line\n")
        stream.flush()
        os.close(writer)


class RoutineEventLimiterTests(unittest.TestCase):
    def test_routine_events_per_second_are_limited(self):
        now = [10.0]
        limit = RoutineEventLimiter(lambda: now[0])
        limit.per_second = 5
        self.assertEqual(sum(limit.allow("sent") for _ in range(50)), 5)
        now[0] = 11.0
        self.assertEqual(sum(limit.allow("sent") for _ in range(50)), 5)

    def test_without_a_limit_all_events_are_written(self):
        limit = RoutineEventLimiter()
        self.assertTrue(all(limit.allow("sent") for _ in range(1000)))


class LibraryHandlerTests(unittest.TestCase):
    """Guards against library records with tracebacks on standard error."""

    def setUp(self):
        self.events = []
        add_destinations(self.events.append)
        self.addCleanup(remove_destination, self.events.append)
        self.addCleanup(setattr, routine_event_limiter, "per_second", 0)
        self.logger = logging.Logger("aiohttp.server")
        self.logger.addHandler(LibraryHandler(logging.WARNING))

    def test_error_is_logged_as_one_short_event(self):
        try:
            raise ValueError("a\nb" * 1000)
        except ValueError:
            self.logger.exception("Error handling request from %s", "10.0.0.1")
        (event,) = self.events
        self.assertEqual(event["message_type"], "library_warning")
        self.assertEqual(event["message"], "Error handling request from 10.0.0.1")
        self.assertLessEqual(len(event["reason"]), LIBRARY_CHARACTERS)

    def test_many_errors_are_rate_limited(self):
        routine_event_limiter.per_second = 5
        for _ in range(1000):
            self.logger.error("malformed")
        self.assertLess(len(self.events), 20)

    def test_library_records_are_not_written_to_standard_error(self):
        code = (
            "import logging\n"
            "from marigold.core.clock import HybridClock\n"
            "from marigold.core.logging import configure_bounded_logging\n"
            "configure_bounded_logging('p', 'd', HybridClock(), 100)\n"
            "logging.getLogger('aiohttp.server').error('malformed')\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stderr, "")
        self.assertIn("event=library_warning", done.stdout)
