"""Cost of rollout plans at full size, computed without a weight exchange."""

from __future__ import annotations

import random
import time
from collections import Counter

from marigold.core.links.codec import encode
from marigold.core.rollout.planner import HostPlan, PlanHost, SwarmPlanner
from marigold.core.schema.generated.messages import LoadOrder
from marigold.standins.bench.figures import Figures

HOSTS = 2000
DATA_CENTRES = 21
REGIONS = 9
CHUNKS = 1000


def _make_hosts() -> list[PlanHost]:
    hosts = []
    for number in range(HOSTS):
        region = f"region-{number % DATA_CENTRES % REGIONS}"
        address = f"10.0.{number // 256}.{number % 256}:7000"
        hosts.append(PlanHost(f"host-{number:04}", region, address))
    return hosts


def _count_thin_copies(
    plans: dict[str, HostPlan], regions: dict[str, str], by_address: dict[str, str]
) -> float:
    """Return the copies over the busiest link between two regions."""
    chunks: Counter[tuple[str, str]] = Counter()
    for host, plan in plans.items():
        for address, items in plan.remote.items():
            source = regions[by_address[address]]
            chunks[source, regions[host]] += len(items)
    return max(chunks.values(), default=0) / CHUNKS


def _get_order_bytes(plan: HostPlan) -> int:
    order = LoadOrder(
        order="load-2",
        fence=1,
        operation="load",
        model="assistant",
        version="2",
        manifest=b"",
        origin_chunks=plan.origin_chunks,
        sources=plan.sources,
        remote=plan.remote,
        wanted=["2"],
    )
    return len(encode(order, 1 << 60))


def measure_plans(figures: Figures) -> None:
    """Plan for 2,000 hosts and add up the transfers in the plans."""
    hosts = _make_hosts()
    regions = {host.host: host.region for host in hosts}
    by_address = {host.address: host.host for host in hosts}
    for policy in (SwarmPlanner.TIME, SwarmPlanner.ORIGIN_BYTES):
        planner = SwarmPlanner(policy, "region-0")
        started = time.process_time()
        plans = planner.plan(CHUNKS, hosts, 0.0, random.Random("assistant@2"))
        name = f"weights_plan_{policy.replace('-', '_')}"
        figures.add(f"{name}_processor_s", time.process_time() - started)
        origin = sum(len(plan.origin_chunks) for plan in plans.values())
        figures.add(f"{name}_origin_copies", origin / CHUNKS)
        thin = _count_thin_copies(plans, regions, by_address)
        figures.add(f"{name}_thin_copies", thin)
        sizes = [_get_order_bytes(plan) for plan in plans.values()]
        figures.add(f"{name}_order_bytes_largest", max(sizes))
        figures.add(f"{name}_order_bytes_mean", sum(sizes) / len(sizes))
