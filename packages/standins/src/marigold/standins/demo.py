"""Demo that runs a deployment on loopback addresses and prints figures."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Awaitable
from pathlib import Path
from typing import Any, TypeVar

import click

from marigold.standins.child import FleetError
from marigold.standins.engine import make_tokens
from marigold.standins.fleet import ADMINISTRATION_KEY, Fleet
from marigold.standins.rollouts import (
    get_origin_bytes,
    publish_weights,
    wait_for_version,
)
from marigold.standins.topology import ALAPKO, HIMAL, Topology

T = TypeVar("T")

REQUESTS = 60
# The three customers of an example send alternately, and the smallest plan allows
# 20 requests a second.
INTERVAL_S = 0.025
TOKENS = 16
WEIGHT_BYTES = 8_000_000
CHUNK_BYTES = 250_000


class Deployment:
    """An example deployment."""

    __slots__ = ("customers", "examples", "model", "service", "topology")

    def __init__(
        self,
        examples: str,
        topology: Topology,
        model: str,
        service: str,
        customers: list[str],
    ) -> None:
        self.examples = examples
        self.topology = topology
        self.model = model
        self.service = service
        self.customers = customers


DEPLOYMENTS = {
    "alapko": Deployment(
        "examples/alapko",
        ALAPKO,
        "assistant",
        "booking",
        ["kavics-bt", "udvar-kft", "zuzalek"],
    ),
    "himal": Deployment(
        "examples/himal",
        HIMAL,
        "summary",
        "ledger",
        ["national-office", "pokhara-coop", "palpa-site"],
    ),
}


class Demo:
    """Sends requests to a fleet and prints the results."""

    def __init__(self, deployment: Deployment, fleet: Fleet) -> None:
        self._deployment = deployment
        self._fleet = fleet

    async def run(self) -> None:
        """Start the fleet, send requests and roll out a second version."""
        started = time.monotonic()
        await self._fleet.start()
        entries, targets = len(self._fleet.entries), len(self._fleet.targets)
        click.echo(
            f"started {entries} entries and {targets} targets in "
            f"{len(self._deployment.topology.regions)} data centres: "
            f"{time.monotonic() - started:.1f} s"
        )
        await self._apply_lists()
        await self._fleet.wait_until_linked()
        await self._send_streams("1")
        await self._send_calls()
        await self._roll_out("2")
        await self._send_streams("2")

    async def _roll_out(self, version: str) -> None:
        model = self._deployment.model
        before = await get_origin_bytes(self._fleet)
        size = WEIGHT_BYTES
        await publish_weights(self._fleet, model, version, size, CHUNK_BYTES)
        started = time.monotonic()
        allowances = self._read_list("allowances").replace(
            'version: "1"', f'version: "{version}"'
        )
        await self._fleet.apply_lists(self._read_list("plans"), allowances)
        hosts = await wait_for_version(self._fleet, model, version)
        elapsed = time.monotonic() - started
        sent = await get_origin_bytes(self._fleet) - before
        click.echo(
            f"rollout: version {version} of {size / 1e6:.0f} MB on {hosts} hosts "
            f"after {elapsed:.1f} s, {sent / size:.2f} copies from the origin"
        )

    def _read_list(self, name: str) -> str:
        return Path(self._deployment.examples, f"{name}.yaml").read_text()

    async def _apply_lists(self) -> None:
        started = time.monotonic()
        generation = await self._fleet.apply_lists(
            self._read_list("plans"), self._read_list("allowances")
        )
        await self._fleet.wait_for_generation(generation)
        elapsed = time.monotonic() - started
        click.echo(f"lists: generation {generation} in force after {elapsed:.2f} s")

    def _get_headers(self, index: int) -> dict[str, str]:
        customers = self._deployment.customers
        return {"Authorization": f"Bearer {customers[index % len(customers)]}-key"}

    def _get_url(self, index: int) -> str:
        return self._fleet.entries[index % len(self._fleet.entries)].url

    async def _send_streams(self, version: str) -> None:
        results = await asyncio.gather(
            *(
                self._send_paced(index, self._send_stream(index, version))
                for index in range(REQUESTS)
            )
        )
        first = [seconds for seconds, _ in results]
        whole = [seconds for _, seconds in results]
        click.echo(
            f"streams: {REQUESTS} whole answers from version {version}, "
            f"first token p50 {statistics.median(first) * 1e3:.0f} ms, "
            f"whole p50 {statistics.median(whole) * 1e3:.0f} ms"
        )

    async def _send_paced(self, index: int, request: Awaitable[T]) -> T:
        """Delay a request to stay within the rates of the customers' plans."""
        await asyncio.sleep(index * INTERVAL_S)
        return await request

    async def _send_stream(self, index: int, version: str) -> tuple[float, float]:
        prompt = f"how deep a base for shed {index}?"
        chat = {
            "model": self._deployment.model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": True,
            "max_tokens": TOKENS,
        }
        url = f"{self._get_url(index)}/v1/chat/completions"
        headers = self._get_headers(index)
        started = time.monotonic()
        async with self._fleet.session.post(url, json=chat, headers=headers) as resp:
            body = await resp.content.readany()
            first = time.monotonic() - started
            body += await resp.read()
            if resp.status != 200:
                raise FleetError(f"stream {index}: {body.decode()}")
        text = body.decode()
        missing = [
            token for token in make_tokens(version, prompt, TOKENS) if token not in text
        ]
        if missing or not text.endswith("data: [DONE]\n\n"):
            raise FleetError(f"stream {index}: the answer is incomplete")
        return first, time.monotonic() - started

    async def _send_calls(self) -> None:
        bodies = await asyncio.gather(
            *(
                self._send_paced(index, self._send_call(index))
                for index in range(REQUESTS)
            )
        )
        ran = await self._count_executions()
        click.echo(
            f"calls: {len(bodies)} bookings answered, {ran} run by the "
            f"{self._deployment.service} service"
        )
        if ran != len(bodies):
            raise FleetError(
                f"{len(bodies)} bookings answered but {ran} run: lost or duplicated"
            )

    async def _send_call(self, index: int) -> Any:
        url = f"{self._get_url(index)}/services/{self._deployment.service}/orders"
        headers = self._get_headers(index)
        body = {"order": index}
        async with self._fleet.session.post(url, json=body, headers=headers) as resp:
            if resp.status != 200:
                raise FleetError(f"call {index}: {await resp.text()}")
            return await resp.json()

    async def _count_executions(self) -> int:
        count = 0
        for target in self._fleet.targets:
            if target.service == self._deployment.service:
                answer = await self._fleet.get_json(f"{target.back_end_url}/executions")
                count += len(answer["executions"])
        return count

    def print_addresses(self) -> None:
        """Print the addresses and an example request."""
        for entry in self._fleet.entries:
            click.echo(f"{entry.name:<20} {entry.url}")
        click.echo(f"administration key: {ADMINISTRATION_KEY}")
        click.echo(
            f"curl -N {self._fleet.entries[0].url}/v1/chat/completions "
            f"-H 'Authorization: Bearer {self._deployment.customers[0]}-key' "
            "-H 'Content-Type: application/json' "
            f'-d \'{{"model": "{self._deployment.model}", "stream": true, '
            '"messages": [{"role": "user", "content": "how deep a base?"}]}\''
        )


async def _run(name: str, is_kept: bool) -> None:
    deployment = DEPLOYMENTS[name]
    with tempfile.TemporaryDirectory(prefix="marigold-") as folder:
        async with Fleet(Path(folder), deployment.topology) as fleet:
            demo = Demo(deployment, fleet)
            await demo.run()
            if is_kept:
                demo.print_addresses()
                click.echo(f"logs in {folder}; Ctrl-C ends the demo")
                await asyncio.Event().wait()


@click.command()
@click.option("--keep", is_flag=True, help="Keep all processes running afterwards.")
@click.option(
    "--deployment",
    type=click.Choice(sorted(DEPLOYMENTS)),
    default="alapko",
    show_default=True,
)
def main(keep: bool, deployment: str) -> None:
    """Run a deployment with stand-ins and send requests through it."""
    started = time.monotonic()
    try:
        asyncio.run(_run(deployment, keep))
    except KeyboardInterrupt:
        return
    click.echo(f"demo finished in {time.monotonic() - started:.1f} s")


if __name__ == "__main__":
    main()
