"""Figures of a bench and their bounds.

`bounds.yaml` has every bound with the requirement behind it. Figures without a
bound are informational.
"""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from typing import Any

import yaml


class Bound:
    """The largest (`at_most`) or smallest (`at_least`) permitted value."""

    __slots__ = ("is_upper", "source", "value")

    def __init__(self, value: float, is_upper: bool, source: str) -> None:
        self.value = value
        self.is_upper = is_upper
        self.source = source

    def holds(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        return value <= self.value if self.is_upper else value >= self.value


@cache
def load_bounds() -> dict[str, Bound]:
    """Return the bounds by figure name."""
    text = files("marigold.standins.bench").joinpath("bounds.yaml").read_text()
    rows: dict[str, dict[str, Any]] = yaml.safe_load(text)
    return {name: _make_bound(row) for name, row in rows.items()}


def _make_bound(row: dict[str, Any]) -> Bound:
    is_upper = "at_most" in row
    value = row["at_most"] if is_upper else row["at_least"]
    return Bound(float(value), is_upper, row["source"])


class Figures:
    """Collects and prints the figures of one bench."""

    def __init__(self) -> None:
        self.values: dict[str, float] = {}

    def add(self, name: str, value: float) -> None:
        """Record and print a figure, with its bound if it has one."""
        self.values[name] = value
        bound = load_bounds().get(name)
        if bound is None:
            print(f"{name}={value:.6g}", flush=True)
            return
        mark = "" if bound.holds(value) else " PAST"
        print(f"{name}={value:.6g} bound={bound.value:g}{mark}", flush=True)

    def get_violations(self) -> list[str]:
        """Return the names of the figures outside their bounds."""
        bounds = load_bounds()
        return [
            name
            for name, value in self.values.items()
            if name in bounds and not bounds[name].holds(value)
        ]
