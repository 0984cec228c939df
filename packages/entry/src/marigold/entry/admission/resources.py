"""State of one limit at one entry."""

from __future__ import annotations

from collections import Counter

from marigold.entry.admission.loans import Borrowing, Loan

NEED_WINDOW_S = 1.0


class Limit:
    """Units of a resource and the maximum seconds for which one is used."""

    __slots__ = ("run_s", "units")

    def __init__(self, units: int, run_s: float) -> None:
        self.units = units
        self.run_s = run_s


class PeerDemand:
    """Last demand of a peer for one resource, which expires at `until`.

    `need` is the number of units that the peer could use, `units` the number that
    it has and `wanted` the number that it wants to borrow from this entry.
    """

    __slots__ = ("need", "units", "until", "wanted")

    def __init__(self, need: int, units: int, wanted: int, until: float) -> None:
        self.need = need
        self.units = units
        self.wanted = wanted
        self.until = until


class Resource:
    """One limit as counted by one entry.

    `active` is the number of this entry's own units; `homes` counts the units of each
    entry in the current view.
    """

    __slots__ = (
        "active",
        "borrowings",
        "demands",
        "homes",
        "limit",
        "loans",
        "name",
        "need",
        "own_use",
        "peak",
        "peak_until",
        "version",
    )

    def __init__(self, name: str, limit: Limit) -> None:
        self.name = name
        self.limit = limit
        self.version = -1
        self.active = 0
        self.homes: Counter[str] = Counter()
        self.own_use = 0
        self.need = 0
        self.peak = 0
        self.peak_until = 0.0
        self.demands: dict[str, PeerDemand] = {}
        self.loans: dict[str, Loan] = {}
        self.borrowings: dict[str, Borrowing] = {}

    def set_need(self, need: int, now: float) -> None:
        """Set how many units this entry could use now."""
        if need < self.need:
            self.peak = self.get_need(now)
            self.peak_until = now + NEED_WINDOW_S
        self.need = need

    def get_need(self, now: float) -> int:
        """Return the highest need of the last second."""
        return max(self.need, self.peak if now < self.peak_until else 0)

    def is_shared_with(self, peer: str, now: float) -> bool:
        """Return whether a peer demands, has lent or has borrowed units."""
        demand = self.demands.get(peer)
        if demand is not None and demand.until > now:
            return True
        loan = self.loans.get(peer)
        if loan is not None and loan.get_liability(now):
            return True
        borrowing = self.borrowings.get(peer)
        return borrowing is not None and borrowing.get_held(now) > 0

    def count_lent(self, now: float) -> int:
        """Return the maximum number of units that peers may be using."""
        return sum(loan.get_liability(now) for loan in self.loans.values())

    def count_own_free(self, now: float) -> int:
        """Return the unused own units; below 0 when too many are in use."""
        return self.active - self.own_use - self.count_lent(now)

    def count_own(self, now: float) -> int:
        """Return the own units that are not lent."""
        return max(self.active - self.count_lent(now), 0)

    def count_units(self, now: float) -> int:
        """Return the units that requests of this entry may use."""
        return self.count_own(now) + sum(
            item.get_units(now) for item in self.borrowings.values()
        )
