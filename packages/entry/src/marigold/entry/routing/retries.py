"""Whether and when a failed attempt is followed by another.

A policy does no input or output; it takes the time in seconds and a source of
random numbers as arguments.
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
# It is proved that the back end never had the attempt: the next one is its first load.
NEVER_ARRIVED = frozenset({LOST_BEFORE_START, NOT_ARRIVED, UNREACHABLE})
MAXIMUM_REFUSALS = 16
BUDGET_WINDOW_S = 10.0


class AttemptHistory:
    """The attempts of one request so far.

    `attempts` leaves out those that a target refused for load, which are counted
    by `refusals`. `excluded` are the hosts that another attempt shall not go to.
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
        """Number of attempts with those refused for load."""
        return self.attempts + self.refusals

    @property
    def executed(self) -> Executed:
        """Whether the request was run; "no" when every attempt is proved unrun."""
        return "unknown" if self._may_have_run else "no"

    def is_refused_for_load(self) -> bool:
        """Tell whether the last attempt was refused because of load."""
        last = self.last
        return last.executed == "no" and last.reason in REFUSED_FOR_LOAD

    def has_never_arrived(self) -> bool:
        """Tell whether the last attempt is proved not to have reached a back end."""
        return self.last.executed == "no" and self.last.reason in NEVER_ARRIVED

    def add(self, failure: AttemptFailure, host: str) -> None:
        """Take in a failed attempt at a host."""
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
    """Policy that decides about another attempt."""

    @abstractmethod
    def on_request(self, service: str, now: float) -> None:
        """Count a live request, which adds to the budget."""

    @abstractmethod
    def get_delay(
        self,
        history: AttemptHistory,
        time_left: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return the seconds to wait before another attempt, None for none.

        `time_left` is in seconds until the deadline of the request.
        """


class NoRetry(RetryPolicy):
    """Baseline: one attempt for each request."""

    def on_request(self, service: str, now: float) -> None:
        """Pass over the request."""

    def get_delay(
        self,
        history: AttemptHistory,
        time_left: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return None."""
        return None


class RetryBudget:
    """Retries of one service as a share of its live requests.

    Both counts lose weight exponentially over `BUDGET_WINDOW_S`, so that what a
    quiet hour left unused cannot fall on a service that starts to fail.
    """

    __slots__ = ("_at", "_cfg", "_requests", "_retries")

    def __init__(self, cfg: Retries, now: float) -> None:
        self._cfg = cfg
        self._requests = 0.0
        self._retries = 0.0
        self._at = now

    def _age(self, now: float) -> None:
        factor = math.exp((self._at - now) / BUDGET_WINDOW_S)
        self._requests *= factor
        self._retries *= factor
        self._at = now

    def add_request(self, now: float) -> None:
        """Count a live request."""
        self._age(now)
        self._requests += 1

    def take(self, now: float) -> bool:
        """Take one retry; tell whether the budget had one."""
        self._age(now)
        cfg = self._cfg
        allowed = max(cfg.budget_floor, cfg.budget_ratio * self._requests)
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True


class BudgetedRetry(RetryPolicy):
    """Retries with full jitter, under a budget for each service.

    A refusal for load proves that nothing was run and costs the target little,
    so that it uses no budget; the request waits in its place until a target has
    room, and is given up on after `MAXIMUM_REFUSALS`. An attempt that never
    reached its back end uses no budget either, as all that waited on a lost link,
    or went to an engine that had just ended, comes back at once; it counts among
    the attempts, and its delay is jittered.
    """

    def __init__(self, cfg: Retries) -> None:
        self._cfg = cfg
        self._budgets: dict[str, RetryBudget] = {}

    def _get_budget(self, service: str, now: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._cfg, now)
        return budget

    def on_request(self, service: str, now: float) -> None:
        """Add a share of a retry to the budget of the service."""
        self._get_budget(service, now).add_request(now)

    def get_delay(
        self,
        history: AttemptHistory,
        time_left: float,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return a jittered delay while attempts, time and budget last."""
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
        if history.has_never_arrived():
            return delay
        if not self._get_budget(history.service, now).take(now):
            return None
        return delay
