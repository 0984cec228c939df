"""Bench `serve`: cost of entry and gate against minimal proxies and direct calls.

The three routes alternate within each round, so that a change of the machine's load
affects all of them.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from aiohttp import ClientSession, TCPConnector

from marigold.entry.lists.compiled import compute_key_digest
from marigold.standins.bench.figures import Figures
from marigold.standins.child import Child, get_processor_seconds
from marigold.standins.fleet import Fleet
from marigold.standins.topology import BackEnd, Topology

KEY = "bench-key"
MODEL = "assistant"
LIMIT = 400
CONCURRENCIES = (1, 8, 64, 200)
ROUNDS = 5
REQUESTS = 300
STREAMS = 64
TOKENS = 150
TOKEN_SECONDS = 0.03
PEAK_TOKENS = 6000
TOPOLOGY = Topology(
    {"gyor-a": "hu-west"},
    {"gyor-a": 1},
    [BackEnd(MODEL, "model", {"gyor-a": 1}, ["1"], limit=LIMIT)],
)
PLANS = f"""\
customers:
  bench:
    plan: bench
    keys: ["{compute_key_digest(KEY)}"]
    rate: 100000
    burst: 100000
    concurrency: {LIMIT}
"""
ALLOWANCES = f"""\
plans:
  bench:
    precedence: 0
    models: [{{name: {MODEL}, version: "1"}}]
"""


class Route:
    """A route to the engine, with the processes on it."""

    __slots__ = ("children", "name", "url")

    def __init__(self, name: str, url: str, children: list[Child]) -> None:
        self.name = name
        self.url = url
        self.children = children

    def get_processor_seconds(self) -> list[float]:
        """Return the processor time of each process."""
        return [get_processor_seconds(child.pid) for child in self.children]


class ServeBench:
    """Sends the same load over each route."""

    def __init__(self, routes: list[Route], session: ClientSession) -> None:
        self._routes = routes
        self._session = session

    def make_chat(self, tokens: int, is_streamed: bool) -> dict[str, Any]:
        """Return the body of a chat request."""
        return {
            "model": MODEL,
            "messages": [{"role": "user", "content": "how deep a base?"}],
            "max_tokens": tokens,
            "stream": is_streamed,
        }

    async def _call(self, route: Route, chat: dict[str, Any]) -> float:
        headers = {"Authorization": f"Bearer {KEY}", "X-Model-Version": "1"}
        url = f"{route.url}/v1/chat/completions"
        started = time.perf_counter()
        async with self._session.post(url, json=chat, headers=headers) as resp:
            await resp.read()
            assert resp.status == 200, await resp.text()
        return time.perf_counter() - started

    async def _send(
        self, route: Route, chat: dict[str, Any], total: int, concurrency: int
    ) -> list[float]:
        seconds: list[float] = []

        async def work(count: int) -> None:
            for _ in range(count):
                seconds.append(await self._call(route, chat))

        await asyncio.gather(*(work(total // concurrency) for _ in range(concurrency)))
        return seconds

    async def measure_requests(self, concurrency: int) -> dict[str, list[float]]:
        """Return the times of short requests by route, in seconds."""
        chat = self.make_chat(1, False)
        total = max(REQUESTS, concurrency * 4)
        seconds: dict[str, list[float]] = defaultdict(list)
        for _ in range(ROUNDS):
            for route in self._routes:
                seconds[route.name] += await self._send(route, chat, total, concurrency)
        return seconds

    async def measure_cost(
        self, chat: dict[str, Any], total: int, concurrency: int, rounds: int
    ) -> dict[str, list[float]]:
        """Return the processor time per request of each process, by route."""
        used: dict[str, list[float]] = {}
        for _ in range(rounds):
            for route in self._routes:
                before = route.get_processor_seconds()
                await self._send(route, chat, total, concurrency)
                after = route.get_processor_seconds()
                spent = [end - start for start, end in zip(before, after, strict=True)]
                previous = used.get(route.name, [0.0] * len(spent))
                used[route.name] = [a + b for a, b in zip(previous, spent, strict=True)]
        count = total * rounds
        return {name: [item / count for item in spent] for name, spent in used.items()}


async def _make_routes(fleet: Fleet) -> list[Route]:
    entry, target = fleet.entries[0], fleet.targets[0]
    near, near_url = await fleet.start_stand_in(
        "relay-2", "relay", "--url", target.back_end_url
    )
    far, far_url = await fleet.start_stand_in("relay-1", "relay", "--url", near_url)
    return [
        Route("direct", target.back_end_url, []),
        Route("relays", far_url, [far, near]),
        Route("marigold", entry.url, [entry.child, target.child]),
    ]


async def _set_slowdown(fleet: Fleet, slowdown: float) -> None:
    await fleet.set_faults(fleet.targets[0].back_end_url, slowdown=slowdown)


def _get_p99(seconds: list[float]) -> float:
    return statistics.quantiles(seconds, n=100)[98]


async def _report_requests(bench: ServeBench, figures: Figures) -> None:
    worst_p50 = worst_p99 = 0.0
    for concurrency in CONCURRENCIES:
        seconds = await bench.measure_requests(concurrency)
        for name, items in seconds.items():
            prefix = f"serve_{name}_c{concurrency}"
            figures.add(f"{prefix}_p50_ms", statistics.median(items) * 1e3)
            figures.add(f"{prefix}_p99_ms", _get_p99(items) * 1e3)
        marigold, relays = seconds["marigold"], seconds["relays"]
        worst_p50 = max(
            worst_p50, statistics.median(marigold) / statistics.median(relays)
        )
        worst_p99 = max(worst_p99, _get_p99(marigold) / _get_p99(relays))
    figures.add("serve_p50_ratio", worst_p50)
    figures.add("serve_p99_ratio", worst_p99)


async def _report_cost(bench: ServeBench, fleet: Fleet, figures: Figures) -> None:
    chat = bench.make_chat(1, False)
    short = await bench.measure_cost(chat, REQUESTS, 8, ROUNDS)
    await _set_slowdown(fleet, 1.0)
    chat = bench.make_chat(TOKENS, True)
    streams = await bench.measure_cost(chat, STREAMS, STREAMS, 2)
    for name in ("relays", "marigold"):
        tokens = [
            (stream - request) / (TOKENS - 1)
            for stream, request in zip(streams[name], short[name], strict=True)
        ]
        figures.add(f"serve_{name}_request_cpu_us", sum(short[name]) * 1e6)
        figures.add(f"serve_{name}_token_cpu_us", sum(tokens) * 1e6)
        if name == "marigold":
            figures.add("serve_entry_request_cpu_us", short[name][0] * 1e6)
            figures.add("serve_entry_token_cpu_us", tokens[0] * 1e6)
            figures.add("serve_entry_cores_at_peak", tokens[0] * PEAK_TOKENS)
    values = figures.values
    for kind in ("request", "token"):
        marigold = values[f"serve_marigold_{kind}_cpu_us"]
        relays = values[f"serve_relays_{kind}_cpu_us"]
        figures.add(f"serve_{kind}_cpu_ratio", marigold / relays)


async def run(figures: Figures) -> None:
    """Measure latency and processor time of the three routes."""
    TOPOLOGY.back_ends[0].options = ["--token-seconds", str(TOKEN_SECONDS)]
    with tempfile.TemporaryDirectory() as folder:
        async with (
            Fleet(Path(folder), TOPOLOGY) as fleet,
            ClientSession(connector=TCPConnector(limit=0)) as session,
        ):
            await fleet.start()
            generation = await fleet.apply_lists(PLANS, ALLOWANCES)
            await fleet.wait_for_generation(generation)
            await fleet.wait_until_linked()
            bench = ServeBench(await _make_routes(fleet), session)
            await _set_slowdown(fleet, 0.0)
            await _report_requests(bench, figures)
            await _report_cost(bench, fleet, figures)
