"""What the outcomes of requests say of a runner.

Answers the load pattern in which a runner fails a part of its requests, or goes
silent, while its health check is good: evidence gathers from each outcome, and
loses weight with time, so that the runner comes back carefully by itself.
"""

from __future__ import annotations

# Seconds in which evidence loses half of its weight; a runner that restarts is
# away for some seconds.
HALF_LIFE_S = 2.0
# Evidence that a success takes away, as a part of what there is.
SUCCESS_FACTOR = 0.5
# A refused connection or a reset tells more than one failed request does.
FAILURE_WEIGHT = 1.0
UNREACHABLE_WEIGHT = 3.0
# From here on only single requests go to the runner, as probes.
EJECTION_SCORE = 2.5
PROBE_DELAY_S = 0.5
PROBE_DELAY_MAXIMUM_S = 4.0
# Seconds of expected wait that one unit of evidence counts for in a choice.
PENALTY_PER_POINT_S = 0.15


class RunnerHealth:
    """Evidence against one runner; times are seconds of a steady clock."""

    __slots__ = ("_score", "_updated_at", "_probe_at", "_probe_delay")

    def __init__(self) -> None:
        self._score = 0.0
        self._updated_at = 0.0
        self._probe_at = 0.0
        self._probe_delay = PROBE_DELAY_S

    def get_failure_score(self, now: float) -> float:
        """Return the evidence, aged."""
        if not self._score:
            return 0.0
        return self._score * 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)

    def get_penalty(self, now: float) -> float:
        """Return the seconds of wait that the evidence counts for."""
        return self.get_failure_score(now) * PENALTY_PER_POINT_S

    def record_success(self, now: float) -> None:
        """Take in an answer."""
        self._set(self.get_failure_score(now) * SUCCESS_FACTOR, now)
        if self._score < EJECTION_SCORE:
            self._probe_delay = PROBE_DELAY_S

    def record_failure(self, now: float, weight: float = FAILURE_WEIGHT) -> None:
        """Take in a request that failed at the runner."""
        was_avoided = self.is_ejected(now)
        self._set(self.get_failure_score(now) + weight, now)
        if self.is_ejected(now):
            if was_avoided:
                self._probe_delay = min(self._probe_delay * 2, PROBE_DELAY_MAXIMUM_S)
            self._probe_at = now + self._probe_delay

    def _set(self, score: float, now: float) -> None:
        self._score = score
        self._updated_at = now

    def is_ejected(self, now: float) -> bool:
        """Tell whether only probes may go to the runner."""
        return self.get_failure_score(now) >= EJECTION_SCORE

    def is_probe_due(self, now: float) -> bool:
        """Tell whether a single request may try the runner."""
        return now >= self._probe_at

    def record_probe(self, now: float) -> None:
        """Put off the next probe."""
        self._probe_at = now + self._probe_delay
