"""Exchange of chunks with the origin and with other targets.

    download = exchange.start(manifest, order)
    await download.completed.wait()

Peers announce to each other which chunks of a download they hold.
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
from marigold.core.platform.weights import WeightClient, abbreviate_digest
from marigold.core.schema.generated.messages import (
    ChunkAnswer,
    ChunkRequest,
    ChunksHeld,
    LoadOrder,
)
from marigold.core.schema.generated.records import Manifest
from marigold.core.schema.generated.settings import WeightSettings
from marigold.target.weights.backoff import Backoff
from marigold.target.weights.download import Download, SourceOffer
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.fetching import MAXIMUM_RETRY_WAIT_S, ChunkFetcher
from marigold.target.weights.origin_fallback import DoublingFallback, OriginFallback
from marigold.target.weights.pacing import RatePacer
from marigold.target.weights.peers import Peer, PeerTransfer
from marigold.target.weights.sources import (
    OriginSource,
    PeerSource,
)
from marigold.target.weights.uploads import UploadBudget, Uploader

log = get_logger(__name__)

PIPELINED_REQUESTS = 2
# The first chunk of a slow origin takes several times as long as later ones; asking it
# for more meanwhile would slow it further.
FALLBACK_DELAY_RATIO = 3.0
STALL_TIMEOUT_S = 2.0
# Seconds in which links to peers are opened; equals the timeout for one link.
LINK_SETUP_S = 1.0
# Seconds without chunk messages after which a host that needs no chunks closes a link,
# and between two checks for such links.
IDLE_LINK_S = 5.0
IDLE_CHECK_INTERVAL_S = 2.0

Dialer = Callable[[str], Awaitable[Link]]


class WeightExchange:
    """Downloads of this host and its links to other targets.

    `dial` opens a link to an address or raises `LinkError`. After `fallback_delay`
    seconds without any chunk, `fallback` chooses further chunks to request from the
    origin; a delay of 0 stands for `FALLBACK_DELAY_RATIO` chunk timeouts. `pacer`
    limits the rate of uploads and `fetch_pacer`, if any, that of fetches.
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
        retry_maximum: float = MAXIMUM_RETRY_WAIT_S,
        fallback_delay: float = 0.0,
        fallback: OriginFallback | None = None,
        fetch_pacer: RatePacer | None = None,
    ) -> None:
        self._dial_peer = dial
        self._cfg = cfg
        self._client = client
        self._rng = rng
        self._fallback_delay = (
            fallback_delay or FALLBACK_DELAY_RATIO * cfg.chunk_timeout
        )
        self._fallback = fallback or DoublingFallback(rng)
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
            self._on_origin_failure,
        )
        self._fallback_chunks: dict[str, set[int]] = {}
        self._origin_failed_at = -math.inf
        self._downloads: dict[str, Download] = {}
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._origins: dict[str, SourceOffer] = {}
        self._peers: set[Peer] = set()
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._idle_task: asyncio.Task[None] | None = None

    def start(self, manifest: Manifest, order: LoadOrder) -> Download:
        """Start the download of a version; chunks that are held are added later."""
        download = Download(manifest, order, self._rng)
        digest = manifest.digest
        self._downloads[digest] = download
        offer = SourceOffer(order.origin_chunks, is_origin=True)
        self._origins[digest] = offer
        self._fallback_chunks[digest] = set()
        download.add_offer(offer)
        download.add_available(offer, range(len(manifest.chunks)))
        origin = OriginSource(self._client, self._cfg.chunk_timeout)
        self._tasks[digest] = [
            _start_task(self._fetcher.fetch_from(download, offer, origin)),
            _start_task(self._run_fallback(download)),
        ]
        for peer in self._peers:
            self._compare_manifests(peer, download)
        self._connect()
        if self._idle_task is None:
            self._idle_task = _start_task(self._close_idle_links())
        return download

    def update_order(self, download: Download, order: LoadOrder) -> None:
        """Apply a newer order for the same version."""
        download.order = order
        self._update_origin_limit(download)
        for peer in self._peers:
            transfer = peer.transfers.get(download.digest)
            if transfer is not None and peer.address in order.remote:
                download.allow_chunks(transfer.offer, order.remote[peer.address])
        self._connect()

    def _update_origin_limit(self, download: Download) -> None:
        """Limit requests to the origin to planned chunks and fallback chunks."""
        rescued = self._fallback_chunks[download.digest]
        offer = self._origins[download.digest]
        download.limit_chunks(offer, rescued.union(download.order.origin_chunks))

    def _on_origin_failure(self, download: Download) -> None:
        """Drop the fallback chunks, so that the origin is asked for planned ones only.

        After an outage, requests of all hosts for missed chunks would delay its first
        copy.
        """
        self._origin_failed_at = _get_loop_time()
        if self._fallback_chunks.get(download.digest):
            self._fallback_chunks[download.digest].clear()
            self._update_origin_limit(download)

    def get_origin_failure_age(self) -> float:
        """Return the seconds since the origin last failed, infinity if it never did."""
        return _get_loop_time() - self._origin_failed_at

    async def drop(self, digest: str) -> None:
        """Stop downloading and serving a version."""
        self._downloads.pop(digest, None)
        self._origins.pop(digest, None)
        self._fallback_chunks.pop(digest, None)
        await cancel_tasks(*self._tasks.pop(digest, []))
        for peer in list(self._peers):
            transfer = peer.transfers.pop(digest, None)
            if transfer is not None:
                await cancel_tasks(*transfer.tasks)
        self._connect()

    async def stop(self) -> None:
        """Close all links and stop all tasks."""
        for digest in list(self._downloads):
            await self.drop(digest)
        await cancel_tasks(*self._dialers.values())
        if self._idle_task is not None:
            await cancel_tasks(self._idle_task)
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

    async def _close_idle_links(self) -> None:
        """Close unused links while all downloads of this host are complete.

        A peer that misses chunks dials this host again when it needs them.
        """
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            if self._get_wanted_addresses():
                continue
            now = _get_loop_time()
            for peer in list(self._peers):
                if now - peer.last_used_at >= IDLE_LINK_S:
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
                self._on_chunks_held(peer, message)
            case ChunkRequest():
                peer.queue_request(message)
            case ChunkAnswer():
                peer.receive_part(message)

    def _on_chunks_held(self, peer: Peer, message: ChunksHeld) -> None:
        peer.record_announcement(message)
        download = self._downloads.get(message.digest)
        if download is None:
            for other in self._downloads.values():
                self._compare_manifests(peer, other)
            return
        transfer = peer.transfers.get(message.digest)
        if transfer is None:
            self._join_downloads(peer)
        else:
            download.add_available(transfer.offer, message.chunks)

    def _compare_manifests(self, peer: Peer, download: Download) -> None:
        """Record it if a peer uses another manifest for the version of a download."""
        manifest = download.manifest
        digest = peer.digests.get((manifest.model, manifest.version), download.digest)
        if digest != download.digest and download.evidence.record_other(digest):
            log.event(
                "manifests_differ",
                peer=peer.name,
                version=manifest.version,
                manifest=abbreviate_digest(download.digest),
                other=abbreviate_digest(digest),
            )

    def _join_downloads(self, peer: Peer) -> None:
        for digest, download in self._downloads.items():
            if digest in peer.transfers:
                continue
            order = download.order
            if peer.address and peer.address in order.sources:
                self._join(peer, download, SourceOffer(), is_announced=True)
            elif peer.address and peer.address in order.remote:
                offer = SourceOffer(order.remote[peer.address])
                self._join(peer, download, offer, is_announced=False)
            elif digest in peer.announced:
                self._join(peer, download, SourceOffer(), is_announced=True)

    def _join(
        self, peer: Peer, download: Download, offer: SourceOffer, is_announced: bool
    ) -> None:
        transfer = peer.add_transfer(download, offer, is_announced)
        download.add_offer(offer)
        download.add_available(offer, peer.announced.get(download.digest, ()))
        is_remote = offer.allowed is not None
        stall_timeout = self._cfg.chunk_timeout if is_remote else STALL_TIMEOUT_S
        source = PeerSource(peer, self._cfg.chunk_timeout, stall_timeout, is_remote)
        transfer.tasks = [asyncio.create_task(self._send_held(peer, transfer))]
        for _ in range(1 if is_remote else PIPELINED_REQUESTS):
            task = _start_task(self._fetcher.fetch_from(download, offer, source))
            transfer.tasks.append(task)

    async def _send_held(self, peer: Peer, transfer: PeerTransfer) -> None:
        try:
            await peer.send_held(transfer)
        except LinkClosedError:
            return

    async def _leave_downloads(self, peer: Peer) -> None:
        for transfer in list(peer.transfers.values()):
            await cancel_tasks(*transfer.tasks)
            transfer.download.remove_offer(transfer.offer)
            transfer.download.wake_offers()
        peer.transfers.clear()

    def add_held(self, download: Download, index: int) -> None:
        """Record that a verified chunk is held and announce it to peers."""
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

    async def _run_fallback(self, download: Download) -> None:
        """Request more chunks from the origin while no chunk arrives."""
        stalls = 0
        # No chunk can arrive before links to peers are open.
        await asyncio.sleep(LINK_SETUP_S)
        while True:
            download.changed.clear()
            if await self._wait_for_change(download):
                stalls = 0
                continue
            if download.is_halted:
                continue
            stalls += 1
            chunks = self._fallback.choose_chunks(download, stalls)
            if chunks:
                self._fallback_chunks[download.digest].update(chunks)
                self._update_origin_limit(download)
                log.event("origin_rescue", chunks=len(chunks), stalls=stalls)

    async def _wait_for_change(self, download: Download) -> bool:
        timeout = self._fallback_delay * (0.5 + self._rng.random())
        try:
            async with asyncio.timeout(None if download.is_complete() else timeout):
                await download.changed.wait()
        except TimeoutError:
            return False
        return True


def _get_loop_time() -> float:
    return asyncio.get_running_loop().time()


def _start_task(coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task whose exception is logged."""
    task = asyncio.create_task(coro)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.event("task_failed", reason=repr(task.exception()))
