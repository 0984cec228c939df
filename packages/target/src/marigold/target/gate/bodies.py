"""Reads response bodies of the back end and detects truncated ones.

A body that is shorter than its announced length, or an event stream that ends
without its last event, raises `AnswerCutError`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientResponse, hdrs

from marigold.core.connections import is_framed
from marigold.target.gate.drivers import BackEndError

EVENT_STREAM_TYPE = "text/event-stream"
EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
LAST_EVENT = b"data: [DONE]"
MAXIMUM_EVENT_BYTES = 1024 * 1024


class AnswerCutError(BackEndError):
    """The answer was truncated, or its framing does not show that it is complete."""


def is_event_stream(resp: ClientResponse) -> bool:
    """Return whether the body is a stream of server-sent events."""
    return resp.headers.get(hdrs.CONTENT_TYPE, "").startswith(EVENT_STREAM_TYPE)


async def read_body(resp: ClientResponse, method: str) -> AsyncIterator[bytes]:
    """Yield a body as it arrives; raise `AnswerCutError`.

    A body that ends with the connection cannot be distinguished from a truncated
    one, so it is never treated as complete.
    """
    while data := await resp.content.readany():
        yield data
    if not is_framed(resp, method):
        raise AnswerCutError("the answer has neither length nor chunks")


def _find_last_separator(data: bytes) -> int:
    ends = (data.rfind(end) + len(end) for end in EVENT_SEPARATORS if end in data)
    return max(ends, default=0)


async def read_events(resp: ClientResponse) -> AsyncIterator[bytes]:
    """Yield a model's event stream in complete events; raise `AnswerCutError`.

    A stream that is cut inside an event ends after the previous event, so that an
    error event can follow.
    """
    remainder = b""
    last = b""
    while data := await resp.content.readany():
        data = remainder + data
        remainder = b""
        if not data.endswith(EVENT_SEPARATORS):
            end = _find_last_separator(data)
            data, remainder = data[:end], data[end:]
            if len(remainder) > MAXIMUM_EVENT_BYTES:
                raise AnswerCutError("an event is too large")
        if data:
            last = data
            yield data
    if remainder or not last.rstrip().endswith(LAST_EVENT):
        raise AnswerCutError("the stream ended without its last event")
