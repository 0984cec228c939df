"""Admission policies to compare against."""

from __future__ import annotations

from collections import Counter, OrderedDict

from marigold.entry.admission.policy import (
    AdmissionPolicy,
    CapacityCheck,
    QueuedRequest,
)


class ArrivalOrderAdmission(AdmissionPolicy):
    """Baseline: arrival order over all customers."""

    def __init__(self) -> None:
        self._queue: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._counts: Counter[str] = Counter()

    def add(self, waiting: QueuedRequest) -> None:
        """Append a request."""
        self._queue[waiting.sequence] = waiting
        self._counts[waiting.customer.name] += 1

    def restore(self, waiting: QueuedRequest) -> None:
        """Put a request back to the front."""
        self.add(waiting)
        self._queue.move_to_end(waiting.sequence, last=False)

    def remove(self, waiting: QueuedRequest) -> None:
        """Drop a request."""
        if self._queue.pop(waiting.sequence, None) is None:
            return
        name = waiting.customer.name
        self._counts[name] -= 1
        if not self._counts[name]:
            del self._counts[name]

    def take_next(self, now: float, gate: CapacityCheck) -> QueuedRequest | None:
        """Return the first request that the gate lets through."""
        for waiting in self._queue.values():
            if gate.has_room(waiting) and gate.has_slot(waiting.customer):
                self.remove(waiting)
                return waiting
        return None

    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        return self._counts.get(customer, 0)

    def count_customers(self) -> int:
        """Return how many customers wait."""
        return len(self._counts)

    def __len__(self) -> int:
        return len(self._queue)
