"""Bench `admission`: order of admission and refusals, in virtual time.

Generated requests go through an admission policy and the wait estimate to a fixed
number of slots; no other part of the entry runs. The baseline gets the same requests.
The last figures are the processor time of the policy alone.
"""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush

from marigold.core.schema.generated.lists import Customer, PlanAllowance
from marigold.entry.admission.baselines import ArrivalOrderAdmission
from marigold.entry.admission.fair import FairShareAdmission
from marigold.entry.admission.overload import WaitEstimator
from marigold.entry.admission.policy import (
    AdmissionPolicy,
    CapacityCheck,
    QueuedRequest,
)
from marigold.entry.lists.compiled import CustomerPlan
from marigold.standins.bench.figures import Figures

SEED = 7
SLOTS = 32
SERVICE_S = 0.2
CAPACITY = SLOTS / SERVICE_S
SECONDS = 60.0
WARM_S = 10.0
QUEUE_WAIT_S = 10.0
DEADLINE_S = 12.0
WEIGHTS = {"a": 4.0, "b": 2.0, "c": 1.0, "d": 1.0}
COST_SIZES = (10, 1_000, 10_000)
COST_ROUNDS = 5_000
POLICIES: dict[str, Callable[[], AdmissionPolicy]] = {
    "fair_share": FairShareAdmission,
    "arrival_order": ArrivalOrderAdmission,
}


def _make_customer(name: str, weight: float, concurrency: int = 1000) -> CustomerPlan:
    customer = Customer(
        plan="standard", keys=["0" * 64], weight=weight, concurrency=concurrency
    )
    return CustomerPlan(name, customer, PlanAllowance(precedence=1))


class _SlotCheck(CapacityCheck):
    def __init__(self) -> None:
        self.running: dict[str, int] = defaultdict(int)

    def has_capacity(self, waiting: QueuedRequest) -> bool:
        return True

    def has_slot(self, customer: CustomerPlan) -> bool:
        return self.running[customer.name] < customer.customer.concurrency


class Run:
    """A simulation of requests of several customers through a policy."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._capacity_check = _SlotCheck()
        self._waits = WaitEstimator()
        self._rng = random.Random(SEED)
        self._events: list[tuple[float, int, CustomerPlan | None, float]] = []
        self._timeouts: list[tuple[float, int, QueuedRequest]] = []
        self._number = 0
        self._free = SLOTS
        self._now = 0.0
        self.waited: dict[str, list[float]] = defaultdict(list)
        self.good = 0
        self.refused = 0
        self.given_up = 0

    def offer(self, customer: CustomerPlan, rate: float, start: float = 0.0) -> None:
        """Add requests of a customer at random intervals until the end."""
        at = start
        while (at := at + self._rng.expovariate(rate)) < SECONDS:
            self._push(at, customer, 0.0)

    def _push(self, at: float, customer: CustomerPlan, arrived: float) -> None:
        self._number += 1
        heappush(self._events, (at, self._number, customer, arrived))

    def run(self) -> None:
        """Process all events in order of time."""
        while self._events:
            self._now, number, customer, arrived = heappop(self._events)
            self._expire_waiting()
            if arrived:
                self._finish(customer, arrived)
            else:
                self._arrive(customer, number)
            self._admit_waiting()

    def _arrive(self, customer: CustomerPlan, number: int) -> None:
        policy = self._policy
        ahead = policy.count(customer.name)
        wait = self._waits.estimate(customer.name, ahead, self._now)
        if wait > QUEUE_WAIT_S:
            self.refused += 1
            return
        waiting = QueuedRequest(str(number), customer, number, self._now)
        policy.add(waiting)
        self._waits.begin_wait(customer.name, self._now)
        heappush(self._timeouts, (self._now + QUEUE_WAIT_S, number, waiting))

    def _expire_waiting(self) -> None:
        """Remove the requests whose queue wait has timed out."""
        while self._timeouts and self._timeouts[0][0] <= self._now:
            waiting = heappop(self._timeouts)[2]
            before = len(self._policy)
            self._policy.remove(waiting)
            self.given_up += before - len(self._policy)
            self._end_wait(waiting.customer.name)

    def _end_wait(self, name: str) -> None:
        if not self._policy.count(name):
            self._waits.end_wait(name)

    def _finish(self, customer: CustomerPlan, arrived: float) -> None:
        self._free += 1
        self._capacity_check.running[customer.name] -= 1
        self._policy.unblock(customer.name)
        if self._now - arrived <= DEADLINE_S and WARM_S <= self._now < SECONDS:
            self.good += 1

    def _admit_waiting(self) -> None:
        while self._free:
            waiting = self._policy.take_next(self._now, self._capacity_check)
            if waiting is None:
                break
            self._admit(waiting, self._now - waiting.arrived_at)

    def _admit(self, waiting: QueuedRequest, waited: float) -> None:
        customer = waiting.customer
        self._free -= 1
        self._capacity_check.running[customer.name] += 1
        self._waits.record_admission(customer.name, self._now)
        self._end_wait(customer.name)
        if WARM_S <= self._now < SECONDS:
            self.waited[customer.name].append(waited)
        seconds = self._rng.expovariate(1 / SERVICE_S)
        self._push(self._now + seconds, customer, waiting.arrived_at)


def _get_goodput(policy: AdmissionPolicy, load: float) -> Run:
    run = Run(policy)
    for name, weight in WEIGHTS.items():
        rate = load * CAPACITY / len(WEIGHTS)
        run.offer(_make_customer(name, weight), rate)
    run.run()
    return run


def _measure_overload(figures: Figures, name: str, policy: type) -> None:
    at_capacity = _get_goodput(policy(), 1.0)
    overloaded = _get_goodput(policy(), 2.0)
    part = overloaded.good / at_capacity.good
    figures.add(f"{name}_goodput_at_2x_part", part)
    figures.add(f"{name}_refused_at_2x", overloaded.refused)
    figures.add(f"{name}_given_up_at_2x", overloaded.given_up)


def _measure_shares(figures: Figures, name: str, policy: type) -> None:
    run = Run(policy())
    for customer, weight in WEIGHTS.items():
        run.offer(_make_customer(customer, weight), CAPACITY)
    run.run()
    total = sum(len(waits) for waits in run.waited.values())
    whole = sum(WEIGHTS.values())
    errors = [
        abs(len(run.waited[customer]) / total / (weight / whole) - 1)
        for customer, weight in WEIGHTS.items()
    ]
    figures.add(f"{name}_share_error", max(errors))


def _get_p99(run: Run, customer: str) -> float:
    waits = sorted(run.waited[customer])
    return waits[int(0.99 * len(waits))]


def _measure_burst(figures: Figures, name: str, policy: type) -> None:
    """Compare the waits of a customer within its share without and with a burst.

    Without the burst another customer fills the slots, so that there is a wait to
    compare with.
    """
    waits = []
    for burst in (0.0, 4.0):
        run = Run(policy())
        run.offer(_make_customer("quiet", 1.0), CAPACITY / 4)
        run.offer(_make_customer("other", 1.0), CAPACITY * 0.72)
        if burst:
            run.offer(_make_customer("burst", 1.0), burst * CAPACITY, WARM_S)
        run.run()
        waits.append(_get_p99(run, "quiet"))
    figures.add(f"{name}_p99_alone_s", waits[0])
    figures.add(f"{name}_p99_beside_burst_s", waits[1])
    figures.add(f"{name}_burst_wait_ratio", waits[1] / waits[0])


def _measure_cost(figures: Figures, name: str, policy: type) -> None:
    for size in COST_SIZES:
        queue = policy()
        capacity_check = _SlotCheck()
        customers = [_make_customer(str(index), 1.0) for index in range(size // 4 + 1)]
        for number in range(size):
            queue.add(
                QueuedRequest("", customers[number % len(customers)], number, 0.0)
            )
        started = time.perf_counter()
        for number in range(size, size + COST_ROUNDS):
            waiting = queue.take_next(0.0, capacity_check)
            queue.add(QueuedRequest("", waiting.customer, number, 0.0))
        seconds = time.perf_counter() - started
        figures.add(f"{name}_admission_us_at_{size}", seconds / COST_ROUNDS * 1e6)


async def run(figures: Figures) -> None:
    """Measure all policies on the same requests."""
    for name, policy in POLICIES.items():
        _measure_overload(figures, name, policy)
        _measure_shares(figures, name, policy)
        _measure_burst(figures, name, policy)
        _measure_cost(figures, name, policy)
