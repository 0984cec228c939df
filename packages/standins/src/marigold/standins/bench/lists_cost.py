"""Cost of a change of the lists at several sizes of the plans list."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Awaitable

from marigold.core.documents import Fault
from marigold.core.exceptions import MarigoldError
from marigold.core.links.codec import encode
from marigold.entry.lists.acceptance import make_state
from marigold.entry.lists.background import run_in_background
from marigold.entry.lists.checking import CheckedPair, check_pair
from marigold.entry.lists.follower import ListFollower
from marigold.entry.lists.state import ListState, dump_part, make_empty_state
from marigold.standins.bench.figures import Figures

SIZES = (100, 1_000, 10_000)
CHANGES = 20
CHANGES_PER_SECOND = 23_000 / 86_400
PEERS = 34
TICK_S = 0.001
ALLOWANCES = "plans:\n  basic: {precedence: 1}\n"


class ListsRejectedError(MarigoldError):
    """The lists of the bench are invalid."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))


def make_plans(customers: int, rate: int) -> str:
    """Return a plans list in which only the rate of one customer varies."""
    rows = ["customers:"]
    for number in range(customers):
        key = hashlib.sha256(str(number).encode()).hexdigest()
        rows.append(f"  customer-{number}:")
        rows.append("    plan: basic")
        rows.append(f"    keys: [{key}]")
        rows.append("    weight: 2")
        rows.append(f"    rate: {rate + 1 if number == 0 else 60}")
        rows.append("    concurrency: 12")
    return "\n".join(rows) + "\n"


def _check(before: ListState, customers: int, rate: int) -> ListState:
    checked = check_pair(make_plans(customers, rate), ALLOWANCES)
    if checked.is_error():
        raise ListsRejectedError(checked.error)
    pair: CheckedPair = checked.ok
    return make_state(before, before.generation + 1, str(rate), pair)


async def _measure_stall(work: Awaitable[ListState]) -> tuple[ListState, float]:
    """Return the result and the longest delay of the event loop in seconds."""
    longest = 0.0
    task = asyncio.ensure_future(work)
    while not task.done():
        started = time.perf_counter()
        await asyncio.sleep(TICK_S)
        longest = max(longest, time.perf_counter() - started - TICK_S)
    return task.result(), longest


async def _measure_size(figures: Figures, customers: int) -> tuple[float, float]:
    name = f"lists_{customers}"
    source, peer = ListFollower(), ListFollower()
    first = _check(make_empty_state(), customers, 0)
    started = time.process_time()
    await source.apply_state(first)
    figures.add(f"{name}_whole_take_ms", (time.process_time() - started) * 1e3)
    await peer.apply_state(first)
    started = time.process_time()
    work = run_in_background(_check, first, customers, 1)
    state, stall = await _measure_stall(work)
    figures.add(f"{name}_check_ms", (time.process_time() - started) * 1e3)
    figures.add(f"{name}_check_stall_ms", stall * 1e3)
    state, seconds, size = await _measure_updates(source, peer, state)
    whole = sum(len(encode(item, 0)) for item in source.make_updates(0))
    record = len(str(state.plans.digests)) + len(str(state.allowances.digests))
    part = len(dump_part(state.plans.get_part(0)))
    figures.add(f"{name}_follow_ms", seconds * 1e3)
    figures.add(f"{name}_update_bytes", size)
    figures.add(f"{name}_whole_bytes", whole)
    figures.add(f"{name}_part_bytes", part)
    return seconds, size * PEERS + record + part


async def _measure_updates(
    source: ListFollower, peer: ListFollower, state: ListState
) -> tuple[ListState, float, int]:
    """Return the last state, and the processor seconds and bytes of an update."""
    seconds = 0.0
    size = 0
    for number in range(CHANGES):
        before = source.state.generation
        await source.apply_state(state)
        for update in source.make_updates(before):
            size += len(encode(update, 0))
            started = time.process_time()
            await peer.apply_update(update)
            seconds += time.process_time() - started
        changes = {"customer-0": {**state.plans.get("customer-0"), "rate": number + 9}}
        state = ListState(
            state.generation + 1,
            str(number),
            state.plans.apply(changes),
            state.allowances,
            {},
        )
    return state, seconds / CHANGES, size // CHANGES


async def add_cost_figures(figures: Figures) -> None:
    """Add the cost at each size, and the cost of a node at the largest size."""
    for customers in SIZES:
        seconds, size = await _measure_size(figures, customers)
    figures.add("lists_node_processor_percent", seconds * CHANGES_PER_SECOND * 100)
    figures.add("lists_watcher_bytes_per_s", size * CHANGES_PER_SECOND)
