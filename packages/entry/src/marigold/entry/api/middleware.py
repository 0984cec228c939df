"""Gives every failure of an HTTP handler the typed form of errors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.entry.api.responses import make_error_response
from marigold.entry.exceptions import (
    AnswerError,
    MalformedRequestError,
    MethodNotAllowedError,
    TooLargeError,
    UnknownNameError,
)

log = get_logger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_ERRORS: dict[int, type[AnswerError]] = {
    404: UnknownNameError,
    405: MethodNotAllowedError,
    413: TooLargeError,
}


@web.middleware
async def type_errors(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer failures of routing and of handlers as typed errors."""
    try:
        return await handler(req)
    except web.HTTPException as exc:
        if exc.status < 400:
            raise
        cls = _ERRORS.get(exc.status, MalformedRequestError)
        return make_error_response(cls(f"{req.method} {req.path}: {exc.reason}"), "")
    except Exception as exc:
        log.event("handler_failed", path=req.path, error=repr(exc))
        return make_error_response(AnswerError("the entry failed"), "")
