"""Execution of one caller's request, from the queue to its answer."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import RequestHead
from marigold.entry.relay.answers import AnswerRelay, AttemptOutcome
from marigold.entry.relay.attempts import (
    Attempt,
    make_runner_head,
    record_failed_attempt,
)
from marigold.entry.relay.crashes import RunnerCrash
from marigold.entry.relay.exceptions import (
    AnswerCutError,
    AnswerLostError,
    BrokenAnswerError,
    ConnectionLostError,
    IneligibleError,
    NotRunError,
    NotSentError,
    NotServedError,
    QuarantinedError,
    RelayError,
    RestrictedError,
    RunnerError,
    SilentRunnerError,
    SuspectedMeanwhileError,
    TooOldError,
)
from marigold.entry.relay.forwarding import (
    STATUS_FAILURE,
    CallerRequest,
)
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.scheduler import LATE_REASON
from marigold.entry.relay.stalled import StalledAttempts
from marigold.entry.relay.views import RunnerView
from marigold.entry.relay.watchdog import WITHDRAW_LEAD_S, AttemptWatchdog
from marigold.entry.suspicion.admission import Trial, TrialRefusedError

if TYPE_CHECKING:
    from marigold.entry.relay.serving import RequestServer

log = get_logger(__name__)

# Number of runners that are tried when none of them can be reached.
MAXIMUM_UNSENT = 4
# Retry-After when runners report that they have not run the request.
REFUSED_RETRY_S = 0.3
# Seconds before the deadline in which a request is no longer sent.
MINIMUM_REMAINING_S = 0.01


class RequestExecution:
    """The attempts of one request, one after another.

    `may_have_run` is set from the first attempt that a runner may have executed.
    Attempts whose runners fell silent are kept until a runner has begun to answer.
    """

    __slots__ = (
        "_answer",
        "_ctx",
        "_req",
        "_server",
        "_stalled",
        "_unsent_attempts",
        "may_have_run",
    )

    def __init__(
        self,
        server: RequestServer,
        http: web.BaseRequest,
        head: RequestHead,
        ctx: RequestContext,
        req: CallerRequest,
        is_closing: Callable[[], bool],
    ) -> None:
        self._server = server
        self._ctx = ctx
        self._req = req
        self._unsent_attempts = 0
        self._stalled = StalledAttempts()
        self._answer = AnswerRelay(
            server.scheduler,
            server.header_codec,
            server.metrics,
            http,
            ctx,
            head.last_event,
            is_closing,
            self._record_start,
            server.monotonic,
        )
        self.may_have_run = False

    @property
    def response(self) -> web.StreamResponse | None:
        """Response to the caller, None before its head is sent."""
        return self._answer.response

    async def serve(self) -> web.StreamResponse:
        """Try runners until one answers; return the response.

        Raise `RelayError` when there are no further attempts.
        """
        try:
            return await self._try_runners()
        except RelayError as exc:
            if not self._stalled:
                raise
            attempt = await self._stalled.take_first()
            self._stalled.close()
            return await self._continue(attempt, exc)
        finally:
            self._stalled.close()

    async def _try_runners(self) -> web.StreamResponse:
        while True:
            self._answer.extend_patience()
            if self._stalled:
                result = await self._try_beside(self.response)
            else:
                result = await self._try_next()
            if not isinstance(result, RunnerError):
                return result
            await self._require_retry(result)

    async def _try_next(self) -> web.StreamResponse | RunnerError:
        trial = await self._admit()
        try:
            return await self._try_runner(trial)
        finally:
            trial.end()

    async def _try_beside(
        self, resp: web.StreamResponse | None
    ) -> web.StreamResponse | RunnerError:
        """Try the next runner until it answers or a stalled attempt goes on."""
        return await self._stalled.run_beside(
            self._try_next, lambda: bool(self._stalled) and self.response is resp
        )

    async def _continue(
        self, attempt: Attempt, reason: RelayError
    ) -> web.StreamResponse:
        """Go on with a stalled attempt, as no other runner can answer the request."""
        server, ctx, view = self._server, self._ctx, attempt.view
        log.event("attempt_continued", request=ctx.id, runner=view.id, reason=reason)
        attempt.resume()
        view.start(ctx, server.monotonic())
        outcome = attempt.outcome
        try:
            resp = await attempt.run()
            outcome.name = "done"
            self._record_answer(resp)
            return resp
        except RunnerError as exc:
            attempt.close()
            self._record_failure(view, exc, outcome)
            await self._investigate_crash(view, exc, attempt.trial)
            raise self.make_error(f"{ctx.service}: {exc.summary}", None) from exc
        except BaseException:
            attempt.close()
            raise
        finally:
            server.scheduler.release(ctx, view, outcome.name, outcome.backoff)

    def _record_start(self, view: RunnerView) -> None:
        """Record that a runner began to answer; a stalled attempt is not needed now."""
        self._stalled.close()
        self._server.record_start(self._ctx, view)
        self._server.suspects.record_start(self._ctx.id, self._req)

    async def _admit(self) -> Trial:
        """Admit the request unless similar requests have crashed runners."""
        try:
            return await self._server.suspects.admit(self._ctx.id, self._req)
        except TrialRefusedError as exc:
            raise self.make_error(str(exc), exc.retry_after, QuarantinedError) from exc

    async def _try_runner(self, trial: Trial) -> web.StreamResponse | RunnerError:
        """Send the request to one runner; return the response or the error."""
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
            self._record_failure(view, exc, outcome)
            trial.is_inconclusive = not await self._investigate_crash(view, exc, trial)
            return exc
        except BaseException:
            # The caller left, time ran out, or nothing handles the exception.
            if trial.is_inconclusive:
                server.record_missing_start(self._ctx, view)
                server.record_abandoned(trial, self._make_crash(view, trial))
            raise
        finally:
            server.scheduler.release(self._ctx, view, outcome.name, outcome.backoff)

    async def _acquire(self) -> RunnerView:
        try:
            return await self._server.scheduler.acquire(self._ctx)
        except IneligibleError as exc:
            self._server.metrics.ineligible.add(exc.obstacle)
            raise self.make_error(str(exc), exc.retry_after) from exc
        except NotServedError as exc:
            raise self.make_error(f"no runner: {exc}", exc.retry_after) from exc

    def make_error(
        self,
        reason: str,
        retry_after: float | None,
        not_executed: type[NotServedError] = NotServedError,
    ) -> RelayError:
        """Return the error that ends the request when there are no further attempts.

        `not_executed` is its class when no runner can have run the request.
        """
        if self.response is not None:
            return AnswerCutError(reason, self.response)
        if self.may_have_run:
            return AnswerLostError(reason)
        return not_executed(reason, retry_after)

    def _require_key(self) -> None:
        """Raise when the key of the request may have been withdrawn since its check.

        The request may have waited, or this process may have been suspended.
        """
        if self._ctx.organisation and not self._server.may_use_keys():
            raise self.make_error(
                "keys were confirmed too long ago",
                self._server.add_jitter(REFUSED_RETRY_S),
            )

    def _require_time(self, view: RunnerView, now: float) -> None:
        """Raise when the caller leaves before the runner could begin the answer.

        The place may have come late, or the path from this entry to the runner may be
        slower than from others.
        """
        ctx = self._ctx
        expected = self._server.get_expected_start(ctx, view)
        expected = max(expected, MINIMUM_REMAINING_S)
        if now + expected >= ctx.start_deadline:
            log.event(
                "send_avoided",
                request=ctx.id,
                runner=view.id,
                left=ctx.start_deadline - now,
                expected=expected,
            )
            raise self.make_error(
                f"{view.id}: {LATE_REASON}", self._server.add_jitter(REFUSED_RETRY_S)
            )

    def _record_failure(
        self, view: RunnerView, exc: RunnerError, outcome: AttemptOutcome
    ) -> None:
        now = self._server.monotonic()
        self._ctx.tried.add(view.id)
        self._server.metrics.attempts_failed.add(type(exc).__name__)
        log.event(
            "attempt_failed",
            request=self._ctx.id,
            fingerprint=self._req.get_fingerprint(),
            parts=",".join(self._req.prompt_parts),
            is_started=self._ctx.is_started,
            runner=view.id,
            reason=exc,
            kind=type(exc).__name__,
            sends=self._ctx.sends,
            after=now - self._ctx.sent_at,
        )
        record_failed_attempt(view, exc, outcome, now)
        if isinstance(exc, SilentRunnerError):
            self._server.record_missing_start(self._ctx, view)
        if outcome.backoff:
            self._server.scheduler.block(view, outcome.backoff)
        if view.is_leaving:
            outcome.name = "leaving"

    async def _investigate_crash(
        self, view: RunnerView, exc: RunnerError, trial: Trial
    ) -> bool:
        """Check whether the runner crashed; return whether that is known."""
        is_reset = isinstance(exc, ConnectionLostError)
        if not is_reset and not isinstance(exc, SilentRunnerError):
            return True
        crash = self._make_crash(view, trial)
        return await self._server.crashes.investigate(crash, is_reset)

    def _make_crash(self, view: RunnerView, trial: Trial) -> RunnerCrash:
        return RunnerCrash(
            self._ctx.id,
            self._req.get_fingerprint(),
            view,
            trial.prior_crashes,
            self._req.get_part_keys(),
            self._ctx.sent_version,
            self._ctx.sent_at,
        )

    async def _require_retry(self, exc: RunnerError) -> None:
        """Return if another runner may be tried; else raise `RelayError`."""
        ctx = self._ctx
        if isinstance(exc, NotSentError):
            self._unsent_attempts += 1
            if self._unsent_attempts < MAXIMUM_UNSENT:
                return
        elif await self._may_retry(exc):
            return
        retry_after = self._server.add_jitter(REFUSED_RETRY_S)
        raise self.make_error(f"{ctx.service}: {exc.summary}", retry_after) from exc

    async def _may_retry(self, exc: RunnerError) -> bool:
        ctx = self._ctx
        if isinstance(exc, BrokenAnswerError):
            if not ctx.may_retry():
                return False
        elif ctx.sends >= ctx.route.maximum_attempts:
            return False
        return await self._server.scheduler.allow_retry(ctx)

    async def _attempt(
        self, view: RunnerView, outcome: AttemptOutcome, trial: Trial
    ) -> web.StreamResponse:
        server, ctx = self._server, self._ctx
        now = server.monotonic()
        remaining = ctx.deadline - now
        if remaining < MINIMUM_REMAINING_S:
            raise TimeoutError
        self._require_key()
        self._require_time(view, now)
        obstacle = server.scheduler.rules.find_obstacle(ctx, view)
        if obstacle is not None:
            raise RestrictedError(f"{view.id}: {obstacle}")
        if not server.suspects.is_still_allowed(self._req, trial):
            raise SuspectedMeanwhileError(
                f"{view.id}: requests like this one are suspected"
            )
        start_window = server.scheduler.get_start_window(ctx, view)
        if start_window <= WITHDRAW_LEAD_S and ctx.route.is_stream:
            raise TooOldError(f"{view.id}: its weights are too old")
        runner_head = make_runner_head(
            server.scheduler, ctx, view, self._answer.sequence.last, now
        )
        ctx.is_started = False
        ctx.sent_at = now
        ctx.sent_to = view.id
        ctx.sent_version = view.get_version(ctx.model) or 0
        ctx.sends += 1
        version = view.get_version(ctx.model) if ctx.model else None
        watchdog = AttemptWatchdog(
            ctx,
            view,
            partial(server.scheduler.get_version_window, ctx.model, version),
            server.monotonic,
        )
        log.routine(
            "request_sent",
            request=ctx.id,
            runner=view.id,
            load=view.get_load(now),
            version=runner_head.version,
            waited=now - ctx.arrived_at,
            left=ctx.start_deadline - now,
            silence=view.get_silence(now),
            sends=ctx.sends,
            start_window=start_window,
            pending=view.count_pending_prefills(now),
        )
        # From here on the runner may run the request, even if this task is cancelled.
        could_have_run, self.may_have_run = self.may_have_run, True
        trial.is_inconclusive = True
        attempt = Attempt(
            ctx,
            view,
            trial,
            watchdog,
            partial(server.forwarder.send, view, ctx, self._req, runner_head),
            self._answer,
            outcome,
        )
        try:
            resp = await attempt.run()
        except NotSentError:
            ctx.sends -= 1
            self.may_have_run = could_have_run
            raise
        except NotRunError:
            self.may_have_run = could_have_run
            raise
        except SilentRunnerError:
            self._stalled.add(attempt)
            raise
        except BaseException:
            attempt.close()
            raise
        self._record_answer(resp)
        return resp

    def _record_answer(self, resp: web.StreamResponse) -> None:
        ctx = self._ctx
        if resp.status < STATUS_FAILURE:
            self._server.suspects.record_answer(
                ctx.id, self._req, ctx.sent_version, ctx.sent_at
            )
