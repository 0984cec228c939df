"""Routers compared on generated requests, without processes or a network.

Several entries route requests to targets that process a few concurrently, in FIFO
order. Each entry knows its own requests and the periodic load reports of the targets,
which may be out of date. Times are in simulated seconds.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import deque
from typing import Any, Literal

from marigold.entry.routing.load import TargetView
from marigold.entry.routing.router import Router

Fault = Literal["none", "slow", "frozen"]

ENTRIES = 4
SLOTS = 4
UTILISATION = 0.75
SERVICE_S = 0.1
REPORT_S = 0.5
SLOWDOWN = 10.0
STEER_BOUND_S = 2.0
WARM_UP_S = 1.0


class _Job:
    __slots__ = ("arrived", "name", "view")

    def __init__(self, name: str, arrived: float, view: TargetView) -> None:
        self.name = name
        self.arrived = arrived
        self.view = view


class _Target:
    __slots__ = ("is_frozen", "queue", "running", "slowdown", "views")

    def __init__(self, name: str) -> None:
        self.views = [TargetView(name, "assistant", True) for _ in range(ENTRIES)]
        self.queue: deque[_Job] = deque()
        self.running: dict[str, _Job] = {}
        self.slowdown = 1.0
        self.is_frozen = False
        for view in self.views:
            view.is_open = True
            view.limit = SLOTS

    def get_depth(self) -> int:
        return len(self.queue) + len(self.running)


class ChoiceRun:
    """A simulation of a router with generated arrivals.

    `latencies` are those of answered requests, and `depths` the queue depths that
    requests met at their targets. `late` counts the requests later than
    `STEER_BOUND_S` after the fault, `late_to_bad` those of them that were sent to
    the faulty target.
    """

    def __init__(
        self, routers: list[Router], count: int, requests: int, fault: Fault, seed: int
    ) -> None:
        self._routers = routers
        self._targets = [_Target(f"assistant-{number}") for number in range(count)]
        self._by_host = {target.views[0].host: target for target in self._targets}
        self._views = [
            [target.views[entry] for target in self._targets]
            for entry in range(ENTRIES)
        ]
        self._requests = requests
        self._rate = count * SLOTS * UTILISATION / SERVICE_S
        self._fault = fault
        self._fault_at = WARM_UP_S
        # Work and choices have separate generators, so that all routers get the
        # same arrivals and work.
        self._work = random.Random(f"{seed}/work")
        self._rng = random.Random(f"{seed}/choice")
        self._events: list[tuple[float, int, str, Any]] = []
        self._order = 0
        self.latencies: list[float] = []
        self.depths: list[int] = []
        self.choice_seconds = 0.0
        self.late_to_bad = 0
        self.late = 0

    def _schedule(self, at: float, kind: str, item: Any) -> None:
        self._order += 1
        heapq.heappush(self._events, (at, self._order, kind, item))

    def run(self) -> ChoiceRun:
        """Route all requests and return this run."""
        now = 0.0
        for number in range(self._requests):
            now += self._work.expovariate(self._rate)
            work = self._work.expovariate(1 / SERVICE_S)
            self._schedule(now, "arrive", (number, work))
        for target in self._targets:
            self._schedule(self._rng.uniform(0, REPORT_S), "report", target)
        self._schedule(self._fault_at, "fault", self._targets[0])
        handlers = {
            "arrive": self._arrive,
            "finish": self._finish,
            "report": self._report,
            "fault": self._inject_fault,
        }
        last = now
        while self._events:
            now, _, kind, item = heapq.heappop(self._events)
            if now > last + 60 * SERVICE_S:
                break
            handlers[kind](now, item)
        return self

    def _inject_fault(self, now: float, target: _Target) -> None:
        if self._fault == "slow":
            target.slowdown = SLOWDOWN
        elif self._fault == "frozen":
            target.is_frozen = True

    def _report(self, now: float, target: _Target) -> None:
        if not target.is_frozen:
            for view in target.views:
                view.last_message_at = now
                view.record_load(len(target.running), SLOTS, now)
        self._schedule(now + REPORT_S, "report", target)

    def _arrive(self, now: float, item: tuple[int, float]) -> None:
        number, work = item
        entry = number % ENTRIES
        started = time.perf_counter()
        view = self._routers[entry].choose(self._views[entry], "", now, self._rng)
        self.choice_seconds += time.perf_counter() - started
        target = self._by_host[view.host]
        self._record_choice(now, target)
        view.outstanding += 1
        view.health.record_start(str(number), now)
        job = _Job(str(number), now, view)
        target.queue.append(job)
        self._start_next(now, target, work)

    def _record_choice(self, now: float, target: _Target) -> None:
        self.depths.append(target.get_depth())
        if now > self._fault_at + STEER_BOUND_S:
            self.late += 1
            self.late_to_bad += target is self._targets[0]

    def _start_next(self, now: float, target: _Target, work: float) -> None:
        if target.queue and len(target.running) < SLOTS and not target.is_frozen:
            job = target.queue.popleft()
            target.running[job.name] = job
            self._schedule(now + work * target.slowdown, "finish", (target, job))

    def _finish(self, now: float, item: tuple[_Target, _Job]) -> None:
        target, job = item
        if target.is_frozen:
            return
        del target.running[job.name]
        job.view.outstanding -= 1
        job.view.last_message_at = now
        job.view.health.record_progress(job.name, now)
        job.view.record_load(len(target.running), SLOTS, now)
        self.latencies.append(now - job.arrived)
        self._start_next(now, target, self._work.expovariate(1 / SERVICE_S))
