"""Cache of the manifests of wanted versions, read from the weight store."""

from __future__ import annotations

import asyncio
import random

from marigold.core.exceptions import ManifestError, PlatformError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.logging import get_logger
from marigold.core.platform.weights import WeightClient
from marigold.core.schema.generated.records import Manifest

log = get_logger(__name__)

RETRY_S = 0.5
RETRY_MAXIMUM_S = 10.0


class ManifestCache:
    """Reads each wanted manifest in a task of its own and retries on failure."""

    def __init__(self, client: WeightClient, rng: random.Random) -> None:
        self._client = client
        self._rng = rng
        self._manifests: dict[tuple[str, str], Manifest] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}

    def get(self, model: str, version: str) -> Manifest | None:
        """Return a cached manifest; otherwise start to read it and return None."""
        key = (model, version)
        if key not in self._manifests and key not in self._tasks:
            self._tasks[key] = asyncio.create_task(self._read(model, version))
        return self._manifests.get(key)

    async def retain(self, keys: set[tuple[str, str]]) -> None:
        """Drop all versions except the given ones."""
        for key in self._tasks.keys() - keys:
            await cancel_tasks(self._tasks.pop(key))
            self._manifests.pop(key, None)

    async def invalidate(self, model: str, version: str) -> None:
        """Drop a manifest, so that the next `get` reads it again."""
        self._manifests.pop((model, version), None)
        task = self._tasks.pop((model, version), None)
        if task is not None:
            await cancel_tasks(task)

    async def _read(self, model: str, version: str) -> None:
        delay = RETRY_S
        while True:
            try:
                manifest = await self._client.get_manifest(model, version)
            except (PlatformError, ManifestError) as exc:
                log.event("manifest_failed", model=model, version=version, reason=exc)
            else:
                self._manifests[model, version] = manifest
                return
            await asyncio.sleep(delay * (0.5 + self._rng.random()))
            delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def stop(self) -> None:
        """Cancel all reads."""
        await cancel_tasks(*self._tasks.values())
