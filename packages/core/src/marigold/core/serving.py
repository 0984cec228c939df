"""Small internal HTTP servers, such as the one for metrics."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager

from aiohttp import web

from marigold.core.connections import split_address

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Seconds that running requests are given when the server shuts down.
SHUTDOWN_S = 0.1


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
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    try:
        host, port = split_address(address)
        await web.TCPSite(runner, host, port).start()
        yield
    finally:
        await runner.cleanup()
