"""Admission policies, which order the waiting requests.

A policy does no I/O and receives the current time in seconds as an argument.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Literal

from marigold.entry.lists.compiled import CustomerPlan

Turn = Literal["order", "share", "apart"]


class QueuedRequest:
    """Request that waits for admission.

    `sequence` is its position in the order of arrival at this entry. `turn` is set on
    admission: "share" means that the request was admitted before one of a higher
    precedence, so that its own precedence does not starve, and "apart" that it could
    run on some targets only and bypassed the queue. `holds` counts how often a limit
    of its customer or plan held it back before.
    """

    __slots__ = (
        "arrived",
        "customer",
        "holds",
        "request",
        "sequence",
        "turn",
        "versions",
    )

    def __init__(
        self,
        request: str,
        customer: CustomerPlan,
        sequence: int,
        arrived: float,
        versions: tuple[str, ...] = (),
    ) -> None:
        self.request = request
        self.customer = customer
        self.sequence = sequence
        self.arrived = arrived
        self.versions = versions
        self.turn: Turn = "order"
        self.holds = 0


class CapacityCheck(ABC):
    """Checks limits and targets before a policy admits a request."""

    @abstractmethod
    def has_room(self, queued: QueuedRequest) -> bool:
        """Return whether the plan and a target have room for the request.

        The result is the same for all requests with the same plan and versions.
        """

    @abstractmethod
    def has_slot(self, customer: CustomerPlan) -> bool:
        """Return whether another request of the customer may run."""


class AdmissionPolicy(ABC):
    """Policy that orders the requests waiting for one service."""

    @abstractmethod
    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""

    @abstractmethod
    def restore(self, queued: QueuedRequest) -> None:
        """Put a request that was just taken back at its former position."""

    @abstractmethod
    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request that no longer waits; ignore an unknown one."""

    @abstractmethod
    def take_next(self, now: float, check: CapacityCheck) -> QueuedRequest | None:
        """Remove and return the next request that passes the check."""

    def unblock(self, customer: str) -> None:  # noqa: B027
        """Make a customer eligible that may have a free slot again."""

    def unblock_all(self) -> None:  # noqa: B027
        """Make all customers eligible, as any may have a free slot again."""

    @abstractmethod
    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""

    @abstractmethod
    def count_customers(self) -> int:
        """Return how many customers have waiting requests."""

    @abstractmethod
    def __len__(self) -> int: ...
