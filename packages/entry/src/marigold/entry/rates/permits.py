"""Permits that an entry gets from its hub for runners whose rate is limited.

Entries choose the runners of plain services themselves, at the same moment and without
knowing of each other. Where a rate is in force, the hub of the runner's cell counts
for all of them. A permit that was not used expires soon, also while this process is
suspended, as it is counted in boot time.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter as Counts
from collections.abc import Callable, Iterable
from typing import Protocol

from marigold.core.lifecycle import cancel_tasks
from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.core.schema.generated.messages import PermitAsk, PermitGrant, RateNotice
from marigold.entry.rates.runner_rates import RunnerRates
from marigold.entry.rates.state import RateState
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds of boot time after the request for a permit in which it may be used.
PERMIT_LIFETIME_S = 0.5
# Seconds that the hub may take to answer.
ANSWER_TIMEOUT_S = 0.15
# Seconds between two requests for permits of one runner; about one scheduler tick.
ASK_INTERVAL_S = 0.04
# Most permits that are requested at once.
PERMITS_PER_ASK = 2
# Seconds after which a limit is reported to the hub again while answers name it. A new
# hub, or one that another entry told of its end, learns of it.
REPORT_INTERVAL_S = 1.0


class Session(Protocol):
    """Attachment to a hub."""

    is_alive: bool


class EntryRates(RunnerRates):
    """Rates at an entry: by permits of its hub, or by its own share without one.

    `get_session` returns the attachment to the hub, None without one. `covers` returns
    whether a data centre belongs to the own cell; a limited runner elsewhere is left to
    the entries there. `on_permit` is called when a runner may be sent requests, or when
    the hub has refused that, so that others are asked. `count_waiting` returns how many
    requests of a service wait.
    """

    def __init__(
        self,
        get_session: Callable[[], Session | None],
        next_ask_id: Callable[[], int],
        covers: Callable[[str], bool],
        get_share: Callable[[RunnerView], float],
        get_cold: Callable[[str], tuple[float, float]],
        monotonic: Callable[[], float],
        boottime: Callable[[], float],
        rng: random.Random,
        deferred: Counter | None = None,
    ) -> None:
        super().__init__(get_share, get_cold, monotonic, rng, deferred)
        self._get_session = get_session
        self._next_ask_id = next_ask_id
        self._covers = covers
        self._boottime = boottime
        self._asks: set[asyncio.Task[None]] = set()
        # Permits that were requested and not answered yet, by service.
        self._requested: Counts[str] = Counts()
        self.on_permit: Callable[[RunnerView], None] = lambda view: None
        self.count_waiting: Callable[[str], int] = lambda service: 1

    def _get_live_session(self) -> Session | None:
        session = self._get_session()
        return session if session is not None and session.is_alive else None

    def _get_permitting_session(self, view: RunnerView) -> Session | None:
        """Return the session whose hub permits requests to a runner, None without."""
        return None if view.runner.is_engine else self._get_live_session()

    def get_available_at(self, view: RunnerView, now: float) -> float:
        """Return when a runner may be sent a request, infinity for never.

        The hub may have a permit at once, as others do not use all of theirs.
        """
        rate = None if view.rate is None else view.rate.get_rate(now)
        if rate is None:
            return now
        if not rate or not self._covers(view.runner.data_centre):
            return math.inf
        if self._get_permitting_session(view) is not None:
            return now
        return super().get_available_at(view, now)

    def _get_fraction(self, view: RunnerView) -> float:
        if not self._covers(view.runner.data_centre):
            return 0.0
        is_permitted = self._get_permitting_session(view) is not None
        return 1.0 if is_permitted else super()._get_fraction(view)

    def _can_take(self, view: RunnerView, state: RateState, now: float) -> bool:
        if not self._covers(view.runner.data_centre):
            return False
        session = self._get_permitting_session(view)
        if session is None:
            return super()._can_take(view, state, now)
        if self._get_usable(state):
            return True
        self._ask(session, view, state, now)
        return False

    def _take(self, view: RunnerView, state: RateState) -> None:
        if self._get_usable(state):
            state.permits.pop()
        else:
            super()._take(view, state)

    def _get_usable(self, state: RateState) -> list[float]:
        """Return the times at which the usable permits for a runner expire."""
        if state.permits:
            now = self._boottime()
            state.permits = [at for at in state.permits if at > now]
        return state.permits

    def _ask(
        self, session: Session, view: RunnerView, state: RateState, now: float
    ) -> None:
        if now - state.asked_at < ASK_INTERVAL_S:
            return
        # What no request here can use is lost for the other entries.
        service = view.runner.service
        missing = max(self.count_waiting(service), 1) - self._requested[service]
        if missing <= 0:
            return
        state.asked_at = now
        if state.named is not None and state.reported[0] is not session:
            # A new hub knows of no limit, and would permit any number.
            self._report(session, view, state)
        count = min(missing, PERMITS_PER_ASK)
        self._requested[service] += count
        task = asyncio.create_task(self._request(session, view, state, count))
        self._asks.add(task)
        task.add_done_callback(self._asks.discard)

    async def _request(
        self, session: Session, view: RunnerView, state: RateState, count: int
    ) -> None:
        ask_id = self._next_ask_id()
        expires_at = self._boottime() + PERMIT_LIFETIME_S
        replies = session.open_replies(ask_id)
        try:
            session.channel.put(
                PermitAsk(
                    ask=ask_id,
                    runner=view.id,
                    started=view.runner.started_ms,
                    count=count,
                )
            )
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await replies.get()
        except TimeoutError:
            session.report_unanswered()
            log.routine("permit_unanswered", runner=view.id)
            return
        finally:
            session.close_replies(ask_id)
            self._requested[view.runner.service] -= count
        if not isinstance(answer, PermitGrant):
            return
        if answer.count == count:
            # The runner takes more than is requested in an interval.
            state.asked_at = -math.inf
        state.permits = [*self._get_usable(state), *[expires_at] * answer.count]
        self.on_permit(view)

    def record_answer(
        self, view: RunnerView, limit: float | None, sent_at: float
    ) -> None:
        """Apply the limit in an answer, and report it to the hub."""
        if limit is None and view.rate is None:
            return
        self.record_limit(view, limit, sent_at)
        state, session = view.rate, self._get_live_session()
        if state is None or session is None:
            return
        now = self._monotonic()
        hub, reported, reported_at = state.reported
        is_known = hub is session and reported == state.named
        if is_known and (state.named is None or now - reported_at < REPORT_INTERVAL_S):
            return
        if hub is None and state.named is None:
            return
        self._report(session, view, state)

    def make_notices(self, views: Iterable[RunnerView]) -> list[RateNotice]:
        """Return the limits of runners that a hub must know when it takes over."""
        return [
            RateNotice(
                runner=view.id, started=view.runner.started_ms, rate=view.rate.named
            )
            for view in views
            if view.rate is not None and view.rate.named is not None
        ]

    def _report(self, session: Session, view: RunnerView, state: RateState) -> None:
        state.reported = (session, state.named, self._monotonic())
        session.channel.put(
            RateNotice(runner=view.id, started=view.runner.started_ms, rate=state.named)
        )

    async def stop(self) -> None:
        """End all requests for permits."""
        await cancel_tasks(*self._asks)
