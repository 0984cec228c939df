"""Object API of the platform stand-in: versions, conditional writes and watches."""

from __future__ import annotations

import asyncio

from aiohttp import web

from marigold.standins.faults import PlatformFaults, consume_fault

MAXIMUM_VALUE_BYTES = 1_000_000


class ObjectStore:
    """In-memory objects, served below ``/objects/``."""

    def __init__(self, faults: PlatformFaults) -> None:
        self._faults = faults
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._last_version = 0
        self._changed = asyncio.Condition()
        self.reads = 0
        self.writes = 0

    def add_routes(self, app: web.Application, prefix: str = "") -> None:
        """Register the routes of the objects below a path prefix."""
        path = prefix + "/objects/{name:.+}"
        app.router.add_get(path, self.get)
        app.router.add_put(path, self.put)
        app.router.add_delete(path, self.delete)

    async def get(self, req: web.Request) -> web.Response:
        """Handle a read, a watch or a listing."""
        self.reads += 1
        name = req.match_info["name"]
        if name.endswith("/"):
            return self._list(name)
        if "after" in req.query:
            await self._wait_for_change(
                name, int(req.query["after"]), float(req.query["wait"])
            )
            if self._get_version(name) == int(req.query["after"]):
                return web.Response(status=304)
        if name not in self._objects:
            return web.Response(status=404)
        version, data = self._objects[name]
        return web.Response(body=data, headers={"ETag": f'"{version}"'})

    def _list(self, prefix: str) -> web.Response:
        items = [
            {"name": name, "version": version}
            for name, (version, _) in sorted(self._objects.items())
            if name.startswith(prefix)
        ]
        return web.json_response(items)

    async def _wait_for_change(self, name: str, after: int, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(
                    lambda: self._get_version(name) != after or self._faults.outage
                )
        except TimeoutError:
            return
        if self._faults.outage:
            raise web.HTTPServiceUnavailable

    def _get_version(self, name: str) -> int:
        return self._objects.get(name, (0, b""))[0]

    def _check_precondition(self, req: web.Request, name: str) -> None:
        version = self._get_version(name)
        if_match = req.headers.get("If-Match", "").strip('"')
        must_be_new = req.headers.get("If-None-Match") == "*"
        if (must_be_new and version) or (if_match and if_match != str(version)):
            raise web.HTTPPreconditionFailed(headers={"ETag": f'"{version}"'})

    async def put(self, req: web.Request) -> web.Response:
        """Handle a conditional write."""
        self.writes += 1
        name = req.match_info["name"]
        data = await req.read()
        if len(data) > MAXIMUM_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAXIMUM_VALUE_BYTES, len(data))
        self._check_precondition(req, name)
        self._last_version += 1
        version = self._last_version
        self._objects[name] = (version, data)
        await self.notify()
        if consume_fault(self._faults, "lost_answers"):
            raise web.HTTPGatewayTimeout
        return web.Response(headers={"ETag": f'"{version}"'})

    async def delete(self, req: web.Request) -> web.Response:
        """Handle a conditional delete."""
        self.writes += 1
        name = req.match_info["name"]
        if name not in self._objects:
            return web.Response(status=404)
        self._check_precondition(req, name)
        del self._objects[name]
        await self.notify()
        return web.Response()

    async def notify(self) -> None:
        """Wake all watches to check for changes and faults."""
        async with self._changed:
            self._changed.notify_all()
