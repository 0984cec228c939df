"""Cache of the manifests of wanted versions, read from the weight store.

A manifest that a target doubts is read again, as the store's answer may have been
corrupt; meanwhile it stays in use.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from marigold.core.exceptions import ManifestError, PlatformError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.logging import get_logger
from marigold.core.platform.weights import WeightClient
from marigold.core.schema.generated.records import Manifest

log = get_logger(__name__)

RETRY_S = 0.5
RETRY_MAXIMUM_S = 10.0
# Seconds between two reads of a manifest in doubt, doubled while it stays the same; a
# sound one is doubted as long as the store sends the same corrupt chunk.
RECHECK_INTERVAL_S = 1.0
RECHECK_MAXIMUM_S = 60.0


class ManifestCache:
    """Reads each wanted manifest in a task of its own and retries on failure.

    `monotonic` reads a monotonic clock in seconds.
    """

    def __init__(
        self,
        client: WeightClient,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client = client
        self._rng = rng
        self._monotonic = monotonic
        self._rechecks: dict[tuple[str, str], tuple[float, float]] = {}
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
            self._rechecks.pop(key, None)

    def recheck(self, digest: str) -> None:
        """Read the manifest with a whole digest again, unless that was just done."""
        now = self._monotonic()
        for key, manifest in self._manifests.items():
            if manifest.digest != digest or not self._tasks[key].done():
                continue
            due_at, delay = self._rechecks.get(key, (now, RECHECK_INTERVAL_S))
            if now >= due_at:
                self._rechecks[key] = now + delay, min(2 * delay, RECHECK_MAXIMUM_S)
                self._tasks[key] = asyncio.create_task(self._read(*key))

    async def _read(self, model: str, version: str) -> None:
        delay = RETRY_S
        key = (model, version)
        while True:
            try:
                manifest = await self._client.get_manifest(model, version)
            except (PlatformError, ManifestError) as exc:
                log.event("manifest_failed", model=model, version=version, reason=exc)
            else:
                is_changed = self._manifests.get(key, manifest) != manifest
                if is_changed:
                    self._rechecks.pop(key, None)
                self._manifests[key] = manifest
                log.event(
                    "manifest_read", model=model, version=version, changed=is_changed
                )
                return
            await asyncio.sleep(delay * (0.5 + self._rng.random()))
            delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def stop(self) -> None:
        """Cancel all reads."""
        await cancel_tasks(*self._tasks.values())
