"""Reports from the logs of what each customer was promised and received."""

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
    """Plan limits and measured service of one customer.

    Waiting times are in seconds. `peak` is the maximum number of requests that ran
    concurrently over all entries, by the clocks of the hosts. It leaves out requests
    whose release is in none of the logs.
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


def _find_release_times(lines: Iterable[LogLine]) -> dict[str, int]:
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


def _compute_peak(
    records: Sequence[AdmissionRecord], released_at: dict[str, int]
) -> int:
    changes = []
    for record in records:
        release = released_at.get(record.request)
        if release is not None:
            changes += [(record.admitted, 1), (release, -1)]
    peak = running = 0
    for _, change in sorted(changes):
        running += change
        peak = max(peak, running)
    return peak


def _get_quantile(values: list[float], fraction: float) -> float:
    return values[min(len(values) - 1, int(fraction * len(values)))]


def make_reports(
    lines: Sequence[LogLine], records: Sequence[AdmissionRecord]
) -> list[CustomerReport]:
    """Return a report for each customer with at least one admitted request."""
    groups: dict[str, list[AdmissionRecord]] = defaultdict(list)
    for record in records:
        groups[record.customer].append(record)
    released_at = _find_release_times(lines)
    refused = _count_refused(lines, {record.request for record in records})
    return [
        _make_report(group, released_at, refused[name], len(records))
        for name, group in sorted(groups.items())
    ]


def _make_report(
    group: list[AdmissionRecord], released_at: dict[str, int], refused: int, total: int
) -> CustomerReport:
    group.sort(key=lambda item: item.admitted)
    newest = group[-1]
    waits = sorted(record.get_wait_s() for record in group)
    first_ms = min(get_clock_ms(record.arrived) for record in group)
    seconds = max((get_clock_ms(newest.admitted) - first_ms) / 1000, 1.0)
    return CustomerReport(
        customer=newest.customer,
        plan=newest.fields["plan"],
        precedence=newest.precedence,
        rate=newest.rate,
        concurrency=newest.concurrency,
        weight=newest.weight,
        admitted=len(group),
        refused=refused,
        share=len(group) / total,
        wait_p50=_get_quantile(waits, 0.5),
        wait_p99=_get_quantile(waits, 0.99),
        wait_maximum=waits[-1],
        rate_got=len(group) / seconds,
        peak=_compute_peak(group, released_at),
    )
