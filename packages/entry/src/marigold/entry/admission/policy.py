"""Order in which waiting requests are admitted.

A policy does no input or output; it takes the time in seconds as an argument.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Literal

from marigold.entry.lists.compiled import CustomerPlan

Turn = Literal["order", "share", "apart"]


class QueuedRequest:
    """A request that waits.

    `sequence` is its place of arrival at this entry. The policy sets `turn` when
    it admits the request: "share" means that the request went before one of a
    higher precedence, so that its own precedence does not starve, and "apart" that
    it could run at some targets only and did not stand in the queue. `holds` counts
    how often limits of its customer or plan held it back until then.
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
    """What a policy asks about limits and targets before it admits a request."""

    @abstractmethod
    def has_room(self, waiting: QueuedRequest) -> bool:
        """Tell whether plan and targets have room.

        The answer is the same for all requests with the same plan and versions.
        """

    @abstractmethod
    def has_slot(self, customer: CustomerPlan) -> bool:
        """Tell whether another request of the customer may run."""


class AdmissionPolicy(ABC):
    """Policy that orders the requests waiting for one service."""

    @abstractmethod
    def add(self, waiting: QueuedRequest) -> None:
        """Take in a request."""

    @abstractmethod
    def restore(self, waiting: QueuedRequest) -> None:
        """Take back, at its old place, a request that was just taken."""

    @abstractmethod
    def remove(self, waiting: QueuedRequest) -> None:
        """Drop a request that no longer waits; pass over an unknown one."""

    @abstractmethod
    def take_next(self, now: float, gate: CapacityCheck) -> QueuedRequest | None:
        """Remove and return the next request that the gate lets through."""

    def unblock(self, customer: str) -> None:  # noqa: B027
        """Take in that a customer may have a slot again."""

    def unblock_all(self) -> None:  # noqa: B027
        """Take in that any customer may have a slot again."""

    @abstractmethod
    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""

    @abstractmethod
    def count_customers(self) -> int:
        """Return how many customers wait."""

    @abstractmethod
    def __len__(self) -> int: ...
