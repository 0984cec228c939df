"""State of one version that this host downloads or holds.

A `Download` tracks which chunks are held and which are being fetched, and selects the
next chunk to fetch from a source, the rarest one first. It does no input or output.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from marigold.core.schema.generated.messages import LoadOrder
from marigold.core.schema.generated.records import Manifest
from marigold.target.weights.manifest_evidence import ManifestEvidence

SAMPLE_CHUNKS = 64
URGENT_REFUSALS = 6
# Seconds after which a chunk in flight is also requested from another source, if no
# other chunk is left; a few times what a busy peer needs to send one.
OVERDUE_S = 1.2


class SourceOffer:
    """Chunks that one source can send for one download.

    `allowed` limits the chunks that are requested from the source; None allows all.
    `wanted` are the held and allowed chunks that this host is missing.
    """

    __slots__ = ("_woken", "allowed", "corrupt", "held", "is_origin", "wanted")

    def __init__(
        self, allowed: Collection[int] | None = None, is_origin: bool = False
    ) -> None:
        self._woken = asyncio.Event()
        self.is_origin = is_origin
        self.allowed = None if allowed is None else set(allowed)
        self.held: set[int] = set()
        self.wanted: set[int] = set()
        self.corrupt = 0

    def wake(self) -> None:
        """Wake the tasks that wait for a chunk to fetch."""
        self._woken.set()

    async def wait(self) -> None:
        """Wait until there may be a chunk to fetch."""
        self._woken.clear()
        await self._woken.wait()


class Download:
    """Download of one version, identified by its whole digest.

    `monotonic` reads a monotonic clock in seconds.
    """

    __slots__ = (
        "_availability",
        "_last_chunk_at",
        "_monotonic",
        "_overdue",
        "_refusals",
        "_rng",
        "changed",
        "completed",
        "evidence",
        "held",
        "in_flight",
        "is_halted",
        "manifest",
        "missing",
        "offers",
        "order",
        "sent",
        "sent_bytes",
    )

    def __init__(
        self,
        manifest: Manifest,
        order: LoadOrder,
        rng: random.Random,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rng = rng
        self._monotonic = monotonic
        self._last_chunk_at = monotonic()
        self._overdue: set[int] = set()
        self._availability: Counter[int] = Counter()
        self._refusals: Counter[int] = Counter()
        self.manifest = manifest
        self.evidence = ManifestEvidence(manifest)
        self.order = order
        self.held: set[int] = set()
        self.missing = set(range(len(manifest.chunks)))
        self.in_flight: Counter[int] = Counter()
        self.is_halted = False
        self.offers: list[SourceOffer] = []
        self.completed = asyncio.Event()
        self.changed = asyncio.Event()
        self.sent_bytes = 0
        self.sent: Counter[int] = Counter()

    @property
    def digest(self) -> str:
        """Digest of the whole version."""
        return self.manifest.digest

    def is_complete(self) -> bool:
        """Return whether every chunk is held."""
        return not self.missing

    def add_offer(self, offer: SourceOffer) -> None:
        """Add a source to fetch from."""
        self.offers.append(offer)

    def remove_offer(self, offer: SourceOffer) -> None:
        """Remove a source."""
        if offer not in self.offers:
            return
        self.offers.remove(offer)
        if offer.allowed is None:
            self._availability.subtract(offer.held)
        self.wake_offers()

    def add_available(self, offer: SourceOffer, indexes: Iterable[int]) -> None:
        """Record that a source holds chunks."""
        count = len(self.manifest.chunks)
        new = {index for index in indexes if 0 <= index < count} - offer.held
        offer.held |= new
        if offer.allowed is None:
            self._availability.update(new)
        self._want(offer, new)
        offer.wake()

    def _want(self, offer: SourceOffer, indexes: set[int]) -> None:
        wanted = indexes & self.missing
        if offer.allowed is not None:
            wanted &= offer.allowed
        offer.wanted |= wanted

    def allow_chunks(self, offer: SourceOffer, indexes: Iterable[int]) -> None:
        """Allow more chunks to be requested from a source."""
        if offer.allowed is not None:
            offer.allowed |= set(indexes)
            self._want(offer, offer.held)
            offer.wake()

    def limit_chunks(self, offer: SourceOffer, indexes: Collection[int]) -> None:
        """Replace the chunks that may be requested from a source."""
        offer.allowed = set(indexes)
        offer.wanted.clear()
        self._want(offer, offer.held)
        offer.wake()

    def get_offered_fraction(self) -> float:
        """Return which fraction of the chunks planned from other regions is available.

        Return 1.0 if no chunk is planned from other regions.
        """
        planned = {item for part in self.order.remote.values() for item in part}
        if not planned:
            return 1.0
        offered = set(self.held)
        for offer in self.offers:
            if not offer.is_origin:
                offered |= offer.held
        return len(planned & offered) / len(planned)

    def pick_chunk(self, offer: SourceOffer) -> int | None:
        """Return the rarest of a sample of chunks to fetch from a source, or None.

        A source with a limit is behind a slow link, so chunks that a local peer holds
        are not requested from it unless local peers refuse them. A halted download
        fetches nothing, but its held chunks are still served.
        """
        if self.is_halted:
            return None
        candidates = list(offer.wanted - self.in_flight.keys())
        if offer.allowed is not None:
            candidates = [index for index in candidates if self._needs_remote(index)]
        candidates = candidates or self._find_overdue(offer)
        if not candidates:
            return None
        if len(candidates) > SAMPLE_CHUNKS:
            candidates = self._rng.sample(candidates, SAMPLE_CHUNKS)
        rarest = min(self._availability[index] for index in candidates)
        return self._rng.choice(
            [index for index in candidates if self._availability[index] == rarest]
        )

    def _find_overdue(self, offer: SourceOffer) -> list[int]:
        """Return overdue chunks of other sources if no other chunk is left.

        Otherwise a stalled host would delay the last chunks of all other hosts.
        """
        if self.missing - self.in_flight.keys():
            return []
        found = offer.wanted & self._overdue
        return [index for index in found if self.in_flight[index] == 1]

    def begin_fetch(self, index: int) -> None:
        """Record that a chunk is requested from a source."""
        self.in_flight[index] += 1

    def end_fetch(self, index: int) -> None:
        """Record that a request for a chunk has ended."""
        self.in_flight[index] -= 1
        if not self.in_flight[index]:
            del self.in_flight[index]
            self._overdue.discard(index)

    def mark_overdue(self, index: int) -> None:
        """Mark a chunk whose request has taken `OVERDUE_S` seconds."""
        self._overdue.add(index)
        self.wake_offers()

    def get_idle_time(self) -> float:
        """Return the seconds since the last chunk arrived."""
        return self._monotonic() - self._last_chunk_at

    def _needs_remote(self, index: int) -> bool:
        return self._availability[index] <= 0 or self.is_urgent(index)

    def add_held(self, index: int) -> None:
        """Record that a verified chunk is held."""
        self.held.add(index)
        self.missing.discard(index)
        self._last_chunk_at = self._monotonic()
        self._refusals.pop(index, None)
        self.evidence.record_match(index)
        for offer in self.offers:
            offer.wanted.discard(index)
        self.changed.set()
        if not self.missing:
            self.completed.set()

    def drop_held(self, index: int) -> None:
        """Mark a held chunk as missing again because its bytes are corrupt."""
        self.held.discard(index)
        self.missing.add(index)
        self.completed.clear()
        for offer in self.offers:
            self._want(offer, offer.held & {index})
        self.wake_offers()

    def record_refusal(self, index: int) -> None:
        """Record that a source refused a chunk or did not send it in time."""
        self._refusals[index] += URGENT_REFUSALS if index in self._overdue else 1

    def get_refusals(self, index: int) -> int:
        """Return the number of refusals of a chunk."""
        return self._refusals[index]

    def is_urgent(self, index: int) -> bool:
        """Return whether sources refused a chunk `URGENT_REFUSALS` times."""
        return self._refusals[index] >= URGENT_REFUSALS

    def wake_offers(self) -> None:
        """Wake the tasks of all sources because a chunk can be fetched again."""
        for offer in self.offers:
            offer.wake()
