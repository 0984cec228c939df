"""Checks of whether the configuration is fresh enough to accept or deny requests.

While an entry is cut off from the store, a key may be withdrawn. A request with a key
is therefore refused once the configuration was last confirmed too long ago. The age
also grows while the host is suspended.
"""

from __future__ import annotations

# Seconds before the bound from which keys are not accepted. They cover clock rounding
# and the time between this check and the start at a runner.
MARGIN_S = 0.35
# Seconds after the bound of a configuration from which an entry no longer reports that
# a route or key does not exist, as it may have missed the change.
MISSING_MARGIN_S = 1.0


class KeyFreshness:
    """Compares the age of the configuration with the bounds of the deployment.

    A withdrawn key must not work after `revocation` seconds, which is enforced if
    `is_strict`. A change takes effect within `configuration` seconds.
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
        """Return whether a known key may be accepted."""
        if age is None:
            return False
        return not self.is_strict or age < self.revocation - MARGIN_S

    def may_report_missing(self, age: float | None) -> bool:
        """Return whether an unknown route or key may be reported as missing."""
        return age is not None and age < self.configuration + MISSING_MARGIN_S
