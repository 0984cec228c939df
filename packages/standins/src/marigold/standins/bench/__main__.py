"""Run benches by name; the exit status is 1 if a figure exceeds its bound."""

from __future__ import annotations

import asyncio
import sys
from importlib import import_module
from pathlib import Path

import click

from marigold.standins.bench.figures import Figures
from marigold.standins.bench.report import write_report

BENCHES = (
    "start",
    "serve",
    "capacity",
    "lists",
    "gate",
    "routing",
    "admission",
    "load",
    "weights",
)


@click.command()
@click.argument("names", nargs=-1, required=True, type=click.Choice([*BENCHES, "all"]))
@click.option("--report", default="", help="Write the figures to a Markdown file.")
def main(names: tuple[str, ...], report: str) -> None:
    """Run benches and print `name=value bound=B` a line.

    Example: scripts/bench all --report docs/benches/report.md
    """
    results: dict[str, Figures] = {}
    violations: list[str] = []
    for bench in BENCHES if "all" in names else names:
        figures = results[bench] = Figures()
        module = import_module(f"marigold.standins.bench.{bench}")
        asyncio.run(module.run(figures))
        violations += figures.get_violations()
        if report:
            write_report(Path(report), results)
    if violations:
        click.echo(f"outside their bounds: {', '.join(violations)}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
