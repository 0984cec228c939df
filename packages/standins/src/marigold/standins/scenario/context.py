"""State and base class of the steps of a scenario."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import Any

from marigold.core.exceptions import MarigoldError
from marigold.standins.fleet import Fleet, Host
from marigold.standins.scenario.traffic import Traffic


class ScenarioError(MarigoldError):
    """A scenario is invalid or an expectation is not met."""


class ScenarioContext:
    """State of a running scenario.

    `marks` holds the Unix time in seconds of `mark` steps, and the generation of
    `edit` steps, by label. `stops` holds the planned stops by host.
    """

    __slots__ = ("fleet", "lists", "marks", "report", "seed", "stops", "traffic")

    def __init__(
        self, fleet: Fleet, lists: dict[str, str], seed: int, report: list[str]
    ) -> None:
        self.fleet = fleet
        self.lists = lists
        self.seed = seed
        self.report = report
        self.traffic: dict[str, Traffic] = {}
        self.marks: dict[str, float] = {}
        self.stops: dict[str, asyncio.Task[int]] = {}

    def get_host(self, name: str) -> Host:
        """Return an entry or target by name; raise `ScenarioError`."""
        for host in (*self.fleet.entries, *self.fleet.targets):
            if host.name == name:
                return host
        raise ScenarioError(f"host {name!r} does not exist")

    def get_traffic(self, name: str) -> Traffic:
        """Return a stream of requests by name; raise `ScenarioError`."""
        if name not in self.traffic:
            raise ScenarioError(f"traffic {name!r} was not started")
        return self.traffic[name]


class Step(ABC):
    """A step; `args` is the YAML value of its name."""

    name: str

    @abstractmethod
    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Run the step; raise `ScenarioError`."""
