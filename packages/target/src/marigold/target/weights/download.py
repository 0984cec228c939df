"""State of one version that this host copies or holds.

A `Download` knows which chunks are held and which are on their way; it decides
what to fetch next from a source, the rarest chunk first. It does no input or
output.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from marigold.core.schema.generated.messages import LoadOrder
from marigold.core.schema.generated.records import Manifest

SAMPLE_CHUNKS = 64
URGENT_REFUSALS = 6
# Seconds that a chunk is on its way before another source is asked for it as well, if
# nothing else is left to ask for; some times what it takes from a busy peer.
OVERDUE_S = 1.2


class SourceOffer:
    """What one source can give to one download.

    `allowed` limits the chunks that are asked of the source, None for any.
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
        """Let the tasks that wait for something to fetch look again."""
        self._woken.set()

    async def wait(self) -> None:
        """Wait until there may be something to fetch."""
        self._woken.clear()
        await self._woken.wait()


class Download:
    """One version, addressed by the digest of the whole.

    `monotonic` reads a time in seconds.
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
        "held",
        "in_flight",
        "is_halted",
        "manifest",
        "missing",
        "order",
        "sent",
        "sent_bytes",
        "offers",
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
        """Digest of the whole."""
        return self.manifest.digest

    def is_complete(self) -> bool:
        """Tell whether every chunk is held."""
        return not self.missing

    def add_offer(self, offer: SourceOffer) -> None:
        """Take chunks from another source."""
        self.offers.append(offer)

    def remove_offer(self, offer: SourceOffer) -> None:
        """Take no more chunks from a source."""
        if offer not in self.offers:
            return
        self.offers.remove(offer)
        if offer.allowed is None:
            self._availability.subtract(offer.held)
        self.wake_offers()

    def add_available(self, offer: SourceOffer, indexes: Iterable[int]) -> None:
        """Note that a source holds chunks."""
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
        """Let more chunks be asked of a source."""
        if offer.allowed is not None:
            offer.allowed |= set(indexes)
            self._want(offer, offer.held)
            offer.wake()

    def limit_chunks(self, offer: SourceOffer, indexes: Collection[int]) -> None:
        """Let only some chunks be asked of a source."""
        offer.allowed = set(indexes)
        offer.wanted.clear()
        self._want(offer, offer.held)
        offer.wake()

    def get_offered_fraction(self) -> float:
        """Return the part of what other regions are to pass on that they have by now.

        1.0 where nothing is planned to come from there.
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
        """Return the rarest of some chunks to fetch from a source, None for none.

        A source with a limit is behind a thin link: it is not asked for what a
        near peer holds, unless near peers refuse it. A halted download fetches
        nothing, but what it holds is passed on.
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
        """Return what another source is slow to send, once nothing else is left.

        A host that stands still holds up the last chunks of all others.
        """
        if self.missing - self.in_flight.keys():
            return []
        found = offer.wanted & self._overdue
        return [index for index in found if self.in_flight[index] == 1]

    def begin_fetch(self, index: int) -> None:
        """Note that a source is asked for a chunk."""
        self.in_flight[index] += 1

    def end_fetch(self, index: int) -> None:
        """Note that a source is no longer asked for a chunk."""
        self.in_flight[index] -= 1
        if not self.in_flight[index]:
            del self.in_flight[index]
            self._overdue.discard(index)

    def mark_overdue(self, index: int) -> None:
        """Note that a source has been asked for `OVERDUE_S` seconds."""
        self._overdue.add(index)
        self.wake_offers()

    def get_idle_time(self) -> float:
        """Return the seconds since the last chunk came in."""
        return self._monotonic() - self._last_chunk_at

    def _needs_remote(self, index: int) -> bool:
        return self._availability[index] <= 0 or self.is_urgent(index)

    def add_held(self, index: int) -> None:
        """Note that a checked chunk is held."""
        self.held.add(index)
        self.missing.discard(index)
        self._last_chunk_at = self._monotonic()
        self._refusals.pop(index, None)
        for offer in self.offers:
            offer.wanted.discard(index)
        self.changed.set()
        if not self.missing:
            self.completed.set()

    def drop_held(self, index: int) -> None:
        """Fetch a chunk again because its kept bytes are wrong."""
        self.held.discard(index)
        self.missing.add(index)
        self.completed.clear()
        for offer in self.offers:
            self._want(offer, offer.held & {index})
        self.wake_offers()

    def record_refusal(self, index: int) -> None:
        """Note that a source would not pass a chunk on now, or not in time."""
        self._refusals[index] += URGENT_REFUSALS if index in self._overdue else 1

    def get_refusals(self, index: int) -> int:
        """Return how often sources refused a chunk."""
        return self._refusals[index]

    def is_urgent(self, index: int) -> bool:
        """Tell whether several sources refused a chunk."""
        return self._refusals[index] >= URGENT_REFUSALS

    def wake_offers(self) -> None:
        """Let all sources look again, because a chunk is free to be fetched."""
        for offer in self.offers:
            offer.wake()
