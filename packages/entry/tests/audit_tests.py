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


class FakeEntryLog:
    """Writes the log of one entry, with its chain of admission records."""

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


def parse(lines):
    return parse_records(parse_lines(lines))


class ChainVerificationTests(unittest.TestCase):
    def setUp(self):
        self.entry_log = FakeEntryLog()
        for _ in range(5):
            self.entry_log.admit(self.entry_log.arrive())
        self.lines = self.entry_log.get_lines()

    def find_fault_kinds(self, lines, heads=()):
        return {
            (fault.kind, fault.number) for fault in verify_chains(parse(lines), heads)
        }

    def test_complete_chain_has_no_fault(self):
        head = ChainHead("e1", 7, 5, self.entry_log.chain.digest)
        self.assertEqual(self.find_fault_kinds(self.lines, [head]), set())

    def test_removed_record_is_detected(self):
        lines = self.lines[:2] + self.lines[3:]
        self.assertEqual(self.find_fault_kinds(lines), {("removed", 3)})

    def test_altered_record_is_detected(self):
        self.lines[2] = self.lines[2].replace("sequence=3", "sequence=2")
        self.assertEqual(self.find_fault_kinds(self.lines), {("altered", 3)})

    def test_moved_record_is_detected(self):
        self.lines[1], self.lines[2] = self.lines[2], self.lines[1]
        self.assertEqual(self.find_fault_kinds(self.lines), {("reordered", 3)})

    def test_duplicate_record_is_detected(self):
        self.assertIn(
            ("doubled", 5), self.find_fault_kinds([*self.lines, self.lines[4]])
        )

    def test_truncated_chain_is_detected_from_the_head(self):
        head = ChainHead("e1", 7, 5, self.entry_log.chain.digest)
        kinds = self.find_fault_kinds(self.lines[:3], [head])
        self.assertEqual(kinds, {("removed", 4), ("removed", 5)})

    def test_rewritten_chain_is_detected_from_the_head(self):
        head = ChainHead("e1", 7, 5, self.entry_log.chain.digest)
        other = FakeEntryLog()
        for _ in range(5):
            other.admit(other.arrive(), customer="b")
        self.assertEqual(
            self.find_fault_kinds(other.get_lines(), [head]), {("altered", 5)}
        )

    def test_clock_skew_between_hosts_is_not_a_fault(self):
        skewed = FakeEntryLog("e2", skew_ms=-1000)
        for _ in range(3):
            skewed.admit(skewed.arrive())
        records = parse([*self.lines, *skewed.get_lines()])
        self.assertEqual(verify_chains(records), [])
        self.assertEqual(find_violations(records), [])


class AdmissionOrderTests(unittest.TestCase):
    def setUp(self):
        self.entry_log = FakeEntryLog()

    def list_violations(self):
        violations = find_violations(parse(self.entry_log.get_lines()))
        return [(item.kind, item.record.request) for item in violations]

    def test_customer_order_violation_is_detected(self):
        first, second = self.entry_log.arrive(), self.entry_log.arrive()
        self.entry_log.admit(second)
        self.entry_log.admit(first)
        self.assertEqual(self.list_violations(), [("customer-order", "a-2")])

    def test_precedence_violation_is_detected(self):
        high, low = self.entry_log.arrive(), self.entry_log.arrive()
        self.entry_log.admit(low, "low", precedence=2)
        self.entry_log.admit(high, "high", precedence=0)
        self.assertEqual(self.list_violations(), [("precedence", "low-2")])

    def test_request_held_back_by_limits_is_not_a_violation(self):
        high, low = self.entry_log.arrive(), self.entry_log.arrive()
        self.entry_log.admit(low, "low", precedence=2)
        self.entry_log.admit(high, "high", precedence=0, holds=1)
        self.assertEqual(self.list_violations(), [])

    def test_early_starvation_turn_is_detected(self):
        low = [self.entry_log.arrive() for _ in range(2)]
        for _ in range(15):
            self.entry_log.admit(self.entry_log.arrive(), "high", precedence=0)
        self.entry_log.admit(low[0], "low", precedence=2, turn="share")
        self.assertEqual(self.list_violations(), [])
        self.entry_log.admit(self.entry_log.arrive(), "high", precedence=0)
        self.entry_log.admit(low[1], "low", precedence=2, turn="share")
        self.assertEqual(self.list_violations(), [("starvation-turn", "low-2")])


class AuditCommandTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.entry_log = FakeEntryLog()
        for _ in range(3):
            self.entry_log.admit(self.entry_log.arrive())
        self.entry_log.log("request_failed", request="a-9", customer="a")
        for number in (1, 2, 3):
            self.entry_log.now_ms += 5
            self.entry_log.log("request_left", request=f"a-{number}", customer="a")

    def run_audit(self, lines, *options):
        path = self.folder / "entry.log"
        path.write_text("\n".join(lines) + "\n")
        return CliRunner().invoke(main, ["audit", *options, str(path)])

    def test_report_shows_promised_and_received_service(self):
        result = self.run_audit(self.entry_log.get_lines(), "--verify")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("promised  rate 20/s, at once 4", result.output)
        self.assertIn("at once 3, admitted 3 (100.0%), refused 1", result.output)
        self.assertIn("3 records in 1 chains checked", result.output)

    def test_removed_record_is_named(self):
        head = {"process": "e1", "incarnation": 7, "sequence": 3}
        head["digest"] = self.entry_log.chain.digest
        path = self.folder / "heads.json"
        path.write_text(json.dumps([head]))
        lines = [line for line in self.entry_log.get_lines() if "audit=3" not in line]
        result = self.run_audit(lines, "--verify", "--heads", str(path))
        self.assertEqual(result.exit_code, 2)
        self.assertIn("removed: record 3 of e1/7", result.output)

    def test_malformed_heads_file_is_an_error(self):
        path = self.folder / "heads.json"
        path.write_text("{")
        result = self.run_audit([], "--verify", "--heads", str(path))
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no list of chain heads", result.output)
