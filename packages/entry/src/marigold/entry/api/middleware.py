"""Middleware that converts failures of HTTP handlers to typed error responses."""

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
async def convert_errors(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer with a typed error when routing or the handler fails.

    The text of an unexpected exception is logged and not sent to the client.
    """
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
