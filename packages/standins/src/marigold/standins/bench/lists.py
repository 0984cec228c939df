"""Bench `lists`: time until a change is in force on all entries, and its cost.

Eight entries in three data centres run as processes. The time is measured from the
operator's call until the last entry logs the generation. The cost is measured on the
classes alone at several sizes of the plans list.
"""

from __future__ import annotations

import asyncio
import random
import re
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from aiohttp import ClientError

from marigold.core.clock import get_clock_ms
from marigold.standins.bench.figures import Figures
from marigold.standins.bench.lists_cost import add_cost_figures, make_plans
from marigold.standins.fleet import ADMINISTRATION_KEY, Fleet, Host
from marigold.standins.topology import ALAPKO, Topology

SEED = 20261204
CHANGES = 30
OUTAGE_S = 1.0
KILL_AFTER_S = 0.03
LOST_ANSWERS = 2
IN_FORCE_TIMEOUT_S = 30.0
POLL_S = 0.02

ENTRIES = Topology(ALAPKO.regions, ALAPKO.entries, [])
ALLOWANCES = "plans:\n  basic: {precedence: 1}\n"
HEADERS = {"Authorization": f"Bearer {ADMINISTRATION_KEY}"}
IN_FORCE = re.compile(r"clock=(\d+) [^\n]*event=lists_in_force generation=(\d+)")

Change = Callable[[int], Awaitable[int]]


def _find_in_force_ms(entry: Host, generation: int) -> int | None:
    for match in IN_FORCE.finditer(entry.read_log()):
        if int(match[2]) >= generation:
            return get_clock_ms(int(match[1]))
    return None


class _Operator:
    """Edits the plans list, with failover to another entry."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    def choose_entry(self) -> Host:
        """Return a random running entry."""
        return self._rng.choice(
            [e for e in self._fleet.entries if e.child.is_running()]
        )

    async def put(self, entry: Host, text: str) -> int:
        """Replace the list through an entry; return the generation.

        Raise `ClientError`.
        """
        url = f"{entry.url}/admin/v1/lists/plans"
        session = self._fleet.session
        async with session.put(url, data=text, headers=HEADERS) as resp:
            resp.raise_for_status()
            return (await resp.json())["generation"]

    async def put_until_accepted(self, entry: Host, text: str) -> int:
        """Replace the list, retrying at other entries until one accepts it."""
        while True:
            try:
                return await self.put(entry, text)
            except (ClientError, OSError):
                await asyncio.sleep(POLL_S)
                entry = self.choose_entry()

    async def measure(self, change: Change, number: int) -> float:
        """Return the seconds until a change is in force on every entry."""
        started = time.time()
        generation = await change(number)
        last = 0
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            for entry in self._fleet.entries:
                while (at := _find_in_force_ms(entry, generation)) is None:
                    await asyncio.sleep(POLL_S)
                last = max(last, at)
        return last / 1e3 - started


class _Faults:
    """Changes of the list with one fault each, of alternating kinds."""

    def __init__(self, fleet: Fleet, operator: _Operator) -> None:
        self._fleet = fleet
        self._operator = operator

    async def change(self, number: int) -> int:
        """Change the list during a fault; return the generation."""
        faults = (self._with_outage, self._with_lost_answers, self._with_kill)
        return await faults[number % len(faults)](make_plans(10, number))

    async def _with_outage(self, text: str) -> int:
        url = self._fleet.platform_url
        await self._fleet.set_faults(url, outage=True)
        entry = self._operator.choose_entry()
        put = asyncio.create_task(self._operator.put_until_accepted(entry, text))
        await asyncio.sleep(OUTAGE_S)
        await self._fleet.set_faults(url, outage=False)
        return await put

    async def _with_lost_answers(self, text: str) -> int:
        url = self._fleet.platform_url
        await self._fleet.set_faults(url, lost_answers=LOST_ANSWERS)
        entry = self._operator.choose_entry()
        return await self._operator.put_until_accepted(entry, text)

    async def _with_kill(self, text: str) -> int:
        entry = self._operator.choose_entry()
        put = asyncio.create_task(self._operator.put_until_accepted(entry, text))
        await asyncio.sleep(KILL_AFTER_S * random.Random(text).random())
        await entry.child.kill()
        await entry.start()
        return await put


async def _get_calls(fleet: Fleet) -> int:
    calls = await fleet.get_json(f"{fleet.platform_url}/calls")
    return calls["reads"] + calls["writes"]


def _get_percentile(values: list[float], ratio: float) -> float:
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * ratio), len(ranked) - 1)]


async def _measure_fleet(figures: Figures, fleet: Fleet) -> None:
    operator = _Operator(fleet, random.Random(SEED))
    await fleet.wait_until_linked()
    generation = await fleet.apply_lists(make_plans(10, 0), ALLOWANCES)
    await fleet.wait_for_generation(generation)

    async def change(number: int) -> int:
        return await operator.put(operator.choose_entry(), make_plans(10, number))

    before = await _get_calls(fleet)
    started = time.monotonic()
    numbers = range(1, CHANGES + 1)
    times = [await operator.measure(change, number) for number in numbers]
    seconds = time.monotonic() - started
    calls = await _get_calls(fleet) - before
    figures.add("lists_in_force_p50_s", _get_percentile(times, 0.5))
    figures.add("lists_in_force_p99_s", _get_percentile(times, 0.99))
    figures.add("lists_calls_per_change", calls / CHANGES)
    figures.add("lists_change_with_wait_s", seconds / CHANGES)
    faults = _Faults(fleet, operator)
    numbers = range(CHANGES + 1, 2 * CHANGES + 1)
    times = [await operator.measure(faults.change, number) for number in numbers]
    figures.add("lists_in_force_faults_p50_s", _get_percentile(times, 0.5))
    figures.add("lists_in_force_faults_p99_s", _get_percentile(times, 0.99))


async def run(figures: Figures) -> None:
    """Measure changes without and with faults, then the cost by list size."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), ENTRIES) as fleet:
            await fleet.start()
            await _measure_fleet(figures, fleet)
    await add_cost_figures(figures)
