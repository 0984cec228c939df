"""Units that entries lend each other, as counted by either side."""

from __future__ import annotations

import math
from collections import deque


class Loan:
    """Units of one resource lent to one peer, as counted by the lender.

    The peer may be using the units that it reported with its last acknowledgement
    or the units of any later grant, whichever is most. After `until` nothing that it
    started on them can still be running.
    """

    __slots__ = ("_held", "_pending", "until")

    def __init__(self) -> None:
        self._held = 0
        self._pending: deque[tuple[int, int]] = deque()
        self.until = 0.0

    def get_liability(self, now: float) -> int:
        """Return the maximum number of units that the peer may be using."""
        if now >= self.until:
            self._held = 0
            self._pending.clear()
            return 0
        return max([self._held, *(units for _, units in self._pending)])

    def acknowledge(self, number: int, held: int, until: float) -> None:
        """Record the units that the peer holds after a numbered grant."""
        while self._pending and self._pending[0][0] <= number:
            self._pending.popleft()
        self._held = held
        if held:
            self.until = max(self.until, until)

    def grant(self, number: int, units: int, until: float) -> None:
        """Record a grant that is about to be sent."""
        self._pending.append((number, units))
        if units:
            self.until = max(self.until, until)


class Borrowing:
    """Units of one resource borrowed from one peer, as counted by the borrower.

    Requests may start on the units before `until`; `in_use` counts those that run.
    """

    __slots__ = ("in_use", "units", "until")

    def __init__(self) -> None:
        self.units = 0
        self.in_use = 0
        self.until = 0.0

    def get_units(self, now: float) -> int:
        """Return the units on which requests may start."""
        return self.units if now < self.until else 0

    def get_held(self, now: float) -> int:
        """Return the units that the lender must still count as lent."""
        return max(self.get_units(now), self.in_use)

    def count_free(self, now: float) -> int:
        """Return the units on which another request may start."""
        return max(0, self.get_units(now) - self.in_use)

    def is_overdrawn(self, now: float) -> bool:
        """Return whether more units are in use than the lender lends now."""
        return self.in_use > self.get_units(now)


def divide(units: int, demands: list[tuple[str, int]]) -> dict[str, int]:
    """Divide units among demands with max-min fairness.

    The remainder goes to the first of the demands that are not met in full.
    """
    shares: dict[str, int] = {}
    left = len(demands)
    for name, demand in sorted(demands, key=lambda item: item[1]):
        if demand > units // left:
            break
        shares[name] = demand
        units -= demand
        left -= 1
    if not left:
        return shares
    quotient, remainder = divmod(units, left)
    for name, _ in demands:
        if name not in shares:
            shares[name] = quotient + (1 if remainder > 0 else 0)
            remainder -= 1
    return shares


class GrantChange:
    """Resources that gained units by a grant, and whether any lost some."""

    __slots__ = ("grown", "has_shrunk")

    def __init__(self) -> None:
        self.grown: list[str] = []
        self.has_shrunk = False


class PeerState:
    """State of the last messages exchanged with one incarnation of a peer."""

    __slots__ = ("grant_number", "incarnation", "last_grant", "sent")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sent = -math.inf
        self.grant_number = 0
        self.last_grant = 0


def make_earlier_key(peer: str) -> str:
    """Return the key for units of a peer's earlier incarnations that are in use."""
    return f"{peer}\0earlier"
