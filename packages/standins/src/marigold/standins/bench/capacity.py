"""Bench `capacity`: cost of the control traffic, extrapolated to full size.

Fleets of several sizes give the cost per link, per peer and per restart.
`docs/CAPACITY.md` is based on these figures.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from marigold.standins.bench.figures import Figures
from marigold.standins.child import get_memory_bytes, get_processor_seconds
from marigold.standins.fleet import Fleet
from marigold.standins.topology import BackEnd, Topology

TARGET_COUNTS = (8, 32, 64, 128)
ENTRY_COUNTS = (2, 4, 8, 16)
RESTART_COUNTS = (8, 16, 32, 64)
WINDOW_S = 6.0
SETTLE_S = 2.0
POLL_S = 0.02
DATA_CENTRE = "gyor-a"
SERVICE = "booking"

ENTRIES = 730
TARGETS = 12_000
DATA_CENTRES = 21
ENTRIES_PER_TARGET = 6
LINKS_PER_ENTRY = TARGETS * ENTRIES_PER_TARGET / ENTRIES
LOCAL_PEERS = ENTRIES / DATA_CENTRES - 1

# Links of a deployment at full size have a longer heartbeat interval.
LARGE_LINKS = {"heartbeat_interval": 2.0, "silence_timeout": 6.0}
LARGE_SETTINGS = {
    "entry": {"links": LARGE_LINKS, "platform": {"host_interval": 10.0}},
    "target": {"links": LARGE_LINKS},
}

LOOPBACK = Path("/sys/class/net/lo/statistics/tx_bytes")


class Sample:
    """Cost of an idle entry, with bytes and processor time per second."""

    __slots__ = ("bytes", "cores", "memory", "size")

    def __init__(self, size: int, cores: float, memory: float, sent: float) -> None:
        self.size = size
        self.cores = cores
        self.memory = memory
        self.bytes = sent


class Fit:
    """Linear regression of samples; `residual` is the largest deviation."""

    __slots__ = ("intercept", "residual", "slope")

    def __init__(self, sizes: Sequence[float], values: Sequence[float]) -> None:
        line = statistics.linear_regression(sizes, values)
        self.slope = line.slope
        self.intercept = line.intercept
        deviations = (
            abs(value - self.get(size))
            for size, value in zip(sizes, values, strict=True)
        )
        self.residual = max(deviations)

    def get(self, size: float) -> float:
        """Return the predicted value at a size."""
        return self.intercept + self.slope * size

    def report(self, figures: Figures, name: str, scale: float) -> None:
        """Add slope, intercept and residual to the figures, scaled to other units."""
        figures.add(f"{name}_slope", self.slope * scale)
        figures.add(f"{name}_intercept", self.intercept * scale)
        figures.add(f"{name}_residual", self.residual * scale)


def _make_topology(entries: int, targets: int) -> Topology:
    back_end = BackEnd(SERVICE, "service", {DATA_CENTRE: targets}, is_shared=True)
    back_ends = [back_end] if targets else []
    return Topology({DATA_CENTRE: "hu-west"}, {DATA_CENTRE: entries}, back_ends)


def _read_loopback_bytes() -> int:
    return int(LOOPBACK.read_text())


async def _sample(fleet: Fleet, size: int) -> Sample:
    await asyncio.sleep(SETTLE_S)
    pid = fleet.entries[0].child.pid
    cores = get_processor_seconds(pid)
    sent = _read_loopback_bytes()
    started = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed = time.monotonic() - started
    cores = (get_processor_seconds(pid) - cores) / elapsed
    sent = (_read_loopback_bytes() - sent) / elapsed
    return Sample(size, cores, get_memory_bytes(pid), sent)


async def _run_fleet(entries: int, targets: int, size: int) -> tuple[Sample, Any]:
    with tempfile.TemporaryDirectory() as folder:
        topology = _make_topology(entries, targets)
        async with Fleet(Path(folder), topology, LARGE_SETTINGS) as fleet:
            await fleet.start()
            await fleet.wait_until_linked(60.0)
            before = await fleet.get_json(f"{fleet.platform_url}/calls")
            sample = await _sample(fleet, size)
            after = await fleet.get_json(f"{fleet.platform_url}/calls")
            return sample, _get_rates(before["by_kind"], after["by_kind"])


def _get_rates(before: dict[str, int], after: dict[str, int]) -> dict[str, float]:
    elapsed = WINDOW_S + SETTLE_S
    return {
        kind: (count - before.get(kind, 0)) / elapsed for kind, count in after.items()
    }


def _fit(samples: Sequence[Sample], name: str) -> Fit:
    sizes = [sample.size for sample in samples]
    return Fit(sizes, [getattr(sample, name) for sample in samples])


async def _measure_links(figures: Figures) -> tuple[Fit, Fit, Fit]:
    samples = []
    for count in TARGET_COUNTS:
        sample, _ = await _run_fleet(1, count, count)
        figures.add(f"capacity_targets_{count}_entry_core_percent", sample.cores * 100)
        figures.add(f"capacity_targets_{count}_entry_memory_mb", sample.memory / 1e6)
        figures.add(f"capacity_targets_{count}_bytes_per_s", sample.bytes)
        samples.append(sample)
    cores, memory = _fit(samples, "cores"), _fit(samples, "memory")
    sent = _fit(samples, "bytes")
    cores.report(figures, "capacity_target_link_core_percent", 100)
    memory.report(figures, "capacity_target_link_memory_kb", 1e-3)
    sent.report(figures, "capacity_target_link_bytes_per_s", 1)
    return cores, memory, sent


async def _measure_peers(figures: Figures) -> tuple[Fit, Fit]:
    samples = []
    for count in ENTRY_COUNTS:
        sample, rates = await _run_fleet(count, 0, count - 1)
        figures.add(f"capacity_entries_{count}_entry_core_percent", sample.cores * 100)
        figures.add(f"capacity_entries_{count}_bytes_per_s", sample.bytes / count)
        for kind, rate in sorted(rates.items()):
            name = kind.replace(" ", "_").replace("/", "_").lower()
            figures.add(f"capacity_entries_{count}_calls_{name}_per_s", rate)
        sample.bytes /= count
        samples.append(sample)
    cores, sent = _fit(samples, "cores"), _fit(samples, "bytes")
    cores.report(figures, "capacity_peer_link_core_percent", 100)
    # A byte between two entries is counted once but is traffic of both.
    sent.report(figures, "capacity_peer_link_bytes_per_s", 2)
    return cores, sent


async def _measure_restarts(figures: Figures) -> None:
    seconds, spent = [], []
    count = max(RESTART_COUNTS)
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), _make_topology(1, count)) as fleet:
            await fleet.start()
            await fleet.wait_until_linked(60.0)
            for size in RESTART_COUNTS:
                elapsed, cores = await _restart(fleet, size)
                figures.add(f"capacity_restart_{size}_relinked_s", elapsed)
                figures.add(f"capacity_restart_{size}_entry_core_ms", cores * 1e3)
                seconds.append(elapsed)
                spent.append(cores)
    sizes = list(RESTART_COUNTS)
    Fit(sizes, seconds).report(figures, "capacity_restart_relinked_s", 1)
    Fit(sizes, spent).report(figures, "capacity_restart_entry_core_ms", 1e3)


async def _restart(fleet: Fleet, size: int) -> tuple[float, float]:
    entry = fleet.entries[0]
    hosts = fleet.targets[:size]
    await asyncio.gather(*(host.child.kill() for host in hosts))
    await asyncio.gather(*(host.start() for host in hosts))
    started = time.monotonic()
    before = get_processor_seconds(entry.child.pid)
    await fleet.wait_until_linked(60.0)
    elapsed = time.monotonic() - started
    return elapsed, get_processor_seconds(entry.child.pid) - before


async def run(figures: Figures) -> None:
    """Measure the slopes and extrapolate them to full size."""
    link_cores, link_memory, link_bytes = await _measure_links(figures)
    peer_cores, peer_bytes = await _measure_peers(figures)
    await _measure_restarts(figures)
    cores = link_cores.get(LINKS_PER_ENTRY) + peer_cores.slope * LOCAL_PEERS
    sent = link_bytes.get(LINKS_PER_ENTRY) + peer_bytes.slope * 2 * LOCAL_PEERS
    figures.add("capacity_entry_core_percent", cores * 100)
    figures.add("capacity_entry_memory_mb", link_memory.get(LINKS_PER_ENTRY) / 1e6)
    figures.add("capacity_entry_bytes_per_s", sent)
