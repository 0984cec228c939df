"""How often a version is loaded that ends its runner.

Answers the pattern in which a runner ends each time it loads a version, comes back
empty, and is ordered to load it again at once. Runners also end by themselves while
they load, so that the first ends change nothing.
"""

from __future__ import annotations

# Runners that end one after another under the load of a version before the next order
# waits, and the seconds that it waits, doubled by each further end.
CRASHES_BEFORE_WAIT = 3
WAIT_S = 30.0
MAXIMUM_WAIT_S = 600.0


class LoadBackoff:
    """The orders to one runner host; times are boot times in seconds."""

    __slots__ = ("_crashes", "_ordered", "_ready_at")

    def __init__(self) -> None:
        self._ordered: tuple[int, int] | None = None
        self._crashes: dict[int, int] = {}
        self._ready_at = 0.0

    def record_order(self, version: int, started_ms: int) -> None:
        """Take in an order to the incarnation that started at a time."""
        self._ordered = (version, started_ms)

    def record_report(self, started_ms: int, held: int | None, now: float) -> int:
        """Take in a runner's report; return how often it ended in a row, 0 for not now.

        `held` is the version that it has loaded.
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
        """Tell whether a version may be ordered now."""
        return (
            self._crashes.get(version, 0) < CRASHES_BEFORE_WAIT or now >= self._ready_at
        )
