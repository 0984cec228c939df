"""Placement, queueing and refusal at the worst load, against baselines.

Replays the load of a day on which arrivals pass what the engines can take until
added ones have their weights: several entries place requests by notes that are
some hundred milliseconds old; callers leave, are refused, and come back once.
Runs in virtual time, so that it is the same on any machine.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from marigold.core.platform.adapter import LoadNote
from marigold.core.schema.generated.deployment import (
    EngineModel,
    HeldModel,
    Route,
    Runner,
    WeightedService,
)
from marigold.entry.relay.baselines import (
    ArrivalOrder,
    FewestOwnPlacement,
    RandomPlacement,
    RoundRobinPlacement,
)
from marigold.entry.relay.desk import PlacementDesk
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.floors import VersionFloors
from marigold.entry.relay.placement import EarliestStartPlacement, Placement
from marigold.entry.relay.queueing import InTimeOrder, QueueOrder, Servability
from marigold.entry.relay.tickets import Ticket
from marigold.entry.relay.views import RunnerView
from marigold.standins.bench.figures import Figures
from marigold.standins.engine_model import EngineFullError, EngineReplica, Job
from marigold.standins.virtual_time import get_time, run_virtual

ENTRIES = 7
# Engines from the start, and those that have their weights later.
ENGINES = 8
ADDED = 6
ADDED_AT_S = 11.4
LENGTH_S = 20.0
# Requests a second, and the part of them that comes from each time on.
PEAK = 121.0
STEPS = ((0.0, 0.55), (6.0, 0.7), (7.5, 0.85), (9.0, 1.0))
# Peaks by pattern: that of a standard day, a burst, and more than all engines do.
PATTERNS = {"day": PEAK, "burst": 150.0, "overload": 180.0}
NOTE_INTERVAL_S = 0.2
# When engines switch to new weights, the time between two of them, and the time
# that loading takes; the requests a second of a quiet day meanwhile.
SWITCH_AT_S = 8.0
SWITCH_GAP_S = 0.12
LOAD_S = 0.35
POLL_S = 0.05
QUIET = 98.0
# Worth of an answer in time, and of one that is late.
IN_TIME = 1.0
LATE = 0.25
MODEL = EngineModel(
    slots=16,
    models=["assistant"],
    steps_per_pass=6,
    step=0.00673,
    step_per_request=0.0000219,
    prompt_rate=30_600.0,
    prompt_chunk=2048,
    usual_prompt=964,
    usual_answer=119,
)
ROUTE = Route(
    name="draft",
    host="",
    path_prefix="/",
    is_idempotent=True,
    is_stream=True,
    is_resumable=True,
    services=[WeightedService(service="model", weight=1.0)],
    timeout=6.0,
    target_latency=0.4,
    maximum_gap=0.3,
    precedence=1,
    maximum_attempts=2,
)


class _Directory:
    """The part of a runner directory that a desk asks."""

    def __init__(self, views: list[RunnerView]) -> None:
        self._views = views

    def get_listed(self, service: str) -> list[RunnerView]:
        return self._views


class Policies:
    """What is compared: a placement and an order of the queue."""

    __slots__ = ("make_order", "make_placement", "name")

    def __init__(
        self,
        name: str,
        make_placement: Callable[[], Placement],
        make_order: Callable[[], QueueOrder] = ArrivalOrder,
    ) -> None:
        self.name = name
        self.make_placement = make_placement
        self.make_order = make_order


CHOSEN = Policies("chosen", EarliestStartPlacement, InTimeOrder)
BASELINES = (
    Policies("round_robin", RoundRobinPlacement),
    Policies("random", RandomPlacement),
    Policies("fewest_own", FewestOwnPlacement),
    Policies("arrival_order", EarliestStartPlacement),
)


class LoadRun:
    """One replay; `worth` and the counts are there after `run`."""

    def __init__(self, policies: Policies, seed: int, peak: float = PEAK) -> None:
        self._rng = random.Random(seed)
        self._peak = peak
        self._policies = policies
        self._engines: list[EngineReplica] = []
        self._views: list[list[RunnerView]] = [[] for _ in range(ENTRIES)]
        self._desks: list[PlacementDesk] = []
        self.asked = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.left = 0

    @property
    def worth(self) -> float:
        """Worth earned as a part of what all requests in time would earn."""
        return (self.in_time * IN_TIME + self.late * LATE) / max(self.asked, 1)

    @property
    def served(self) -> float:
        """Part of the requests that were answered."""
        return (self.in_time + self.late) / max(self.asked, 1)

    async def run(self) -> None:
        """Replay the whole load."""
        for entry in range(ENTRIES):
            self._desks.append(self._make_desk(entry))
        tasks = [asyncio.create_task(desk.run()) for desk in self._desks]
        for number in range(ENGINES):
            tasks.append(self._add_engine(number))
        tasks.append(asyncio.create_task(self._add_late()))
        callers = []
        while get_time() < LENGTH_S:
            await asyncio.sleep(self._rng.expovariate(self._peak * self._get_part()))
            self.asked += 1
            callers.append(asyncio.create_task(self._call()))
        await asyncio.gather(*callers)
        for task in tasks:
            task.cancel()

    def _get_part(self) -> float:
        now = get_time()
        return [part for since, part in STEPS if since <= now][-1]

    def _make_desk(self, entry: int) -> PlacementDesk:
        return PlacementDesk(
            _Directory(self._views[entry]),
            self._policies.make_placement(),
            self._policies.make_order(),
            Servability(),
            VersionFloors(8.0),
            lambda service: MODEL,
            random.Random(self._rng.random()),
            get_time,
            get_time,
        )

    def _add_engine(self, number: int) -> asyncio.Task[None]:
        engine = EngineReplica(MODEL)
        runner = Runner(
            id=f"i{number}",
            service="model",
            address="",
            data_centre="",
            slots=MODEL.slots,
            is_draining=False,
            is_engine=True,
            held=[HeldModel(model="assistant", version=1)],
        )
        self._engines.append(engine)
        for views in self._views:
            views.append(RunnerView(runner, True, False))
        asyncio.create_task(self._tell_load(number))
        return asyncio.create_task(engine.run())

    async def _add_late(self) -> None:
        await asyncio.sleep(ADDED_AT_S)
        for number in range(ENGINES, ENGINES + ADDED):
            self._add_engine(number)

    async def _tell_load(self, number: int) -> None:
        engine = self._engines[number]
        while get_time() < LENGTH_S:
            await asyncio.sleep(NOTE_INTERVAL_S)
            note = LoadNote(engine.running, engine.waiting, MODEL.slots)
            for views, desk in zip(self._views, self._desks, strict=True):
                views[number].note_load(note, get_time())
                desk.pump("model")

    async def _call(self) -> None:
        asked_at = get_time()
        prompt = max(int(self._rng.lognormvariate(6.6, 0.6)), 40)
        answer = min(max(int(self._rng.lognormvariate(4.5, 0.7)), 6), 360)
        for attempt in range(2):
            entry = self._rng.randrange(ENTRIES)
            retry_after = await self._try(entry, asked_at, prompt, answer)
            if retry_after is None:
                return
            if attempt == 0:
                await asyncio.sleep(min(retry_after, 2.0))
        self.refused += 1

    async def _try(
        self, entry: int, asked_at: float, prompt: int, answer: int
    ) -> float | None:
        """Make one attempt; return Retry-After when it is refused."""
        desk = self._desks[entry]
        left = ROUTE.timeout - (get_time() - asked_at)
        ticket = Ticket(
            "r", "model", ROUTE, get_time(), left, "", None, "assistant", prompt
        )
        try:
            view = await desk.acquire(ticket)
        except NotServedError as exc:
            return exc.retry_after or 0.0
        try:
            engine = self._engines[int(view.id[1:])]
            job = engine.submit(prompt, answer, ticket.precedence)
            await self._read(job, ticket, asked_at)
        except EngineFullError:
            desk.block(view)
            return 0.3
        finally:
            desk.release(ticket, view)
        return None

    async def _read(self, job: Job, ticket: Ticket, asked_at: float) -> None:
        try:
            async with asyncio.timeout(ticket.start_by - get_time()):
                await job.first.wait()
        except TimeoutError:
            job.is_cancelled = True
            self.left += 1
            return
        ticket.is_started = True
        is_in_time = get_time() - asked_at <= ROUTE.target_latency
        await job.done.wait()
        self.in_time += is_in_time
        self.late += not is_in_time


class SwitchingRun(LoadRun):
    """A replay in which all engines load new weights, one after another.

    Each pauses, ends what it runs, loads, and takes requests again.
    """

    async def run(self) -> None:
        """Replay the whole load."""
        switching = asyncio.create_task(self._switch_all())
        await super().run()
        await switching

    def _get_part(self) -> float:
        return 1.0

    async def _add_late(self) -> None:
        for number in range(ENGINES, ENGINES + ADDED):
            self._add_engine(number)

    async def _switch_all(self) -> None:
        await asyncio.sleep(SWITCH_AT_S)
        switches = [
            self._switch(number, number * SWITCH_GAP_S)
            for number in range(ENGINES + ADDED)
        ]
        await asyncio.gather(*switches)

    async def _switch(self, number: int, delay: float) -> None:
        await asyncio.sleep(delay)
        engine = self._engines[number]
        self._pause(number, True)
        while engine.running or engine.waiting:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(LOAD_S)
        self._pause(number, False)

    def _pause(self, number: int, is_paused: bool) -> None:
        for views in self._views:
            views[number].is_paused = is_paused


def replay_switching(policies: Policies, seed: int, peak: float) -> LoadRun:
    """Return a finished replay in which all engines load new weights."""
    run = SwitchingRun(policies, seed, peak)
    run_virtual(run.run())
    return run


def replay(policies: Policies, seed: int, peak: float = PEAK) -> LoadRun:
    """Return a finished replay."""
    run = LoadRun(policies, seed, peak)
    run_virtual(run.run())
    return run


async def run(figures: Figures) -> None:
    """Compare the chosen policies with each baseline."""
    switching = await asyncio.to_thread(replay_switching, CHOSEN, 1, QUIET)
    figures.add("load_switching_worth", switching.worth)
    for policies in BASELINES:
        base = await asyncio.to_thread(replay_switching, policies, 1, QUIET)
        name = f"load_switching_worth_over_{policies.name}"
        figures.add(name, switching.worth / base.worth)
    for pattern, peak in PATTERNS.items():
        chosen = await asyncio.to_thread(replay, CHOSEN, 1, peak)
        figures.add(f"load_{pattern}_worth", chosen.worth)
        figures.add(f"load_{pattern}_served", chosen.served)
        for policies in BASELINES:
            base = await asyncio.to_thread(replay, policies, 1, peak)
            name = f"load_{pattern}_worth_over_{policies.name}"
            figures.add(name, chosen.worth / base.worth)
