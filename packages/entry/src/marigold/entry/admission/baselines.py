"""Baseline admission policies."""

from __future__ import annotations

from collections import Counter, OrderedDict

from marigold.entry.admission.policy import (
    AdmissionPolicy,
    CapacityCheck,
    QueuedRequest,
)


class ArrivalOrderAdmission(AdmissionPolicy):
    """Baseline policy that admits all customers' requests in arrival order."""

    def __init__(self) -> None:
        self._queue: OrderedDict[int, QueuedRequest] = OrderedDict()
        self._counts: Counter[str] = Counter()

    def add(self, queued: QueuedRequest) -> None:
        """Append a request."""
        self._queue[queued.sequence] = queued
        self._counts[queued.customer.name] += 1

    def restore(self, queued: QueuedRequest) -> None:
        """Put a request back at the front."""
        self.add(queued)
        self._queue.move_to_end(queued.sequence, last=False)

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request."""
        if self._queue.pop(queued.sequence, None) is None:
            return
        name = queued.customer.name
        self._counts[name] -= 1
        if not self._counts[name]:
            del self._counts[name]

    def take_next(self, now: float, check: CapacityCheck) -> QueuedRequest | None:
        """Return the first request that passes the check."""
        for queued in self._queue.values():
            if check.has_room(queued) and check.has_slot(queued.customer):
                self.remove(queued)
                return queued
        return None

    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        return self._counts.get(customer, 0)

    def count_customers(self) -> int:
        """Return how many customers have waiting requests."""
        return len(self._counts)

    def __len__(self) -> int:
        return len(self._queue)
