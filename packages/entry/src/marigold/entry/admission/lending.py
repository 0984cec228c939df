"""Division of the units of a limit among the entries that need them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection
from zlib import crc32

from marigold.entry.admission.loans import Loan, divide
from marigold.entry.admission.resources import Resource

ROTATION_INTERVAL_S = 1.0
DRAW_INTERVAL_S = 0.1


def compute_request(resource: Resource, process: str, peer: str, now: float) -> int:
    """Return the total number of units to borrow from a peer."""
    borrowing = resource.borrowings.get(peer)
    current = borrowing.get_units(now) if borrowing is not None else 0
    deficit = resource.get_need(now) - resource.count_units(now)
    if deficit <= 0:
        return max(0, current + deficit)
    homes = resource.homes
    others = homes.total() - homes[process]
    if not others:
        return 0
    part = math.ceil(deficit * homes[peer] / others)
    return min(homes[peer], current + part)


class Lending:
    """Units of a resource that one entry should lend at one point in time.

    Every entry divides its own units and those of the `linked` peers by the needs
    that all have reported, and lends to those that have less than their share.
    Units whose home is unreachable are left out, as no entry can lend them: an entry
    whose share consisted of them would get nothing.
    """

    __slots__ = ("_linked", "_now", "_process", "_resource", "_shares")

    def __init__(
        self, resource: Resource, process: str, linked: Collection[str], now: float
    ) -> None:
        self._resource = resource
        self._process = process
        self._linked = linked
        self._now = now
        self._shares = self._divide()

    def compute_grant(self, loan: Loan, peer: str) -> int:
        """Return the total number of units to lend to a peer from now on."""
        demand = self._resource.demands.get(peer)
        if demand is None:
            return 0
        lent = loan.get_liability(self._now)
        more = self.plan().get(peer, 0)
        if more:
            return lent + min(more, max(self._resource.count_own_free(self._now), 0))
        # Units that were recalled may still be in use.
        current = max(demand.units, lent)
        excess = current - self._shares[peer]
        if excess > 0:
            # Every lender recalls its proportional part.
            part = excess * lent / current
            lent -= math.floor(part + self._draw_fraction(peer))
        return min(lent, demand.wanted)

    def plan(self) -> dict[str, int]:
        """Return how many additional units each peer should get from this entry."""
        resource = self._resource
        shares = self._shares
        spare = resource.count_units(self._now) - shares[self._process]
        spare = min(spare, resource.active)
        planned: dict[str, int] = {}
        for peer in sorted(resource.demands, key=self._draw_fraction):
            demand = resource.demands[peer]
            loan = resource.loans.get(peer)
            lent = loan.get_liability(self._now) if loan is not None else 0
            deficit = shares[peer] - max(demand.units, lent)
            more = min(deficit, demand.wanted - lent, spare)
            if more > 0:
                planned[peer] = more
                spare -= more
        return planned

    def _draw_fraction(self, peer: str) -> float:
        """Return a pseudo-random number from 0 to 1, different for each lender."""
        text = (
            f"{self._process}\0{peer}\0{self._resource.name}"
            f"\0{int(self._now / DRAW_INTERVAL_S)}"
        )
        return crc32(text.encode()) / 2**32

    def _divide(self) -> Counter[str]:
        """Divide the reachable units among the entries by their needs."""
        resource = self._resource
        homes = resource.homes
        units = homes[self._process] + sum(homes[peer] for peer in self._linked)
        demands = [
            (peer, demand.need)
            for peer, demand in resource.demands.items()
            if demand.until > self._now
        ]
        demands.append((self._process, resource.get_need(self._now)))
        # Rotate the order, so that the remainder goes to each entry in turn.
        demands.sort()
        first = int(self._now / ROTATION_INTERVAL_S) * units % len(demands)
        demands = demands[first:] + demands[:first]
        return Counter(divide(units, demands))
