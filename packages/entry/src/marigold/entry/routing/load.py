"""An entry's view of a target: load, health and state.

This module does no I/O; times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

REPORT_FRESH_S = 1.0
REPORT_LIFETIME_S = 3.0
REFUSAL_HOLD_S = 1.0
SILENCE_S = 1.0
# A lost link is expected back within this time: the heartbeat timeout by which a lost
# link is detected, which is longer than one connect takes.
RECONNECT_GRACE_S = 1.0
LATENCY_WEIGHT = 0.2
PROBE_DELAY_S = 1.0
PROBE_DELAY_MAXIMUM_S = 8.0
HASH_BYTES = 8


def compute_hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process."""
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    )


class TargetHealth:
    """Latency and failures of a target, and the schedule of its probes.

    `latency` is the moving average, exponentially weighted, of the seconds until
    the first part of an answer, 0 before the first answer. A target that is
    failing or slow is probed by single requests; the delay between probes doubles
    until one is answered in less than half the average latency.
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
        """Record that an attempt was sent."""
        self._pending[attempt] = now

    def record_progress(self, attempt: str, now: float) -> None:
        """Record a part of an answer; the first part updates the latency."""
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
        """Record that an attempt failed and schedule a probe."""
        self._pending.pop(attempt, None)
        self.failures += 1
        self.probe_at = now + self._probe_delay

    def discard(self, attempt: str) -> None:
        """Discard a pending attempt without updating the latency."""
        self._pending.pop(attempt, None)

    def start_probe(self, now: float) -> None:
        """Treat the next attempt as a probe and postpone the following probe."""
        self._is_probing = True
        self._probe_delay = min(self._probe_delay * 2, PROBE_DELAY_MAXIMUM_S)
        self.probe_at = now + self._probe_delay

    def has_pending(self) -> bool:
        """Return whether an attempt is still without the first part of its answer."""
        return bool(self._pending)

    def get_latency(self, now: float) -> float:
        """Return the latency, or the time without progress if that is longer."""
        if not self._pending:
            return self.latency
        oldest = next(iter(self._pending.values()))
        return max(self.latency, now - max(oldest, self._progress_at))


class TargetView:
    """State of a target as one entry knows it.

    `outstanding` counts this entry's own attempts. `reported_others` counts the
    attempts of other entries in the last load report, which arrived at
    `reported_at`. `heard_at` is the time of the last message of any kind, `lost_at`
    the time at which the link was last lost. A target is reserved while a suspect
    request runs there in isolation.
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
        """Update the load from a report and end the effect of a refusal."""
        self.limit = max(limit, 1)
        self.reported_others = max(running - self.outstanding, 0)
        self.reported_at = now
        self._refused_at = None

    def record_refusal(self, now: float) -> None:
        """Treat the target as full until its next report, at most `REFUSAL_HOLD_S`.

        The time limit applies when the report is lost.
        """
        self._refused_at = now

    def get_load(self, now: float) -> float:
        """Return the estimated number of running attempts.

        A report has full weight for `REPORT_FRESH_S`, then its weight falls to 0 at
        `REPORT_LIFETIME_S`, so that a target whose reports are lost does not count
        as full forever.
        """
        age = now - self.reported_at - REPORT_FRESH_S
        span = REPORT_LIFETIME_S - REPORT_FRESH_S
        weight = min(max(1.0 - age / span, 0.0), 1.0)
        return self.outstanding + self.reported_others * weight

    def get_utilisation(self, now: float) -> float:
        """Return the load as a fraction of the limit."""
        return self.get_load(now) / self.limit

    def has_room(self, now: float) -> bool:
        """Return whether another attempt may be sent."""
        if not self.is_open or self.leaving or self.is_reserved:
            return False
        if self._refused_at is not None and now - self._refused_at < REFUSAL_HOLD_S:
            return False
        return self.get_load(now) < self.limit

    def is_silent(self, now: float) -> bool:
        """Return whether the heartbeats of the target are overdue."""
        return now - self.heard_at > SILENCE_S

    def is_reconnecting(self, now: float) -> bool:
        """Return whether the link was lost recently enough to be expected back."""
        return not self.is_open and now - self.lost_at < RECONNECT_GRACE_S

    def find_version(self, versions: Sequence[str]) -> str | None:
        """Return the first of the wanted versions that the target has loaded.

        Return an empty string when no version is wanted, as for a plain service.
        """
        if not versions:
            return ""
        return next((item for item in versions if item in self.versions), None)
