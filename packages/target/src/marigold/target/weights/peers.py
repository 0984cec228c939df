"""Protocol with another target over one link: announcements, requests and answers.

Each peer has one task that reads the link, one that announces new chunks and one that
answers requests, so that a stalled peer delays no other.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from marigold.core.exceptions import LinkClosedError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.link import Link
from marigold.core.schema.generated.messages import (
    ChunkAnswer,
    ChunkRequest,
    ChunksHeld,
)
from marigold.target.weights.download import Download, SourceOffer
from marigold.target.weights.exceptions import ChunkRefusedError, ChunkUnavailableError

MAXIMUM_QUEUED_REQUESTS = 64
MAXIMUM_ANNOUNCED_VERSIONS = 8
BATCH_INTERVAL_S = 0.1
# Refusals stated in requests to remote peers, which exempts them from upload budgets.
REMOTE_REFUSALS = 1000

Answerer = Callable[["Peer", ChunkRequest], Awaitable[None]]


class _ChunkBuffer:
    """Parts of a requested chunk that have arrived."""

    __slots__ = ("data", "finished", "progressed", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.data = bytearray()
        self.progressed = asyncio.Event()
        self.finished = False


class PeerTransfer:
    """Exchange of one download with one peer.

    `is_announced_to` is whether held chunks are announced to the peer; `only` limits
    them, if not empty.
    """

    __slots__ = ("download", "is_announced_to", "offer", "only", "tasks", "unannounced")

    def __init__(
        self, download: Download, offer: SourceOffer, is_announced_to: bool
    ) -> None:
        self.download = download
        self.offer = offer
        self.is_announced_to = is_announced_to
        self.only: set[int] = set()
        self.unannounced = list(download.held) if is_announced_to else []
        self.tasks: list[asyncio.Task[None]] = []

    def should_announce(self, index: int) -> bool:
        """Return whether a held chunk has to be announced to the peer."""
        return self.is_announced_to and (not self.only or index in self.only)

    def limit_announcements(self, only: list[int]) -> None:
        """Announce only these chunks to the peer; an empty list means all."""
        self.only = set(only)
        self.unannounced = [
            item for item in self.unannounced if self.should_announce(item)
        ]


class Peer:
    """Another target at the end of an open link.

    `address` is the address that this process dialled, empty for an accepted link.
    `last_used_at` is the event loop's time of the last chunk message. `announced` and
    `announce_only` are the peer's announcements and limits by whole digest, `digests`
    the whole digest that it announced last for a model and version.
    """

    def __init__(self, link: Link, address: str, answer: Answerer) -> None:
        self._link = link
        self._answer = answer
        self._buffers: dict[str, _ChunkBuffer] = {}
        self._requests: deque[ChunkRequest] = deque()
        self._requested = asyncio.Event()
        self._announced = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.address = address
        self.transfers: dict[str, PeerTransfer] = {}
        self.announced: dict[str, list[int]] = {}
        self.announce_only: dict[str, list[int]] = {}
        self.digests: dict[tuple[str, str], str] = {}
        self.last_used_at = _get_loop_time()

    @property
    def name(self) -> str:
        """Name of the peer's process."""
        return self._link.peer.process

    def start(self) -> None:
        """Start the tasks that send messages."""
        self._tasks = [
            asyncio.create_task(self._announce()),
            asyncio.create_task(self._serve_requests()),
        ]

    async def stop(self) -> None:
        """Stop the tasks and fail pending fetches."""
        await cancel_tasks(*self._tasks)
        for buffer in self._buffers.values():
            buffer.finished = True
            buffer.progressed.set()

    def abort(self) -> None:
        """Close the link at once."""
        self._link.abort()

    async def send(self, message: ChunksHeld | ChunkRequest | ChunkAnswer) -> None:
        """Send a message; raise `LinkClosedError`."""
        await self._link.send(message)

    def record_announcement(self, message: ChunksHeld) -> None:
        """Record an announcement, also of a download that has not started yet."""
        self.last_used_at = _get_loop_time()
        self._record_digest(message)
        if message.digest in self.transfers:
            return
        if (
            message.digest in self.announced
            or len(self.announced) < MAXIMUM_ANNOUNCED_VERSIONS
        ):
            self.announced.setdefault(message.digest, []).extend(message.chunks)
            self.announce_only[message.digest] = message.only

    def _record_digest(self, message: ChunksHeld) -> None:
        key = (message.model, message.version)
        self.digests.pop(key, None)
        self.digests[key] = message.digest
        for old in list(self.digests)[:-MAXIMUM_ANNOUNCED_VERSIONS]:
            del self.digests[old]

    def add_transfer(
        self, download: Download, offer: SourceOffer, is_announced: bool
    ) -> PeerTransfer:
        """Start to exchange a download with this peer."""
        transfer = PeerTransfer(download, offer, is_announced)
        transfer.limit_announcements(self.announce_only.get(download.digest, []))
        self.transfers[download.digest] = transfer
        return transfer

    def announce(self, digest: str, index: int) -> None:
        """Queue the announcement of a held chunk."""
        transfer = self.transfers.get(digest)
        if transfer is not None and transfer.should_announce(index):
            transfer.unannounced.append(index)
            self._announced.set()

    async def send_held(self, transfer: PeerTransfer) -> None:
        """Send the queued announcements; raise `LinkClosedError`."""
        chunks, transfer.unannounced = transfer.unannounced, []
        manifest = transfer.download.manifest
        message = ChunksHeld(
            model=manifest.model,
            version=manifest.version,
            digest=manifest.digest,
            chunks=chunks,
            only=[]
            if transfer.is_announced_to
            else sorted(transfer.offer.allowed or ()),
        )
        await self.send(message)

    async def _announce(self) -> None:
        while True:
            await self._announced.wait()
            await asyncio.sleep(BATCH_INTERVAL_S)
            self._announced.clear()
            for transfer in list(self.transfers.values()):
                if transfer.unannounced:
                    await self._send_announcement(transfer)

    async def _send_announcement(self, transfer: PeerTransfer) -> None:
        try:
            await self.send_held(transfer)
        except LinkClosedError:
            return

    def queue_request(self, request: ChunkRequest) -> None:
        """Queue a request of the peer, or drop it if the queue is full."""
        self.last_used_at = _get_loop_time()
        if len(self._requests) < MAXIMUM_QUEUED_REQUESTS:
            self._requests.append(request)
            self._requested.set()

    async def _serve_requests(self) -> None:
        while True:
            if not self._requests:
                self._requested.clear()
                await self._requested.wait()
            try:
                await self._answer(self, self._requests.popleft())
            except LinkClosedError:
                return

    def receive_part(self, answer: ChunkAnswer) -> None:
        """Append a received part to the chunk that is being fetched."""
        self.last_used_at = _get_loop_time()
        buffer = self._buffers.get(answer.digest)
        if buffer is None or buffer.finished:
            return
        if answer.data and answer.offset != len(buffer.data):
            return
        buffer.data += answer.data
        if not answer.data or len(buffer.data) >= buffer.size:
            buffer.finished = True
        buffer.progressed.set()

    async def fetch(
        self,
        download: Download,
        index: int,
        size: int,
        timeout: float,
        stall_timeout: float,
        is_remote: bool,
    ) -> bytes:
        """Return a chunk from the peer, unverified.

        Raise `ChunkUnavailableError` when the peer refuses, sends nothing for
        `stall_timeout` seconds, or needs longer than `timeout` seconds.
        """
        manifest = download.manifest
        digest = manifest.chunks[index]
        request = ChunkRequest(
            model=manifest.model,
            version=manifest.version,
            index=index,
            digest=digest,
            refusals=REMOTE_REFUSALS if is_remote else download.get_refusals(index),
        )
        if digest in self._buffers:
            raise ChunkUnavailableError(
                f"the chunk is already requested from {self.name}"
            )
        buffer = _ChunkBuffer(size)
        self._buffers[digest] = buffer
        try:
            async with asyncio.timeout(timeout):
                await self.send(request)
                await _receive(buffer, stall_timeout)
        except (TimeoutError, LinkClosedError) as exc:
            raise ChunkUnavailableError(f"{self.name}: {exc!r}") from exc
        finally:
            self._buffers.pop(digest, None)
        if len(buffer.data) != size:
            raise ChunkRefusedError(f"{self.name} refused the chunk")
        return bytes(buffer.data)


def _get_loop_time() -> float:
    return asyncio.get_running_loop().time()


async def _receive(buffer: _ChunkBuffer, stall_timeout: float) -> None:
    while not buffer.finished:
        buffer.progressed.clear()
        async with asyncio.timeout(stall_timeout):
            await buffer.progressed.wait()
