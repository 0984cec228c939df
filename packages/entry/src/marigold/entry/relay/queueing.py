"""How requests wait at an entry, and which of them are refused.

Answers the load pattern in which more arrives than runners can take: requests
that can still be in time go before those that cannot, less urgent ones never
before more urgent ones, and what cannot be served before its caller leaves is
refused at once. Late requests still run when there is room. Among those that can
be in time the newest goes first: in the order of arrival each would wait until it
is just about late, and so all would be.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque

from marigold.entry.relay.requests import PlacementRequest

# Every so many turns the oldest waiting request goes first within its
# precedence, so that a long overload does not starve what is late.
OLDEST_FIRST_INTERVAL = 6
# Seconds that a start may take beyond what is expected for a request to count as
# one that can be in time; about two passes of an engine.
IN_TIME_MARGIN_S = 0.1
# Seconds over which the rate of starts is measured.
RATE_WINDOW_S = 1.0
# Seconds between which Retry-After lies; callers wait a third of their remaining
# time at most.
RETRY_MINIMUM_S = 0.2
RETRY_MAXIMUM_S = 2.0
# Retry-After is spread by this part, so that refused callers do not come at once.
RETRY_JITTER = 0.5


class QueueOrder(ABC):
    """Policy that says which waiting request is next."""

    @abstractmethod
    def pick(
        self, waiting: list[PlacementRequest], expected_start: float, now: float
    ) -> PlacementRequest:
        """Return one of the requests, of which there is at least one.

        `expected_start` is the seconds that a start takes once it is sent.
        """


class DeadlineAwareOrder(QueueOrder):
    """Precedence, then what can be in time, newest first, then what is late."""

    __slots__ = ("_picks",)

    def __init__(self) -> None:
        self._picks = 0

    def pick(
        self, waiting: list[PlacementRequest], expected_start: float, now: float
    ) -> PlacementRequest:
        """Return the request to start next."""
        self._picks += 1
        if self._picks % OLDEST_FIRST_INTERVAL == 0:
            return min(waiting, key=lambda item: (item.precedence, item.arrived_at))
        latest = now + expected_start + IN_TIME_MARGIN_S
        return min(waiting, key=lambda item: _get_sort_key(item, latest))


def _get_sort_key(req: PlacementRequest, latest: float) -> tuple[int, bool, float]:
    is_late = latest > req.soft_deadline
    arrived_at = req.arrived_at if is_late else -req.arrived_at
    return req.precedence, is_late, arrived_at


class StartRate:
    """Starts a second at this entry while requests wait.

    It is known once it was measured over `RATE_WINDOW_S`, in which some runner could
    start a request: what a pause of all of them held up says nothing of the time
    after it.
    """

    __slots__ = ("_since", "_starts")

    def __init__(self, now: float) -> None:
        self._since = now
        self._starts: deque[float] = deque()

    def restart(self, now: float) -> None:
        """Take in that no runner can start anything now."""
        self._since = now

    def is_known(self, now: float) -> bool:
        """Tell whether the rate was measured for long enough."""
        return now - self._since >= RATE_WINDOW_S

    def record_start(self, now: float) -> None:
        """Count a start."""
        self._starts.append(now)

    def get(self, now: float) -> float:
        """Return the starts a second, at least one."""
        while self._starts and self._starts[0] < now - RATE_WINDOW_S:
            self._starts.popleft()
        return max(len(self._starts) / RATE_WINDOW_S, 1.0)


class DeadlineAdmission:
    """Says whether a waiting request can still be served.

    Example: with 30 requests ahead and 12 starts a second a stream would wait for
    2.5 s, longer than its caller stays; it is refused when it arrives.
    """

    __slots__ = ()

    def estimate_wait(self, ahead: int, rate: float) -> float:
        """Return the seconds until the request is sent."""
        return (ahead + 1) / rate

    def is_admissible(
        self,
        req: PlacementRequest,
        ahead: int,
        rate: float,
        expected_start: float,
        now: float,
    ) -> bool:
        """Tell whether the answer can begin before the caller leaves."""
        ready_at = now + self.estimate_wait(ahead, rate) + expected_start
        return ready_at < req.start_deadline

    def can_start_in_time(
        self, req: PlacementRequest, expected_start: float, now: float
    ) -> bool:
        """Tell whether the answer could begin in time if it were sent now."""
        return now + expected_start < req.start_deadline

    def get_retry_after(self, waiting: int, rate: float, rng: random.Random) -> float:
        """Return the seconds after which there will be room, spread a little."""
        backlog = waiting / rate
        seconds = min(max(backlog, RETRY_MINIMUM_S), RETRY_MAXIMUM_S)
        return self.add_jitter(seconds, rng)

    def add_jitter(self, seconds: float, rng: random.Random) -> float:
        """Return a time at which not all callers come back at once."""
        return seconds * (1.0 + RETRY_JITTER * rng.random())
