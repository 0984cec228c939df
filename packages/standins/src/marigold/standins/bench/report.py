"""Markdown report with the figures, bounds, machine and commit of benches."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path

from marigold.standins.bench.figures import Figures, load_bounds


def _read_commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


def _render_bench(name: str, figures: Figures) -> list[str]:
    bounds = load_bounds()
    lines = [f"## {name}", "", f"`scripts/bench {name}`", ""]
    lines += ["| figure | value | bound | source |", "| --- | --- | --- | --- |"]
    for key, value in figures.values.items():
        bound = bounds.get(key)
        if bound is None:
            lines.append(f"| `{key}` | {value:.6g} | | |")
            continue
        sign = "≤" if bound.is_upper else "≥"
        mark = "" if bound.holds(value) else " **past**"
        limit = f"{sign} {bound.value:g}{mark}"
        lines.append(f"| `{key}` | {value:.6g} | {limit} | {bound.source} |")
    return [*lines, ""]


def write_report(path: Path, results: Mapping[str, Figures]) -> None:
    """Write the figures of several benches to a file."""
    moment = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    lines = [
        "# Benches",
        "",
        f"Commit {_read_commit()}, {moment}, {os.cpu_count()} cores, "
        f"{platform.machine()}, Python {platform.python_version()}.",
        "",
    ]
    for name, figures in results.items():
        lines += _render_bench(name, figures)
    path.write_text("\n".join(lines), encoding="utf-8")
