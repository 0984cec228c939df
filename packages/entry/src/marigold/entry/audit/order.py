"""Detection of out-of-order admissions in the records of the entries.

Each entry guarantees the order for each service separately, so the check only
compares timestamps of one clock.
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
    """An admission that broke the promised order.

    `bypassed` is the request that should have been admitted before it. It is None
    for a starvation turn that was granted too early.
    """

    kind: ViolationKind
    record: AdmissionRecord
    bypassed: AdmissionRecord | None = None

    def __str__(self) -> str:
        where = f"{self.record.process}/{self.record.incarnation}"
        text = f"{self.kind}: {self.record.request} ({self.record.customer}) at {where}"
        if self.bypassed is None:
            return text
        return f"{text} before {self.bypassed.request} ({self.bypassed.customer})"


def find_violations(records: Iterable[AdmissionRecord]) -> list[Violation]:
    """Return every out-of-order admission."""
    groups: dict[tuple[str, int, str], list[AdmissionRecord]] = defaultdict(list)
    for record in records:
        if record.turn != "apart":
            key = (record.process, record.incarnation, record.service)
            groups[key].append(record)
    violations = []
    for _, group in sorted(groups.items()):
        group.sort(key=lambda item: item.admitted)
        violations += _check_customers(group)
        violations += _check_precedence(group)
        violations += _check_turns(group)
    return violations


def _check_customers(group: list[AdmissionRecord]) -> list[Violation]:
    """Find requests admitted after a later request of the same customer."""
    violations = []
    newest: dict[str, AdmissionRecord] = {}
    for record in group:
        previous = newest.get(record.customer)
        if previous is not None and record.sequence < previous.sequence:
            violations.append(Violation("customer-order", previous, record))
            continue
        newest[record.customer] = record
    return violations


def _check_precedence(group: list[AdmissionRecord]) -> list[Violation]:
    """Find admissions that bypassed an eligible request of a higher precedence.

    A request that was held back by limits of its customer or plan is not eligible.
    """
    violations = []
    waiting: list[AdmissionRecord] = []
    for record in reversed(group):
        # Records are visited from last to first: a request that was admitted later
        # but had arrived by now was waiting when this record was admitted.
        waiting = [item for item in waiting if item.arrived < record.admitted]
        if record.turn == "order":
            bypassed = next(
                (item for item in waiting if item.precedence < record.precedence), None
            )
            if bypassed is not None:
                violations.append(Violation("precedence", record, bypassed))
        if not record.holds:
            waiting.append(record)
    return violations[::-1]


def _check_turns(group: list[AdmissionRecord]) -> list[Violation]:
    """Find starvation turns granted before enough requests had bypassed the class.

    A precedence gets such a turn after `MAXIMUM_BYPASSES` admissions of higher
    precedence.
    """
    violations = []
    higher: dict[int, int] = defaultdict(int)
    for record in group:
        if record.turn == "share":
            if higher[record.precedence] < MAXIMUM_BYPASSES:
                violations.append(Violation("starvation-turn", record))
            higher[record.precedence] = 0
        for precedence in {item.precedence for item in group}:
            if precedence > record.precedence:
                higher[precedence] += 1
    return violations
