"""Shared parts of prompts, and which of them runners have begun to answer."""

from __future__ import annotations

from collections import OrderedDict

from marigold.core.fingerprints import compute_fingerprint

PART_PREFIX = "part-"
# Limit on the remembered parts; those that were answered longest ago are forgotten.
PROVEN_MAXIMUM = 4096
# Seconds for which a response shows that runners can begin to answer a part.
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
    """Parts of prompts that were in a request which a runner began to answer."""

    def __init__(self) -> None:
        # Time of the last response, and number of responses.
        self._responses: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def add(self, key: str, now: float) -> None:
        """Record that a runner began, or completed, a response to a part."""
        self._responses[key] = (now, self.count(key) + 1)
        self._responses.move_to_end(key)
        if len(self._responses) > PROVEN_MAXIMUM:
            self._responses.popitem(last=False)

    def count(self, key: str) -> int:
        """Return a measure of how often runners respond to a part."""
        return self._responses.get(key, (0.0, 0))[1]

    def is_proven(self, key: str, now: float) -> bool:
        """Return whether runners have begun to answer a part lately."""
        known = self._responses.get(key)
        return known is not None and now - known[0] < PROOF_LIFETIME_S
