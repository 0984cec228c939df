"""Budget of what is sent to a second runner.

Answers the load pattern in which many runners fail at once and every request is
sent again: what all entries send again stays below a part of the requests. The hub
of a cell counts for its entries (`marigold.entry.hub.budget`); an entry without a
hub keeps to a part of its own requests, so that no agreement is needed.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

# The part of the ratio that an entry without a hub uses for its own requests. With
# the part that hubs use, four fifths of it are used at most: windows of the platform
# slide, and its counts may lag behind.
LOCAL_RATIO_FRACTION = 0.2


class RetryLimiter(ABC):
    """Policy that says whether a request may be sent to another runner."""

    @abstractmethod
    def count_request(self, service: str, now: float, count: int = 1) -> None:
        """Count requests of callers."""

    @abstractmethod
    def take(self, service: str, now: float) -> bool:
        """Tell whether a repeat may be made now, and count it."""


class _Window:
    __slots__ = ("count", "retries", "requests")

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
    """Repeats within a sliding window, in proportion to requests in it.

    `ratio` is what all entries together may make in any `window` seconds for each
    request, and `ratio_part` the part of it that this budget uses; `extra` comes on
    top. The budget of the product's own interface loses weight exponentially and so
    bounds no window.
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
        """Count requests of callers."""
        window = self._get(service, now)
        window.requests.append((now, count))
        window.count += count

    def take(self, service: str, now: float) -> bool:
        """Tell whether a repeat may be made now, and count it."""
        window = self._get(service, now)
        allowed = self.extra + self.ratio * self._ratio_part * window.count
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True
