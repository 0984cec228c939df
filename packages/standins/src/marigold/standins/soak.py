"""Soak test that injects random faults under traffic for a given time.

Each round starts streams of requests, injects two faults drawn from a seeded
generator, ends them and checks the invariants.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from marigold.standins.fleet import Fleet
from marigold.standins.scenario.context import ScenarioContext, ScenarioError
from marigold.standins.scenario.runner import prepare_fleet
from marigold.standins.scenario.steps import STEPS, read_lists
from marigold.standins.topology import ALAPKO

StepCall = tuple[str, Any]

INVARIANTS = {"doubled": 0, "false_no": 0, "wrong": 0, "unrun": 0, "untyped": 0}
ANSWERS_PER_PHASE = 40
SERVICE_TARGETS = ("booking-gyor-a-1", "booking-bp-a-1", "booking-debr-a-1")
MODEL_TARGETS = ("assistant-gyor-a-1", "assistant-bp-a-1", "assistant-debr-a-1")
ENTRIES = ("entry-gyor-a-2", "entry-bp-a-2", "entry-debr-a-2")
CUTS = (("gyor-a", "bp-a"), ("bp-a", "debr-a"), ("gyor-a", "platform"))


class Fault:
    """A fault with the scenario steps that begin it and those that end it."""

    __slots__ = ("begin", "end")

    def __init__(self, begin: Sequence[StepCall], end: Sequence[StepCall]) -> None:
        self.begin = begin
        self.end = end


def draw_fault(rng: random.Random) -> Fault:
    """Return a random fault."""
    host = rng.choice((*SERVICE_TARGETS, *MODEL_TARGETS, *ENTRIES))
    target = rng.choice(SERVICE_TARGETS)
    pair = list(rng.choice(CUTS))
    faults = [
        Fault([("kill", host)], [("restart", host)]),
        Fault([("freeze", host)], [("thaw", host)]),
        Fault([("cut", pair)], [("heal", pair)]),
        Fault([("silence", pair)], []),
        Fault(
            [("kill", f"back-end-{target}")],
            [("restart", f"back-end-{target}")],
        ),
        Fault(
            [("faults", {"at": "platform", "outage": True})],
            [("faults", {"at": "platform", "outage": False})],
        ),
        Fault([("faults", {"at": "platform", "lost_answers": 3})], []),
    ]
    return rng.choice(faults)


class Soak:
    """Runs rounds of faults against one fleet."""

    def __init__(self, ctx: ScenarioContext, rng: random.Random) -> None:
        self._ctx = ctx
        self._rng = rng

    async def run_round(self, number: int) -> None:
        """Run a round; raise `ScenarioError` when an invariant is violated."""
        bookings, keyed, chats = (
            f"{kind}{number}" for kind in ("bookings", "keyed", "chats")
        )
        await self._send(name=bookings, service="booking", rate=20)
        await self._send(name=keyed, service="booking", rate=10, keyed=True, repeats=20)
        await self._send(name=chats, service="assistant", rate=20, stream=True)
        faults = [draw_fault(self._rng), draw_fault(self._rng)]
        steps = [step for fault in faults for step in fault.begin]
        click.echo(f"round {number}: {steps}")
        await self._run(steps)
        await self._run([("wait", {"answered": ANSWERS_PER_PHASE, "of": bookings})])
        await self._run([step for fault in faults for step in fault.end])
        await self._run([("wait", {"answered": ANSWERS_PER_PHASE, "of": bookings})])
        await self._run([("finish", [bookings, keyed, chats])])
        for name in (bookings, keyed, chats):
            bounds = dict(INVARIANTS)
            if name == chats:
                # Chats are retried after a failure, so they may run more than once.
                del bounds["doubled"]
            await self._run([("expect", {"of": name, **bounds})])
        await self._ctx.fleet.wait_until_linked(60.0)

    async def _send(self, **options: Any) -> None:
        await self._run([("send", options)])

    async def _run(self, steps: Sequence[StepCall]) -> None:
        for name, args in steps:
            await STEPS[name].run(self._ctx, args)


async def _soak(seed: int, minutes: float, examples: Path) -> int:
    rng = random.Random(seed)
    lists = read_lists(examples)
    report: list[str] = []
    until = time.monotonic() + minutes * 60
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), ALAPKO, is_shaped=True) as fleet:
            await prepare_fleet(fleet, lists)
            soak = Soak(ScenarioContext(fleet, lists, seed, report), rng)
            rounds = 0
            while time.monotonic() < until:
                rounds += 1
                await soak.run_round(rounds)
            for line in report:
                click.echo(line)
            return rounds


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=2.0, show_default=True)
def main(seed: int, minutes: float) -> None:
    """Inject random faults under traffic and check the invariants."""
    try:
        rounds = asyncio.run(_soak(seed, minutes, Path("examples/alapko")))
    except (ScenarioError, TimeoutError) as exc:
        click.echo(f"seed {seed}: {exc!r}", err=True)
        sys.exit(1)
    click.echo(f"seed {seed}: {rounds} rounds, all invariants held")


if __name__ == "__main__":
    main()
