"""Exchange of chunks with the origin and with other targets.

    download = exchange.start(manifest, order)
    await download.completed.wait()

Peers that a download is exchanged with tell each other which chunks they hold.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from marigold.core.exceptions import LinkClosedError, LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.platform.weights import WeightClient
from marigold.core.schema.generated.messages import (
    ChunkAnswer,
    ChunkRequest,
    ChunksHeld,
    LoadOrder,
)
from marigold.core.schema.generated.records import Manifest
from marigold.core.schema.generated.settings import WeightSettings
from marigold.target.weights.backoff import Backoff
from marigold.target.weights.download import Download, SourceShare
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.fetching import RETRY_MAXIMUM_S, ChunkFetcher
from marigold.target.weights.pacing import RatePacer
from marigold.target.weights.peers import Membership, Peer
from marigold.target.weights.rescue import DoublingRescue, RescuePolicy
from marigold.target.weights.sources import (
    OriginSource,
    PeerSource,
)
from marigold.target.weights.uploads import UploadBudget, Uploader

log = get_logger(__name__)

PIPELINED_REQUESTS = 2
# The first chunk of a slow origin takes several times as long as one chunk does,
# and asking the origin for more then would only slow it further.
RESCUE_RATIO = 3.0
STALL_TIMEOUT_S = 2.0
# Seconds in which links to peers are opened, from the timeout for one of them.
LINKING_S = 1.0
# Seconds without a message about chunks after which a link is closed by a host that
# needs none, and between two looks for such links.
IDLE_LINK_S = 5.0
TIDY_INTERVAL_S = 2.0

Dialer = Callable[[str], Awaitable[Link]]


class WeightExchange:
    """The downloads of this host and its links to other targets.

    `dial` opens a link to an address or raises `LinkError`. After `rescue_after`
    seconds without any chunk, `rescue` says what more is asked of the origin; 0 takes a
    few times what one chunk may take. `fetch_pacer` bounds what is fetched, None for
    no bound.
    """

    def __init__(
        self,
        dial: Dialer,
        cfg: WeightSettings,
        engine: WeightEngine,
        client: WeightClient,
        pacer: RatePacer,
        rng: random.Random,
        budget: UploadBudget | None = None,
        retry_maximum: float = RETRY_MAXIMUM_S,
        rescue_after: float = 0.0,
        rescue: RescuePolicy | None = None,
        fetch_pacer: RatePacer | None = None,
    ) -> None:
        self._dial_peer = dial
        self._cfg = cfg
        self._client = client
        self._rng = rng
        self._rescue_after = rescue_after or RESCUE_RATIO * cfg.chunk_timeout
        self._rescue_policy = rescue or DoublingRescue(rng)
        self._uploader = Uploader(
            engine, pacer, cfg.buffer_bytes, budget or UploadBudget()
        )
        self._fetcher = ChunkFetcher(
            engine,
            cfg.parallel,
            self.add_held,
            rng,
            retry_maximum,
            fetch_pacer,
            self._note_origin_failure,
        )
        self._rescued: dict[str, set[int]] = {}
        self._origin_failed_at = -math.inf
        self._downloads: dict[str, Download] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._origins: dict[str, SourceShare] = {}
        self._peers: set[Peer] = set()
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._tidying: asyncio.Task[None] | None = None

    def start(self, manifest: Manifest, order: LoadOrder) -> Download:
        """Start to copy a version; what is held already is kept."""
        download = Download(manifest, order, self._rng)
        digest = manifest.digest
        self._downloads[digest] = download
        share = SourceShare(order.origin_chunks, is_origin=True)
        self._origins[digest] = share
        self._rescued[digest] = set()
        download.add_share(share)
        download.add_available(share, range(len(manifest.chunks)))
        origin = OriginSource(self._client, self._cfg.chunk_timeout)
        self._tasks[digest] = [
            _start_task(self._fetcher.pull(download, share, origin)),
            _start_task(self._rescue(download)),
        ]
        self._connect()
        if self._tidying is None:
            self._tidying = _start_task(self._tidy())
        return download

    def change(self, download: Download, order: LoadOrder) -> None:
        """Follow a newer order for the same version."""
        download.order = order
        self._limit_origin(download)
        for peer in self._peers:
            member = peer.members.get(download.digest)
            if member is not None and peer.address in order.remote:
                download.allow(member.share, order.remote[peer.address])
        self._connect()

    def _limit_origin(self, download: Download) -> None:
        """Let the origin be asked for what is planned, and for what did not come."""
        rescued = self._rescued[download.digest]
        share = self._origins[download.digest]
        download.limit(share, rescued.union(download.order.origin_chunks))

    def _note_origin_failure(self, download: Download) -> None:
        """Ask the origin for no more than planned until it has been back for a while.

        What all hosts missed meanwhile would hold up its first copy.
        """
        self._origin_failed_at = _get_time()
        if self._rescued.get(download.digest):
            self._rescued[download.digest].clear()
            self._limit_origin(download)

    def get_origin_failure_age(self) -> float:
        """Return the seconds since the origin gave no chunk, or infinity."""
        return _get_time() - self._origin_failed_at

    async def drop(self, digest: str) -> None:
        """Stop copying and passing on a version."""
        self._downloads.pop(digest, None)
        self._origins.pop(digest, None)
        self._rescued.pop(digest, None)
        await cancel_tasks(*self._tasks.pop(digest, []))
        for peer in list(self._peers):
            member = peer.members.pop(digest, None)
            if member is not None:
                await cancel_tasks(*member.tasks)
        self._connect()

    async def stop(self) -> None:
        """Close all links and end all tasks."""
        for digest in list(self._downloads):
            await self.drop(digest)
        await cancel_tasks(*self._dialers.values())
        if self._tidying is not None:
            await cancel_tasks(self._tidying)
        for peer in self._peers:
            peer.abort()

    def _connect(self) -> None:
        wanted = self._get_wanted_addresses()
        for address in wanted - self._dialers.keys():
            self._dialers[address] = asyncio.create_task(self._dial(address))
        for address in self._dialers.keys() - wanted:
            if not any(peer.address == address for peer in self._peers):
                self._dialers.pop(address).cancel()
        for peer in self._peers:
            self._join_downloads(peer)

    def _get_wanted_addresses(self) -> set[str]:
        wanted: set[str] = set()
        for download in self._downloads.values():
            if not download.is_complete() and not download.is_halted:
                wanted |= {*download.order.sources, *download.order.remote}
        return wanted

    async def _tidy(self) -> None:
        """Close links over which nothing goes once all copies here are whole.

        A peer that still lacks something opens one when it needs it.
        """
        while True:
            await asyncio.sleep(TIDY_INTERVAL_S)
            if self._get_wanted_addresses():
                continue
            now = _get_time()
            for peer in list(self._peers):
                if now - peer.used_at >= IDLE_LINK_S:
                    peer.abort()

    async def _dial(self, address: str) -> None:
        backoff = Backoff(self._rng)
        while True:
            try:
                link = await self._dial_peer(address)
            except LinkError as exc:
                log.event("peer_unreachable", address=address, reason=exc)
            else:
                backoff.reset()
                await self.serve(link, address)
            if address not in self._get_wanted_addresses():
                del self._dialers[address]
                return
            await backoff.wait()

    async def serve(self, link: Link, address: str = "") -> None:
        """Serve a link to another target until it closes."""
        peer = Peer(link, address, self._answer)
        self._peers.add(peer)
        peer.start()
        log.event("exchange_opened", peer=peer.name)
        try:
            self._join_downloads(peer)
            async for message in link:
                self._handle(peer, message)
        finally:
            self._peers.discard(peer)
            await self._leave_downloads(peer)
            await peer.stop()
            log.event("exchange_closed", peer=peer.name)

    async def _answer(self, peer: Peer, request: ChunkRequest) -> None:
        downloads = self._downloads.values()
        found = next(
            (
                item
                for item in downloads
                if item.manifest.version == request.version
                and item.manifest.model == request.model
            ),
            None,
        )
        await self._uploader.answer(peer, request, found)

    def _handle(self, peer: Peer, message: object) -> None:
        match message:
            case ChunksHeld():
                self._take_held(peer, message)
            case ChunkRequest():
                peer.take_request(message)
            case ChunkAnswer():
                peer.take_answer(message)

    def _take_held(self, peer: Peer, message: ChunksHeld) -> None:
        peer.hear(message)
        download = self._downloads.get(message.digest)
        if download is None:
            return
        member = peer.members.get(message.digest)
        if member is None:
            self._join_downloads(peer)
        else:
            download.add_available(member.share, message.chunks)

    def _join_downloads(self, peer: Peer) -> None:
        for digest, download in self._downloads.items():
            if digest in peer.members:
                continue
            order = download.order
            if peer.address and peer.address in order.sources:
                self._join(peer, download, SourceShare(), is_announced=True)
            elif peer.address and peer.address in order.remote:
                share = SourceShare(order.remote[peer.address])
                self._join(peer, download, share, is_announced=False)
            elif digest in peer.heard:
                self._join(peer, download, SourceShare(), is_announced=True)

    def _join(
        self, peer: Peer, download: Download, share: SourceShare, is_announced: bool
    ) -> None:
        member = peer.join(download, share, is_announced)
        download.add_share(share)
        download.add_available(share, peer.heard.get(download.digest, ()))
        is_far = share.allowed is not None
        stall = self._cfg.chunk_timeout if is_far else STALL_TIMEOUT_S
        source = PeerSource(peer, self._cfg.chunk_timeout, stall, is_far)
        member.tasks = [asyncio.create_task(self._greet(peer, member))]
        for _ in range(1 if is_far else PIPELINED_REQUESTS):
            task = _start_task(self._fetcher.pull(download, share, source))
            member.tasks.append(task)

    async def _greet(self, peer: Peer, member: Membership) -> None:
        try:
            await peer.send_held(member)
        except LinkClosedError:
            return

    async def _leave_downloads(self, peer: Peer) -> None:
        for member in list(peer.members.values()):
            await cancel_tasks(*member.tasks)
            member.download.remove_share(member.share)
            member.download.wake()
        peer.members.clear()

    def add_held(self, download: Download, index: int) -> None:
        """Count a checked chunk as held, and tell peers."""
        download.add_held(index)
        for peer in self._peers:
            peer.announce(download.digest, index)
        if download.is_complete():
            log.event(
                "chunks_complete",
                model=download.manifest.model,
                version=download.manifest.version,
                sent_bytes=download.sent_bytes,
            )

    async def _rescue(self, download: Download) -> None:
        """Let more chunks come from the origin while nothing else comes in."""
        stalls = 0
        # Nothing can come before links to peers are open.
        await asyncio.sleep(LINKING_S)
        while True:
            download.changed.clear()
            if await self._wait_for_change(download):
                stalls = 0
                continue
            if download.is_halted:
                continue
            stalls += 1
            chunks = self._rescue_policy.choose(download, stalls)
            if chunks:
                self._rescued[download.digest].update(chunks)
                self._limit_origin(download)
                log.event("origin_rescue", chunks=len(chunks), stalls=stalls)

    async def _wait_for_change(self, download: Download) -> bool:
        patience = self._rescue_after * (0.5 + self._rng.random())
        try:
            async with asyncio.timeout(None if download.is_complete() else patience):
                await download.changed.wait()
        except TimeoutError:
            return False
        return True


def _get_time() -> float:
    return asyncio.get_running_loop().time()


def _start_task(coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task that logs the error it ends with."""
    task = asyncio.create_task(coro)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.event("task_failed", reason=repr(task.exception()))
