"""Scheduling of an entry's requests, through its hub or locally."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigold.core.logging import get_logger
from marigold.core.schema.generated.deployment import Runner
from marigold.core.schema.generated.messages import (
    PlaceBegun,
    PlaceEnd,
    PlaceGrant,
    PlaceQueued,
    PlaceRefusal,
    RepeatAnswer,
    RepeatAsk,
    RunnerLeaving,
)
from marigold.entry.balancing.sizes_switch import PacedServices
from marigold.entry.eligibility.rules import EligibilityRules
from marigold.entry.hub.client import HubClient, HubLostError
from marigold.entry.hub.places import make_place_ask
from marigold.entry.hub.session import HubSession
from marigold.entry.rates.permits import PERMIT_LIFETIME_S
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.exceptions import IneligibleError, NotServedError
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.retry_budget import RetryLimiter
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds that a hub may take to grant a place or to confirm that the request is queued.
# It usually answers within a millisecond; once its processor quota is used up, only in
# the next scheduling period.
ASK_TIMEOUT_S = 0.15
# Retry-After when restrictions exclude every runner of the service. Operators take an
# evacuation back within seconds or not at all.
INELIGIBLE_RETRY_S = 2.0
# Unusable grants in a row after which the entry schedules a request itself.
UNUSABLE_GRANTS_MAXIMUM = 3


class _HeldPlace:
    """A place that the hub granted to a request that is running."""

    __slots__ = ("ask_id", "session")

    def __init__(self, session: HubSession, ask_id: int) -> None:
        self.session = session
        self.ask_id = ask_id


class EntryScheduler:
    """Assigns runners to the requests of one entry.

    The hub assigns model engines, as it tracks the requests of all entries of the cell
    there. Without a hub, and for services without an engine, the local scheduler of
    the entry decides. `get_read_delay` returns for how many seconds input that is read
    now may have waited. With `places_by_size`, requests state their size and deadline
    to the scheduler if the service's runners report a pace.
    """

    def __init__(
        self,
        client: HubClient,
        local: RequestScheduler,
        directory: RunnerDirectory,
        retries: RetryLimiter,
        is_engine: Callable[[str], bool],
        monotonic: Callable[[], float],
        rules: EligibilityRules | None = None,
        get_read_delay: Callable[[], float] = lambda: 0.0,
        places_by_size: bool = False,
    ) -> None:
        self._places_by_size = places_by_size
        self._get_read_delay = get_read_delay
        self.rules = rules or EligibilityRules()
        self._client = client
        self._local = local
        self._directory = directory
        self._paced = PacedServices(directory.get_known)
        self._retries = retries
        self._is_engine = is_engine
        self._monotonic = monotonic
        self._held: dict[RequestContext, _HeldPlace] = {}
        self.get_minimum_version = local.get_minimum_version
        self.get_start_window = local.get_start_window
        self.get_version_window = local.get_version_window

    def record_request(self, ctx: RequestContext) -> None:
        """Record a caller's request for the retry budgets."""
        self._client.record_request(ctx.service)
        self._retries.record_request(ctx.service, self._monotonic())

    async def allow_retry(self, ctx: RequestContext) -> bool:
        """Return whether a request may be retried on another runner, and count it."""
        session = self._client.session
        if session is not None and session.is_alive:
            try:
                answer = await self._request_retry(session, ctx.service)
            except HubLostError as exc:
                log.event("hub_unanswered", request=ctx.id, reason=exc)
            else:
                return answer.allowed
        return self._retries.try_acquire(ctx.service, self._monotonic())

    async def _request_retry(self, session: HubSession, service: str) -> RepeatAnswer:
        ask_id = self._client.next_ask_id()
        replies = session.open_replies(ask_id)
        try:
            session.channel.put(RepeatAsk(ask=ask_id, service=service))
            answer = await _receive_first(session, replies)
        finally:
            session.close_replies(ask_id)
        if not isinstance(answer, RepeatAnswer):
            raise HubLostError(
                f"{session.member.process} sent a reply of the wrong type"
            )
        return answer

    async def acquire(self, ctx: RequestContext) -> RunnerView:
        """Return a runner for a request, which then counts as sent to it.

        Raise `NotServedError` if no runner is available in time.
        """
        self._require_eligible(ctx)
        if self._is_placed_by_size(ctx):
            # How much of an answer is left after an earlier attempt is not known.
            ctx.end_deadline = None if ctx.sends else ctx.deadline
        try:
            return await self._acquire(ctx)
        except NotServedError:
            # An evacuation that began while the request waited is the reason then.
            self._require_eligible(ctx)
            raise

    def _is_placed_by_size(self, ctx: RequestContext) -> bool:
        if not self._places_by_size or not self._is_engine(ctx.service):
            return False
        return self._paced.is_paced(ctx.service, self._monotonic())

    async def _acquire(self, ctx: RequestContext) -> RunnerView:
        session = self._client.session
        if session is None or not session.is_alive:
            return await self._local.acquire(ctx)
        if not self._is_engine(ctx.service):
            return await self._local.acquire(ctx)
        try:
            return await self._acquire_remote(session, ctx)
        except HubLostError as exc:
            log.event("hub_unanswered", request=ctx.id, reason=exc)
            return await self._local.acquire(ctx)

    def _require_eligible(self, ctx: RequestContext) -> None:
        """Raise `IneligibleError` if restrictions exclude every runner."""
        reason = self.rules.find_refusal(ctx, self._directory.get_known(ctx.service))
        if reason is not None:
            raise IneligibleError(
                reason, ctx.regions, self.rules.evacuated, INELIGIBLE_RETRY_S
            )

    async def _acquire_remote(
        self, session: HubSession, ctx: RequestContext
    ) -> RunnerView:
        for _ in range(UNUSABLE_GRANTS_MAXIMUM):
            ask_id = self._client.next_ask_id()
            grant = await self._request_place(session, ctx, ask_id)
            view = self._directory.find(grant.runner)
            now = self._monotonic()
            is_known = view is not None and view.runner.started_ms == grant.started
            is_fit = (
                view is not None
                and is_known
                and _is_usable(view, now)
                and self.rules.find_obstacle(ctx, view) is None
                and not self._is_expired(view, now)
            )
            if view is not None and is_fit:
                if grant.version:
                    # The list of runners shows newly loaded weights a second late.
                    view.version_seen = max(grant.version, view.version_seen or 0)
                view.start(ctx, now)
                self._held[ctx] = _HeldPlace(session, ask_id)
                return view
            outcome = "leaving" if view is not None and view.is_leaving else "unused"
            backoff = max(view.blocked_until - now, 0.0) if view is not None else 0.0
            session.channel.put(
                PlaceEnd(
                    ask=ask_id, outcome="full" if backoff else outcome, hold=backoff
                )
            )
            ctx.tried.add(grant.runner)
            log.event(
                "grant_unfit", request=ctx.id, runner=grant.runner, known=is_known
            )
        raise HubLostError(f"{session.member.process} granted only unusable runners")

    def _is_expired(self, view: RunnerView, now: float) -> bool:
        """Return whether a grant that is read now may be too old for a limited runner.

        All grants that came while this process was suspended would be used at once.
        """
        if view.rate is None or view.rate.get_cause(now) is None:
            return False
        return self._get_read_delay() > PERMIT_LIFETIME_S

    async def _request_place(
        self, session: HubSession, ctx: RequestContext, ask_id: int
    ) -> PlaceGrant:
        replies = session.open_replies(ask_id)
        is_granted = False
        try:
            session.channel.put(make_place_ask(ask_id, ctx, self._monotonic()))
            answer = await _receive_first(session, replies)
            while isinstance(answer, PlaceQueued):
                answer = await replies.get()
            if isinstance(answer, PlaceGrant):
                is_granted = True
                return answer
        finally:
            session.close_replies(ask_id)
            if not is_granted:
                session.channel.put(PlaceEnd(ask=ask_id, outcome="unused"))
        if isinstance(answer, PlaceRefusal):
            raise NotServedError(answer.reason, answer.retry_after or None)
        raise HubLostError(f"the link to {session.member.process} is lost")

    def mark_started(self, ctx: RequestContext) -> None:
        """Record that the response to a request has started."""
        ctx.is_started = True
        held = self._held.get(ctx)
        if held is not None:
            held.session.channel.put(PlaceBegun(ask=held.ask_id))
        else:
            self._local.start_waiting(ctx.service)

    def release(
        self, ctx: RequestContext, view: RunnerView, outcome: str, backoff: float = 0.0
    ) -> None:
        """Release a runner's place and report the outcome of the request there."""
        held = self._held.pop(ctx, None)
        if held is not None:
            held.session.channel.put(
                PlaceEnd(ask=held.ask_id, outcome=outcome, hold=backoff)
            )
        self._local.release(ctx, view)

    def block(self, view: RunnerView, seconds: float) -> None:
        """Send nothing for some seconds to a runner that declined requests."""
        self._local.block(view, seconds)

    def mark_leaving(self, view: RunnerView) -> None:
        """Send nothing more to a runner that announced its stop, and inform the hub."""
        if view.is_leaving:
            return
        view.is_leaving = True
        log.event("runner_leaving", runner=view.id, source="answer")
        session = self._client.session
        if session is not None and view.runner.is_engine:
            session.channel.put(_make_leaving(view.runner))


def _make_leaving(runner: Runner) -> RunnerLeaving:
    return RunnerLeaving(runner=runner.id, started=runner.started_ms)


def _is_usable(view: RunnerView, now: float) -> bool:
    # Whether the runner is paused is left to the hub, whose data are more recent.
    return not (
        view.is_leaving
        or view.runner.is_draining
        or view.is_delisted(now)
        or view.blocked_until > now
    )


async def _receive_first(session: HubSession, replies: asyncio.Queue[object]) -> object:
    """Return the first reply; raise `HubLostError` if none arrives in time."""
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            answer = await replies.get()
    except TimeoutError as exc:
        session.report_unanswered()
        raise HubLostError(f"{session.member.process} did not answer") from exc
    if answer is None:
        raise HubLostError(f"the link to {session.member.process} is lost")
    return answer
