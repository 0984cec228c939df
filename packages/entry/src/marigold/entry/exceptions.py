"""Errors that callers receive.

Each error has an HTTP status and a type, and states whether the request was executed:
"no" is a guarantee, "unknown" means that the entry cannot determine it.
"""

from __future__ import annotations

from typing import Literal

from marigold.core.exceptions import MarigoldError

Executed = Literal["no", "yes", "unknown"]


class AnswerError(MarigoldError):
    """Base of the errors that callers receive.

    `retry_after` is in seconds; it is 0 if retrying would not help.
    """

    status = 500
    kind = "internal"
    executed: Executed = "unknown"

    def __init__(
        self,
        message: str,
        retry_after: float = 0.0,
        executed: Executed | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after = retry_after
        if executed is not None:
            self.executed = executed


class UnauthorizedError(AnswerError):
    """The key is missing or unknown."""

    status = 401
    kind = "unauthorized"
    executed = "no"


class NotAllowedError(AnswerError):
    """The customer's plan does not include the requested model or service."""

    status = 403
    kind = "not_allowed"
    executed = "no"


class UnknownNameError(AnswerError):
    """The model, service, path or list does not exist."""

    status = 404
    kind = "unknown_name"
    executed = "no"


class MethodNotAllowedError(AnswerError):
    """The path does not support the method."""

    status = 405
    kind = "method_not_allowed"
    executed = "no"


class MalformedRequestError(AnswerError):
    """The request cannot be parsed or is invalid."""

    status = 400
    kind = "malformed_request"
    executed = "no"


class TooLargeError(AnswerError):
    """A header, the body or a list exceeds its size limit."""

    status = 413
    kind = "too_large"
    executed = "no"


class KeyReusedError(AnswerError):
    """The idempotency key was used before with another request."""

    status = 422
    kind = "idempotency_key_reused"
    executed = "no"


class KeyInProgressError(AnswerError):
    """A request with the same idempotency key has not finished."""

    status = 409
    kind = "idempotency_key_in_progress"
    executed = "unknown"


class AnswerNotKeptError(AnswerError):
    """The request was executed before, but its answer is no longer stored."""

    status = 409
    kind = "answer_not_kept"
    executed = "yes"


class RateLimitedError(AnswerError):
    """The customer exceeds its rate, concurrency or limit of waiting requests."""

    status = 429
    kind = "rate_limited"
    executed = "no"


class NoCapacityError(AnswerError):
    """No target had capacity for the request in time."""

    status = 503
    kind = "no_capacity"
    executed = "no"


class UnreachableError(AnswerError):
    """No suitable target can be reached, or a store that the request needs cannot."""

    status = 503
    kind = "unreachable"
    executed = "no"


class StoppingError(AnswerError):
    """This entry is stopping."""

    status = 503
    kind = "stopping"
    executed = "no"


class QuarantinedError(AnswerError):
    """The request is quarantined because requests like it crashed their targets."""

    status = 422
    kind = "quarantined"
    executed = "no"


class TargetFailedError(AnswerError):
    """The target failed while it was executing the request."""

    status = 502
    kind = "target_failed"
    executed = "unknown"


class TimeoutPassedError(AnswerError):
    """The target gave no complete answer before a timeout passed."""

    status = 504
    kind = "timeout"
    executed = "unknown"


class ListConflictError(AnswerError):
    """The list was edited in the meantime, so its version no longer matches."""

    status = 412
    kind = "conflict"
    executed = "no"


class ListFaultsError(AnswerError):
    """The lists have faults and were not accepted."""

    status = 422
    kind = "list_faults"
    executed = "no"
