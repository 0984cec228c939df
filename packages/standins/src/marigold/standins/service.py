"""Stand-in for a plain service that records every call it executes."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from marigold.standins.faults import ServiceFaults, add_fault_routes, consume_fault
from marigold.standins.journal import Journal


class Service:
    """A plain service; `GET /executions` lists the executed calls."""

    def __init__(self, name: str, seconds: float, journal: Journal) -> None:
        self._name = name
        self._seconds = seconds
        self._journal = journal
        self._faults = ServiceFaults()
        self.executions: list[dict[str, Any]] = []

    def make_app(self) -> web.Application:
        """Return the web application of the service."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        add_fault_routes(app, self._faults)
        app.router.add_get("/executions", self.show_executions)
        app.router.add_route("*", "/{path:.*}", self.run)
        return app

    async def show_executions(self, req: web.Request) -> web.Response:
        """Return the calls that were executed."""
        return web.json_response({"executions": self.executions})

    async def run(self, req: web.Request) -> web.Response:
        """Execute a call; answer with its number and an echo of the body."""
        body = await req.text()
        record = {
            "request": req.headers.get("X-Request-Id", ""),
            "method": req.method,
            "path": req.path,
            "body": body,
        }
        self.executions.append(record)
        self._journal.append(record)
        number = len(self.executions)
        await asyncio.sleep(self._seconds + self._faults.delay)
        if consume_fault(self._faults, "lost_answers"):
            req.transport.abort()
        if consume_fault(self._faults, "failures"):
            raise web.HTTPInternalServerError
        answer = {"service": self._name, "execution": number, "echo": body}
        return web.json_response(answer)
