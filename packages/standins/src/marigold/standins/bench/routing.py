"""Bench `routing`: choice of targets, in a simulation and with real processes.

The first part compares routers on generated requests. The second kills, freezes,
stalls and slows targets of a small fleet under load.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from marigold.core.clock import get_clock_ms
from marigold.core.logs import parse_lines
from marigold.entry.lists.compiled import compute_key_digest
from marigold.entry.routing.router import (
    RandomRouter,
    RoundRobinRouter,
    Router,
    TwoChoiceRouter,
)
from marigold.standins.bench.choices import ENTRIES, ChoiceRun, Fault
from marigold.standins.bench.figures import Figures
from marigold.standins.fleet import Fleet, Host
from marigold.standins.scenario.checks import OutcomeCounts
from marigold.standins.scenario.traffic import Traffic, TrafficOptions
from marigold.standins.topology import BackEnd, Topology

ROUTERS: dict[str, Callable[[], Router]] = {
    "two_choices": TwoChoiceRouter,
    "round_robin": RoundRobinRouter,
    "random": RandomRouter,
}
SIZES = (8, 64, 570)
REQUESTS = 20_000
FAULTY_SIZE = 8
SEED = 11
WARM_ANSWERS = 200
FAULT_S = 6.0
PROBE_GAP_S = 0.5
SLOWDOWN = 10.0
TOPOLOGY = Topology(
    {"gyor-a": "hu-west"},
    {"gyor-a": 2},
    [
        BackEnd("assistant", "model", {"gyor-a": 4}, ["1"]),
        BackEnd("booking", "service", {"gyor-a": 3}),
    ],
)
PLANS = f"""\
customers:
  bench:
    plan: bench
    keys: ["{compute_key_digest("bench-key")}"]
    rate: 100000
    burst: 100000
    concurrency: 400
"""
ALLOWANCES = """\
plans:
  bench:
    precedence: 0
    models: [{name: assistant, version: "1"}]
    services: [{name: booking}]
"""


def get_percentile(values: list[float], share: float) -> float:
    """Return the value below which a fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def compare_routers(figures: Figures, size: int, fault: Fault) -> None:
    """Run all routers on the same requests."""
    for name, make in ROUTERS.items():
        routers = [make() for _ in range(ENTRIES)]
        result = ChoiceRun(routers, size, REQUESTS, fault, SEED).run()
        prefix = f"choice_{fault}_{size}_{name}"
        figures.add(f"{prefix}_p99_s", get_percentile(result.latencies, 0.99))
        figures.add(f"{prefix}_p99_depth", get_percentile(result.depths, 0.99))
        if fault == "none":
            cost = result.choice_seconds / REQUESTS
            figures.add(f"{prefix}_microseconds", cost * 1e6)
        else:
            share = result.late_to_bad / max(result.late, 1)
            figures.add(f"{prefix}_late_share", share)


def measure_steering(fleet: Fleet, victim: Host, fault_ms: int) -> float:
    """Return the seconds until a target received no requests except probes.

    Probes of an entry are at least `PROBE_GAP_S` apart.
    """
    last = fault_ms
    for entry in fleet.entries:
        previous = fault_ms
        for line in parse_lines(entry.read_log().splitlines()):
            if line.event != "request_admitted":
                continue
            at = get_clock_ms(line.clock)
            if line.fields["target"] != victim.name or at < fault_ms:
                continue
            if at - previous < PROBE_GAP_S * 1000:
                last = max(last, at)
            previous = at
    return (last - fault_ms) / 1000


async def inject_fault(fleet: Fleet, fault: str, victim: Host) -> None:
    """Kill, freeze or slow a target, or freeze its back end."""
    if fault == "killed":
        await victim.child.kill()
    elif fault == "frozen":
        victim.child.freeze()
    elif fault == "stalled":
        victim.back_end.freeze()
    else:
        await fleet.set_faults(victim.back_end_url, slowdown=SLOWDOWN)


async def run_fault(figures: Figures, fault: str) -> None:
    """Inject a fault into targets of the model and the service under load."""
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), TOPOLOGY) as fleet:
            await fleet.start()
            generation = await fleet.apply_lists(PLANS, ALLOWANCES)
            await fleet.wait_for_generation(generation)
            await fleet.wait_until_linked()
            chats = Traffic(
                fleet, "chats", TrafficOptions("assistant", "bench", 60.0), SEED
            )
            calls = Traffic(
                fleet, "calls", TrafficOptions("booking", "bench", 60.0), SEED
            )
            victims = choose_victims(fleet, fault)
            await measure_fault(figures, fleet, fault, [chats, calls], victims)


def choose_victims(fleet: Fleet, fault: str) -> list[Host]:
    """Return the targets that get the fault; only an engine can be slowed."""
    model = next(host for host in fleet.targets if host.service == "assistant")
    service = next(host for host in fleet.targets if host.service == "booking")
    return [model] if fault == "slowed" else [model, service]


async def measure_fault(
    figures: Figures,
    fleet: Fleet,
    fault: str,
    traffics: list[Traffic],
    victims: list[Host],
) -> None:
    """Inject a fault under load and measure its effects."""
    for traffic in traffics:
        traffic.start()
    await asyncio.gather(
        *(traffic.wait_for_answers(WARM_ANSWERS) for traffic in traffics)
    )
    fault_ms = time.time_ns() // 1_000_000
    await asyncio.gather(*(inject_fault(fleet, fault, host) for host in victims))
    await asyncio.sleep(FAULT_S)
    await asyncio.gather(*(traffic.finish() for traffic in traffics))
    for host in victims:
        seconds = measure_steering(fleet, host, fault_ms)
        figures.add(f"routing_{fault}_{host.service}_steer_s", seconds)
    chats, calls = (
        OutcomeCounts(fleet, item, item.service).values for item in traffics
    )
    figures.add(f"routing_{fault}_requests", chats["requests"] + calls["requests"])
    unanswered = sum(calls[name] for name in ("dropped", "untyped", "wrong", "cut"))
    lost = chats["requests"] - chats["whole"] + unanswered
    figures.add(f"routing_{fault}_lost", lost)
    figures.add(f"routing_{fault}_unknown", calls["unknown"])
    figures.add(f"routing_{fault}_doubled", calls["doubled"])
    figures.add(f"routing_{fault}_false_no", chats["false_no"] + calls["false_no"])


async def run(figures: Figures) -> None:
    """Compare the routers, then inject faults into targets."""
    for size in SIZES:
        compare_routers(figures, size, "none")
    for fault in ("slow", "frozen"):
        compare_routers(figures, FAULTY_SIZE, fault)
    for fault in ("killed", "frozen", "stalled", "slowed"):
        await run_fault(figures, fault)
