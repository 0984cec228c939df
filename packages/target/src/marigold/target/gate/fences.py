"""Fencing numbers of idempotency claims."""

from __future__ import annotations

from collections import OrderedDict

MAXIMUM_CLAIMS = 20_000


class ClaimFences:
    """Highest fencing number of each of the most recent claims.

    This check is a second safeguard: the new holder of a claim also voids the earlier
    attempt by its identifier, which works without an entry in this table.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def accept(self, claim: str, fence: int) -> bool:
        """Record a number; return whether the claim has had no higher one."""
        if not claim:
            return True
        highest = self._highest.get(claim, 0)
        if fence < highest:
            return False
        self._highest[claim] = fence
        self._highest.move_to_end(claim)
        if len(self._highest) > MAXIMUM_CLAIMS:
            self._highest.popitem(last=False)
        return True
