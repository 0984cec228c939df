"""Bench `load`: placement, queueing and refusal under overload, against baselines.

It replays a load that exceeds the capacity of the engines until added ones have
loaded their weights. Requests are placed either by each entry, from load reports that
are some hundred milliseconds old, or by the hub of a cell, which knows its own
placements. Replays run in virtual time and are the same on any machine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import click

from marigold.standins.bench.figures import Figures
from marigold.standins.bench.load_fleet import (
    BASELINES,
    CELL_POLICIES,
    ENTRY_POLICIES,
    FIFO_CELL_POLICIES,
    LARGE,
    SMALL,
    Policies,
    SimulatedFleet,
    scale_fleet,
)
from marigold.standins.bench.load_run import LoadRun
from marigold.standins.bench.load_troubles import SuspendedRun, SwitchingRun
from marigold.standins.virtual_time import run_virtual

# Peaks of the small fleet in requests a second: a standard day, a burst and more
# than the capacity of all engines. `QUIET` is the load at a switch of versions.
PEAK = 121.0
PATTERNS = {"day": PEAK, "burst": 150.0, "overload": 180.0}
QUIET = 98.0
# Numbers of entries at which the placements are compared.
SIZES = (7, 40, 99, 300)


def replay(
    policies: Policies, seed: int, peak: float = PEAK, fleet: SimulatedFleet = SMALL
) -> LoadRun:
    """Run a replay to its end and return it."""
    run = LoadRun(fleet, policies, seed, peak)
    run_virtual(run.run())
    return run


def replay_switching(
    policies: Policies, seed: int, peak: float, fleet: SimulatedFleet = SMALL
) -> LoadRun:
    """Run a replay in which all engines load new weights, and return it."""
    run = SwitchingRun(fleet, policies, seed, peak)
    run_virtual(run.run())
    return run


def replay_suspended(
    policies: Policies,
    seed: int,
    peak: float,
    suspended: int,
    seconds: float,
    fleet: SimulatedFleet = SMALL,
) -> LoadRun:
    """Run a replay in which the hosts of some engines stand still, and return it."""
    run = SuspendedRun(fleet, policies, seed, peak, suspended, seconds)
    run_virtual(run.run())
    return run


async def run(figures: Figures) -> None:
    """Compare the policies of entries and cells with each baseline."""
    switching = await asyncio.to_thread(replay_switching, ENTRY_POLICIES, 1, QUIET)
    figures.add("load_switching_worth", switching.worth)
    for policies in BASELINES:
        base = await asyncio.to_thread(replay_switching, policies, 1, QUIET)
        name = f"load_switching_worth_over_{policies.name}"
        figures.add(name, switching.worth / base.worth)
    for pattern, peak in PATTERNS.items():
        chosen = await asyncio.to_thread(replay, ENTRY_POLICIES, 1, peak)
        figures.add(f"load_{pattern}_worth", chosen.worth)
        figures.add(f"load_{pattern}_served", chosen.served)
        for policies in BASELINES:
            base = await asyncio.to_thread(replay, policies, 1, peak)
            name = f"load_{pattern}_worth_over_{policies.name}"
            figures.add(name, chosen.worth / base.worth)
    for policies in (ENTRY_POLICIES, CELL_POLICIES):
        large = await asyncio.to_thread(replay, policies, 1, LARGE.peak, LARGE)
        figures.add(f"load_large_{policies.name}_worth", large.worth)
        figures.add(f"load_large_{policies.name}_served", large.served)


@click.command()
@click.option("--entries", default=99, help="Entry hosts.")
@click.option("--engines", default=69, help="Model engines at the start.")
@click.option("--slots", default=8, help="Requests in one batch.")
@click.option("--centres", default=5, help="Data centres, each a region of its own.")
@click.option(
    "--load", default=1.0, help="Load relative to the usual one of an engine."
)
@click.option("--switching", is_flag=True, help="Let all engines load new weights.")
@click.option("--seeds", default=1, help="Replays of each policy.")
@click.option("--only", multiple=True, help="Names of policies.")
def main(
    entries: int,
    engines: int,
    slots: int,
    centres: int,
    load: float,
    switching: bool,
    seeds: int,
    only: Sequence[str],
) -> None:
    """Print worth, answers in time and late, and waits of each policy.

    Example: python -m marigold.standins.bench.load --entries 300 --engines 209
    """
    fleet = scale_fleet(entries, engines, slots, centres)
    play = replay_switching if switching else replay
    for policies in (ENTRY_POLICIES, CELL_POLICIES, FIFO_CELL_POLICIES, *BASELINES):
        if only and policies.name not in only:
            continue
        for seed in range(1, seeds + 1):
            run = play(policies, seed, fleet.peak * load, fleet)
            click.echo(f"policy={policies.name} seed={seed} {run.describe()}")


if __name__ == "__main__":
    main()
