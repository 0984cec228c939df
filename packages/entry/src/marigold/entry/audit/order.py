"""Finds admissions out of order in the records of the entries.

Order is promised by each entry for each service, so that only readings of one
clock are compared.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from marigold.entry.admission.fair import MAXIMUM_BYPASSES
from marigold.entry.audit.records import AdmissionRecord

ViolationKind = Literal["customer-order", "precedence", "starvation-turn"]


@dataclass(slots=True)
class Violation:
    """An admission that came before one that should have gone first."""

    kind: ViolationKind
    record: AdmissionRecord
    passed: AdmissionRecord | None = None

    def __str__(self) -> str:
        where = f"{self.record.process}/{self.record.incarnation}"
        text = f"{self.kind}: {self.record.request} ({self.record.customer}) at {where}"
        if self.passed is None:
            return text
        return f"{text} before {self.passed.request} ({self.passed.customer})"


def find_violations(records: Iterable[AdmissionRecord]) -> list[Violation]:
    """Return every admission out of order."""
    groups: dict[tuple[str, int, str], list[AdmissionRecord]] = defaultdict(list)
    for record in records:
        if record.turn != "apart":
            key = (record.process, record.incarnation, record.service)
            groups[key].append(record)
    found = []
    for _, group in sorted(groups.items()):
        group.sort(key=lambda item: item.admitted)
        found += _check_customers(group)
        found += _check_precedence(group)
        found += _check_turns(group)
    return found


def _check_customers(group: list[AdmissionRecord]) -> list[Violation]:
    """Find requests that a later one of their customer came before."""
    found = []
    last: dict[str, AdmissionRecord] = {}
    for record in group:
        before = last.get(record.customer)
        if before is not None and record.sequence < before.sequence:
            found.append(Violation("customer-order", before, record))
            continue
        last[record.customer] = record
    return found


def _check_precedence(group: list[AdmissionRecord]) -> list[Violation]:
    """Find admissions before one of a higher precedence that was free to go.

    A request that limits of its customer or plan held back was not.
    """
    found = []
    waiting: list[AdmissionRecord] = []
    for record in reversed(group):
        # What was admitted later and had arrived was waiting at this time.
        waiting = [item for item in waiting if item.arrived < record.admitted]
        if record.turn == "order":
            passed = next(
                (item for item in waiting if item.precedence < record.precedence), None
            )
            if passed is not None:
                found.append(Violation("precedence", record, passed))
        if not record.holds:
            waiting.append(record)
    return found[::-1]


def _check_turns(group: list[AdmissionRecord]) -> list[Violation]:
    """Find turns against starvation that came too early."""
    found = []
    higher: dict[int, int] = defaultdict(int)
    for record in group:
        if record.turn == "share":
            if higher[record.precedence] < MAXIMUM_BYPASSES:
                found.append(Violation("starvation-turn", record))
            higher[record.precedence] = 0
        for precedence in {item.precedence for item in group}:
            if precedence > record.precedence:
                higher[precedence] += 1
    return found
