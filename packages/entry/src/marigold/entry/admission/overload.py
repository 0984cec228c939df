"""Wait estimates, by which requests that would wait too long are refused at once."""

from __future__ import annotations

import math

# Time constant with which the weight of an admission decays.
WINDOW_S = 2.0
# No estimate is made until requests have been waiting for this long continuously.
MINIMUM_BUSY_S = 1.0


class _AdmissionRate:
    """Exponentially weighted rate of admissions since a start time."""

    __slots__ = ("_at", "_count", "since")

    def __init__(self, now: float) -> None:
        self.since = now
        self._at = now
        self._count = 0.0

    def add(self, now: float) -> None:
        self._count = self._decay(now) + 1.0
        self._at = now

    def _decay(self, now: float) -> float:
        return self._count * math.exp((self._at - now) / WINDOW_S)

    def get_rate(self, now: float) -> float:
        """Return the admissions a second, 0 while too little is known."""
        if now - self.since < MINIMUM_BUSY_S:
            return 0.0
        known = 1.0 - math.exp((self.since - now) / WINDOW_S)
        return self._decay(now) / (WINDOW_S * known)


class WaitEstimator:
    """Estimates waits from each customer's rate of admissions to one service.

    A customer whose rate is not known yet is estimated to get an equal part of the
    rate of all customers.
    """

    def __init__(self) -> None:
        self._rates: dict[str, _AdmissionRate] = {}
        self._all: _AdmissionRate | None = None

    def begin_wait(self, customer: str, now: float) -> None:
        """Record that a customer has waiting requests."""
        if self._all is None:
            self._all = _AdmissionRate(now)
        if customer not in self._rates:
            self._rates[customer] = _AdmissionRate(now)

    def end_wait(self, customer: str) -> None:
        """Record that a customer has no more waiting requests."""
        self._rates.pop(customer, None)
        if not self._rates:
            self._all = None

    def reset(self, now: float) -> None:
        """Discard the rates, because something other than load held up admissions."""
        if self._all is not None:
            self._all = _AdmissionRate(now)
        self._rates = {customer: _AdmissionRate(now) for customer in self._rates}

    def record_admission(self, customer: str, now: float) -> None:
        """Record an admission."""
        rate_estimate = self._rates.get(customer)
        if rate_estimate is not None and self._all is not None:
            rate_estimate.add(now)
            self._all.add(now)

    def estimate(self, customer: str, ahead: int, now: float) -> float:
        """Return the expected wait in seconds of a request behind `ahead` others.

        Return 0 while too little is known.
        """
        rate_estimate = self._rates.get(customer)
        rate = rate_estimate.get_rate(now) if rate_estimate is not None else 0.0
        if not rate and self._all is not None:
            rate = self._all.get_rate(now) / max(len(self._rates), 1)
        return (ahead + 1) / rate if rate > 0 else 0.0
