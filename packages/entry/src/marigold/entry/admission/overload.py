"""Estimate of how long a request would wait, so that it can be refused at once."""

from __future__ import annotations

import math

# Admissions lose their weight in the estimate over this time.
MEMORY_S = 2.0
# Nothing is estimated until requests have waited for this long without a break.
MINIMUM_BUSY_S = 1.0


class _Drain:
    """Admissions since a time, weighted by age."""

    __slots__ = ("_at", "_count", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self._at = now
        self._count = 0.0

    def add(self, now: float) -> None:
        self._count = self._fade(now) + 1.0
        self._at = now

    def _fade(self, now: float) -> float:
        return self._count * math.exp((self._at - now) / MEMORY_S)

    def get_rate(self, now: float) -> float:
        """Return the admissions a second, 0 when too little is known."""
        if now - self.since < MINIMUM_BUSY_S:
            return 0.0
        known = 1.0 - math.exp((self.since - now) / MEMORY_S)
        return self._fade(now) / (MEMORY_S * known)


class WaitEstimator:
    """Admissions a second of each customer of one service while it waits.

    A customer that began to wait a moment ago counts on an equal part of what
    all customers get.
    """

    def __init__(self) -> None:
        self._drains: dict[str, _Drain] = {}
        self._all: _Drain | None = None

    def begin_wait(self, customer: str, now: float) -> None:
        """Take in that a customer waits."""
        if self._all is None:
            self._all = _Drain(now)
        if customer not in self._drains:
            self._drains[customer] = _Drain(now)

    def end_wait(self, customer: str) -> None:
        """Take in that a customer waits no more."""
        self._drains.pop(customer, None)
        if not self._drains:
            self._all = None

    def restart(self, now: float) -> None:
        """Forget what was seen, since what held admissions up was not load."""
        if self._all is not None:
            self._all = _Drain(now)
        self._drains = {customer: _Drain(now) for customer in self._drains}

    def record_admission(self, customer: str, now: float) -> None:
        """Count an admission."""
        drain = self._drains.get(customer)
        if drain is not None and self._all is not None:
            drain.add(now)
            self._all.add(now)

    def estimate(self, customer: str, ahead: int, now: float) -> float:
        """Return the seconds that a request behind `ahead` others would wait.

        Return 0 when too little is known.
        """
        drain = self._drains.get(customer)
        rate = drain.get_rate(now) if drain is not None else 0.0
        if not rate and self._all is not None:
            rate = self._all.get_rate(now) / max(len(self._drains), 1)
        return (ahead + 1) / rate if rate > 0 else 0.0
