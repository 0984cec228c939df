"""Admission records parsed from logs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from marigold.core.clock import get_clock_ms
from marigold.core.logs import LogLine
from marigold.entry.audit.chain import ADMISSION_EVENT, FIELDS


@dataclass(slots=True)
class AdmissionRecord:
    """One admission.

    `arrived` and `admitted` are readings of the hybrid clock. `position` is the
    index of the record's line among all lines that were read.
    """

    process: str
    incarnation: int
    number: int
    digest: str
    customer: str
    precedence: int
    service: str
    sequence: int
    arrived: int
    admitted: int
    turn: str
    holds: int
    running: int
    slots: int
    concurrency: int
    rate: float
    weight: float
    request: str
    position: int
    fields: dict[str, str]

    def get_wait_s(self) -> float:
        """Return the seconds between arrival and admission."""
        return (get_clock_ms(self.admitted) - get_clock_ms(self.arrived)) / 1000


def parse_record(line: LogLine, position: int) -> AdmissionRecord | None:
    """Return the record in a line, or None if the line has no complete record."""
    fields = line.fields
    if line.event != ADMISSION_EVENT or any(name not in fields for name in FIELDS):
        return None
    try:
        return AdmissionRecord(
            process=line.process,
            incarnation=int(fields["incarnation"]),
            number=int(fields["audit"]),
            digest=fields.get("digest", ""),
            customer=fields["customer"],
            precedence=int(fields["precedence"]),
            service=fields["service"],
            sequence=int(fields["sequence"]),
            arrived=int(fields["arrived"]),
            admitted=int(fields["admitted"]),
            turn=fields["turn"],
            holds=int(fields["holds"]),
            running=int(fields["running"]),
            slots=int(fields["slots"]),
            concurrency=int(fields["concurrency"]),
            rate=float(fields["rate"]),
            weight=float(fields["weight"]),
            request=fields["request"],
            position=position,
            fields=fields,
        )
    except ValueError:
        return None


def parse_records(lines: Iterable[LogLine]) -> list[AdmissionRecord]:
    """Return the records found in the lines, in the order of the lines."""
    parsed = (parse_record(line, position) for position, line in enumerate(lines))
    return [record for record in parsed if record is not None]
