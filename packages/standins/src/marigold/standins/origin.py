"""Weight origin of the platform stand-in.

Weights are pseudo-random bytes derived from model, version and size, so that both
ends can verify them without a file.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from typing import Any

from aiohttp import web

from marigold.standins.faults import PlatformFaults, consume_fault

SEND_BYTES = 16 * 1024


def make_weights(model: str, version: str, size: int) -> bytes:
    """Return the weights of a version."""
    return random.Random(f"{model}/{version}").randbytes(size)


def make_manifest(
    model: str, version: str, weights: bytes, chunk_size: int
) -> dict[str, Any]:
    """Return the manifest of weights."""
    starts = range(0, len(weights), chunk_size)
    chunks = [weights[start : start + chunk_size] for start in starts]
    return {
        "model": model,
        "version": version,
        "size": len(weights),
        "chunk_size": chunk_size,
        "chunks": [hashlib.sha256(chunk).hexdigest() for chunk in chunks],
        "digest": hashlib.sha256(weights).hexdigest(),
    }


class WeightOrigin:
    """Versions published with ``PUT /weights/{model}/{version}``.

    The body gives `size` and `chunk_size` in bytes. The `weight_rate` switch limits
    the total rate of all chunk reads; 0 means no limit.
    """

    def __init__(self, faults: PlatformFaults) -> None:
        self._faults = faults
        self._weights: dict[tuple[str, str], tuple[bytes, dict[str, Any]]] = {}
        self._free_at = 0.0
        self.bytes_sent = 0

    def add_routes(self, app: web.Application, prefix: str = "") -> None:
        """Register the routes of manifests and chunks below a path prefix."""
        version = prefix + "/weights/{model}/{version}"
        app.router.add_put(version, self.publish)
        app.router.add_delete(version, self.withdraw)
        app.router.add_get(version + "/manifest", self.get_manifest)
        app.router.add_get(version + "/chunks/{index}", self.get_chunk)
        app.router.add_get(prefix + "/weights", self.show)

    async def publish(self, req: web.Request) -> web.Response:
        """Make a version available."""
        model, version = req.match_info["model"], req.match_info["version"]
        sizes = json.loads(await req.read() or b"{}")
        weights = make_weights(model, version, sizes["size"])
        manifest = make_manifest(model, version, weights, sizes["chunk_size"])
        self._weights[model, version] = (weights, manifest)
        return web.json_response(manifest)

    async def withdraw(self, req: web.Request) -> web.Response:
        """Remove a version."""
        key = (req.match_info["model"], req.match_info["version"])
        self._weights.pop(key, None)
        return web.Response()

    async def show(self, req: web.Request) -> web.Response:
        """Return the bytes sent so far and the versions."""
        versions = [f"{model}/{version}" for model, version in self._weights]
        return web.json_response({"bytes_sent": self.bytes_sent, "versions": versions})

    def _find(self, req: web.Request) -> tuple[bytes, dict[str, Any]]:
        key = (req.match_info["model"], req.match_info["version"])
        if key not in self._weights:
            raise web.HTTPNotFound
        return self._weights[key]

    async def get_manifest(self, req: web.Request) -> web.Response:
        """Return a manifest."""
        manifest = self._find(req)[1]
        if consume_fault(self._faults, "corrupt_manifests"):
            first, *others = manifest["chunks"]
            digit = "0" if first[0] != "0" else "1"
            manifest = manifest | {"chunks": [digit + first[1:], *others]}
        return web.json_response(manifest)

    async def get_chunk(self, req: web.Request) -> web.StreamResponse:
        """Send a chunk at the rate of the origin's link."""
        weights, manifest = self._find(req)
        index = int(req.match_info["index"])
        if not 0 <= index < len(manifest["chunks"]):
            raise web.HTTPNotFound
        start = index * manifest["chunk_size"]
        data = weights[start : start + manifest["chunk_size"]]
        if consume_fault(self._faults, "corrupt_chunks"):
            data = bytes([data[0] ^ 0xFF]) + data[1:]
        await asyncio.sleep(self._faults.weight_delay)
        resp = web.StreamResponse(headers={"Content-Length": str(len(data))})
        await resp.prepare(req)
        for offset in range(0, len(data), SEND_BYTES):
            part = data[offset : offset + SEND_BYTES]
            await self._wait_for_bandwidth(len(part))
            await resp.write(part)
            self.bytes_sent += len(part)
        await resp.write_eof()
        return resp

    async def _wait_for_bandwidth(self, size: int) -> None:
        rate = self._faults.weight_rate
        if not rate:
            return
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / rate
        await asyncio.sleep(self._free_at - now)
