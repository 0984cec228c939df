from __future__ import annotations

import io
import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from marigold.core.clock import HybridClock
from marigold.core.logging import LogOutput
from marigold.core.logs import parse_lines
from marigold.entry.__main__ import main
from marigold.entry.audit.chain import ADMISSION_EVENT, AuditChain
from marigold.entry.audit.order import find_violations
from marigold.entry.audit.records import parse_records
from marigold.entry.audit.verification import ChainHead, verify_chains


class Journal:
    """The log of one process with admission records."""

    def __init__(self, process="e1", skew_ms=0):
        self.now_ms = 1_000_000
        self.clock = HybridClock(lambda: self.now_ms + skew_ms)
        self.chain = AuditChain(process, 7)
        self.stream = io.StringIO()
        self.output = LogOutput(process, "gyor-a", self.clock, self.stream)
        self.sequence = 0

    def arrive(self):
        self.now_ms += 1
        self.sequence += 1
        return self.sequence, self.clock.now()

    def admit(self, arrival, customer="a", precedence=1, turn="order", holds=0):
        self.now_ms += 1
        sequence, arrived = arrival
        fields = {
            "request": f"{customer}-{sequence}",
            "customer": customer,
            "plan": "standard",
            "precedence": precedence,
            "service": "assistant",
            "generation": 3,
            "sequence": sequence,
            "arrived": arrived,
            "admitted": self.clock.now(),
            "turn": turn,
            "holds": holds,
            "running": 1,
            "slots": 2,
            "concurrency": 4,
            "rate": "20",
            "weight": "1.5",
            "target": "t 1",
        }
        record = self.chain.append(fields)
        self.output({"message_type": ADMISSION_EVENT, **record})

    def log(self, event, **fields):
        self.output({"message_type": event, **fields})

    def get_lines(self):
        return self.stream.getvalue().splitlines()


def read(lines):
    return parse_records(parse_lines(lines))


class ChainTests(unittest.TestCase):
    def setUp(self):
        self.journal = Journal()
        for _ in range(5):
            self.journal.admit(self.journal.arrive())
        self.lines = self.journal.get_lines()

    def find_kinds(self, lines, heads=()):
        return {
            (fault.kind, fault.number) for fault in verify_chains(read(lines), heads)
        }

    def test_whole_chain_has_no_fault(self):
        head = ChainHead("e1", 7, 5, self.journal.chain.digest)
        self.assertEqual(self.find_kinds(self.lines, [head]), set())

    def test_removed_record_is_found(self):
        lines = self.lines[:2] + self.lines[3:]
        self.assertEqual(self.find_kinds(lines), {("removed", 3)})

    def test_altered_record_is_found(self):
        self.lines[2] = self.lines[2].replace("sequence=3", "sequence=2")
        self.assertEqual(self.find_kinds(self.lines), {("altered", 3)})

    def test_moved_record_is_found(self):
        self.lines[1], self.lines[2] = self.lines[2], self.lines[1]
        self.assertEqual(self.find_kinds(self.lines), {("reordered", 3)})

    def test_doubled_record_is_found(self):
        self.assertIn(("doubled", 5), self.find_kinds([*self.lines, self.lines[4]]))

    def test_end_that_was_cut_off_is_found_by_the_head(self):
        head = ChainHead("e1", 7, 5, self.journal.chain.digest)
        kinds = self.find_kinds(self.lines[:3], [head])
        self.assertEqual(kinds, {("removed", 4), ("removed", 5)})

    def test_chain_written_anew_is_found_by_the_head(self):
        head = ChainHead("e1", 7, 5, self.journal.chain.digest)
        other = Journal()
        for _ in range(5):
            other.admit(other.arrive(), customer="b")
        self.assertEqual(self.find_kinds(other.get_lines(), [head]), {("altered", 5)})

    def test_skewed_clocks_of_hosts_are_no_fault(self):
        late = Journal("e2", skew_ms=-1000)
        for _ in range(3):
            late.admit(late.arrive())
        records = read([*self.lines, *late.get_lines()])
        self.assertEqual(verify_chains(records), [])
        self.assertEqual(find_violations(records), [])


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.journal = Journal()

    def find_kinds(self):
        found = find_violations(read(self.journal.get_lines()))
        return [(item.kind, item.record.request) for item in found]

    def test_customer_order(self):
        first, second = self.journal.arrive(), self.journal.arrive()
        self.journal.admit(second)
        self.journal.admit(first)
        self.assertEqual(self.find_kinds(), [("customer-order", "a-2")])

    def test_precedence(self):
        high, low = self.journal.arrive(), self.journal.arrive()
        self.journal.admit(low, "low", precedence=2)
        self.journal.admit(high, "high", precedence=0)
        self.assertEqual(self.find_kinds(), [("precedence", "low-2")])

    def test_request_that_limits_held_back_was_not_passed_over(self):
        high, low = self.journal.arrive(), self.journal.arrive()
        self.journal.admit(low, "low", precedence=2)
        self.journal.admit(high, "high", precedence=0, holds=1)
        self.assertEqual(self.find_kinds(), [])

    def test_turns_against_starvation_are_bounded(self):
        low = [self.journal.arrive() for _ in range(2)]
        for _ in range(15):
            self.journal.admit(self.journal.arrive(), "high", precedence=0)
        self.journal.admit(low[0], "low", precedence=2, turn="share")
        self.assertEqual(self.find_kinds(), [])
        self.journal.admit(self.journal.arrive(), "high", precedence=0)
        self.journal.admit(low[1], "low", precedence=2, turn="share")
        self.assertEqual(self.find_kinds(), [("starvation-turn", "low-2")])


class CommandTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.journal = Journal()
        for _ in range(3):
            self.journal.admit(self.journal.arrive())
        self.journal.log("request_failed", request="a-9", customer="a")
        for number in (1, 2, 3):
            self.journal.now_ms += 5
            self.journal.log("request_left", request=f"a-{number}", customer="a")

    def run_audit(self, lines, *options):
        path = self.folder / "entry.log"
        path.write_text("\n".join(lines) + "\n")
        return CliRunner().invoke(main, ["audit", *options, str(path)])

    def test_says_what_was_promised_and_got(self):
        result = self.run_audit(self.journal.get_lines(), "--verify")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("promised  rate 20/s, at once 4", result.output)
        self.assertIn("at once 3, admitted 3 (100.0%), refused 1", result.output)
        self.assertIn("3 records in 1 chains checked", result.output)

    def test_names_what_was_removed(self):
        head = {"process": "e1", "incarnation": 7, "sequence": 3}
        head["digest"] = self.journal.chain.digest
        path = self.folder / "heads.json"
        path.write_text(json.dumps([head]))
        lines = [line for line in self.journal.get_lines() if "audit=3" not in line]
        result = self.run_audit(lines, "--verify", "--heads", str(path))
        self.assertEqual(result.exit_code, 2)
        self.assertIn("removed: record 3 of e1/7", result.output)

    def test_unreadable_heads_are_an_error(self):
        path = self.folder / "heads.json"
        path.write_text("{")
        result = self.run_audit([], "--verify", "--heads", str(path))
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no list of chain heads", result.output)
