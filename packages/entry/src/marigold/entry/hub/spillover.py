"""Which cell takes a request that its own one cannot start at once.

Answers the load pattern in which data centres have unequal loads, or the engines
of one pause to load new weights, while others have places free. Cells tell each
other their free places every so often; each counts what it has sent since.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

# Seconds after which what a cell told of its free places counts no more.
TOLD_LIFETIME_S = 0.6
# Places that a cell keeps for its own requests, as a part of those that are free.
KEPT_PART = 0.25
# Free places below which a cell takes no requests of others.
KEPT_PLACES = 1


class NeighbourLoad:
    """What another cell told of its free places, by service."""

    __slots__ = ("free", "name", "told_at")

    def __init__(self, name: str) -> None:
        self.name = name
        self.free: dict[str, float] = {}
        self.told_at = 0.0

    def update(self, free: dict[str, int], now: float) -> None:
        """Take in what the cell tells."""
        self.free = {
            service: places * (1.0 - KEPT_PART) - KEPT_PLACES
            for service, places in free.items()
        }
        self.told_at = now

    def get_free(self, service: str, now: float) -> float:
        """Return the places that may be taken there now."""
        if now - self.told_at > TOLD_LIFETIME_S:
            return 0.0
        return self.free.get(service, 0.0)

    def reserve(self, service: str) -> None:
        """Count a request that is sent there."""
        self.free[service] = self.free.get(service, 0.0) - 1.0

    def mark_full(self, service: str) -> None:
        """Count no places until the cell tells again; it had none."""
        self.free[service] = 0.0


def choose_neighbour(
    neighbours: Iterable[NeighbourLoad], service: str, now: float, rng: random.Random
) -> NeighbourLoad | None:
    """Return a cell with a free place, the more likely the more it has."""
    found = [(item, item.get_free(service, now)) for item in neighbours]
    found = [(item, free) for item, free in found if free >= 1.0]
    if not found:
        return None
    items, weights = zip(*found, strict=True)
    return rng.choices(items, weights)[0]
