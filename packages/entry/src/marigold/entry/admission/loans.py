"""Units that entries lend each other, as both sides count them."""

from __future__ import annotations

import math
from collections import deque


class Loan:
    """Units of one resource lent to one peer, counted by the lender.

    The peer may use what the last grant that it has acknowledged gave, what it
    said it holds, and what any later grant gives, whichever is most. After
    `until` nothing that it started can still run.
    """

    __slots__ = ("_held", "_pending", "until")

    def __init__(self) -> None:
        self._held = 0
        self._pending: deque[tuple[int, int]] = deque()
        self.until = 0.0

    def get_liability(self, now: float) -> int:
        """Return the most units that the peer may use."""
        if now >= self.until:
            self._held = 0
            self._pending.clear()
            return 0
        return max([self._held, *(units for _, units in self._pending)])

    def acknowledge(self, number: int, held: int, until: float) -> None:
        """Take in what the peer holds after the grant with a number."""
        while self._pending and self._pending[0][0] <= number:
            self._pending.popleft()
        self._held = held
        if held:
            self.until = max(self.until, until)

    def grant(self, number: int, units: int, until: float) -> None:
        """Count a grant that is about to be sent."""
        self._pending.append((number, units))
        if units:
            self.until = max(self.until, until)


class Borrowing:
    """Units of one resource borrowed from one peer, counted by the borrower.

    Requests may start on the units until `until`; those that run are `in_use`.
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
        """Return the units that the lender must count as lent."""
        return max(self.get_units(now), self.in_use)

    def count_free(self, now: float) -> int:
        """Return the units on which another request may start."""
        return max(0, self.get_units(now) - self.in_use)

    def is_overdrawn(self, now: float) -> bool:
        """Return whether more is in use than the lender lends now."""
        return self.in_use > self.get_units(now)


def divide(units: int, claims: list[tuple[str, int]]) -> dict[str, int]:
    """Divide units by claims, max-min fair.

    What does not divide goes to the first of the claims that want more.
    """
    shares: dict[str, int] = {}
    left = len(claims)
    for name, claim in sorted(claims, key=lambda item: item[1]):
        if claim > units // left:
            break
        shares[name] = claim
        units -= claim
        left -= 1
    if not left:
        return shares
    part, rest = divmod(units, left)
    for name, _ in claims:
        if name not in shares:
            shares[name] = part + (1 if rest > 0 else 0)
            rest -= 1
    return shares


class GrantChange:
    """Resources that a grant brought units of, and whether it took some away."""

    __slots__ = ("grown", "has_shrunk")

    def __init__(self) -> None:
        self.grown: list[str] = []
        self.has_shrunk = False


class PeerState:
    """Numbers of the last messages to and from one incarnation of a peer."""

    __slots__ = ("grant_number", "incarnation", "last_grant", "sent")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sent = -math.inf
        self.grant_number = 0
        self.last_grant = 0


def make_old_name(peer: str) -> str:
    """Return the key of what is used of a peer's earlier incarnations."""
    return f"{peer}\0earlier"
