"""Bench `gate`: cost of a heartbeat and of a token at a target.

The difference between a target with one entry and one with several, at a high
heartbeat rate, gives the cost of a heartbeat sent and one received. Streams give the
cost of a token. `docs/decisions/0008-links.md` is based on these figures.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from aiohttp import ClientSession, TCPConnector

from marigold.core.links.codec import encode
from marigold.core.schema.generated.messages import AnswerChunk, Heartbeat
from marigold.core.schema.generated.settings import Links
from marigold.standins.bench.capacity import ENTRIES_PER_TARGET
from marigold.standins.bench.figures import Figures
from marigold.standins.bench.serve import (
    ALLOWANCES,
    MODEL,
    PLANS,
    STREAMS,
    TOKENS,
    Route,
    ServeBench,
)
from marigold.standins.child import get_processor_seconds
from marigold.standins.fleet import Fleet
from marigold.standins.topology import BackEnd, Topology

DATA_CENTRE = "gyor-a"
INTERVAL_S = 0.005
WINDOW_S = 8.0
ENTRY_COUNTS = (1, 6)
TOKEN_SECONDS = 0.02
ROUNDS = 3
CLOCK = 1 << 56
FRAME_BYTES = 4
"""Header size of a short websocket frame sent by the accepting side."""


def _make_topology(entries: int) -> Topology:
    options = ["--token-seconds", str(TOKEN_SECONDS)]
    engine = BackEnd(
        MODEL, "model", {DATA_CENTRE: 1}, ["1"], limit=STREAMS * 2, options=options
    )
    return Topology({DATA_CENTRE: "hu-west"}, {DATA_CENTRE: entries}, [engine])


async def _measure_idle(entries: int) -> float:
    links = {"links": {"heartbeat_interval": INTERVAL_S}}
    settings = {"entry": links, "target": links}
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), _make_topology(entries), settings) as fleet:
            await fleet.start()
            await fleet.wait_until_linked()
            pid = fleet.targets[0].child.pid
            before = get_processor_seconds(pid)
            await asyncio.sleep(WINDOW_S)
            return (get_processor_seconds(pid) - before) / WINDOW_S


async def _measure_streams() -> tuple[float, float]:
    with tempfile.TemporaryDirectory() as folder:
        async with (
            Fleet(Path(folder), _make_topology(1)) as fleet,
            ClientSession(connector=TCPConnector(limit=0)) as session,
        ):
            await fleet.start()
            generation = await fleet.apply_lists(PLANS, ALLOWANCES)
            await fleet.wait_for_generation(generation)
            await fleet.wait_until_linked()
            target = fleet.targets[0].child
            route = Route("gate", fleet.entries[0].url, [target])
            bench = ServeBench([route], session)
            costs = []
            for tokens in (1, TOKENS):
                chat = bench.make_chat(tokens, True)
                cost = await bench.measure_cost(chat, STREAMS * 2, STREAMS, ROUNDS)
                costs.append(cost["gate"][0])
            return costs[0], costs[1]


def _report_bytes(figures: Figures) -> float:
    heartbeat = Heartbeat(generation=23_000, running=16, limit=16)
    size = len(encode(heartbeat, CLOCK)) + FRAME_BYTES
    figures.add("gate_heartbeat_bytes", size)
    chunk = AnswerChunk(
        attempt="entry-gyor-a-1-644e0a1b2c3d4-99999.1", sequence=200, data=b""
    )
    figures.add("gate_token_overhead_bytes", len(encode(chunk, CLOCK)) + FRAME_BYTES)
    return size


async def run(figures: Figures) -> None:
    """Measure the cost of heartbeats and tokens in the target process."""
    size = _report_bytes(figures)
    few, many = [await _measure_idle(entries) for entries in ENTRY_COUNTS]
    added = (ENTRY_COUNTS[1] - ENTRY_COUNTS[0]) / INTERVAL_S
    seconds = (many - few) / added
    figures.add("gate_heartbeat_pair_cpu_us", seconds * 1e6)
    rate = ENTRIES_PER_TARGET / Links().heartbeat_interval
    figures.add("gate_idle_core_percent", seconds * rate * 100)
    figures.add("gate_idle_bytes_per_s", size * rate)
    short, stream = await _measure_streams()
    figures.add("gate_request_cpu_us", short * 1e6)
    figures.add("gate_token_cpu_us", (stream - short) / (TOKENS - 1) * 1e6)
