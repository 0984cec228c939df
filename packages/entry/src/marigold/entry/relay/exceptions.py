"""Errors of relayed requests and of attempts at runners.

A `RelayError` has the status that the caller gets. `is_not_executed` guarantees that
the request has not run and never will.
"""

from __future__ import annotations

from collections.abc import Iterable

from aiohttp import web

from marigold.core.exceptions import MarigoldError


class RelayError(MarigoldError):
    """A request ended without the answer of a runner."""

    status = 502
    is_not_executed = False

    def __init__(self, reason: str, retry_after: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class MalformedError(RelayError):
    """The request cannot be read."""

    status = 400
    is_not_executed = True


class NoKeyError(RelayError):
    """No organisation holds the key of the request."""

    status = 401
    is_not_executed = True


class NoRouteError(RelayError):
    """No route matches the request."""

    status = 404
    is_not_executed = True


class BodyTooLargeError(RelayError):
    """The body is larger than callers may send."""

    status = 413
    is_not_executed = True


class HeadTooLargeError(RelayError):
    """The head is larger than callers may send."""

    status = 431
    is_not_executed = True


class NotServedError(RelayError):
    """The request was not run, and cannot be served now."""

    status = 503
    is_not_executed = True


class IneligibleError(NotServedError):
    """Restrictions exclude every runner of the service; `obstacle` names the kind."""

    def __init__(
        self,
        obstacle: str,
        regions: Iterable[str] | None,
        evacuated: Iterable[str],
        retry_after: float,
    ) -> None:
        allowed = "any" if regions is None else ",".join(sorted(regions)) or "none"
        closed = ",".join(sorted(evacuated)) or "none"
        super().__init__(
            f"no eligible runner ({obstacle}): regions {allowed}, evacuated {closed}",
            retry_after,
        )
        self.obstacle = obstacle


class MemoryShortError(NotServedError):
    """The body was refused or given up, as too much is held for other requests."""


class QuarantinedError(NotServedError):
    """Requests like this one have crashed several runners in a row."""


class AnswerLostError(RelayError):
    """A runner may have run the request, but its answer is incomplete or lost."""

    status = 502


class AnswerLateError(RelayError):
    """A runner may have run the request, but its answer did not come in time."""

    status = 504


class ResumedError(RelayError):
    """No other runner is needed, as a runner that was silent has gone on."""


class AnswerCutError(RelayError):
    """The answer broke off after the head of `response` was sent."""

    def __init__(self, reason: str, response: web.StreamResponse) -> None:
        super().__init__(reason)
        self.response = response


class RunnerError(MarigoldError):
    """One attempt at a runner failed.

    The message may quote what the runner sent and name its address, so callers are told
    only the `summary`.
    """

    summary = "the attempt at a runner failed"


class NotSentError(RunnerError):
    """The runner could not be reached and has received nothing of the request."""

    summary = "no runner could be reached"


class TooOldError(NotSentError):
    """The request was not sent, as the runner's weights are too old to start it."""

    summary = "the runner's weights are too old"


class RestrictedError(NotSentError):
    """The request was not sent, as this runner may not get it any more."""

    summary = "the runner may not get the request"


class SuspectedMeanwhileError(NotSentError):
    """The request became a suspect while it waited, and was therefore not sent."""

    summary = "requests like this one are suspected"


class NotRunError(RunnerError):
    """The runner reported that it has not run the request.

    `status` is the status of its answer. `is_misdirected` is set if it is not the
    expected runner, or holds other weights. `retry_after` is the seconds in which it
    accepts no requests, 0 when it states none.
    """

    summary = "the runner has refused the request"

    def __init__(
        self,
        reason: str,
        status: int,
        is_misdirected: bool,
        retry_after: float = 0.0,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.is_misdirected = is_misdirected
        self.retry_after = retry_after


class BrokenAnswerError(RunnerError):
    """The runner may have run the request, but its answer is incomplete."""

    summary = "the answer of the runner is incomplete"


class ConnectionLostError(BrokenAnswerError):
    """The connection broke, ended or became unreadable within the answer."""

    summary = "the connection to the runner was lost"


class SilentRunnerError(BrokenAnswerError):
    """The runner has sent nothing for too long."""

    summary = "the runner sends nothing"


class WithdrawnError(BrokenAnswerError):
    """The request was withdrawn: it had not started when the weights became too old."""

    summary = "the runner's weights became too old"
