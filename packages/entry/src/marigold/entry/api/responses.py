"""Formatting of error responses to callers and operators."""

from __future__ import annotations

import json
import math
from typing import Any

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.entry.exceptions import AnswerError

log = get_logger(__name__)

REQUEST_ID_HEADER = "X-Request-Id"


def make_error_body(error: AnswerError, request_id: str) -> dict[str, Any]:
    """Return the JSON body of an error."""
    return {
        "error": {
            "type": error.kind,
            "message": error.message,
            "executed": error.executed,
            "request_id": request_id,
        }
    }


def make_error_response(error: AnswerError, request_id: str) -> web.Response:
    """Return an HTTP response for an error."""
    headers = {REQUEST_ID_HEADER: request_id}
    if error.retry_after > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after))
    body = make_error_body(error, request_id)
    return web.json_response(body, status=error.status, headers=headers)


def make_error_event(error: AnswerError, request_id: str) -> bytes:
    """Return a server-sent event for an error that occurs within a stream."""
    body = json.dumps(make_error_body(error, request_id))
    return f"event: error\ndata: {body}\n\n".encode()
