"""Whether what is known of keys is fresh enough to serve by.

Answers the outage in which an entry is cut off from the store while a key is
withdrawn: a request with a key is refused once the configuration was confirmed
too long ago. The age also grows while the host is suspended.
"""

from __future__ import annotations

# Seconds before the bound at which serving by keys ends; it covers rounding of
# clocks and the time between this check and the start at a runner.
MARGIN_S = 0.35
# Seconds beyond the bound of a configuration after which an entry does not claim
# that a route or key does not exist: it may have missed the change.
ABSENCE_MARGIN_S = 1.0


class KeyFreshness:
    """Judges the age of the configuration."""

    __slots__ = ("_absence_bound", "_is_strict", "_key_bound")

    def __init__(self, is_strict: bool, revocation: float, wait: float) -> None:
        self._is_strict = is_strict
        self._key_bound = revocation - MARGIN_S
        self._absence_bound = wait + ABSENCE_MARGIN_S

    def may_use_key(self, age: float | None) -> bool:
        """Tell whether a key may be taken as valid."""
        if age is None:
            return False
        return not self._is_strict or age < self._key_bound

    def may_deny(self, age: float | None) -> bool:
        """Tell whether a missing route or key may be taken as missing."""
        return age is not None and age < self._absence_bound
