"""Client for the weight orders and chunks of this host's engine."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from typing import Any

from aiohttp import ClientSession, ClientTimeout

from marigold.core.connections import CALL_ERRORS, read_whole
from marigold.core.schema.generated.records import Manifest
from marigold.core.schema.generated.settings import EngineSettings
from marigold.target.weights.exceptions import EngineFencedError, EngineOrderError

LOAD_TIMEOUT_S = 600.0
STATUS_FENCED = 409


class WeightEngine(ABC):
    """Engine that stores chunks and loads versions.

    All calls raise `EngineOrderError` if the engine fails to carry them out; orders
    raise `EngineFencedError` if their fencing number is too old.
    """

    @abstractmethod
    async def put_chunk(self, version: str, index: int, data: bytes) -> None:
        """Store a verified chunk."""

    @abstractmethod
    async def get_chunk(self, version: str, index: int) -> bytes:
        """Return a stored chunk."""

    @abstractmethod
    async def load(self, manifest: Manifest, fence: int) -> None:
        """Verify the whole digest and load the version."""

    @abstractmethod
    async def unload(self, version: str, fence: int) -> None:
        """Drop the version and its chunks."""

    @abstractmethod
    async def get_versions(self) -> list[str]:
        """Return the versions that the engine reports as loaded."""


class HttpWeightEngine(WeightEngine):
    """Engine with an HTTP API."""

    def __init__(self, session: ClientSession, cfg: EngineSettings) -> None:
        self._session = session
        self._cfg = cfg

    async def put_chunk(self, version: str, index: int, data: bytes) -> None:
        """Store a verified chunk."""
        path = f"/weights/{version}/chunks/{index}"
        await self._call("PUT", path, self._cfg.timeout, data=data)

    async def get_chunk(self, version: str, index: int) -> bytes:
        """Return a stored chunk."""
        path = f"/weights/{version}/chunks/{index}"
        return await self._call("GET", path, self._cfg.timeout)

    async def load(self, manifest: Manifest, fence: int) -> None:
        """Verify the whole digest and load the version."""
        order = {
            "operation": "load",
            "fence": fence,
            "version": manifest.version,
            "chunks": len(manifest.chunks),
            "digest": manifest.digest,
        }
        await self._call("POST", "/orders", LOAD_TIMEOUT_S, json=order)

    async def unload(self, version: str, fence: int) -> None:
        """Drop the version and its chunks."""
        order = {"operation": "unload", "fence": fence, "version": version}
        await self._call("POST", "/orders", self._cfg.timeout, json=order)

    async def get_versions(self) -> list[str]:
        """Return the versions that the engine reports as loaded."""
        url = f"{self._cfg.url}/load"
        timeout = ClientTimeout(total=self._cfg.timeout)
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                return list(json.loads(await read_whole(resp))["versions"])
        except (*CALL_ERRORS, ValueError, LookupError) as exc:
            raise EngineOrderError(f"GET /load: {exc!r}") from exc

    async def _call(
        self, method: str, path: str, timeout: float, **options: Any
    ) -> bytes:
        limit = ClientTimeout(total=timeout)
        url = self._cfg.url + path
        try:
            async with self._session.request(
                method, url, timeout=limit, **options
            ) as resp:
                data = await read_whole(resp)
        except CALL_ERRORS as exc:
            raise EngineOrderError(f"{method} {path}: {exc!r}") from exc
        if resp.status == STATUS_FENCED:
            raise EngineFencedError(f"{method} {path}: old fencing number")
        if resp.status >= 400:
            raise EngineOrderError(f"{method} {path}: status {resp.status}")
        return data
