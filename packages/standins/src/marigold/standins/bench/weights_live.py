"""Latency of live requests with and without a rollout."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

from marigold.standins.bench.figures import Figures
from marigold.standins.child import FleetError
from marigold.standins.demo import DEPLOYMENTS, Deployment
from marigold.standins.fleet import Fleet
from marigold.standins.rollouts import publish_weights, wait_for_version

WEIGHT_BYTES = 12_000_000
CHUNK_BYTES = 250_000
REQUESTS = 300
INTERVAL_S = 0.03
TOKENS = 8
LINK_RATE = 1_250_000.0
TAIL = 0.99


async def _send(fleet: Fleet, deployment: Deployment, index: int) -> float:
    chat = {
        "model": deployment.model,
        "messages": [{"role": "user", "content": f"request {index}"}],
        "max_tokens": TOKENS,
    }
    entry = fleet.entries[index % len(fleet.entries)]
    customer = deployment.customers[index % len(deployment.customers)]
    headers = {"Authorization": f"Bearer {customer}-key"}
    url = f"{entry.url}/v1/chat/completions"
    started = time.monotonic()
    async with fleet.session.post(url, json=chat, headers=headers) as resp:
        text = await resp.text()
        if resp.status != 200:
            raise FleetError(f"request {index}: {text}")
    return time.monotonic() - started


async def _measure_tail(fleet: Fleet, deployment: Deployment) -> float:
    tasks = []
    for index in range(REQUESTS):
        tasks.append(asyncio.create_task(_send(fleet, deployment, index)))
        await asyncio.sleep(INTERVAL_S)
    seconds = sorted(await asyncio.gather(*tasks))
    return seconds[int(TAIL * (len(seconds) - 1))]


def _read(deployment: Deployment, name: str) -> str:
    return Path(deployment.examples, f"{name}.yaml").read_text()


async def measure_live(figures: Figures) -> None:
    """Measure the p99 latency of short answers without and during a rollout."""
    deployment = DEPLOYMENTS["alapko"]
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), deployment.topology, is_shaped=True) as fleet:
            await fleet.start()
            plans = _read(deployment, "plans")
            allowances = _read(deployment, "allowances")
            generation = await fleet.apply_lists(plans, allowances)
            await fleet.wait_for_generation(generation)
            _limit_links(fleet)
            await _measure_tail(fleet, deployment)
            without = await _measure_tail(fleet, deployment)
            await publish_weights(
                fleet, deployment.model, "2", WEIGHT_BYTES, CHUNK_BYTES
            )
            await fleet.apply_lists(
                plans, allowances.replace('version: "1"', 'version: "2"')
            )
            during = await _measure_tail(fleet, deployment)
            await wait_for_version(fleet, deployment.model, "2", timeout=120.0)
    figures.add("weights_live_p99_s", during)
    figures.add("weights_live_p99_ratio", during / without)


def _limit_links(fleet: Fleet) -> None:
    places = [*fleet.topology.regions, "platform"]
    for first in places:
        for second in places:
            if first < second:
                fleet.network.get_path(first, second).faults.rate = LINK_RATE
