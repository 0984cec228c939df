"""Choice of the cell for a request that its own cell cannot start at once.

Balances unequal load between data centres, also while the engines of one are paused
to load new weights. Cells report their free places to each other periodically, and
each cell subtracts what it has sent since the last report.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

# Seconds after which a cell's report of its free places is ignored.
REPORT_LIFETIME_S = 0.6
# Fraction of the free places that a cell reserves for its own requests.
RESERVED_FRACTION = 0.25
# Free places reserved in addition.
RESERVED_PLACES = 1


class NeighbourLoad:
    """Free places of another cell by service, as last reported."""

    __slots__ = ("free", "name", "reported_at")

    def __init__(self, name: str) -> None:
        self.name = name
        self.free: dict[str, float] = {}
        self.reported_at = 0.0

    def update(self, free: dict[str, int], now: float) -> None:
        """Apply a report of the cell."""
        self.free = {
            service: places * (1.0 - RESERVED_FRACTION) - RESERVED_PLACES
            for service, places in free.items()
        }
        self.reported_at = now

    def get_free(self, service: str, now: float) -> float:
        """Return the number of places that may be used there now."""
        if now - self.reported_at > REPORT_LIFETIME_S:
            return 0.0
        return self.free.get(service, 0.0)

    def reserve(self, service: str) -> None:
        """Subtract a place for a request that is sent there."""
        self.free[service] = self.free.get(service, 0.0) - 1.0

    def mark_full(self, service: str) -> None:
        """Treat the cell as full until its next report, after it refused a request."""
        self.free[service] = 0.0


def choose_neighbour(
    neighbours: Iterable[NeighbourLoad], service: str, now: float, rng: random.Random
) -> NeighbourLoad | None:
    """Return a random cell with a free place, weighted by free places, or None."""
    found = [(item, item.get_free(service, now)) for item in neighbours]
    found = [(item, free) for item, free in found if free >= 1.0]
    if not found:
        return None
    items, weights = zip(*found, strict=True)
    return rng.choices(items, weights)[0]
