"""Backoff of load orders for a version that crashes its runner.

Without it, a runner that crashes on every load of a version would restart empty and
be ordered to load the version again at once. Runners also crash for other reasons
while they load, so the first crashes cause no wait.
"""

from __future__ import annotations

# Crashes in a row during the load of a version from which on the next order waits, and
# the seconds that it waits, doubled with each further crash.
CRASHES_BEFORE_WAIT = 3
WAIT_S = 30.0
MAXIMUM_WAIT_S = 600.0


class LoadBackoff:
    """Load orders to one runner and the crashes that followed them.

    Times are boot times in seconds.
    """

    __slots__ = ("_crashes", "_ordered", "_ready_at")

    def __init__(self) -> None:
        self._ordered: tuple[int, int] | None = None
        self._crashes: dict[int, int] = {}
        self._ready_at = 0.0

    def record_order(self, version: int, started_ms: int) -> None:
        """Record a load order to the runner process that started at `started_ms`."""
        self._ordered = (version, started_ms)

    def record_report(self, started_ms: int, held: int | None, now: float) -> int:
        """Process a runner's report; return its crashes in a row on one version.

        Return 0 when the report shows no new crash. `held` is the loaded version.
        """
        if held is not None:
            self._crashes.pop(held, None)
            if self._ordered is not None and held >= self._ordered[0]:
                self._ordered = None
        if self._ordered is None or self._ordered[1] == started_ms:
            return 0
        version, _ = self._ordered
        self._ordered = None
        crashes = self._crashes[version] = self._crashes.get(version, 0) + 1
        if crashes >= CRASHES_BEFORE_WAIT:
            wait = min(WAIT_S * 2 ** (crashes - CRASHES_BEFORE_WAIT), MAXIMUM_WAIT_S)
            self._ready_at = now + wait
        return crashes

    def may_load(self, version: int, now: float) -> bool:
        """Return whether the runner may be ordered to load a version now."""
        return (
            self._crashes.get(version, 0) < CRASHES_BEFORE_WAIT or now >= self._ready_at
        )
