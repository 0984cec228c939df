"""What an entry knows of a target: its load, its speed and its state.

Nothing here does input or output; times are seconds of the monotonic clock.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

REPORT_FRESH_S = 1.0
REPORT_LIFETIME_S = 3.0
BUSY_HOLD_S = 1.0
SILENCE_S = 1.0
# Seconds in which a lost link is taken for one that opens again; source: the
# heartbeat that tells a lost link (SILENCE_S), as one connect takes less.
RECONNECT_GRACE_S = 1.0
LATENCY_WEIGHT = 0.2
PROBE_DELAY_S = 1.0
PROBE_DELAY_MAXIMUM_S = 8.0
HASH_BYTES = 8


def compute_hash(text: str) -> int:
    """Return a hash of 64 bits that is the same in every process."""
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    )


class TargetHealth:
    """How fast a target answers, and when to try one that lags or fails.

    `latency` is the exponentially weighted time to the first part of an answer
    in seconds, 0 before the first. A target that failed or lagged is probed by
    single requests; the delay between probes doubles while they go badly.
    """

    __slots__ = (
        "_is_probing",
        "_pending",
        "_probe_delay",
        "_progress_at",
        "failures",
        "latency",
        "probe_at",
    )

    def __init__(self) -> None:
        self._pending: dict[str, float] = {}
        self._progress_at = 0.0
        self._probe_delay = PROBE_DELAY_S
        self._is_probing = False
        self.latency = 0.0
        self.failures = 0
        self.probe_at = 0.0

    def record_start(self, attempt: str, now: float) -> None:
        """Note that an attempt was sent."""
        self._pending[attempt] = now

    def record_progress(self, attempt: str, now: float) -> None:
        """Take in a part of an answer; the first gives the latency."""
        self._progress_at = now
        started = self._pending.pop(attempt, None)
        if started is None:
            return
        self.failures = 0
        seconds = now - started
        if self._is_probing and seconds < self.latency / 2:
            self._probe_delay = PROBE_DELAY_S
            self.latency = seconds
        elif self.latency:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
        else:
            self.latency = seconds
        self._is_probing = False

    def record_failure(self, attempt: str, now: float) -> None:
        """Note that an attempt failed at the target."""
        self._pending.pop(attempt, None)
        self.failures += 1
        self.probe_at = now + self._probe_delay

    def discard(self, attempt: str) -> None:
        """Forget an attempt that says nothing more about the target."""
        self._pending.pop(attempt, None)

    def start_probe(self, now: float) -> None:
        """Count the next attempt as a probe and put off the one after it."""
        self._is_probing = True
        self._probe_delay = min(self._probe_delay * 2, PROBE_DELAY_MAXIMUM_S)
        self.probe_at = now + self._probe_delay

    def has_pending(self) -> bool:
        """Tell whether an attempt waits for the first part of its answer."""
        return bool(self._pending)

    def get_latency(self, now: float) -> float:
        """Return the latency, or for how long nothing came of what was sent."""
        if not self._pending:
            return self.latency
        oldest = next(iter(self._pending.values()))
        return max(self.latency, now - max(oldest, self._progress_at))


class TargetView:
    """What an entry knows of a target.

    `outstanding` counts this entry's own attempts. `reported_others` is what the
    target ran for other entries when it last reported, at `reported_at` seconds.
    `heard_at` is when the last message of any kind arrived, `lost_at` when the
    link was last lost. A target is reserved while a suspect runs there alone.
    """

    __slots__ = (
        "_refused_at",
        "hash",
        "heard_at",
        "host",
        "is_local",
        "is_open",
        "is_reserved",
        "kind",
        "leaving",
        "limit",
        "lost_at",
        "outstanding",
        "health",
        "reported_at",
        "reported_others",
        "service",
        "versions",
    )

    def __init__(self, host: str, service: str, is_local: bool) -> None:
        self.host = host
        self.service = service
        self.is_local = is_local
        self.hash = compute_hash(host)
        self.kind = "service"
        self.is_open = False
        self.is_reserved = False
        self.leaving = False
        self.limit = 1
        self.outstanding = 0
        self.reported_others = 0
        self.reported_at = 0.0
        self.heard_at = 0.0
        self.lost_at = -math.inf
        self.health = TargetHealth()
        self.versions: list[str] = []
        self._refused_at: float | None = None

    def record_load(self, running: int, limit: int, now: float) -> None:
        """Take in a load report."""
        self.limit = max(limit, 1)
        self.reported_others = max(running - self.outstanding, 0)
        self.reported_at = now
        self._refused_at = None

    def record_refusal(self, now: float) -> None:
        """Take in a refusal for load: full until the next report.

        A report that never comes holds the target back for `BUSY_HOLD_S`.
        """
        self._refused_at = now

    def get_load(self, now: float) -> float:
        """Return the estimated attempts running.

        A report counts in full while fresh and then loses weight, so that a
        target whose reports are lost is not held for full for good.
        """
        age = now - self.reported_at - REPORT_FRESH_S
        span = REPORT_LIFETIME_S - REPORT_FRESH_S
        weight = min(max(1.0 - age / span, 0.0), 1.0)
        return self.outstanding + self.reported_others * weight

    def get_utilisation(self, now: float) -> float:
        """Return the load as a share of the limit."""
        return self.get_load(now) / self.limit

    def has_room(self, now: float) -> bool:
        """Tell whether another attempt may be sent."""
        if not self.is_open or self.leaving or self.is_reserved:
            return False
        if self._refused_at is not None and now - self._refused_at < BUSY_HOLD_S:
            return False
        return self.get_load(now) < self.limit

    def is_silent(self, now: float) -> bool:
        """Tell whether the heartbeats of the target are overdue."""
        return now - self.heard_at > SILENCE_S

    def is_reconnecting(self, now: float) -> bool:
        """Tell whether the link was lost so lately that it may open again."""
        return not self.is_open and now - self.lost_at < RECONNECT_GRACE_S

    def find_version(self, versions: Sequence[str]) -> str | None:
        """Return the first of the wanted versions that the target holds.

        Without wanted versions, as for a plain service, return an empty string.
        """
        if not versions:
            return ""
        return next((item for item in versions if item in self.versions), None)
