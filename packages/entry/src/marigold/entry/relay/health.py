"""Outlier detection of runners from the outcomes of requests.

A runner may fail a part of its requests, or send nothing, while its health check
passes. Each failure adds to a score that decays with time, so that an ejected runner
is probed with single requests and becomes eligible again without an operator.
"""

from __future__ import annotations

# Half-life of the failure score; a restart of a runner takes some seconds.
HALF_LIFE_S = 2.0
# Factor applied to the failure score on each success.
SUCCESS_FACTOR = 0.5
# Scores of a failed request and of a runner that could not be reached, which is
# stronger evidence.
FAILURE_WEIGHT = 1.0
UNREACHABLE_WEIGHT = 3.0
# Score at which a runner is ejected: it gets only single requests, as probes.
EJECTION_SCORE = 2.5
PROBE_DELAY_S = 0.5
PROBE_DELAY_MAXIMUM_S = 4.0
# Seconds that one point of the score adds to the expected wait in placement.
PENALTY_PER_POINT_S = 0.15


class RunnerHealth:
    """Failure score of one runner; times are seconds of a steady clock.

    The next probe is due at `probe_at`.
    """

    __slots__ = ("_probe_delay", "_score", "_updated_at", "probe_at")

    def __init__(self) -> None:
        self._score = 0.0
        self._updated_at = 0.0
        self.probe_at = 0.0
        self._probe_delay = PROBE_DELAY_S

    def get_failure_score(self, now: float) -> float:
        """Return the failure score, decayed to `now`."""
        if not self._score:
            return 0.0
        return self._score * 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)

    def get_penalty(self, now: float) -> float:
        """Return the seconds that the score adds to the expected wait."""
        return self.get_failure_score(now) * PENALTY_PER_POINT_S

    def record_success(self, now: float) -> None:
        """Record a request that succeeded."""
        self._set(self.get_failure_score(now) * SUCCESS_FACTOR, now)
        if self._score < EJECTION_SCORE:
            self._probe_delay = PROBE_DELAY_S

    def record_failure(self, now: float, weight: float = FAILURE_WEIGHT) -> None:
        """Record a request that failed at the runner."""
        was_ejected = self.is_ejected(now)
        self._set(self.get_failure_score(now) + weight, now)
        if self.is_ejected(now):
            if was_ejected:
                self._probe_delay = min(self._probe_delay * 2, PROBE_DELAY_MAXIMUM_S)
            self.probe_at = now + self._probe_delay

    def _set(self, score: float, now: float) -> None:
        self._score = score
        self._updated_at = now

    def is_ejected(self, now: float) -> bool:
        """Return whether only probes may be sent to the runner."""
        return self.get_failure_score(now) >= EJECTION_SCORE

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe may be sent to the runner."""
        return now >= self.probe_at

    def record_probe(self, now: float) -> None:
        """Record a probe and schedule the next one."""
        self.probe_at = now + self._probe_delay
