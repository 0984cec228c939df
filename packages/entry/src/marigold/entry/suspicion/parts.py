"""Shared parts of prompts, and which of them runners are known to answer."""

from __future__ import annotations

from collections import OrderedDict

from marigold.core.fingerprints import compute_fingerprint

PART_PREFIX = "part-"
# Limit on the remembered parts; those that were answered longest ago are forgotten.
PROVEN_MAXIMUM = 4096
# Seconds for which a complete response shows that runners can answer a part.
PROOF_LIFETIME_S = 300.0


def make_part_key(model: str, part: str) -> str:
    """Return the key of a part of prompts for a model.

    Organisations and routes share parts, so that they are not included.
    """
    return PART_PREFIX + compute_fingerprint((model, part), b"")


def is_part_key(key: str) -> bool:
    """Return whether a key identifies a part, as opposed to a whole request."""
    return key.startswith(PART_PREFIX)


class ProvenParts:
    """Parts of prompts that were in a request with a complete response."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def add(self, key: str, now: float) -> None:
        """Record a complete response to a request with a part."""
        self._answered_at[key] = now
        self._answered_at.move_to_end(key)
        if len(self._answered_at) > PROVEN_MAXIMUM:
            self._answered_at.popitem(last=False)

    def is_proven(self, key: str, now: float) -> bool:
        """Return whether runners have answered a part lately."""
        answered_at = self._answered_at.get(key)
        return answered_at is not None and now - answered_at < PROOF_LIFETIME_S
