from __future__ import annotations

import io
import unittest

from hypothesis import given, seed, settings, strategies as st

from marigold.core.clock import HybridClock
from marigold.core.logging import LogOutput
from marigold.core.logs import parse_line

FIELDS = st.dictionaries(st.sampled_from(["request", "reason"]), st.text())


class ParseLineTests(unittest.TestCase):
    @seed(4)
    @settings(deadline=None)
    @given(FIELDS)
    def test_parses_what_the_output_writes(self, fields):
        stream = io.StringIO()
        output = LogOutput("entry-1", "gyor-a", HybridClock(lambda: 5), stream)
        output({"message_type": "tried", **fields})
        line = parse_line(stream.getvalue())
        self.assertEqual((line.process, line.event), ("entry-1", "tried"))
        self.assertEqual(line.clock, 5 << 16)
        self.assertEqual(line.fields, fields)

    def test_other_output_contains_no_event(self):
        cases = ["", "Traceback (most recent call last):", "clock=1 process=a", "x=1"]
        cases.append('clock=1 process=a data_centre=b event=cut reason="half')
        for text in cases:
            self.assertIsNone(parse_line(text), text)


class PrefixTests(unittest.TestCase):
    def test_prefix_of_a_log_collector_is_ignored(self):
        line = parse_line(
            "  15.2151 edge-1 clock=7 process=a data_centre=b event=sent request=r"
        )
        self.assertEqual((line.process, line.fields), ("a", {"request": "r"}))
