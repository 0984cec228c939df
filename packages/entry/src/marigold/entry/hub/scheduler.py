"""Where an entry gets runners: from its hub, or by what it knows itself."""

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
from marigold.entry.hub.client import HubClient, HubLostError
from marigold.entry.hub.places import make_place_ask
from marigold.entry.hub.session import HubSession
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.retry_budget import RetryLimiter
from marigold.entry.relay.scheduler import RequestScheduler
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds that a hub may take to grant a place or to say that the request waits; an
# answer takes about a millisecond, or one turn of a hub that ran out of its share of
# the processor.
ASK_TIMEOUT_S = 0.15
# Runners that a hub may grant one after another which this entry must not use.
UNFIT_MAXIMUM = 3


class _HeldPlace:
    __slots__ = ("number", "session")

    def __init__(self, session: HubSession, number: int) -> None:
        self.session = session
        self.number = number


class EntryScheduler:
    """Gets runners for the requests of one entry.

    Model engines are asked of the hub, which knows what all entries of the cell sent
    there; without a hub, and for plain services, the entry's own desk decides.
    """

    def __init__(
        self,
        client: HubClient,
        local: RequestScheduler,
        directory: RunnerDirectory,
        repeats: RetryLimiter,
        is_engine: Callable[[str], bool],
        monotonic: Callable[[], float],
    ) -> None:
        self._client = client
        self._local = local
        self._directory = directory
        self._repeats = repeats
        self._is_engine = is_engine
        self._monotonic = monotonic
        self._held: dict[RequestContext, _HeldPlace] = {}
        self.get_minimum_version = local.get_minimum_version
        self.get_start_window = local.get_start_window

    def count_request(self, ticket: RequestContext) -> None:
        """Count a request of a caller for the budget of repeats."""
        self._client.count_request(ticket.service)
        self._repeats.count_request(ticket.service, self._monotonic())

    async def allow_retry(self, ticket: RequestContext) -> bool:
        """Tell whether a request may be sent to another runner, and count it."""
        session = self._client.session
        if session is not None and session.is_alive:
            try:
                answer = await self._ask_repeat(session, ticket.service)
            except HubLostError as exc:
                log.event("hub_unanswered", request=ticket.id, reason=exc)
            else:
                return answer.allowed
        return self._repeats.take(ticket.service, self._monotonic())

    async def _ask_repeat(self, session: HubSession, service: str) -> RepeatAnswer:
        number = self._client.next_ask_id()
        answers = session.open_answers(number)
        try:
            session.channel.put(RepeatAsk(ask=number, service=service))
            answer = await _get_first(session, answers)
        finally:
            session.close_answers(number)
        if not isinstance(answer, RepeatAnswer):
            raise HubLostError(f"{session.member.process} answered something else")
        return answer

    async def acquire(self, ticket: RequestContext) -> RunnerView:
        """Return a runner for a request, which counts as sent to it.

        Raise `NotServedError` when there is none before the caller leaves.
        """
        session = self._client.session
        if session is None or not session.is_alive:
            return await self._local.acquire(ticket)
        if not self._is_engine(ticket.service):
            return await self._local.acquire(ticket)
        try:
            return await self._acquire_remote(session, ticket)
        except HubLostError as exc:
            log.event("hub_unanswered", request=ticket.id, reason=exc)
            return await self._local.acquire(ticket)

    async def _acquire_remote(
        self, session: HubSession, ticket: RequestContext
    ) -> RunnerView:
        for _ in range(UNFIT_MAXIMUM):
            number = self._client.next_ask_id()
            grant = await self._ask(session, ticket, number)
            view = self._directory.find(grant.runner)
            now = self._monotonic()
            is_known = view is not None and view.runner.started_ms == grant.started
            if view is not None and is_known and _is_usable(view, now):
                if grant.version:
                    # The list of runners tells of loaded weights a second late.
                    view.version_seen = max(grant.version, view.version_seen or 0)
                view.start(ticket, now)
                self._held[ticket] = _HeldPlace(session, number)
                return view
            outcome = "leaving" if view is not None and view.is_leaving else "unused"
            hold = max(view.blocked_until - now, 0.0) if view is not None else 0.0
            session.channel.put(
                PlaceEnd(ask=number, outcome="full" if hold else outcome, hold=hold)
            )
            ticket.tried.add(grant.runner)
            log.event(
                "grant_unfit", request=ticket.id, runner=grant.runner, known=is_known
            )
        raise HubLostError(f"{session.member.process} grants runners not to be used")

    async def _ask(
        self, session: HubSession, ticket: RequestContext, number: int
    ) -> PlaceGrant:
        answers = session.open_answers(number)
        is_granted = False
        try:
            session.channel.put(make_place_ask(number, ticket, self._monotonic()))
            answer = await _get_first(session, answers)
            while isinstance(answer, PlaceQueued):
                answer = await answers.get()
            if isinstance(answer, PlaceGrant):
                is_granted = True
                return answer
        finally:
            session.close_answers(number)
            if not is_granted:
                session.channel.put(PlaceEnd(ask=number, outcome="unused"))
        if isinstance(answer, PlaceRefusal):
            raise NotServedError(answer.reason, answer.retry_after or None)
        raise HubLostError(f"the link to {session.member.process} is lost")

    def mark_started(self, ticket: RequestContext) -> None:
        """Take in that the answer of a request has begun."""
        ticket.is_started = True
        held = self._held.get(ticket)
        if held is not None:
            held.session.channel.put(PlaceBegun(ask=held.number))
        else:
            self._local.start_waiting(ticket.service)

    def release(
        self, ticket: RequestContext, view: RunnerView, outcome: str, hold: float = 0.0
    ) -> None:
        """Give back a runner's place, with what became of the request there."""
        held = self._held.pop(ticket, None)
        if held is not None:
            held.session.channel.put(
                PlaceEnd(ask=held.number, outcome=outcome, hold=hold)
            )
        self._local.release(ticket, view)

    def block(self, view: RunnerView, seconds: float) -> None:
        """Send nothing for a while to a runner that wants none."""
        self._local.block(view, seconds)

    def mark_leaving(self, view: RunnerView) -> None:
        """Send nothing more to a runner that states it is leaving."""
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
    # The hub knows better whether the runner pauses.
    return not (
        view.is_leaving
        or view.runner.is_draining
        or view.is_delisted(now)
        or view.blocked_until > now
    )


async def _get_first(session: HubSession, answers: asyncio.Queue[object]) -> object:
    """Return the first answer; raise `HubLostError` when none comes in time."""
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            answer = await answers.get()
    except TimeoutError as exc:
        session.doubt()
        raise HubLostError(f"{session.member.process} did not answer") from exc
    if answer is None:
        raise HubLostError(f"the link to {session.member.process} is lost")
    return answer
