"""The platform stand-in: object API, host list and weight origin in one server.

All routes are served at the root and below ``/from/{data_centre}``, where the host
list has the addresses at which that data centre reaches each host.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from marigold.standins.faults import PlatformFaults, add_fault_routes
from marigold.standins.objects import ObjectStore
from marigold.standins.origin import WeightOrigin

FROM = "/from/{data_centre}"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HostList:
    """Host list whose reads return its state `host_lag` seconds ago."""

    def __init__(self, faults: PlatformFaults) -> None:
        self._faults = faults
        self._hosts: dict[str, dict[str, Any]] = {}
        self._routes: dict[tuple[str, str], str] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def add_routes(self, app: web.Application) -> None:
        """Register the routes of the host list."""
        app.router.add_get("/hosts", self.get)
        app.router.add_put("/hosts/{host}", self.put)
        app.router.add_delete("/hosts/{host}", self.delete)
        app.router.add_get(FROM + "/hosts", self.get)
        app.router.add_put(FROM + "/routes/{host}", self.put_route)

    async def get(self, req: web.Request) -> web.Response:
        """Return the list as it was `host_lag` seconds ago."""
        until = time.monotonic() - self._faults.host_lag
        while len(self._history) > 1 and self._history[1][0] <= until:
            self._history.pop(0)
        data_centre = req.match_info.get("data_centre", "")
        hosts = [self._get_view(host, data_centre) for host in self._history[0][1]]
        return web.json_response(hosts)

    def _get_view(self, host: dict[str, Any], data_centre: str) -> dict[str, Any]:
        address = self._routes.get((data_centre, host["host"]), host["address"])
        return {**host, "address": address}

    async def put_route(self, req: web.Request) -> web.Response:
        """Set the address at which a data centre reaches a host."""
        key = (req.match_info["data_centre"], req.match_info["host"])
        self._routes[key] = (await req.json())["address"]
        return web.Response()

    async def put(self, req: web.Request) -> web.Response:
        """Add or replace a host record."""
        record = await req.json()
        self._hosts[req.match_info["host"]] = record
        self._record_state()
        return web.Response()

    async def delete(self, req: web.Request) -> web.Response:
        """Remove a host."""
        self._hosts.pop(req.match_info["host"], None)
        self._record_state()
        return web.Response()

    def _record_state(self) -> None:
        self._history.append((time.monotonic(), list(self._hosts.values())))


def _get_call_kind(req: web.Request) -> str:
    segments = req.path.split("/")
    if segments[1] == "from":
        del segments[1:3]
    kind = "/".join(segments[1:3]) if segments[1] == "objects" else segments[1]
    method = "watch" if "after" in req.query else req.method
    return f"{method} {kind}"


def make_platform() -> web.Application:
    """Return the web application of the platform stand-in."""
    faults = PlatformFaults()
    store = ObjectStore(faults)

    @web.middleware
    async def apply_faults(req: web.Request, handler: Handler) -> web.StreamResponse:
        if req.path == "/faults":
            resp = await handler(req)
            await store.notify()
            return resp
        if req.path == "/calls":
            return await handler(req)
        calls[_get_call_kind(req)] += 1
        if faults.delay:
            await asyncio.sleep(faults.delay)
        if faults.outage:
            raise web.HTTPServiceUnavailable
        return await handler(req)

    calls: Counter[str] = Counter()

    async def show_calls(req: web.Request) -> web.Response:
        counts = {"reads": store.reads, "writes": store.writes, "by_kind": calls}
        return web.json_response(counts)

    limit = 64 * 1024 * 1024
    app = web.Application(middlewares=[apply_faults], client_max_size=limit)
    add_fault_routes(app, faults)
    app.router.add_get("/calls", show_calls)
    HostList(faults).add_routes(app)
    origin = WeightOrigin(faults)
    for prefix in ("", FROM):
        store.add_routes(app, prefix)
        origin.add_routes(app, prefix)
    return app
