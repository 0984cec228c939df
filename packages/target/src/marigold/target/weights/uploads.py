"""Uploads of chunks that peers request."""

from __future__ import annotations

import asyncio

from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import ChunkAnswer, ChunkRequest
from marigold.target.weights.download import Download
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import EngineOrderError
from marigold.target.weights.pacing import RatePacer
from marigold.target.weights.peers import Peer

log = get_logger(__name__)

PART_BYTES = 32 * 1024
UPLOAD_COPIES = 0.95
COPIES_PER_REFUSAL = 0.01
CHUNK_SENDS = 2


class UploadBudget:
    """Limits of the copies that a host sends.

    `copies` limits a version in total and `sends` each chunk at first. Chunks are sent
    in parts of `part_bytes`, so that live traffic can be sent in between. The defaults
    suit swarms of hundreds of hosts; in a small swarm, the host that fetches a chunk
    from the origin may have to send it to most other hosts.
    """

    __slots__ = ("copies", "part_bytes", "sends")

    def __init__(
        self,
        copies: float = UPLOAD_COPIES,
        sends: int = CHUNK_SENDS,
        part_bytes: int = PART_BYTES,
    ) -> None:
        self.copies = copies
        self.sends = sends
        self.part_bytes = part_bytes


class Uploader:
    """Reads chunks from the engine and sends them in parts.

    At most `buffer_bytes` of chunks are in memory at once. The budget limits the copies
    of each download; it grows for chunks that peers were refused often, so that the
    hosts that have sent least serve those. The limit per chunk lets a host that fetches
    new chunks send each of them.
    """

    __slots__ = (
        "_budget",
        "_buffer_bytes",
        "_buffered",
        "_engine",
        "_pacer",
        "_released",
    )

    def __init__(
        self,
        engine: WeightEngine,
        pacer: RatePacer,
        buffer_bytes: int,
        budget: UploadBudget,
    ) -> None:
        self._engine = engine
        self._pacer = pacer
        self._budget = budget
        self._buffer_bytes = buffer_bytes
        self._buffered = 0
        self._released = asyncio.Event()

    async def answer(
        self, peer: Peer, request: ChunkRequest, download: Download | None
    ) -> None:
        """Send a chunk, or an empty answer to refuse it; raise `LinkClosedError`."""
        if download is None or not self._may_send(download, request):
            await peer.send(ChunkAnswer(digest=request.digest, offset=0, data=b""))
            return
        size = download.manifest.chunk_size
        download.sent_bytes += size
        download.sent[request.index] += 1
        await self._reserve(size)
        try:
            await self._send(peer, request, await self._read(request))
        finally:
            self._buffered -= size
            self._released.set()

    async def _reserve(self, size: int) -> None:
        while self._buffered and self._buffered + size > self._buffer_bytes:
            self._released.clear()
            await self._released.wait()
        self._buffered += size

    async def _read(self, request: ChunkRequest) -> bytes:
        try:
            return await self._engine.get_chunk(request.version, request.index)
        except EngineOrderError as exc:
            log.event("chunk_unreadable", index=request.index, reason=exc)
            return b""

    async def _send(self, peer: Peer, request: ChunkRequest, data: bytes) -> None:
        offset = 0
        while True:
            part = data[offset : offset + self._budget.part_bytes]
            await self._pacer.wait(len(part))
            answer = ChunkAnswer(digest=request.digest, offset=offset, data=part)
            await peer.send(answer)
            offset += len(part)
            if offset >= len(data):
                return

    def _may_send(self, download: Download, request: ChunkRequest) -> bool:
        if request.index not in download.held:
            return False
        if download.manifest.chunks[request.index] != request.digest:
            return False
        if download.sent[request.index] >= self._budget.sends + request.refusals:
            return False
        copies = self._budget.copies + COPIES_PER_REFUSAL * request.refusals
        return download.sent_bytes < copies * download.manifest.size
