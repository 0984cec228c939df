"""Request rates of runners as a scheduler applies them.

They answer runners that come back cold while their full share of the traffic waits,
and runners that name a limit far below it. The permitted rate is divided by entries: a
hub holds the shares of the entries that are attached to it, an entry without a hub its
own. The sum over all holders is the whole rate also with two hubs, without a hub, or
with a data centre cut off.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.entry.rates.state import RateState
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)


class RunnerRates:
    """Decides whether a runner may be sent one more request now.

    `get_share` returns the share of a runner's rate that this process holds, and
    `get_cold` for how many seconds a runner of a service is cold after its start, and
    how many requests per second it tolerates then, 0 for any number.
    """

    def __init__(
        self,
        get_share: Callable[[RunnerView], float],
        get_cold: Callable[[str], tuple[float, float]],
        monotonic: Callable[[], float],
        rng: random.Random,
        deferred: Counter | None = None,
    ) -> None:
        self._rng = rng
        self._get_share = get_share
        self._get_cold = get_cold
        self._monotonic = monotonic
        self._deferred = deferred
        # Returns the view of a runner in another directory of this process. A hub that
        # becomes active learns there since when the process has known a runner.
        self.find_known: Callable[[str], RunnerView | None] = lambda id: None

    def may_start(self, view: RunnerView, now: float) -> bool:
        """Return whether a runner may be sent a request."""
        state = view.rate
        if state is None:
            return True
        cause = state.get_cause(now)
        if cause is None or self._can_take(view, state, now):
            return True
        if self._deferred is not None:
            self._deferred.add(cause)
        return False

    def _can_take(self, view: RunnerView, state: RateState, now: float) -> bool:
        return state.can_take(self._get_share(view), now)

    def record_start(self, view: RunnerView, now: float) -> None:
        """Count a request that is sent to a runner."""
        if view.rate is not None and view.rate.get_cause(now) is not None:
            self._take(view, view.rate)

    def _take(self, view: RunnerView, state: RateState) -> None:
        state.take()

    def get_available_at(self, view: RunnerView, now: float) -> float:
        """Return when a runner may be sent a request, infinity for never."""
        state = view.rate
        if state is None or state.get_cause(now) is None:
            return now
        return now + state.get_wait(self._get_share(view), now)

    def get_total(self, views: Iterable[RunnerView], now: float) -> float:
        """Return the requests per second that all runners take, infinity for any."""
        total = 0.0
        for view in views:
            rate = None if view.rate is None else view.rate.get_rate(now)
            if rate is None:
                return math.inf
            total += rate * self._get_fraction(view)
        return total

    def _get_fraction(self, view: RunnerView) -> float:
        """Return the fraction of a runner's rate that this process may use."""
        return self._get_share(view)

    def record_listing(self, view: RunnerView, is_new_start: bool) -> None:
        """Apply what the list says of a runner that appeared or changed.

        `is_new_start` is set if the runner appeared after the first list. One that does
        not say whether it is cold is taken to be so then.
        """
        cold_start, cold_rate = self._get_cold(view.runner.service)
        now = self._monotonic()
        remaining = self._get_remaining(view, cold_start if is_new_start else 0.0, now)
        if not cold_rate or (remaining <= 0 and view.rate is None):
            return
        state = self._get_state(view, now)
        was_cold = now < state.cold_until
        state.cold_rate = cold_rate
        state.cold_until = now + remaining
        if remaining > 0 or was_cold:
            log.routine(
                "runner_cold",
                runner=view.id,
                remaining=remaining,
                rate=cold_rate,
                share=self._get_share(view),
            )

    def _get_remaining(self, view: RunnerView, usual: float, now: float) -> float:
        """Return for how many seconds a listed runner is still cold."""
        known = self.find_known(view.id)
        if known is not None and known.runner == view.runner:
            return 0.0 if known.rate is None else max(known.rate.cold_until - now, 0.0)
        remaining = view.runner.cold_remaining
        return usual if remaining < 0 else remaining

    def record_limit(
        self, view: RunnerView, limit: float | None, sent_at: float = math.inf
    ) -> bool:
        """Apply the limit in an answer, None without one; return whether it changed.

        Only an answer to a request that was sent, at `sent_at`, after the limit was
        last named ends it: answers overtake each other. NaN is a limit that could not
        be read, and changes nothing.
        """
        if limit is None and (view.rate is None or view.rate.named is None):
            return False
        now = self._monotonic()
        state = self._get_state(view, now)
        before = state.named
        if limit is None:
            if sent_at <= state.named_at:
                return False
            state.named = None
            log.event(
                "rate_ended",
                runner=view.id,
                rate=before,
                age=now - state.named_at,
            )
            return True
        if math.isnan(limit):
            return False
        state.named_at = now
        if limit == before:
            return False
        state.named = limit
        log.event(
            "rate_named" if before is None else "rate_changed",
            runner=view.id,
            rate=limit,
            before=before,
            share=self._get_share(view),
        )
        return True

    def _get_state(self, view: RunnerView, now: float) -> RateState:
        if view.rate is None:
            # Entries that lose their hub together start at different levels, or all
            # would send their first request at the same moment.
            view.rate = RateState(now, -self._rng.random())
        return view.rate
