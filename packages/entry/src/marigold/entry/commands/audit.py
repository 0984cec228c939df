"""`marigold-entry audit`."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path

import click

from marigold.core.exceptions import UserError
from marigold.core.logs import LogLine, parse_lines
from marigold.entry.audit.order import find_violations
from marigold.entry.audit.records import AdmissionRecord, parse_records
from marigold.entry.audit.report import make_reports
from marigold.entry.audit.verification import ChainHead, verify_chains


class AuditFileError(UserError):
    """A log or a file of heads cannot be read."""


class AuditFailedError(UserError):
    """The logs show a broken promise or were tampered with."""


def _read_logs(paths: Sequence[str]) -> list[LogLine]:
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            raise AuditFileError(f"{path}: {exc.strerror}") from exc
        lines += parse_lines(text.split("\n"))
    return lines


def load_heads(path: str) -> list[ChainHead]:
    """Return the chain heads in a file; raise `AuditFileError` if it is invalid."""
    try:
        rows = json.loads(Path(path).read_text(encoding="utf-8"))
        return [ChainHead(**row) for row in rows]
    except (OSError, ValueError, TypeError) as exc:
        raise AuditFileError(f"{path}: no list of chain heads: {exc}") from exc


def audit_logs(paths: Sequence[str], verify: bool, heads: str) -> None:
    """Print the report of each customer and all findings.

    Raise `AuditFailedError` if there are findings.
    """
    lines = _read_logs(paths)
    records = parse_records(lines)
    _print_reports(lines, records)
    findings = [f"out of order: {item}" for item in find_violations(records)]
    if verify:
        chain_heads = load_heads(heads) if heads else []
        findings += [str(fault) for fault in verify_chains(records, chain_heads)]
        chains = len({(item.process, item.incarnation) for item in records})
        click.echo(f"{len(records)} records in {chains} chains checked")
    for finding in findings:
        click.echo(finding)
    if findings:
        raise AuditFailedError(f"{len(findings)} findings")
    click.echo("no findings")


def _print_reports(
    lines: Sequence[LogLine], records: Sequence[AdmissionRecord]
) -> None:
    for item in make_reports(lines, records):
        click.echo(
            f"{item.customer}: plan {item.plan}, precedence {item.precedence}, "
            f"weight {item.weight:g}\n"
            f"  promised  rate {item.rate:g}/s, at once {item.concurrency}\n"
            f"  got       rate {item.rate_got:.1f}/s, at once {item.peak}, "
            f"admitted {item.admitted} ({item.share:.1%}), refused {item.refused}\n"
            f"  waited    p50 {item.wait_p50:.3f} s, p99 {item.wait_p99:.3f} s, "
            f"at most {item.wait_maximum:.3f} s"
        )
