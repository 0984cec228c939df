"""Fetches the chunks of a download from one source.

Each source has tasks of its own, which fetch the rarest chunk that the source
can give. A chunk is kept only after its digest was checked.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from marigold.core.logging import get_logger
from marigold.core.platform.weights import compute_digest
from marigold.target.weights.backoff import Backoff
from marigold.target.weights.download import Download, SourceShare
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import (
    ChunkCorruptError,
    ChunkRefusedError,
    ChunkUnavailableError,
    EngineOrderError,
)
from marigold.target.weights.sources import MAXIMUM_CORRUPT, ChunkSource

log = get_logger(__name__)

FAR_REQUESTS = 2
REFUSED_MAXIMUM_S = 0.8
RETRY_MAXIMUM_S = 5.0


class ChunkFetcher:
    """Fetches of one host, at most `parallel` at once from near peers.

    A source that gives nothing is asked again after `retry_maximum` seconds at most.

    `on_held` is called with each chunk that the engine has taken.
    """

    def __init__(
        self,
        engine: WeightEngine,
        parallel: int,
        on_held: Callable[[Download, int], None],
        rng: random.Random,
        retry_maximum: float = RETRY_MAXIMUM_S,
    ) -> None:
        self._engine = engine
        self._on_held = on_held
        self._rng = rng
        self._retry_maximum = retry_maximum
        self._slots = asyncio.Semaphore(parallel)
        self._far_slots = asyncio.Semaphore(FAR_REQUESTS)

    async def pull(
        self, download: Download, share: SourceShare, source: ChunkSource
    ) -> None:
        """Fetch from one source until it gives too many corrupt chunks."""
        backoff = Backoff(self._rng, maximum=self._retry_maximum)
        refusals = Backoff(self._rng, maximum=REFUSED_MAXIMUM_S)
        while share.corrupt < MAXIMUM_CORRUPT or source.is_origin:
            if download.pick(share) is None:
                await share.wait()
                continue
            try:
                await self._fetch_next(download, share, source)
                backoff.reset()
                refusals.reset()
            except ChunkCorruptError:
                share.corrupt += 1
                await backoff.wait()
            except ChunkRefusedError:
                await refusals.wait()
            except (ChunkUnavailableError, EngineOrderError) as exc:
                log.event("chunk_failed", source=source.name, reason=exc)
                await backoff.wait()
        download.remove_share(share)
        log.event("source_dropped", source=source.name, corrupt=share.corrupt)

    async def _fetch_next(
        self, download: Download, share: SourceShare, source: ChunkSource
    ) -> None:
        if source.is_origin:
            await self._fetch_picked(download, share, source)
            return
        is_far = share.allowed is not None
        async with self._far_slots if is_far else self._slots:
            await self._fetch_picked(download, share, source)

    async def _fetch_picked(
        self, download: Download, share: SourceShare, source: ChunkSource
    ) -> None:
        index = download.pick(share)
        if index is None:
            return
        download.in_flight.add(index)
        try:
            data = await source.fetch(download, index)
            self._check(download, index, data, source)
            await self._engine.put_chunk(download.manifest.version, index, data)
            self._on_held(download, index)
        except ChunkUnavailableError:
            download.refuse(index)
            raise
        finally:
            download.in_flight.discard(index)
            if index in download.missing:
                download.wake()

    def _check(
        self, download: Download, index: int, data: bytes, source: ChunkSource
    ) -> None:
        if compute_digest(data) == download.manifest.chunks[index]:
            return
        log.event("chunk_corrupt", source=source.name, index=index)
        raise ChunkCorruptError(f"chunk {index} of {source.name}")
