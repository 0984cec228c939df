"""Load and run scenarios.

A scenario is a YAML mapping:

    about: a booking is executed at most once when its target is killed
    size: alapko
    seed: 7
    settings: {entry: {limits: {progress_timeout: 2.0}}}
    steps:
      - send: {name: bookings, service: booking}
      - wait: {answered: 20, of: bookings}
      - kill: booking-gyor-a-1
      - finish: bookings
      - expect: {of: bookings, doubled: 0, false_no: 0}
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

from marigold.standins.fleet import Fleet
from marigold.standins.scenario.context import ScenarioContext, ScenarioError
from marigold.standins.scenario.steps import STEPS, read_lists
from marigold.standins.topology import ALAPKO, HIMAL, Topology

SIZES: dict[str, tuple[Topology, str]] = {
    "alapko": (ALAPKO, "alapko"),
    "himal": (HIMAL, "himal"),
}


class Scenario:
    """A loaded scenario; `steps` are pairs of name and arguments."""

    __slots__ = ("about", "name", "seed", "settings", "size", "steps")

    def __init__(self, name: str, data: dict[str, Any]) -> None:
        self.name = name
        self.about = data["about"]
        self.size = data.get("size", "alapko")
        self.seed = data.get("seed", 1)
        self.settings = data.get("settings", {})
        self.steps = [next(iter(step.items())) for step in data["steps"]]


def load_scenario(path: Path) -> Scenario:
    """Load a scenario from a file; raise `ScenarioError`."""
    scenario = Scenario(path.stem, yaml.safe_load(path.read_text()))
    unknown = {name for name, _ in scenario.steps} - STEPS.keys()
    if unknown or scenario.size not in SIZES:
        raise ScenarioError(
            f"{path}: unknown steps {unknown} or size {scenario.size!r}"
        )
    return scenario


async def prepare_fleet(fleet: Fleet, lists: dict[str, str]) -> None:
    """Start a fleet, apply the lists and wait until all links are open."""
    await fleet.start()
    generation = await fleet.apply_lists(lists["plans"], lists["allowances"])
    await fleet.wait_for_generation(generation)
    await fleet.wait_until_linked()


async def run_scenario(scenario: Scenario, folder: Path, examples: Path) -> list[str]:
    """Run a scenario with its logs in `folder` and return its report.

    Raise `ScenarioError` with the step that failed.
    """
    topology, example = SIZES[scenario.size]
    lists = read_lists(examples / example)
    report: list[str] = []
    async with Fleet(folder, topology, scenario.settings, is_shaped=True) as fleet:
        await prepare_fleet(fleet, lists)
        ctx = ScenarioContext(fleet, lists, scenario.seed, report)
        for number, (name, args) in enumerate(scenario.steps, start=1):
            try:
                await STEPS[name].run(ctx, args)
            except ScenarioError as exc:
                place = f"{scenario.name}: step {number} ({name})"
                raise ScenarioError(f"{place}: {exc}") from exc
    return report
