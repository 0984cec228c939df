"""Precedence between plans, weighted shares inside a precedence.

Requests of one customer go in arrival order. Requests with the same plan and
versions form a class, because room at the targets and the plan's capacity are
the same for all of them; a class without room is passed over as a whole, so
that it holds up no other. Inside a precedence the customer with the lowest
virtual time goes next, and each admission moves its virtual time on by the
inverse of its weight.

A customer without a slot is parked until `unblock`, so that an admission costs
the logarithm of the number of customers and a step for each class.
"""

from __future__ import annotations

from collections import OrderedDict
from heapq import heappop, heappush

from marigold.entry.admission.policy import (
    AdmissionPolicy,
    CapacityCheck,
    QueuedRequest,
)
from marigold.entry.lists.compiled import CustomerPlan

# A precedence that others keep waiting gets a turn after this many admissions
# of higher precedences, times the number of waiting lower precedences. All lower
# precedences together so get one admission in sixteen.
MAXIMUM_BYPASSES = 15
MAXIMUM_IDLE_CUSTOMERS = 1000
# Virtual time that a customer below its share may make up for: a customer of
# weight one then has so many admissions ahead of those that use all of theirs.
MAXIMUM_CREDIT = 10.0

_ClassKey = tuple[int, str, tuple[str, ...]]


class _Class:
    """The waiting requests with the same plan and versions."""

    __slots__ = ("count", "heap", "holds", "precedence")

    def __init__(self, precedence: int) -> None:
        self.precedence = precedence
        self.count = 0
        self.holds = 0
        self.heap: list[tuple[float, int, int, _Queue]] = []


class _Queue:
    """The waiting requests of one customer."""

    __slots__ = ("holds", "is_parked", "precedence", "requests", "stamp", "virtual")

    def __init__(self, precedence: int, virtual: float) -> None:
        self.requests: OrderedDict[int, QueuedRequest] = OrderedDict()
        self.precedence = precedence
        self.virtual = virtual
        self.is_parked = False
        self.holds = 0
        # Heap entries with an older stamp are out of date.
        self.stamp = 0

    def get_head(self) -> QueuedRequest:
        return next(iter(self.requests.values()))


def _get_key(waiting: QueuedRequest) -> _ClassKey:
    customer = waiting.customer
    return customer.precedence, customer.plan, waiting.versions


class FairShareAdmission(AdmissionPolicy):
    """Weighted fair queueing below a precedence with a bound on starvation."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}
        self._classes: dict[_ClassKey, _Class] = {}
        self._idle: dict[str, tuple[int, float]] = {}
        self._floor: dict[int, float] = {}
        self._passed: dict[int, int] = {}
        self._parked: set[str] = set()
        self._stamp = 0
        self._length = 0

    def add(self, waiting: QueuedRequest) -> None:
        """Append a request to its customer's queue."""
        queue = self._append(waiting)
        if len(queue.requests) == 1:
            self._push(queue)

    def _append(self, waiting: QueuedRequest) -> _Queue:
        cls = self._get_class(waiting)
        cls.count += 1
        queue = self._queues.get(waiting.customer.name)
        if queue is None:
            queue = self._make_queue(waiting.customer)
        parked = 1 if queue.is_parked else 0
        waiting.holds -= cls.holds + queue.holds - parked
        queue.requests[waiting.sequence] = waiting
        self._length += 1
        return queue

    def restore(self, waiting: QueuedRequest) -> None:
        """Put a request that was just taken back to the front of its queue."""
        queue = self._append(waiting)
        queue.requests.move_to_end(waiting.sequence, last=False)
        queue.virtual -= 1.0 / waiting.customer.customer.weight
        self._push(queue)

    def _get_class(self, waiting: QueuedRequest) -> _Class:
        key = _get_key(waiting)
        cls = self._classes.get(key)
        if cls is None:
            cls = self._classes[key] = _Class(waiting.customer.precedence)
        return cls

    def _make_queue(self, customer: CustomerPlan) -> _Queue:
        precedence, virtual = self._idle.pop(customer.name, (-1, 0.0))
        if precedence != customer.precedence:
            virtual = 0.0
        queue = _Queue(customer.precedence, virtual)
        self._queues[customer.name] = queue
        return queue

    def _push(self, queue: _Queue) -> None:
        """Put a customer into the class of its first request."""
        head = queue.get_head()
        precedence = head.customer.precedence
        floor = self._floor.get(precedence, 0.0)
        if queue.precedence != precedence:
            queue.precedence = precedence
            queue.virtual = floor
        queue.virtual = max(queue.virtual, floor - MAXIMUM_CREDIT)
        self._stamp += 1
        queue.stamp = self._stamp
        entry = (queue.virtual, head.sequence, queue.stamp, queue)
        heappush(self._get_class(head).heap, entry)

    def remove(self, waiting: QueuedRequest) -> None:
        """Drop a request."""
        queue = self._queues.get(waiting.customer.name)
        if queue is None or waiting.sequence not in queue.requests:
            return
        was_head = queue.get_head() is waiting
        del queue.requests[waiting.sequence]
        self._forget(waiting)
        if not queue.requests:
            self._drop(waiting.customer.name, queue)
        elif was_head and not queue.is_parked:
            self._push(queue)

    def _forget(self, waiting: QueuedRequest) -> None:
        self._length -= 1
        key = _get_key(waiting)
        cls = self._classes[key]
        cls.count -= 1
        if not cls.count:
            del self._classes[key]

    def _drop(self, name: str, queue: _Queue) -> None:
        queue.stamp = 0
        self._parked.discard(name)
        del self._queues[name]
        self._idle[name] = (queue.precedence, queue.virtual)
        if len(self._idle) > MAXIMUM_IDLE_CUSTOMERS:
            # Virtual times below what a customer may make up for say nothing.
            self._idle = {
                name: (precedence, virtual)
                for name, (precedence, virtual) in self._idle.items()
                if virtual > self._floor.get(precedence, 0.0) - MAXIMUM_CREDIT
            }

    def unblock(self, customer: str) -> None:
        """Let a parked customer take part again."""
        queue = self._queues.get(customer)
        if queue is not None and queue.is_parked:
            queue.is_parked = False
            self._parked.discard(customer)
            self._push(queue)

    def unblock_all(self) -> None:
        """Let all parked customers take part again."""
        for customer in list(self._parked):
            self.unblock(customer)

    def take_next(self, now: float, gate: CapacityCheck) -> QueuedRequest | None:
        """Return the next request by precedence, then by virtual time."""
        levels: dict[int, _Class] = {}
        closed: list[_Class] = []
        for cls in self._classes.values():
            head = self._find_head(cls, gate)
            if head is None:
                continue
            if not gate.has_room(head):
                closed.append(cls)
                continue
            best = levels.get(cls.precedence)
            if best is None or cls.heap[0] < best.heap[0]:
                levels[cls.precedence] = cls
        if not levels:
            return None
        for cls in closed:
            cls.holds += 1
        precedence = self._choose_level(sorted(levels))
        return self._take(levels[precedence], precedence > min(levels))

    def _find_head(self, cls: _Class, gate: CapacityCheck) -> QueuedRequest | None:
        """Return the first request of a class whose customer has a slot."""
        heap = cls.heap
        while heap:
            _, _, stamp, queue = heap[0]
            if stamp == queue.stamp:
                head = queue.get_head()
                if gate.has_slot(head.customer):
                    return head
                queue.is_parked = True
                self._parked.add(head.customer.name)
                queue.holds += 1
                queue.stamp = 0
            heappop(heap)
        return None

    def _choose_level(self, levels: list[int]) -> int:
        lower = levels[1:]
        limit = MAXIMUM_BYPASSES * len(lower)
        starved = [item for item in lower if self._passed.get(item, 0) >= limit]
        chosen = max(starved, key=self._passed.__getitem__, default=levels[0])
        for item in lower:
            if item > chosen:
                self._passed[item] = self._passed.get(item, 0) + 1
        self._passed[chosen] = 0
        return chosen

    def _take(self, cls: _Class, is_before_higher: bool) -> QueuedRequest:
        queue = heappop(cls.heap)[3]
        _, waiting = queue.requests.popitem(last=False)
        customer = waiting.customer
        waiting.holds += cls.holds + queue.holds
        waiting.turn = "share" if is_before_higher else "order"
        floor = self._floor.get(queue.precedence, 0.0)
        self._floor[queue.precedence] = max(floor, queue.virtual)
        queue.virtual += 1.0 / customer.customer.weight
        queue.stamp = 0
        self._forget(waiting)
        if queue.requests:
            self._push(queue)
        else:
            self._drop(customer.name, queue)
        return waiting

    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        queue = self._queues.get(customer)
        return len(queue.requests) if queue is not None else 0

    def count_customers(self) -> int:
        """Return how many customers wait."""
        return len(self._queues)

    def __len__(self) -> int:
        return self._length
