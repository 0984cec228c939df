"""Measured times from the sending of requests to the first event of their answers.

The cost model of an engine knows nothing of a slow link, of a busy host or of an engine
that is slower than it reports. The mean and the deviation are smoothed as those of a
round trip are (RFC 6298).
"""

from __future__ import annotations

from collections import deque
from statistics import median

# Gains of the mean and of the deviation (RFC 6298, section 2).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
# Deviations above the mean within which nearly all requests begin.
DEVIATIONS = 2.0
# Half-life in seconds of an estimate that no further request confirms, so that a runner
# with slow starts is tried again.
HALF_LIFE_S = 2.0
# Starts on a path that are remembered, for how many seconds, and how many of them tell
# the delay of the path. Its median hides a single runner that is suspended.
PATH_STARTS = 9
PATH_WINDOW_S = 3.0
PATH_STARTS_MINIMUM = 3


class StartDelays:
    """Estimated time to the first event at one runner, in seconds.

        delays = StartDelays()
        delays.record(0.2, now)
        delays.get(now)

    Times are seconds of a steady clock.
    """

    __slots__ = ("_deviation", "_mean", "_recorded_at")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        self._recorded_at = 0.0

    def record(self, seconds: float, now: float) -> None:
        """Record the time to the first event of a request."""
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
        else:
            error = seconds - self._mean
            self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)
            self._mean += MEAN_GAIN * error
        self._recorded_at = now

    def record_minimum(self, seconds: float, now: float) -> None:
        """Record that a request had not begun after some time."""
        if seconds > self.get(now):
            self.record(seconds, now)

    def get(self, now: float) -> float:
        """Return the time in which nearly all requests begin; zero if unknown."""
        if self._mean is None:
            return 0.0
        age = max(now - self._recorded_at, 0.0)
        return (self._mean + DEVIATIONS * self._deviation) * 0.5 ** (age / HALF_LIFE_S)

    def clear(self) -> None:
        """Forget what was measured."""
        self._mean = None


class PathDelays:
    """Usual times to the first event at the runners of each data centre, in seconds.

    They include the path from this process, which other processes do not share.
    """

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[str, deque[tuple[float, float]]] = {}

    def record(self, data_centre: str, seconds: float, now: float) -> None:
        """Record the time to the first event of a request."""
        starts = self._starts.setdefault(data_centre, deque(maxlen=PATH_STARTS))
        starts.append((now, seconds))

    def record_minimum(self, data_centre: str, seconds: float, now: float) -> None:
        """Record that a request had not begun after some time."""
        if seconds > self.get(data_centre, now):
            self.record(data_centre, seconds, now)

    def get(self, data_centre: str, now: float) -> float:
        """Return the time in which half of the requests begin; zero if unknown."""
        starts = self._starts.get(data_centre, ())
        recent = [value for at, value in starts if now - at < PATH_WINDOW_S]
        return median(recent) if len(recent) >= PATH_STARTS_MINIMUM else 0.0
