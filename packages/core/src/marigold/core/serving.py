"""Small HTTP servers of a process, such as the one for metrics."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager

from aiohttp import web

from marigold.core.connections import split_address

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Seconds that requests may run on when the server ends.
SHUTDOWN_S = 0.1


@asynccontextmanager
async def serve_paths(
    address: str, handlers: Mapping[str, Handler]
) -> AsyncIterator[None]:
    """Answer GET requests at ``IP:PORT`` by path until the context ends.

    Raise `OSError` when the address cannot be listened on.
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
