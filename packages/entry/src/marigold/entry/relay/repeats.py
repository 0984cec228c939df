"""Budget of what is sent to a second runner.

Answers the load pattern in which many runners fail at once and every request is
sent again: what all entries send again stays below a part of the requests. Each
entry keeps to that part of its own requests, so that no agreement is needed, and
to a share of what is allowed beyond it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque

# The part of the allowed ratio that is used; windows of the platform slide and
# its counts may lag behind those of an entry.
RATIO_USED = 0.8
# Share of the extra repeats that one entry takes; deployments have up to 64.
EXTRA_SHARE = 1 / 64


class RepeatPolicy(ABC):
    """Policy that says whether a request may be sent to another runner."""

    @abstractmethod
    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""

    @abstractmethod
    def take(self, service: str, now: float) -> bool:
        """Tell whether a repeat may be made now, and count it."""


class _Window:
    __slots__ = ("repeats", "requests")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def drop_before(self, limit: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < limit:
                times.popleft()


class SlidingRepeatBudget(RepeatPolicy):
    """Repeats within a sliding window, in proportion to requests in it.

    `ratio` and `extra` are what all entries together may make in any `window`
    seconds. The budget of the product's own interface loses weight exponentially
    and so bounds no window.
    """

    __slots__ = ("_windows", "extra", "ratio", "window")

    def __init__(
        self, ratio: float = 0.0, extra: float = 0.0, window: float = 1.0
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window = window
        self._windows: dict[str, _Window] = {}

    def _get(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now - self.window)
        return window

    def note_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._get(service, now).requests.append(now)

    def take(self, service: str, now: float) -> bool:
        """Tell whether a repeat may be made now, and count it."""
        window = self._get(service, now)
        allowed = self.extra * EXTRA_SHARE
        allowed += self.ratio * RATIO_USED * len(window.requests)
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(now)
        return True
