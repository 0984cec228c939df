"""Bench `weights`: time to N replicas and bytes per link, against baselines.

Hosts in three regions run the target's weight exchange over emulated links in one
process. In the time in which a thin link, between two regions, carries one copy, the
origin's link carries four and each host's link two in each direction. That time is
the lower bound, because every region but the origin's needs a copy over a thin
link. A baseline that is not complete after `BASELINE_LIMIT` times the bound is
stopped and counted with that time.
"""

from __future__ import annotations

import asyncio
import math
import random
from pathlib import Path

from marigold.core.rollout.planner import (
    OriginOnlyPlanner,
    RolloutPlanner,
    SwarmPlanner,
    TreePlanner,
)
from marigold.core.schema.generated.settings import Links, WeightSettings
from marigold.standins.bench.figures import Figures
from marigold.standins.bench.weights_live import measure_live
from marigold.standins.bench.weights_plan import measure_plans
from marigold.standins.bench.weights_plot import draw_replicas
from marigold.standins.memory_weights import WeightStore
from marigold.standins.segments import SegmentMap
from marigold.standins.swarm import Swarm

SIZE_BYTES = 4_000_000
CHUNK_BYTES = 62_500
THIN_RATE = 200_000.0
BOUND_S = SIZE_BYTES / THIN_RATE
REGIONS = ("hu-west", "hu-central", "hu-east")
SIZES = (7, 30, 100)
BASELINE_LIMIT = 2.0
BASELINE_SIZES = (30, 100)
SWARM_LIMIT = 4.0
DISTURBED_HOSTS = 30
DISTURBED_RATIO = 0.1
REPLAN_S = 1.0
SEED = 1
PLOT = Path("docs/benches/weights.svg")


class Outcome:
    """The result of a rollout; times in units of the lower bound."""

    __slots__ = ("host_copies", "origin_copies", "thin_copies", "times", "wrong_bytes")

    def __init__(self, swarm: Swarm) -> None:
        segments = swarm.segments
        self.times = [seconds / BOUND_S for seconds in swarm.get_times()]
        self.origin_copies = segments.origin.bytes / SIZE_BYTES
        thin = [segment.bytes for segment in segments.inter_region.values()]
        self.thin_copies = max(thin, default=0) / SIZE_BYTES
        hosts = [
            segments.uplinks[name].bytes + segments.downlinks[name].bytes
            for name in swarm.hosts
        ]
        self.host_copies = max(hosts) / SIZE_BYTES
        engines = [host.engine for host in swarm.hosts.values()]
        self.wrong_bytes = sum(engine.wrong_bytes for engine in engines)

    def get_last(self, count: int, limit: float) -> float:
        """Return the time to `count` replicas, or `limit` if there were fewer."""
        return self.times[count - 1] if len(self.times) >= count else limit


def _make_planner(policy: str) -> RolloutPlanner:
    if policy == "origin-only":
        return OriginOnlyPlanner()
    if policy == "tree":
        return TreePlanner()
    return SwarmPlanner(policy, REGIONS[0])


async def _make_swarm(count: int) -> Swarm:
    segments = SegmentMap(2 * THIN_RATE, THIN_RATE, 4 * THIN_RATE, REGIONS[0])
    store = WeightStore(random.Random(SEED).randbytes(SIZE_BYTES), CHUNK_BYTES)
    links = Links(heartbeat_interval=1.0, silence_timeout=3.0, connect_timeout=10.0)
    cfg = WeightSettings(upload_rate=2 * THIN_RATE)
    swarm = Swarm(segments, store, links, cfg, SEED)
    for number in range(count):
        await swarm.add_host(f"host-{number:03}", REGIONS[number % len(REGIONS)])
    return swarm


async def _roll_out(policy: str, count: int, limit: float) -> Outcome:
    async with await _make_swarm(count) as swarm:
        swarm.send_orders(_make_planner(policy))
        await swarm.wait_for_replicas(count, limit * BOUND_S)
        return Outcome(swarm)


async def _roll_out_disturbed(policy: str, count: int) -> Outcome:
    """Kill some hosts and freeze others for half of the lower bound."""
    async with await _make_swarm(count) as swarm:
        planner = _make_planner(policy)
        names = random.Random(SEED).sample(sorted(swarm.hosts), count)
        some = int(DISTURBED_RATIO * count)
        killed, frozen = names[:some], names[some : 2 * some]
        swarm.send_orders(planner)
        await asyncio.sleep(BOUND_S / 4)
        await asyncio.gather(*(swarm.hosts[name].stop() for name in killed))
        for name in frozen:
            swarm.segments.freeze(name, True)
        await asyncio.sleep(REPLAN_S)
        swarm.send_orders(planner)
        await asyncio.sleep(BOUND_S / 2 - REPLAN_S)
        for name in frozen:
            swarm.segments.freeze(name, False)
        await swarm.wait_for_replicas(count - some, SWARM_LIMIT * BOUND_S)
        return Outcome(swarm)


async def _measure_swarm(figures: Figures, policy: str) -> dict[int, Outcome]:
    outcomes = {}
    for count in SIZES:
        outcome = await _roll_out(policy, count, SWARM_LIMIT)
        outcomes[count] = outcome
        name = f"weights_{policy.replace('-', '_')}_n{count}"
        figures.add(f"{name}_time_ratio", outcome.get_last(count, SWARM_LIMIT))
        figures.add(f"{name}_origin_copies", outcome.origin_copies)
        figures.add(f"{name}_thin_copies", outcome.thin_copies)
        figures.add(f"{name}_host_copies", outcome.host_copies)
    first, last = SIZES[0], SIZES[-1]
    growth = outcomes[last].get_last(last, SWARM_LIMIT)
    growth /= outcomes[first].get_last(first, SWARM_LIMIT)
    ratio = growth / (math.log(last) / math.log(first))
    figures.add(f"weights_{policy.replace('-', '_')}_growth_ratio", ratio)
    return outcomes


async def _measure_disturbed(
    figures: Figures, policy: str, undisturbed: Outcome
) -> None:
    count = DISTURBED_HOSTS
    outcome = await _roll_out_disturbed(policy, count)
    left = count - int(DISTURBED_RATIO * count)
    name = f"weights_{policy.replace('-', '_')}_disturbed"
    time = outcome.get_last(left, SWARM_LIMIT)
    figures.add(f"{name}_ratio", time / undisturbed.get_last(count, SWARM_LIMIT))
    figures.add(f"{name}_replicas_missing", left - min(len(outcome.times), left))
    figures.add(f"{name}_wrong_bytes", outcome.wrong_bytes)


async def run(figures: Figures) -> None:
    """Measure both policies, the baselines, faults and live requests."""
    measure_plans(figures)
    figures.add("weights_lower_bound_s", BOUND_S)
    largest = {}
    for policy in (SwarmPlanner.TIME, SwarmPlanner.ORIGIN_BYTES):
        outcomes = await _measure_swarm(figures, policy)
        await _measure_disturbed(figures, policy, outcomes[DISTURBED_HOSTS])
        largest[policy] = outcomes[SIZES[-1]]
    for policy in ("origin-only", "tree"):
        for count in BASELINE_SIZES:
            outcome = await _roll_out(policy, count, BASELINE_LIMIT)
            name = f"weights_{policy.replace('-', '_')}_n{count}"
            figures.add(f"{name}_time_ratio", outcome.get_last(count, BASELINE_LIMIT))
            figures.add(f"{name}_origin_copies", outcome.origin_copies)
            figures.add(f"{name}_thin_copies", outcome.thin_copies)
        largest[policy] = outcome
    draw_replicas(
        {name: outcome.times for name, outcome in largest.items()}, SIZES[-1], PLOT
    )
    await measure_live(figures)
