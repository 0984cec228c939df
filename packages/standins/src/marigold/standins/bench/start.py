"""Bench `start`: start-up time and idle memory of the entry and the target."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from marigold.standins.bench.figures import Figures
from marigold.standins.child import get_memory_bytes
from marigold.standins.fleet import Fleet, Host
from marigold.standins.topology import BackEnd, Topology

ROUNDS = 5
SMALL = Topology(
    {"gyor-a": "hu-west"},
    {"gyor-a": 1},
    [BackEnd("assistant", "model", {"gyor-a": 1}, ["1"])],
)


async def _restart(host: Host) -> float:
    await host.child.stop()
    started = time.monotonic()
    await host.start()
    return time.monotonic() - started


async def run(figures: Figures) -> None:
    """Measure the slowest of several starts, and the memory after the last one."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), SMALL) as fleet:
            await fleet.start()
            for host in (fleet.entries[0], fleet.targets[0]):
                seconds = [await _restart(host) for _ in range(ROUNDS)]
                figures.add(f"{host.role}_start_s", max(seconds))
                memory = get_memory_bytes(host.child.pid) / 1e6
                figures.add(f"{host.role}_idle_memory_mb", memory)
