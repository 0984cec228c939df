from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from marigold.entry.__main__ import main

ENTRY_LOG = """\
clock=65536 process=entry-1 data_centre=a event=request_received request=r-1 customer=x
clock=65540 process=entry-1 data_centre=a event=attempt_ended request=r-1 target=t-1
clock=65541 process=entry-1 data_centre=a event=request_received request=r-2 customer=y
"""
TARGET_LOG = """\
Traceback (most recent call last):
clock=65538 process=t-1 data_centre=b event=attempt_started attempt=r-1.1 x="<b> y"
"""


class TimelineTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.logs = []
        for name, text in (("entry", ENTRY_LOG), ("target", TARGET_LOG)):
            path = self.folder / f"{name}.log"
            path.write_text(text)
            self.logs.append(str(path))

    def run_command(self, *args):
        return CliRunner().invoke(main, ["timeline", *self.logs, *args])

    def get_events(self, *args):
        return [line.split()[2] for line in self.run_command(*args).output.splitlines()]

    def test_events_are_in_causal_order(self):
        expected = ["request_received", "attempt_started", "attempt_ended"]
        self.assertEqual(self.get_events(), [*expected, "request_received"])

    def test_filters_select_matching_events(self):
        cases = [
            (("--request", "r-1"), 3),
            (("--customer", "x"), 3),
            (("--customer", "y"), 1),
            (("--host", "t-1"), 2),
            (("--kind", "attempt_ended"), 1),
        ]
        for args, count in cases:
            with self.subTest(args):
                self.assertEqual(len(self.get_events(*args)), count)

    def test_page_escapes_values_and_is_self_contained(self):
        page = self.folder / "page.html"
        self.assertEqual(self.run_command("--html", str(page)).exit_code, 0)
        text = page.read_text()
        self.assertIn("&lt;b&gt;", text)
        self.assertNotIn("src=", text)

    def test_missing_log_is_reported(self):
        result = CliRunner().invoke(main, ["timeline", "/none.log"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("/none.log", result.output)
