"""Retry budget, which bounds the retries in proportion to the requests.

Without it, a failure of many runners at once would make every request a retry. The
hub of a cell keeps the budget for its entries (`marigold.entry.hub.budget`). An entry
without a hub uses a fraction of its own requests, which needs no coordination.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

# Fraction of the ratio that an entry without a hub uses for its own requests. With the
# fraction that hubs use, the total is at most four fifths of the ratio: the platform
# uses sliding windows, and its counts may lag.
LOCAL_RATIO_FRACTION = 0.2


class RetryLimiter(ABC):
    """Policy that decides whether a request may be retried at another runner."""

    @abstractmethod
    def count_request(self, service: str, now: float, count: int = 1) -> None:
        """Count requests of callers in the current window."""

    @abstractmethod
    def take(self, service: str, now: float) -> bool:
        """Return whether a retry is allowed now; count it if so."""


class _Window:
    __slots__ = ("count", "requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[tuple[float, int]] = deque()
        self.retries: deque[float] = deque()
        self.count = 0

    def drop_before(self, limit: float) -> None:
        while self.requests and self.requests[0][0] < limit:
            self.count -= self.requests.popleft()[1]
        while self.retries and self.retries[0] < limit:
            self.retries.popleft()


class SlidingRetryBudget(RetryLimiter):
    """Retry budget over a sliding window, in proportion to the requests in it.

    `ratio` is the number of retries per request that all entries together may make in
    any `window` seconds, `ratio_part` the fraction of it that this budget uses; `extra`
    is allowed on top. The budget in `marigold.entry.routing.retries` decays
    exponentially, and so does not bound any window.
    """

    __slots__ = ("_ratio_part", "_windows", "extra", "ratio", "window")

    def __init__(
        self,
        ratio: float = 0.0,
        extra: float = 0.0,
        window: float = 1.0,
        ratio_part: float = LOCAL_RATIO_FRACTION,
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window
        self._ratio_part = ratio_part
        self._windows: dict[str, _Window] = {}

    def _get(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now - self.window)
        return window

    def count_request(self, service: str, now: float, count: int = 1) -> None:
        """Count requests of callers in the current window."""
        window = self._get(service, now)
        window.requests.append((now, count))
        window.count += count

    def take(self, service: str, now: float) -> bool:
        """Return whether a retry is allowed now; count it if so."""
        window = self._get(service, now)
        allowed = self.extra + self.ratio * self._ratio_part * window.count
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True
