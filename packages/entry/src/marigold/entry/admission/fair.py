"""Precedence between plans, weighted fair queueing within a precedence.

Requests of one customer are admitted in arrival order. Requests with the same plan
and versions form a class, because the room at the targets and the plan's capacity
are the same for all of them; a class without room is skipped as a whole, so that it
blocks no other. Within a precedence the customer with the lowest virtual time is
next, and each admission advances its virtual time by the inverse of its weight.

A customer without a free slot is parked until `unblock`, so that an admission takes
time logarithmic in the number of customers, plus one step for each class.
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

# A bypassed precedence gets a turn after this many admissions of higher precedences,
# times the number of lower precedences that wait. All lower precedences together thus
# get one admission in sixteen.
MAXIMUM_BYPASSES = 15
MAXIMUM_IDLE_CUSTOMERS = 1000
# Virtual time that a customer below its share can catch up on: a customer of weight
# one gets this many admissions ahead of customers that use their full share.
MAXIMUM_CREDIT = 10.0

_ClassKey = tuple[int, str, tuple[str, ...]]


class _RequestClass:
    """Waiting requests with the same plan and versions."""

    __slots__ = ("count", "heap", "holds", "precedence")

    def __init__(self, precedence: int) -> None:
        self.precedence = precedence
        self.count = 0
        self.holds = 0
        self.heap: list[tuple[float, int, int, _CustomerQueue]] = []


class _CustomerQueue:
    """Waiting requests of one customer."""

    __slots__ = ("holds", "is_parked", "precedence", "requests", "stamp", "virtual")

    def __init__(self, precedence: int, virtual: float) -> None:
        self.requests: OrderedDict[int, QueuedRequest] = OrderedDict()
        self.precedence = precedence
        self.virtual = virtual
        self.is_parked = False
        self.holds = 0
        # Heap entries with an older stamp are stale.
        self.stamp = 0

    def get_head(self) -> QueuedRequest:
        return next(iter(self.requests.values()))


def _get_key(queued: QueuedRequest) -> _ClassKey:
    customer = queued.customer
    return customer.precedence, customer.plan, queued.versions


class FairShareAdmission(AdmissionPolicy):
    """Weighted fair queueing within precedences, with bounded starvation."""

    def __init__(self) -> None:
        self._queues: dict[str, _CustomerQueue] = {}
        self._classes: dict[_ClassKey, _RequestClass] = {}
        self._idle: dict[str, tuple[int, float]] = {}
        self._floor: dict[int, float] = {}
        self._bypasses: dict[int, int] = {}
        self._parked: set[str] = set()
        self._stamp = 0
        self._length = 0

    def add(self, queued: QueuedRequest) -> None:
        """Append a request to its customer's queue."""
        queue = self._append(queued)
        if len(queue.requests) == 1:
            self._push(queue)

    def _append(self, queued: QueuedRequest) -> _CustomerQueue:
        cls = self._get_class(queued)
        cls.count += 1
        queue = self._queues.get(queued.customer.name)
        if queue is None:
            queue = self._make_queue(queued.customer)
        parked = 1 if queue.is_parked else 0
        queued.holds -= cls.holds + queue.holds - parked
        queue.requests[queued.sequence] = queued
        self._length += 1
        return queue

    def restore(self, queued: QueuedRequest) -> None:
        """Put a request that was just taken back at the front of its queue."""
        queue = self._append(queued)
        queue.requests.move_to_end(queued.sequence, last=False)
        queue.virtual -= 1.0 / queued.customer.customer.weight
        self._push(queue)

    def _get_class(self, queued: QueuedRequest) -> _RequestClass:
        key = _get_key(queued)
        cls = self._classes.get(key)
        if cls is None:
            cls = self._classes[key] = _RequestClass(queued.customer.precedence)
        return cls

    def _make_queue(self, customer: CustomerPlan) -> _CustomerQueue:
        precedence, virtual = self._idle.pop(customer.name, (-1, 0.0))
        if precedence != customer.precedence:
            virtual = 0.0
        queue = _CustomerQueue(customer.precedence, virtual)
        self._queues[customer.name] = queue
        return queue

    def _push(self, queue: _CustomerQueue) -> None:
        """Add a customer to the heap of its first request's class."""
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

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request."""
        queue = self._queues.get(queued.customer.name)
        if queue is None or queued.sequence not in queue.requests:
            return
        was_head = queue.get_head() is queued
        del queue.requests[queued.sequence]
        self._remove_from_class(queued)
        if not queue.requests:
            self._retire(queued.customer.name, queue)
        elif was_head and not queue.is_parked:
            self._push(queue)

    def _remove_from_class(self, queued: QueuedRequest) -> None:
        self._length -= 1
        key = _get_key(queued)
        cls = self._classes[key]
        cls.count -= 1
        if not cls.count:
            del self._classes[key]

    def _retire(self, name: str, queue: _CustomerQueue) -> None:
        queue.stamp = 0
        self._parked.discard(name)
        del self._queues[name]
        self._idle[name] = (queue.precedence, queue.virtual)
        if len(self._idle) > MAXIMUM_IDLE_CUSTOMERS:
            # Virtual times that the maximum credit would override are not needed.
            self._idle = {
                name: (precedence, virtual)
                for name, (precedence, virtual) in self._idle.items()
                if virtual > self._floor.get(precedence, 0.0) - MAXIMUM_CREDIT
            }

    def unblock(self, customer: str) -> None:
        """Make a parked customer eligible again."""
        queue = self._queues.get(customer)
        if queue is not None and queue.is_parked:
            queue.is_parked = False
            self._parked.discard(customer)
            self._push(queue)

    def unblock_all(self) -> None:
        """Make all parked customers eligible again."""
        for customer in list(self._parked):
            self.unblock(customer)

    def take_next(self, now: float, check: CapacityCheck) -> QueuedRequest | None:
        """Return the next request by precedence, then by virtual time."""
        levels: dict[int, _RequestClass] = {}
        closed: list[_RequestClass] = []
        for cls in self._classes.values():
            head = self._find_head(cls, check)
            if head is None:
                continue
            if not check.has_room(head):
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

    def _find_head(
        self, cls: _RequestClass, check: CapacityCheck
    ) -> QueuedRequest | None:
        """Return the first request of a class whose customer has a slot."""
        heap = cls.heap
        while heap:
            _, _, stamp, queue = heap[0]
            if stamp == queue.stamp:
                head = queue.get_head()
                if check.has_slot(head.customer):
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
        starved = [item for item in lower if self._bypasses.get(item, 0) >= limit]
        chosen = max(starved, key=self._bypasses.__getitem__, default=levels[0])
        for item in lower:
            if item > chosen:
                self._bypasses[item] = self._bypasses.get(item, 0) + 1
        self._bypasses[chosen] = 0
        return chosen

    def _take(self, cls: _RequestClass, precedes_higher: bool) -> QueuedRequest:
        queue = heappop(cls.heap)[3]
        _, queued = queue.requests.popitem(last=False)
        customer = queued.customer
        queued.holds += cls.holds + queue.holds
        queued.turn = "share" if precedes_higher else "order"
        floor = self._floor.get(queue.precedence, 0.0)
        self._floor[queue.precedence] = max(floor, queue.virtual)
        queue.virtual += 1.0 / customer.customer.weight
        queue.stamp = 0
        self._remove_from_class(queued)
        if queue.requests:
            self._push(queue)
        else:
            self._retire(customer.name, queue)
        return queued

    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        queue = self._queues.get(customer)
        return len(queue.requests) if queue is not None else 0

    def count_customers(self) -> int:
        """Return how many customers have waiting requests."""
        return len(self._queues)

    def __len__(self) -> int:
        return self._length
