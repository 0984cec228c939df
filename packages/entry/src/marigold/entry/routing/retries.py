"""Retry policies.

A policy does no I/O and receives the current time in seconds and a random number
generator as arguments.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod

from marigold.core.schema.generated.settings import Retries
from marigold.entry.exceptions import Executed
from marigold.entry.routing.calls import (
    LOST_BEFORE_START,
    NOT_ARRIVED,
    UNREACHABLE,
    AttemptFailure,
)

REFUSED_FOR_LOAD = frozenset({"busy", "leaving", "version"})
# The back end provably never received the attempt: a retry is its first load.
NEVER_REACHED_BACK_END = frozenset({LOST_BEFORE_START, NOT_ARRIVED, UNREACHABLE})
MAXIMUM_REFUSALS = 16
BUDGET_WINDOW_S = 10.0


class AttemptHistory:
    """Previous attempts of one request.

    `refusals` counts the attempts that a target refused because of load, `attempts`
    all others. `excluded` are the hosts that further attempts should avoid.
    """

    __slots__ = (
        "_may_have_run",
        "attempts",
        "excluded",
        "is_idempotent",
        "last",
        "refusals",
        "service",
    )

    def __init__(self, service: str, is_idempotent: bool) -> None:
        self.service = service
        self.is_idempotent = is_idempotent
        self.attempts = 0
        self.refusals = 0
        self.excluded: frozenset[str] = frozenset()
        self.last: AttemptFailure | None = None
        self._may_have_run = False

    @property
    def total(self) -> int:
        """Number of attempts, including those refused because of load."""
        return self.attempts + self.refusals

    @property
    def executed(self) -> Executed:
        """Whether the request was executed; "no" if provably no attempt was."""
        return "unknown" if self._may_have_run else "no"

    def is_refused_for_load(self) -> bool:
        """Return whether the last attempt was refused because of load."""
        last = self.last
        return last.executed == "no" and last.reason in REFUSED_FOR_LOAD

    def never_reached_back_end(self) -> bool:
        """Return whether the last attempt provably never reached a back end."""
        return self.last.executed == "no" and self.last.reason in NEVER_REACHED_BACK_END

    def add(self, failure: AttemptFailure, host: str) -> None:
        """Record a failed attempt at a host."""
        self.last = failure
        if failure.executed != "no":
            self._may_have_run = True
        if self.is_refused_for_load():
            self.refusals += 1
        else:
            self.attempts += 1
        if failure.reason != "busy":
            self.excluded |= {host}


class RetryPolicy(ABC):
    """Policy that decides whether and when a failed request is retried."""

    @abstractmethod
    def record_request(self, service: str, now: float) -> None:
        """Record a live request, which adds to the retry budget."""

    @abstractmethod
    def get_delay(
        self,
        history: AttemptHistory,
        time_left: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return the seconds to wait before the next attempt, or None to give up.

        `time_left` is the number of seconds until the deadline of the request.
        """


class NoRetry(RetryPolicy):
    """Baseline policy that never retries."""

    def record_request(self, service: str, now: float) -> None:
        """Ignore the request."""

    def get_delay(
        self,
        history: AttemptHistory,
        time_left: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return None, so that no request is retried."""
        return None


class RetryBudget:
    """Retry budget of one service, as a ratio of its live requests.

    Both counts decay exponentially over `BUDGET_WINDOW_S`, so that a budget left
    unused for an hour cannot become a burst of retries when the service starts
    to fail.
    """

    __slots__ = ("_cfg", "_requests", "_retries", "_updated_at")

    def __init__(self, cfg: Retries, now: float) -> None:
        self._cfg = cfg
        self._requests = 0.0
        self._retries = 0.0
        self._updated_at = now

    def _decay(self, now: float) -> None:
        factor = math.exp((self._updated_at - now) / BUDGET_WINDOW_S)
        self._requests *= factor
        self._retries *= factor
        self._updated_at = now

    def record_request(self, now: float) -> None:
        """Record a live request."""
        self._decay(now)
        self._requests += 1

    def try_acquire(self, now: float) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        self._decay(now)
        cfg = self._cfg
        allowed = max(cfg.budget_floor, cfg.budget_ratio * self._requests)
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True


class BudgetedRetry(RetryPolicy):
    """Exponential backoff with full jitter and a retry budget for each service.

    A refusal because of load proves that nothing was executed and costs the target
    little, so it uses no budget and has no delay: the request keeps its place in
    the queue until a target has capacity and fails after `MAXIMUM_REFUSALS`. An attempt
    that never reached its back end uses no budget either, because all requests that
    waited on a lost link or went to an engine that had just crashed fail together; it
    does count towards `maximum_attempts`, and its delay is jittered.
    """

    def __init__(self, cfg: Retries) -> None:
        self._cfg = cfg
        self._budgets: dict[str, RetryBudget] = {}

    def _get_budget(self, service: str, now: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._cfg, now)
        return budget

    def record_request(self, service: str, now: float) -> None:
        """Add the request to the budget of its service."""
        self._get_budget(service, now).record_request(now)

    def get_delay(
        self,
        history: AttemptHistory,
        time_left: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return a jittered delay while attempts, time and budget remain."""
        if history.last.executed != "no" and not history.is_idempotent:
            return None
        if history.is_refused_for_load():
            return 0.0 if history.refusals < MAXIMUM_REFUSALS else None
        if history.attempts >= self._cfg.maximum_attempts:
            return None
        limit = min(self._cfg.delay * 2**history.attempts, self._cfg.delay_maximum)
        delay = rng.uniform(0, limit)
        if delay >= time_left:
            return None
        if history.never_reached_back_end():
            return delay
        if not self._get_budget(history.service, now).try_acquire(now):
            return None
        return delay
