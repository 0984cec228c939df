"""What a process knows of the rate that one incarnation of a runner takes.

A runner is cold after its start, or at any moment, and tolerates few requests a second
until it is warm. A runner in need names a limit in its answers and ends it by answers
without one. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math

# Seconds of the permitted rate that may be saved up, at least one request. A burst of
# this size stays far below what a cold runner bears.
BURST_S = 0.1
# Longest time between two checks that adds to what may be sent, for a holder of a small
# share. If each entry without a hub saved up a request while none waited, all could be
# sent in the same second. A hub with all shares is the only one to save up any, and the
# requests that it refuses on arrival are its only checks.
IDLE_S = 0.25


class RateState:
    """Rate limits of a runner and the requests that may be sent to it now.

    `named` is the limit that the runner names, None for none, and `named_at` when an
    answer last did. `cold_until` is when the runner is warm again, and `cold_rate` the
    requests per second that it tolerates until then. The bucket starts empty, or at a
    negative level, so that a process that takes over from another adds no burst.
    `permits` holds when each permit of the hub expires, in boot time, and `asked_at` is
    when the hub was last asked for some.
    """

    __slots__ = (
        "_level",
        "_updated_at",
        "asked_at",
        "cold_rate",
        "cold_until",
        "named",
        "named_at",
        "permits",
        "reported",
    )

    def __init__(self, now: float, level: float = 0.0) -> None:
        self._level = level
        self._updated_at = now
        self.named: float | None = None
        self.named_at = -math.inf
        self.cold_rate = 0.0
        self.cold_until = -math.inf
        self.permits: list[float] = []
        self.asked_at = -math.inf
        # What was last reported to which hub, and when.
        self.reported: tuple[object, float | None, float] = (None, None, -math.inf)

    def get_cause(self, now: float) -> str | None:
        """Return which limit is in force, `cold` or `limit`, None for neither."""
        is_cold = now < self.cold_until
        if self.named is None:
            return "cold" if is_cold else None
        return "cold" if is_cold and self.cold_rate < self.named else "limit"

    def get_rate(self, now: float) -> float | None:
        """Return the requests per second from all hosts together, None for any."""
        cause = self.get_cause(now)
        if cause is None:
            return None
        return self.cold_rate if cause == "cold" else self.named

    def _refill(self, share: float, now: float) -> float:
        """Return the rate of this holder, after adding what has become permitted."""
        rate = (self.get_rate(now) or 0.0) * share
        longest = IDLE_S / (1.0 - share) if share < 1.0 else math.inf
        elapsed = min(max(now - self._updated_at, 0.0), longest)
        self._level = min(self._level + rate * elapsed, max(rate * BURST_S, 1.0))
        self._updated_at = now
        return rate

    def can_take(self, share: float, now: float) -> bool:
        """Return whether a holder of a share of the rate may send a request."""
        return self._refill(share, now) > 0 and self._level >= 1.0

    def take(self) -> None:
        """Count a request that is sent."""
        self._level -= 1.0

    def get_wait(self, share: float, now: float) -> float:
        """Return the seconds until a request may be sent, infinity for never."""
        rate = self._refill(share, now)
        if not rate:
            return math.inf
        return max(1.0 - self._level, 0.0) / rate
