"""Sources that chunks are fetched from."""

from __future__ import annotations

from abc import ABC, abstractmethod

from marigold.core.exceptions import PlatformError
from marigold.core.platform.weights import WeightClient, get_chunk_bytes
from marigold.target.weights.download import Download
from marigold.target.weights.exceptions import ChunkUnavailableError
from marigold.target.weights.peers import Peer

MAXIMUM_CORRUPT_CHUNKS = 2


class ChunkSource(ABC):
    """Source of chunks."""

    __slots__ = ()

    @property
    @abstractmethod
    def name(self) -> str:
        """Name for log events."""

    @property
    @abstractmethod
    def is_origin(self) -> bool:
        """Return whether the source is the weight store."""

    @abstractmethod
    async def fetch(self, download: Download, index: int) -> bytes:
        """Return a chunk, unverified; raise `ChunkUnavailableError`."""


class OriginSource(ChunkSource):
    """The weight store; `timeout` is the maximum seconds without any bytes."""

    __slots__ = ("_client", "_timeout")

    def __init__(self, client: WeightClient, timeout: float) -> None:
        self._client = client
        self._timeout = timeout

    @property
    def name(self) -> str:
        """Name for log events."""
        return "origin"

    @property
    def is_origin(self) -> bool:
        """Return whether the source is the weight store."""
        return True

    async def fetch(self, download: Download, index: int) -> bytes:
        """Return a chunk, unverified; raise `ChunkUnavailableError`."""
        try:
            return await self._client.get_chunk(download.manifest, index, self._timeout)
        except PlatformError as exc:
            raise ChunkUnavailableError(f"origin: {exc}") from exc


class PeerSource(ChunkSource):
    """Another target.

    A fetch fails after `timeout` seconds, or after `stall_timeout` seconds without any
    bytes. Requests to a remote source are exempt from upload budgets, as no other host
    fetches these chunks into the region.
    """

    __slots__ = ("_is_remote", "_peer", "_stall_timeout", "_timeout")

    def __init__(
        self, peer: Peer, timeout: float, stall_timeout: float, is_remote: bool
    ) -> None:
        self._is_remote = is_remote
        self._peer = peer
        self._timeout = timeout
        self._stall_timeout = stall_timeout

    @property
    def name(self) -> str:
        """Name for log events."""
        return self._peer.name

    @property
    def is_origin(self) -> bool:
        """Return whether the source is the weight store."""
        return False

    async def fetch(self, download: Download, index: int) -> bytes:
        """Return a chunk, unverified; raise `ChunkUnavailableError`."""
        size = get_chunk_bytes(download.manifest, index)
        return await self._peer.fetch(
            download, index, size, self._timeout, self._stall_timeout, self._is_remote
        )
