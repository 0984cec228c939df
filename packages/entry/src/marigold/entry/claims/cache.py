"""Answers of keyed requests that this entry saw lately."""

from __future__ import annotations

from collections import OrderedDict

from marigold.core.schema.generated.records import Claim

MAXIMUM_CLAIMS = 1_000
MAXIMUM_BODY_CHARACTERS = 8 * 1024


class ClaimCache:
    """Finished claims, so that a repetition needs no read of the platform.

    A finished claim never changes until it expires.
    """

    __slots__ = ("_claims",)

    def __init__(self) -> None:
        self._claims: OrderedDict[str, Claim] = OrderedDict()

    def get(self, name: str) -> Claim | None:
        """Return a finished claim."""
        return self._claims.get(name)

    def add(self, name: str, claim: Claim) -> None:
        """Keep a finished claim, unless its answer is large."""
        if len(claim.body) > MAXIMUM_BODY_CHARACTERS:
            return
        self._claims[name] = claim
        if len(self._claims) > MAXIMUM_CLAIMS:
            self._claims.popitem(last=False)
