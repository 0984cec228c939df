"""HTTP servers whose callers cannot keep them busy with bytes that are no request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any

from aiohttp import EMPTY_PAYLOAD, web
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from marigold.core.connections import split_address
from marigold.core.logging import get_logger
from marigold.core.overhead import OverheadCounter

log = get_logger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Bytes that are read from a connection at once. The event loop reads 256 KiB if nothing
# else is set, which many connections with unread bodies would hold.
READ_BYTES = 64 * 1024
# Seconds that running requests are given when the server shuts down.
SHUTDOWN_TIMEOUT_S = 0.1


class MalformedContentError(RequestPayloadError, TimeoutError):
    """The body of a request cannot be parsed.

    It is a timeout, as the HTTP library expects no other error from a body that is left
    unread.
    """


class BoundedRequestHandler(RequestHandler):
    """Protocol that closes a connection with too many bytes without content."""

    __slots__ = ("_content", "_overhead", "wire_bytes")

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._overhead = OverheadCounter()
        # Content of the last request.
        self._content = EMPTY_PAYLOAD
        # Bytes received after those in which the last request began.
        self.wire_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is read from the connection at once."""
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and close the connection if they exceed the bound."""
        count = self._request_count
        super().data_received(data)
        if self._request_count != count:
            # The last request began in these bytes, and its head was within its bounds.
            message, content = self._messages[-1]
            if isinstance(message, _ErrInfo) and not self._content.is_eof():
                # The library queues the error as another request, and the handler of
                # this one would wait for the rest of its body.
                self._content.set_exception(MalformedContentError(message.message))
            self._content = content
            self._overhead.start()
            self._overhead.set_content(content)
            self._overhead.add(0)
            self.wire_bytes = 0
            return
        self.wire_bytes += len(data)
        self._overhead.add(len(data))
        # The parser keeps the rest of what it was given while reading is paused.
        if self._reading_paused or self._buffer_paused or self.transport is None:
            return
        if self._overhead.is_exceeded():
            peer = self.transport.get_extra_info("peername")
            log.event(
                "connection_rejected",
                peer=peer,
                reason="too many bytes without content",
            )
            self.transport.abort()


class BoundedServer(web.Server):
    """Low-level server of `BoundedRequestHandler` connections."""

    def __call__(self) -> RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)


class BoundedAppRunner(web.AppRunner):
    """Runner of an application on a `BoundedServer`."""

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


@asynccontextmanager
async def serve_paths(
    address: str, handlers: Mapping[str, Handler]
) -> AsyncIterator[None]:
    """Serve GET requests at ``IP:PORT``, by path, until the context exits.

    Raise `OSError` if the server cannot listen on the address.
    """
    app = web.Application()
    for path, handler in handlers.items():
        app.router.add_get(path, handler)
    runner = BoundedAppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    try:
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        yield
    finally:
        await runner.cleanup()
