"""Who gets how many units of a limit when several entries need them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection
from zlib import crc32

from marigold.entry.admission.loans import Loan, divide
from marigold.entry.admission.resources import Resource

ROTATION_S = 1.0
DRAW_S = 0.1


def compute_want(resource: Resource, me: str, peer: str, now: float) -> int:
    """Return how many units in all to borrow from a peer."""
    borrowing = resource.borrowings.get(peer)
    current = borrowing.get_units(now) if borrowing is not None else 0
    deficit = resource.get_need(now) - resource.count_units(now)
    if deficit <= 0:
        return max(0, current + deficit)
    homes = resource.homes
    others = homes.total() - homes[me]
    if not others:
        return 0
    part = math.ceil(deficit * homes[peer] / others)
    return min(homes[peer], current + part)


class Lending:
    """What one entry should lend of a resource at one moment.

    Every entry divides what it and the `linked` peers have by the needs that all
    have told, and lends to those that have less than their share. Units whose
    home cannot be reached are nobody's to lend: counted in, they would be the
    share of an entry that then gets nothing.
    """

    __slots__ = ("_linked", "_me", "_now", "_resource", "_shares")

    def __init__(
        self, resource: Resource, me: str, linked: Collection[str], now: float
    ) -> None:
        self._resource = resource
        self._me = me
        self._linked = linked
        self._now = now
        self._shares = self._divide()

    def compute_grant(self, loan: Loan, peer: str) -> int:
        """Return how many units a peer should be lent from now on."""
        claim = self._resource.claims.get(peer)
        if claim is None:
            return 0
        lent = loan.get_liability(self._now)
        more = self.plan().get(peer, 0)
        if more:
            return lent + min(more, max(self._resource.count_own_free(self._now), 0))
        # What was called back may still be in use.
        has = max(claim.units, lent)
        too_many = has - self._shares[peer]
        if too_many > 0:
            # Every lender takes back its part.
            part = too_many * lent / has
            lent -= math.floor(part + self._draw(peer))
        return min(lent, claim.wanted)

    def plan(self) -> dict[str, int]:
        """Return how many units more each peer should get from this entry."""
        resource = self._resource
        shares = self._shares
        spare = resource.count_units(self._now) - shares[self._me]
        spare = min(spare, resource.active)
        planned: dict[str, int] = {}
        for peer in sorted(resource.claims, key=self._draw):
            claim = resource.claims[peer]
            loan = resource.loans.get(peer)
            lent = loan.get_liability(self._now) if loan is not None else 0
            short = shares[peer] - max(claim.units, lent)
            more = min(short, claim.wanted - lent, spare)
            if more > 0:
                planned[peer] = more
                spare -= more
        return planned

    def _draw(self, peer: str) -> float:
        """Return a number from 0 to 1 on which no two lenders agree for long."""
        text = f"{self._me}\0{peer}\0{self._resource.name}\0{int(self._now / DRAW_S)}"
        return crc32(text.encode()) / 2**32

    def _divide(self) -> Counter[str]:
        """Divide what can be lent by what the entries need."""
        resource = self._resource
        homes = resource.homes
        units = homes[self._me] + sum(homes[peer] for peer in self._linked)
        claims = [
            (peer, claim.need)
            for peer, claim in resource.claims.items()
            if claim.until > self._now
        ]
        claims.append((self._me, resource.get_need(self._now)))
        # What does not divide goes round, so that no entry is left out for good.
        claims.sort()
        first = int(self._now / ROTATION_S) * units % len(claims)
        claims = claims[first:] + claims[:first]
        return Counter(divide(units, claims))
