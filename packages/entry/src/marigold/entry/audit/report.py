"""What each customer was promised and what it got, from the logs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from marigold.core.clock import get_clock_ms
from marigold.core.logs import LogLine
from marigold.entry.audit.chain import RELEASE_EVENT
from marigold.entry.audit.records import AdmissionRecord


@dataclass(slots=True)
class CustomerReport:
    """Promise and delivery of one customer; times are in seconds.

    `peak` is the most requests that ran at once over all entries, by the clocks
    of the hosts; a request whose end no log holds is left out of it.
    """

    customer: str
    plan: str
    precedence: int
    rate: float
    concurrency: int
    weight: float
    admitted: int
    refused: int
    share: float
    wait_p50: float
    wait_p99: float
    wait_maximum: float
    rate_got: float
    peak: int


def _find_ends(lines: Iterable[LogLine]) -> dict[str, int]:
    return {
        line.fields["request"]: line.clock
        for line in lines
        if line.event == RELEASE_EVENT and "request" in line.fields
    }


def _count_refused(lines: Iterable[LogLine], admitted: set[str]) -> dict[str, int]:
    refused: dict[str, int] = defaultdict(int)
    for line in lines:
        if line.event == "request_failed":
            if line.fields.get("request") not in admitted:
                refused[line.fields.get("customer", "unknown")] += 1
    return refused


def _find_peak(records: Sequence[AdmissionRecord], ends: dict[str, int]) -> int:
    steps = []
    for record in records:
        end = ends.get(record.request)
        if end is not None:
            steps += [(record.admitted, 1), (end, -1)]
    peak = running = 0
    for _, step in sorted(steps):
        running += step
        peak = max(peak, running)
    return peak


def _get_quantile(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))]


def make_reports(
    lines: Sequence[LogLine], records: Sequence[AdmissionRecord]
) -> list[CustomerReport]:
    """Return a report for each customer that was admitted or refused."""
    groups: dict[str, list[AdmissionRecord]] = defaultdict(list)
    for record in records:
        groups[record.customer].append(record)
    ends = _find_ends(lines)
    refused = _count_refused(lines, {record.request for record in records})
    return [
        _make_report(group, ends, refused[name], len(records))
        for name, group in sorted(groups.items())
    ]


def _make_report(
    group: list[AdmissionRecord], ends: dict[str, int], refused: int, total: int
) -> CustomerReport:
    group.sort(key=lambda item: item.admitted)
    last = group[-1]
    waits = sorted(record.get_wait_s() for record in group)
    first_ms = min(get_clock_ms(record.arrived) for record in group)
    seconds = max((get_clock_ms(last.admitted) - first_ms) / 1000, 1.0)
    return CustomerReport(
        customer=last.customer,
        plan=last.fields["plan"],
        precedence=last.precedence,
        rate=last.rate,
        concurrency=last.concurrency,
        weight=last.weight,
        admitted=len(group),
        refused=refused,
        share=len(group) / total,
        wait_p50=_get_quantile(waits, 0.5),
        wait_p99=_get_quantile(waits, 0.99),
        wait_maximum=waits[-1],
        rate_got=len(group) / seconds,
        peak=_find_peak(group, ends),
    )
