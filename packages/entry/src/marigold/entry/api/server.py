"""HTTP server of the entry."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from marigold.core.schema.generated.settings import EntrySettings
from marigold.core.serving import READ_BYTES, BoundedAppRunner
from marigold.entry.api.administration import AdministrationApi
from marigold.entry.api.callers import CallerApi
from marigold.entry.api.middleware import convert_errors
from marigold.entry.metrics import EntryMetrics

SHUTDOWN_TIMEOUT_S = 1.0
BACKLOG = 128
# Time for a caller to send its request on a connection that it has just opened: one
# round trip between data centres plus delays of a busy process at each end.
OPEN_CONNECTION_GRACE_S = 0.25


class HealthApi:
    """Handlers for health, readiness and metrics."""

    def __init__(self, metrics: EntryMetrics, is_ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._is_ready = is_ready

    def add_routes(self, app: web.Application) -> None:
        """Register the routes for health, readiness and metrics."""
        app.router.add_get("/healthz", self.get_health)
        app.router.add_get("/readyz", self.get_readiness)
        app.router.add_get("/metrics", self.get_metrics)

    async def get_health(self, req: web.Request) -> web.Response:
        """Answer that the process is running."""
        return web.Response(text="ok\n")

    async def get_readiness(self, req: web.Request) -> web.Response:
        """Answer whether the entry accepts new requests."""
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def get_metrics(self, req: web.Request) -> web.Response:
        """Answer with the metrics in text format."""
        return web.Response(text=self._metrics.render())


@asynccontextmanager
async def serve_api(
    cfg: EntrySettings,
    callers: CallerApi,
    administration: AdministrationApi,
    health: HealthApi,
) -> AsyncIterator[int]:
    """Serve all HTTP interfaces and yield the port that the server listens on."""
    app = web.Application(
        client_max_size=cfg.limits.body_bytes, middlewares=[convert_errors]
    )
    for api in (callers, administration, health):
        api.add_routes(app)
    runner = BoundedAppRunner(
        app,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        handler_cancellation=True,
        max_field_size=cfg.limits.header_bytes,
        max_line_size=cfg.limits.header_bytes,
        read_bufsize=READ_BYTES // 2,
    )
    await runner.setup()
    try:
        sock = _listen(cfg.callers.host, cfg.callers.port)
        site = web.SockSite(runner, sock, backlog=BACKLOG)
        await site.start()
        yield runner.addresses[0][1]
        await _stop_accepting(sock, site)
    finally:
        await runner.cleanup()


def _listen(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG)


async def _stop_accepting(sock: socket.socket, site: web.SockSite) -> None:
    """Close the port without resetting connections that are already open.

    Closing the port resets connections in the backlog, so they are accepted first.
    Stopping the server resets connections that have sent no request yet, so those
    get a grace period.
    """
    sock.listen(0)
    # The event loop detects pending connections in its first iteration and accepts
    # them in the second.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await site.stop()
    await asyncio.sleep(OPEN_CONNECTION_GRACE_S)
