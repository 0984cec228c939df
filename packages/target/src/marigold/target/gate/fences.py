"""Fencing numbers of idempotency claims."""

from __future__ import annotations

from collections import OrderedDict

MAXIMUM_CLAIMS = 20_000


class ClaimFences:
    """The highest fencing number seen for each claim, for the latest claims.

    This is a second line: an attempt whose claim has passed on is voided by its
    identifier, which needs no memory of the claim.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()

    def accept(self, claim: str, fence: int) -> bool:
        """Note a number; tell whether none higher was seen for the claim."""
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
