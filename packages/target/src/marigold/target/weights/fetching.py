"""Fetches the chunks of a download from a source.

Each source has its own tasks, which fetch the rarest chunk that the source holds.
A chunk is stored only after its digest was verified.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from marigold.core.logging import get_logger
from marigold.core.platform.weights import (
    abbreviate_digest,
    compute_digest,
    get_chunk_bytes,
)
from marigold.target.weights.backoff import Backoff
from marigold.target.weights.download import OVERDUE_S, Download, SourceOffer
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import (
    ChunkCorruptError,
    ChunkRefusedError,
    ChunkUnavailableError,
    EngineOrderError,
)
from marigold.target.weights.pacing import RatePacer
from marigold.target.weights.sources import MAXIMUM_CORRUPT_CHUNKS, ChunkSource

log = get_logger(__name__)

REMOTE_REQUESTS = 2
MAXIMUM_REFUSED_WAIT_S = 0.8
MAXIMUM_RETRY_WAIT_S = 5.0


class ChunkFetcher:
    """Fetches of one host, at most `parallel` at once from local peers.

    A failed source is asked again after at most `retry_maximum` seconds. `pacer` spaces
    the fetches, so that they do not fill the host's link; chunks that only this host
    fetches into its region are not delayed.

    `on_held` is called with each chunk that the engine has stored, `on_origin_failed`
    when the origin sent no chunk.
    """

    def __init__(
        self,
        engine: WeightEngine,
        parallel: int,
        on_held: Callable[[Download, int], None],
        rng: random.Random,
        retry_maximum: float = MAXIMUM_RETRY_WAIT_S,
        pacer: RatePacer | None = None,
        on_origin_failed: Callable[[Download], None] = lambda download: None,
    ) -> None:
        self._engine = engine
        self._on_held = on_held
        self._rng = rng
        self._retry_maximum = retry_maximum
        self._pacer = pacer
        self._on_origin_failed = on_origin_failed
        self._slots = asyncio.Semaphore(parallel)
        self._remote_slots = asyncio.Semaphore(REMOTE_REQUESTS)

    async def fetch_from(
        self, download: Download, offer: SourceOffer, source: ChunkSource
    ) -> None:
        """Fetch from one source until it has sent too many corrupt chunks."""
        backoff = Backoff(self._rng, maximum=self._retry_maximum)
        refusals = Backoff(self._rng, maximum=MAXIMUM_REFUSED_WAIT_S)
        while offer.corrupt < MAXIMUM_CORRUPT_CHUNKS or source.is_origin:
            if download.pick_chunk(offer) is None:
                await offer.wait()
                continue
            try:
                await self._fetch_next(download, offer, source)
                backoff.reset()
                refusals.reset()
            except ChunkCorruptError:
                offer.corrupt += 1
                await backoff.wait()
            except ChunkRefusedError:
                await refusals.wait()
            except ChunkUnavailableError as exc:
                log.event("chunk_failed", source=source.name, reason=exc)
                if source.is_origin:
                    self._on_origin_failed(download)
                await backoff.wait()
            except EngineOrderError as exc:
                # The source sent the chunk, so this is no failure of the source.
                log.event("chunk_not_stored", source=source.name, reason=exc)
                await backoff.wait()
        download.remove_offer(offer)
        log.event("source_dropped", source=source.name, corrupt=offer.corrupt)

    async def _fetch_next(
        self, download: Download, offer: SourceOffer, source: ChunkSource
    ) -> None:
        if source.is_origin:
            await self._fetch_picked(download, offer, source)
            return
        is_remote = offer.allowed is not None
        async with self._remote_slots if is_remote else self._slots:
            await self._fetch_picked(download, offer, source)

    async def _fetch_picked(
        self, download: Download, offer: SourceOffer, source: ChunkSource
    ) -> None:
        index = download.pick_chunk(offer)
        if index is None:
            return
        download.begin_fetch(index)
        overdue: asyncio.TimerHandle | None = None
        try:
            await self._wait_for_bandwidth(download, offer, index)
            loop = asyncio.get_running_loop()
            overdue = loop.call_later(OVERDUE_S, download.mark_overdue, index)
            data = await source.fetch(download, index)
            self._check(download, index, data, source)
            await self._engine.put_chunk(download.manifest.version, index, data)
            if index in download.missing:
                self._on_held(download, index)
        except ChunkUnavailableError:
            download.record_refusal(index)
            raise
        finally:
            if overdue is not None:
                overdue.cancel()
            download.end_fetch(index)
            if index in download.missing:
                download.wake_offers()

    async def _wait_for_bandwidth(
        self, download: Download, offer: SourceOffer, index: int
    ) -> None:
        """Wait until the pacer allows to fetch a chunk.

        Chunks that this host fetches for others are counted but do not wait for
        those that it fetches from them.
        """
        if self._pacer is None:
            return
        seconds = self._pacer.reserve(get_chunk_bytes(download.manifest, index))
        if offer.allowed is None and seconds > 0:
            await asyncio.sleep(seconds)

    def _check(
        self, download: Download, index: int, data: bytes, source: ChunkSource
    ) -> None:
        expected = download.manifest.chunks[index]
        found = compute_digest(data)
        if found == expected:
            return
        download.evidence.record_mismatch(index, found)
        log.event(
            "chunk_corrupt",
            source=source.name,
            index=index,
            expected=abbreviate_digest(expected),
            found=abbreviate_digest(found),
            manifest=abbreviate_digest(download.digest),
        )
        raise ChunkCorruptError(
            f"chunk {index} from {source.name} does not match its digest"
        )
