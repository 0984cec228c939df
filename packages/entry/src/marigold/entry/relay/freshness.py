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
MISSING_MARGIN_S = 1.0


class KeyFreshness:
    """Judges the age of the configuration.

    `revocation` is the seconds after which a withdrawn key must not work, which
    counts where `is_strict`; `configuration` those in which a change is in force.
    """

    __slots__ = ("configuration", "is_strict", "revocation")

    def __init__(
        self,
        is_strict: bool = True,
        revocation: float = 0.0,
        configuration: float = 0.0,
    ) -> None:
        self.is_strict = is_strict
        self.revocation = revocation
        self.configuration = configuration

    def may_use_key(self, age: float | None) -> bool:
        """Tell whether a key may be taken as valid."""
        if age is None:
            return False
        return not self.is_strict or age < self.revocation - MARGIN_S

    def may_report_missing(self, age: float | None) -> bool:
        """Tell whether a missing route or key may be taken as missing."""
        return age is not None and age < self.configuration + MISSING_MARGIN_S
