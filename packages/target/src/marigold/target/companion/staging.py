"""Chunks of this host, in memory and staged at the runner.

A runner stages one copy; each staged chunk belongs to the version that was put last,
and staged bytes may become corrupt. Chunks are therefore kept in memory too, served
to peers from there, and compared with the staged ones before the runner is ordered to
load. They are staged as they arrive, so that a restart of this process keeps them.

A chunk may become corrupt after it was compared, so a check allows a load for a limited
time only, suspensions of the host included, and is repeated when that time has passed.
The runner may also carry out a call late, so a version is staged and loaded only while
no call of another one is outstanding.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import (
    OrderConflictError,
    OrderExpiredError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import RunnerDriver
from marigold.core.platform.weights import compute_digest
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.staging_calls import ORDER, StagingCalls
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import EngineOrderError

log = get_logger(__name__)

# Seconds from the first comparison of a check to the load order. The platform forgives
# chunks that became corrupt in the last 3 s before the engine accepts the order.
CHECK_VALID_S = 2.0
# Checks before a load is given up for now; its caller may call it again.
CHECK_ROUNDS = 3
# Concurrent comparisons of a check: at most, and as a multiple of those of a check that
# took too long. A check begins with one, as each needs a connection of its own.
MAXIMUM_COMPARISONS = 16
COMPARISONS_GROWTH = 4


class StagedEngine(WeightEngine):
    """Engine that keeps a model's chunks in memory and stages them at the runner.

    `staged_version` is the version whose chunks are staged as they arrive. `clock`
    reads boot time in seconds. `calls` holds the calls that may be outstanding.
    """

    def __init__(
        self,
        driver: RunnerDriver,
        model: str,
        clock: Callable[[], float] = get_boottime,
        calls: StagingCalls | None = None,
    ) -> None:
        self.calls = calls or StagingCalls(clock)
        self._driver = driver
        self._model = model
        self._clock = clock
        self._comparisons = 1
        self._chunks: dict[str, dict[int, bytes]] = defaultdict(dict)
        # Serialises staging, so that no chunk is replaced between the check of a
        # version and the order to load it.
        self._staging_lock = asyncio.Lock()
        self.staged_version = ""

    async def put_chunk(self, version: str, index: int, data: bytes) -> None:
        """Keep a checked chunk, and stage it if it belongs to the staged version."""
        self._chunks[version][index] = data
        async with self._staging_lock:
            if version != self.staged_version or not self.calls.is_free_for(version):
                return
            try:
                await self._put(version, index, data)
            except PlatformError as exc:
                # `load` stages missing chunks before it orders the runner.
                log.routine("chunk_not_staged", index=index, reason=exc)

    async def _put(self, version: str, index: int, data: bytes) -> None:
        await self.calls.run(
            version, index, lambda: self._driver.put_chunk(self._model, index, data)
        )

    async def get_chunk(self, version: str, index: int) -> bytes:
        """Return a chunk from memory."""
        data = self._chunks[version].get(index)
        if data is None:
            raise EngineOrderError(f"chunk {index} of {version} is not held")
        return data

    def get_held(self, version: str) -> set[int]:
        """Return the chunks of a version that are in memory."""
        return set(self._chunks[version])

    async def recover(self, manifest: Manifest) -> int | None:
        """Read staged chunks that match a manifest into memory; return their number.

        Return None if the runner is unreachable.
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
                self.calls.record_staged(manifest.version)
        return found

    async def _read_staged(self, index: int) -> bytes | None:
        try:
            return await self._driver.get_chunk(self._model, index)
        except PlatformError as exc:
            log.event("staged_unreadable", index=index, reason=exc)
            return None

    async def _stage(self, manifest: Manifest, expires_at: float) -> bool:
        """Replace staged chunks that differ from those in memory.

        Return whether all of them were compared before `expires_at`.
        """
        began_at = self._clock()
        indexes = iter(range(len(manifest.chunks)))
        results = await asyncio.gather(
            *(
                self._stage_chunks(manifest, indexes, expires_at)
                for _ in range(self._comparisons)
            ),
            return_exceptions=True,
        )
        replaced = 0
        for result in results:
            if isinstance(result, BaseException):
                raise result
            replaced += result
        now = self._clock()
        is_recent = now < expires_at
        log.event(
            "chunks_staged",
            version=manifest.version,
            replaced=replaced,
            seconds=now - began_at,
            comparisons=self._comparisons,
            is_recent=is_recent,
        )
        return is_recent

    async def _stage_chunks(
        self, manifest: Manifest, indexes: Iterator[int], expires_at: float
    ) -> int:
        """Replace chunks that differ until `expires_at`; return their number."""
        held = self._chunks[manifest.version]
        replaced = 0
        for index in indexes:
            if self._clock() >= expires_at:
                break
            data = held[index]
            if await self._read_staged(index) == data:
                continue
            replaced += 1
            try:
                await self._put(manifest.version, index, data)
            except PlatformError as exc:
                raise EngineOrderError(f"chunk {index} not staged: {exc}") from exc
        return replaced

    async def load(self, manifest: Manifest, fence: int) -> None:
        """Stage a complete version and order the runner to load it.

        `fence` is the number of earlier orders that the runner must have received.
        """
        async with self._staging_lock:
            if not self.calls.is_free_for(manifest.version):
                raise EngineOrderError("calls of another version are outstanding")
            self.staged_version = manifest.version
            for _ in range(CHECK_ROUNDS):
                expires_at = self._clock() + CHECK_VALID_S
                if await self._stage(manifest, expires_at) and await self._order(
                    manifest, fence, expires_at
                ):
                    return
                self._comparisons = min(
                    self._comparisons * COMPARISONS_GROWTH, MAXIMUM_COMPARISONS
                )
        raise EngineOrderError(f"no check of the chunks ended in {CHECK_VALID_S} s")

    async def _order(self, manifest: Manifest, fence: int, expires_at: float) -> bool:
        """Order the runner to load; return whether the order was sent in time."""
        try:
            await self.calls.run(
                manifest.version,
                ORDER,
                lambda: self._driver.load(
                    self._model, int(manifest.version), fence, expires_at
                ),
            )
        except OrderExpiredError as exc:
            log.event("load_order_expired", version=manifest.version, reason=exc)
            return False
        except OrderConflictError as exc:
            raise EngineOrderError(
                f"the runner has received other orders: {exc}"
            ) from exc
        except PlatformError as exc:
            raise EngineOrderError(f"the load order failed: {exc}") from exc
        return True

    def discard(self, version: str, indexes: Iterable[int]) -> None:
        """Drop chunks of a version from memory."""
        for index in indexes:
            self._chunks[version].pop(index, None)

    async def unload(self, version: str, fence: int) -> None:
        """Drop a version's chunks from memory."""
        self._chunks.pop(version, None)

    async def get_versions(self) -> list[str]:
        """Return the versions that the runner reports as loaded."""
        try:
            report = await self._driver.get_report()
        except PlatformError as exc:
            raise EngineOrderError(f"the runner sent no report: {exc}") from exc
        return [str(item.version) for item in report.held]
