"""Cache of finished claims."""

from __future__ import annotations

from collections import OrderedDict

from marigold.core.schema.generated.records import Claim

MAXIMUM_CLAIMS = 1_000
MAXIMUM_BODY_CHARACTERS = 8 * 1024


class ClaimCache:
    """Cache that answers a repeated request without a read from the platform.

    Entries need no invalidation: a finished claim does not change until it
    expires. The oldest entry is evicted first.
    """

    __slots__ = ("_claims",)

    def __init__(self) -> None:
        self._claims: OrderedDict[str, Claim] = OrderedDict()

    def get(self, name: str) -> Claim | None:
        """Return a finished claim, None when it is not cached."""
        return self._claims.get(name)

    def add(self, name: str, claim: Claim) -> None:
        """Cache a finished claim unless its answer is large."""
        if len(claim.body) > MAXIMUM_BODY_CHARACTERS:
            return
        self._claims[name] = claim
        if len(self._claims) > MAXIMUM_CLAIMS:
            self._claims.popitem(last=False)
