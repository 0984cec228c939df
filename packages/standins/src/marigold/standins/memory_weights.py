"""In-memory engine and weight store, for weight exchanges within one process."""

from __future__ import annotations

import hashlib

from marigold.core.exceptions import PlatformUnreachableError
from marigold.core.platform.weights import WeightClient
from marigold.core.schema.generated.records import Manifest
from marigold.standins.origin import SEND_BYTES, make_manifest
from marigold.standins.segments import SegmentMap, transmit
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import EngineOrderError


class MemoryEngine(WeightEngine):
    """Engine that keeps weights in memory.

    `wrong_bytes` counts the bytes of chunks whose digest was wrong. With
    `reports_false_load` set, loads succeed but load nothing.
    """

    def __init__(self, manifest: Manifest) -> None:
        self._manifest = manifest
        self.chunks: dict[tuple[str, int], bytes] = {}
        self.versions: list[str] = []
        self.wrong_bytes = 0
        self.reports_false_load = False
        self.fence = 0

    async def put_chunk(self, version: str, index: int, data: bytes) -> None:
        """Store a chunk."""
        if hashlib.sha256(data).hexdigest() != self._manifest.chunks[index]:
            self.wrong_bytes += len(data)
        self.chunks[version, index] = data

    async def get_chunk(self, version: str, index: int) -> bytes:
        """Return a stored chunk."""
        if (version, index) not in self.chunks:
            raise EngineOrderError(f"no chunk {index} of {version}")
        return self.chunks[version, index]

    async def load(self, manifest: Manifest, fence: int) -> None:
        """Verify the digest of the whole version and load it."""
        self.fence = max(self.fence, fence)
        if self.reports_false_load:
            return
        whole = hashlib.sha256()
        for index in range(len(manifest.chunks)):
            whole.update(self.chunks.get((manifest.version, index), b""))
        if whole.hexdigest() != manifest.digest:
            raise EngineOrderError(
                "the digest of the weights does not match the manifest"
            )
        self.versions.append(manifest.version)

    async def unload(self, version: str, fence: int) -> None:
        """Remove a version and its chunks."""
        if version in self.versions:
            self.versions.remove(version)
        self.chunks = {
            key: data for key, data in self.chunks.items() if key[0] != version
        }

    async def get_versions(self) -> list[str]:
        """Return the loaded versions."""
        return list(self.versions)


class WeightStore:
    """Weights of one version with the fault switches of the store."""

    __slots__ = ("corrupt_chunks", "is_down", "manifest", "reads", "weights")

    def __init__(self, weights: bytes, chunk_size: int) -> None:
        text = make_manifest("assistant", "2", weights, chunk_size)
        self.weights = weights
        self.manifest = Manifest(**text)
        self.corrupt_chunks = 0
        self.is_down = False
        self.reads = 0


class MemoryOrigin(WeightClient):
    """Client of an in-memory weight store behind network segments.

    The next `corrupt_chunks` reads of the store return wrong bytes, and every read
    fails while `is_down` is set. `reads` counts the requested chunks.
    """

    __slots__ = ("_host", "_segments", "_store")

    def __init__(self, store: WeightStore, segments: SegmentMap, host: str) -> None:
        self._store = store
        self._segments = segments
        self._host = host

    async def get_chunk(self, manifest: Manifest, index: int, timeout: float) -> bytes:
        """Return a chunk at the rate of the network segments."""
        store = self._store
        store.reads += 1
        if store.is_down:
            raise PlatformUnreachableError("the weight store is down")
        start = index * manifest.chunk_size
        data = store.weights[start : start + manifest.chunk_size]
        path = self._segments.get_origin_path(self._host)
        for offset in range(0, len(data), SEND_BYTES):
            await transmit(path, len(data[offset : offset + SEND_BYTES]))
        if store.corrupt_chunks:
            store.corrupt_chunks -= 1
            return bytes(len(data))
        return data
