"""Queue discipline and deadline-based admission of waiting requests.

Under overload, requests that can still meet their latency target run before those
that cannot, and a less urgent request never runs before a more urgent one. A request
that was sent to a runner which then failed or fell silent goes before all others of its
precedence: it has little time left. A request that cannot be served before its caller
leaves is refused at once; late requests still run when there is capacity. Among the
requests that can be in time, the newest runs first: in order of arrival, each would
wait until just past its target, and so all would be late.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable

from marigold.entry.fairness.shares import OrganisationShares
from marigold.entry.relay.requests import PlacementRequest

# Number of picks after which the oldest request of the highest precedence is picked,
# so that a long overload does not starve late requests.
OLDEST_FIRST_INTERVAL = 6
# Seconds of margin on the expected start for a request to count as one that can be in
# time; about two passes of an engine.
IN_TIME_MARGIN_S = 0.1
# Seconds of the sliding window of the start rate.
RATE_WINDOW_S = 1.0
# Bounds of Retry-After in seconds. Callers wait at most a third of their remaining
# time.
RETRY_MINIMUM_S = 0.2
RETRY_MAXIMUM_S = 2.0
# Fraction of Retry-After that is added as jitter, so that refused callers do not all
# return at once.
RETRY_JITTER = 0.5


class QueueOrder(ABC):
    """Policy that picks the next waiting request."""

    @abstractmethod
    def pick(
        self,
        waiting: list[PlacementRequest],
        expected_start: float,
        now: float,
        shares: OrganisationShares | None = None,
    ) -> PlacementRequest:
        """Return one of the requests; `waiting` is not empty.

        `expected_start` is the seconds from sending a request to its start. `shares`
        tells which organisations are underserved.
        """


class DeadlineAwareOrder(QueueOrder):
    """Order by precedence, then in-time requests (newest first), then late ones.

    Among those that are equal but for their times, requests of organisations that are
    underserved go first.
    """

    __slots__ = ("_picks",)

    def __init__(self) -> None:
        self._picks = 0

    def pick(
        self,
        waiting: list[PlacementRequest],
        expected_start: float,
        now: float,
        shares: OrganisationShares | None = None,
    ) -> PlacementRequest:
        """Return the request to start next."""
        self._picks += 1
        if self._picks % OLDEST_FIRST_INTERVAL == 0:
            return min(waiting, key=lambda item: (item.precedence, item.arrived_at))
        latest = now + expected_start + IN_TIME_MARGIN_S
        if shares is not None and shares.underserved:
            return min(
                waiting,
                key=lambda item: _get_sort_key(
                    item, latest, not shares.is_underserved(item)
                ),
            )
        return min(waiting, key=lambda item: _get_sort_key(item, latest))


def _get_sort_key(
    req: PlacementRequest, latest: float, is_served: bool = True
) -> tuple[int, bool, bool, bool, float]:
    is_late = latest > req.soft_deadline
    arrived_at = req.arrived_at if is_late else -req.arrived_at
    return *get_rank(req), is_late, is_served, arrived_at


def get_rank(req: PlacementRequest) -> tuple[int, bool]:
    """Return what orders requests before their times do."""
    return req.precedence, not req.tried


def count_ahead(waiting: Iterable[PlacementRequest], req: PlacementRequest) -> int:
    """Return how many waiting requests may run before another one."""
    rank = get_rank(req)
    return sum(get_rank(item) <= rank for item in waiting)


class StartRate:
    """Requests started per second by this scheduler.

    The rate is known after `RATE_WINDOW_S` in which some runner could start requests.
    Periods in which all runners are paused do not count.
    """

    __slots__ = ("_since", "_starts")

    def __init__(self, now: float) -> None:
        self._since = now
        self._starts: deque[float] = deque()

    def restart(self, now: float) -> None:
        """Restart the measurement, as no runner can start requests now."""
        self._since = now

    def is_known(self, now: float) -> bool:
        """Return whether the rate has been measured over a whole window."""
        return now - self._since >= RATE_WINDOW_S

    def record_start(self, now: float) -> None:
        """Record that a request was started."""
        self._starts.append(now)

    def get(self, now: float) -> float:
        """Return the starts per second, at least one."""
        while self._starts and self._starts[0] < now - RATE_WINDOW_S:
            self._starts.popleft()
        return max(len(self._starts) / RATE_WINDOW_S, 1.0)


class DeadlineAdmission:
    """Decides whether a request can be served before its caller leaves.

    Example: with 30 requests ahead and 12 starts per second, a stream would wait for
    2.5 s, longer than its caller stays, and is refused on arrival.
    """

    __slots__ = ()

    def estimate_wait(self, ahead: int, rate: float) -> float:
        """Return the estimated seconds until the request is sent."""
        return (ahead + 1) / rate

    def is_admissible(
        self,
        req: PlacementRequest,
        ahead: int,
        rate: float,
        expected_start: float,
        now: float,
    ) -> bool:
        """Return whether the answer can begin before the caller leaves."""
        ready_at = now + self.estimate_wait(ahead, rate) + expected_start
        return ready_at < req.start_deadline

    def can_start_in_time(
        self, req: PlacementRequest, expected_start: float, now: float
    ) -> bool:
        """Return whether the answer could begin in time if it were sent now."""
        return now + expected_start < req.start_deadline

    def get_retry_after(self, waiting: int, rate: float, rng: random.Random) -> float:
        """Return the seconds in which the queue will have drained, with jitter."""
        backlog = waiting / rate
        seconds = min(max(backlog, RETRY_MINIMUM_S), RETRY_MAXIMUM_S)
        return self.add_jitter(seconds, rng)

    def add_jitter(self, seconds: float, rng: random.Random) -> float:
        """Return the seconds with jitter, so that callers do not return at once."""
        return seconds * (1.0 + RETRY_JITTER * rng.random())
