"""Figures about a runner that vary, with their age and spread.

Load answered: hosts that take 2.5 times the usual time for 15 of 100 of the time, in
spells of a tenth of a second. The last figure then says little about the time of the
next request, but the mean of many does.
"""

from __future__ import annotations

import math

# Seconds over which figures lose most of their weight: many spells, and several own
# requests where 48 entries share a runner.
AVERAGING_S = 10.0


class AgedFigure:
    """Mean and spread of the figures of the last seconds; older ones weigh less."""

    __slots__ = ("_squares", "_sum", "_weight", "updated_at")

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum = 0.0
        self._squares = 0.0
        self.updated_at = -math.inf

    def record(self, figure: float, now: float) -> None:
        """Add a figure."""
        kept = self._get_kept(now)
        self._weight = self._weight * kept + 1.0
        self._sum = self._sum * kept + figure
        self._squares = self._squares * kept + figure * figure
        self.updated_at = now

    @property
    def mean(self) -> float | None:
        """Weighted mean of the figures, None without any."""
        return self._sum / self._weight if self._weight else None

    @property
    def spread(self) -> float:
        """Standard deviation of the figures."""
        mean = self.mean
        if mean is None:
            return 0.0
        return math.sqrt(max(self._squares / self._weight - mean * mean, 0.0))

    def get_estimate(self, usual: float, weight: float, now: float) -> float:
        """Return the expected figure; `usual` counts as much as `weight` figures.

        It takes the place of figures as they age.
        """
        kept = self._get_kept(now)
        return (self._sum * kept + usual * weight) / (self._weight * kept + weight)

    def get_age(self, now: float) -> float:
        """Return the seconds since the last figure, infinity without any."""
        return now - self.updated_at

    def _get_kept(self, now: float) -> float:
        return math.exp(-max(now - self.updated_at, 0.0) / AVERAGING_S)
