"""The chunks of this host: in memory, and staged at the runner.

A runner holds one staged copy, of whichever version each chunk was put last, and
what is staged may turn bad. So chunks are kept in memory as well, passed on from
there, and compared before the runner is ordered to load. Chunks are staged as
they come, so that a restart of this process does not lose them.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict

from marigold.core.exceptions import (
    OrderConflictError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import RunnerDriver
from marigold.core.platform.weights import compute_digest
from marigold.core.schema.generated.records import Manifest
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import EngineOrderError

log = get_logger(__name__)


class StagedEngine(WeightEngine):
    """Chunks of one model beside its runner."""

    def __init__(self, driver: RunnerDriver, model: str) -> None:
        self._driver = driver
        self._model = model
        self._chunks: dict[str, dict[int, bytes]] = defaultdict(dict)
        # Held while chunks are staged, so that none is replaced between the check of
        # a whole version and the order to load it.
        self._staging = asyncio.Lock()
        self.staged_version = ""

    async def put_chunk(self, version: str, index: int, data: bytes) -> None:
        """Keep a checked chunk, and stage it when its version is next."""
        self._chunks[version][index] = data
        async with self._staging:
            if version != self.staged_version:
                return
            try:
                await self._driver.put_chunk(self._model, index, data)
            except PlatformError as exc:
                # It is staged before the runner is ordered to load.
                log.routine("chunk_not_staged", index=index, reason=exc)

    async def get_chunk(self, version: str, index: int) -> bytes:
        """Return a kept chunk."""
        data = self._chunks[version].get(index)
        if data is None:
            raise EngineOrderError(f"chunk {index} of {version} is not held")
        return data

    def get_held(self, version: str) -> set[int]:
        """Return the chunks of a version that are in memory."""
        return set(self._chunks[version])

    async def recover(self, manifest: Manifest) -> int | None:
        """Take staged chunks that fit a manifest into memory; return how many.

        Return None when the runner cannot be asked now.
        """
        held = self._chunks[manifest.version]
        found = 0
        for index, digest in enumerate(manifest.chunks):
            if index in held:
                continue
            try:
                data = await self._driver.get_chunk(self._model, index)
            except PlatformUnreachableError as exc:
                log.event("staged_unreadable", index=index, reason=exc)
                return None
            if data is None:
                return found
            if compute_digest(data) == digest:
                held[index] = data
                found += 1
        return found

    async def _read_staged(self, index: int) -> bytes | None:
        try:
            return await self._driver.get_chunk(self._model, index)
        except PlatformError as exc:
            log.event("staged_unreadable", index=index, reason=exc)
            return None

    async def _stage(self, manifest: Manifest) -> None:
        """Make what is staged equal to what is in memory."""
        held = self._chunks[manifest.version]
        replaced = 0
        for index in range(len(manifest.chunks)):
            data = held[index]
            if await self._read_staged(index) == data:
                continue
            replaced += 1
            try:
                await self._driver.put_chunk(self._model, index, data)
            except PlatformError as exc:
                raise EngineOrderError(f"chunk {index} not staged: {exc}") from exc
        log.event("chunks_staged", version=manifest.version, replaced=replaced)

    async def load(self, manifest: Manifest, fence: int) -> None:
        """Stage a whole version, and order the runner to load it.

        `fence` is the expected number of earlier orders.
        """
        async with self._staging:
            self.staged_version = manifest.version
            await self._stage(manifest)
            try:
                await self._driver.load(self._model, int(manifest.version), fence)
            except OrderConflictError as exc:
                raise EngineOrderError(
                    f"the runner's state does not fit: {exc}"
                ) from exc
            except PlatformError as exc:
                raise EngineOrderError(f"no answer to the order: {exc}") from exc

    async def unload(self, version: str, fence: int) -> None:
        """Drop the chunks of a version."""
        self._chunks.pop(version, None)

    async def get_versions(self) -> list[str]:
        """Return the versions that the runner reports as loaded."""
        try:
            report = await self._driver.get_report()
        except PlatformError as exc:
            raise EngineOrderError(f"no report: {exc}") from exc
        return [str(item.version) for item in report.held]
