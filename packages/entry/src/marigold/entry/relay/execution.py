"""One request of a caller, from its place in the queue to its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import RequestHead, RunnerRequestHead
from marigold.entry.relay.answers import AnswerRelay, AttemptOutcome
from marigold.entry.relay.crashes import RunnerCrash
from marigold.entry.relay.exceptions import (
    AnswerCutError,
    AnswerLostError,
    BrokenAnswerError,
    ConnectionLostError,
    NotRunError,
    NotSentError,
    NotServedError,
    QuarantinedError,
    RelayError,
    RunnerError,
    SilentRunnerError,
    SuspectedMeanwhileError,
    TooOldError,
    WithdrawnError,
)
from marigold.entry.relay.forwarding import (
    STATUS_FAILURE,
    CallerRequest,
)
from marigold.entry.relay.health import UNREACHABLE_WEIGHT
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.scheduler import FULL_BACKOFF_S, MISDIRECTED_BACKOFF_S
from marigold.entry.relay.views import RunnerView
from marigold.entry.relay.watchdog import WITHDRAW_S, AttemptWatchdog
from marigold.entry.suspicion.admission import Trial, TrialRefusedError

if TYPE_CHECKING:
    from marigold.entry.relay.serving import RequestServer

log = get_logger(__name__)

# Runners that a request is offered to where each could not be reached.
UNSENT_MAXIMUM = 4
# Retry-After when runners state that they have not run the request.
REFUSED_RETRY_S = 0.3
# Urgency that is added for requests that can no longer be in time.
LATE_URGENCY = 4
MAXIMUM_URGENCY = 9
# Seconds of a deadline below which nothing is worth sending.
MINIMUM_REMAINING_S = 0.01


class RequestExecution:
    """The attempts of one request."""

    __slots__ = (
        "_answer",
        "_req",
        "_server",
        "_ticket",
        "_unsent",
        "may_have_run",
    )

    def __init__(
        self,
        server: RequestServer,
        http: web.BaseRequest,
        head: RequestHead,
        ticket: RequestContext,
        req: CallerRequest,
        is_closing: Callable[[], bool],
    ) -> None:
        self._server = server
        self._ticket = ticket
        self._req = req
        self._unsent = 0
        self._answer = AnswerRelay(
            server.desk,
            server.header_codec,
            server.metrics,
            http,
            ticket,
            head.last_event,
            is_closing,
            server.monotonic,
        )
        self.may_have_run = False

    @property
    def response(self) -> web.StreamResponse | None:
        """Return what the caller gets, None before its head is sent."""
        return self._answer.response

    async def serve(self) -> web.StreamResponse:
        """Send the request to one runner after another; return the answer.

        Raise `RelayError` when nothing more is tried.
        """
        while True:
            trial = await self._admit()
            try:
                result = await self._try_one(trial)
            finally:
                trial.end()
            if not isinstance(result, RunnerError):
                return result
            await self._decide_repeat(result)

    async def _admit(self) -> Trial:
        """Return leave to run the request, by what runners ended under it."""
        try:
            return await self._server.suspects.admit(
                self._ticket.id, self._req.get_fingerprint
            )
        except TrialRefusedError as exc:
            raise self._make_end(str(exc), exc.retry_after, QuarantinedError) from exc

    async def _try_one(self, trial: Trial) -> web.StreamResponse | RunnerError:
        """Send the request to one runner; return its answer, or how that failed."""
        server = self._server
        view = await self._acquire()
        outcome = AttemptOutcome()
        try:
            resp = await self._attempt(view, outcome, trial)
            if outcome.name == "unused":
                outcome.name = "done"
            trial.is_inconclusive = False
            return resp
        except RunnerError as exc:
            self._note_failure(view, exc, outcome)
            trial.is_inconclusive = not await self._judge_end(view, exc, trial)
            return exc
        except asyncio.CancelledError:
            if trial.is_inconclusive:
                self._server.record_abandoned(trial, self._make_runner_end(view, trial))
            raise
        finally:
            server.desk.release(self._ticket, view, outcome.name, outcome.hold)

    async def _acquire(self) -> RunnerView:
        try:
            return await self._server.desk.acquire(self._ticket)
        except NotServedError as exc:
            raise self._make_end(f"no runner: {exc}", exc.retry_after) from exc

    def _make_end(
        self,
        reason: str,
        retry_after: float | None,
        unrun: type[NotServedError] = NotServedError,
    ) -> RelayError:
        """Return how the request ends when nothing more is tried.

        `unrun` is the error for one that no runner can have run.
        """
        if self.response is not None:
            return AnswerCutError(reason, self.response)
        if self.may_have_run:
            return AnswerLostError(reason)
        return unrun(reason, retry_after)

    def _require_key(self) -> None:
        """Raise when the key of the request may have been withdrawn meanwhile.

        The request may have waited, or this process may have stood still.
        """
        if self._ticket.organisation and not self._server.may_use_keys():
            raise self._make_end(
                "keys were confirmed too long ago",
                self._server.add_jitter(REFUSED_RETRY_S),
            )

    def _note_failure(
        self, view: RunnerView, exc: RunnerError, outcome: AttemptOutcome
    ) -> None:
        now = self._server.monotonic()
        self._ticket.tried.add(view.id)
        self._server.metrics.attempts_failed.add(type(exc).__name__)
        log.event(
            "attempt_failed",
            request=self._ticket.id,
            fingerprint=self._req.get_fingerprint(),
            runner=view.id,
            reason=exc,
            kind=type(exc).__name__,
            sends=self._ticket.sends,
            after=now - self._ticket.sent_at,
        )
        match exc:
            case NotRunError(is_misdirected=False):
                outcome.name = "full"
                outcome.hold = exc.retry_after or FULL_BACKOFF_S
            case NotRunError():
                outcome.name = "misdirected"
                outcome.hold = MISDIRECTED_BACKOFF_S
            case TooOldError() | SuspectedMeanwhileError():
                # The next one is chosen by what is known then.
                pass
            case NotSentError():
                outcome.name = "unreachable"
                view.health.record_failure(now, UNREACHABLE_WEIGHT)
            case WithdrawnError():
                # The runner did nothing wrong.
                pass
            case _:
                outcome.name = "failed"
                view.health.record_failure(now)
        if outcome.hold:
            self._server.desk.block(view, outcome.hold)
        if view.is_leaving:
            outcome.name = "leaving"

    async def _judge_end(
        self, view: RunnerView, exc: RunnerError, trial: Trial
    ) -> bool:
        """Find out whether the runner ended; tell whether that is known."""
        is_reset = isinstance(exc, ConnectionLostError)
        if not is_reset and not isinstance(exc, SilentRunnerError):
            return True
        end = self._make_runner_end(view, trial)
        return await self._server.crashes.investigate(end, is_reset)

    def _make_runner_end(self, view: RunnerView, trial: Trial) -> RunnerCrash:
        fingerprint = self._req.get_fingerprint()
        return RunnerCrash(self._ticket.id, fingerprint, view, trial.prior_ends)

    async def _decide_repeat(self, exc: RunnerError) -> None:
        """Return when another runner is to be tried; else raise `RelayError`."""
        ticket = self._ticket
        if isinstance(exc, NotSentError):
            self._unsent += 1
            if self._unsent < UNSENT_MAXIMUM:
                return
        elif await self._may_try_again(exc):
            return
        retry_after = self._server.add_jitter(REFUSED_RETRY_S)
        raise self._make_end(f"{ticket.service}: {exc}", retry_after) from exc

    async def _may_try_again(self, exc: RunnerError) -> bool:
        ticket = self._ticket
        if isinstance(exc, BrokenAnswerError):
            if not ticket.may_retry():
                return False
        elif ticket.sends >= ticket.route.maximum_attempts:
            return False
        return await self._server.desk.allow_retry(ticket)

    async def _attempt(
        self, view: RunnerView, outcome: AttemptOutcome, trial: Trial
    ) -> web.StreamResponse:
        server, ticket = self._server, self._ticket
        now = server.monotonic()
        remaining = ticket.ends_at - now
        if remaining < MINIMUM_REMAINING_S:
            raise TimeoutError
        self._require_key()
        if not server.suspects.is_still_allowed(self._req.get_fingerprint, trial):
            raise SuspectedMeanwhileError(
                f"{view.id}: requests like this one are suspected"
            )
        time_to_begin = server.desk.get_start_window(ticket, view)
        if time_to_begin <= WITHDRAW_S and ticket.route.is_stream:
            raise TooOldError(f"{view.id}: its weights are too old")
        terms = self._make_terms(view, now, remaining)
        ticket.is_started = False
        ticket.sent_at = now
        ticket.sends += 1
        watchdog = AttemptWatchdog(ticket, view, time_to_begin, server.monotonic)
        log.routine(
            "request_sent",
            request=ticket.id,
            runner=view.id,
            load=view.get_load(now),
            version=terms.version,
            waited=now - ticket.arrived_at,
            sends=ticket.sends,
        )
        # From here on the runner may have run it, also when this task is ended.
        had_run, self.may_have_run = self.may_have_run, True
        trial.is_inconclusive = True
        try:
            answer = await watchdog.guard(
                server.forwarder.send(view, ticket, self._req, terms)
            )
        except NotSentError:
            ticket.sends -= 1
            self.may_have_run = had_run
            raise
        except NotRunError:
            self.may_have_run = had_run
            raise
        try:
            resp = await self._answer.relay(view, answer, watchdog, outcome)
        except BaseException:
            answer.abort()
            raise
        if resp.status < STATUS_FAILURE:
            server.suspects.record_answer(ticket.id, self._req.get_fingerprint)
        return resp

    def _make_terms(
        self, view: RunnerView, now: float, remaining: float
    ) -> RunnerRequestHead:
        ticket = self._ticket
        urgency = ticket.precedence + (
            LATE_URGENCY if now > ticket.soft_deadline else 0
        )
        last = self._answer.sequence.last
        return RunnerRequestHead(
            runner=view.id,
            remaining=remaining,
            organisation=ticket.organisation,
            priority=min(urgency, MAXIMUM_URGENCY) if view.runner.is_engine else None,
            version=self._get_expected_version(view),
            last_event="" if last is None else str(last),
        )

    def _get_expected_version(self, view: RunnerView) -> int | None:
        """Return the version that the runner has to hold, None for any."""
        floor = self._server.desk.get_minimum_version(self._ticket)
        if floor is None:
            return None
        return max(floor, view.get_version(self._ticket.model) or 0)
