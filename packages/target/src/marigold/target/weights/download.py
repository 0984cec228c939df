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


class SourceShare:
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
        "_changed_at",
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
        "shares",
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
        self._changed_at = monotonic()
        self._overdue: set[int] = set()
        self._availability: Counter[int] = Counter()
        self._refusals: Counter[int] = Counter()
        self.manifest = manifest
        self.order = order
        self.held: set[int] = set()
        self.missing = set(range(len(manifest.chunks)))
        self.in_flight: Counter[int] = Counter()
        self.is_halted = False
        self.shares: list[SourceShare] = []
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

    def add_share(self, share: SourceShare) -> None:
        """Take chunks from another source."""
        self.shares.append(share)

    def remove_share(self, share: SourceShare) -> None:
        """Take no more chunks from a source."""
        if share not in self.shares:
            return
        self.shares.remove(share)
        if share.allowed is None:
            self._availability.subtract(share.held)
        self.wake()

    def add_available(self, share: SourceShare, indexes: Iterable[int]) -> None:
        """Note that a source holds chunks."""
        count = len(self.manifest.chunks)
        new = {index for index in indexes if 0 <= index < count} - share.held
        share.held |= new
        if share.allowed is None:
            self._availability.update(new)
        self._want(share, new)
        share.wake()

    def _want(self, share: SourceShare, indexes: set[int]) -> None:
        wanted = indexes & self.missing
        if share.allowed is not None:
            wanted &= share.allowed
        share.wanted |= wanted

    def allow(self, share: SourceShare, indexes: Iterable[int]) -> None:
        """Let more chunks be asked of a source."""
        if share.allowed is not None:
            share.allowed |= set(indexes)
            self._want(share, share.held)
            share.wake()

    def limit(self, share: SourceShare, indexes: Collection[int]) -> None:
        """Let only some chunks be asked of a source."""
        share.allowed = set(indexes)
        share.wanted.clear()
        self._want(share, share.held)
        share.wake()

    def get_offered_part(self) -> float:
        """Return the part of what other regions are to pass on that they have by now.

        1.0 where nothing is planned to come from there.
        """
        planned = {item for part in self.order.remote.values() for item in part}
        if not planned:
            return 1.0
        offered = set(self.held)
        for share in self.shares:
            if not share.is_origin:
                offered |= share.held
        return len(planned & offered) / len(planned)

    def pick(self, share: SourceShare) -> int | None:
        """Return the rarest of some chunks to fetch from a source, None for none.

        A source with a limit is behind a thin link: it is not asked for what a
        near peer holds, unless near peers refuse it. A halted download fetches
        nothing, but what it holds is passed on.
        """
        if self.is_halted:
            return None
        candidates = list(share.wanted - self.in_flight.keys())
        if share.allowed is not None:
            candidates = [index for index in candidates if self._is_far(index)]
        candidates = candidates or self._get_overdue(share)
        if not candidates:
            return None
        if len(candidates) > SAMPLE_CHUNKS:
            candidates = self._rng.sample(candidates, SAMPLE_CHUNKS)
        rarest = min(self._availability[index] for index in candidates)
        return self._rng.choice(
            [index for index in candidates if self._availability[index] == rarest]
        )

    def _get_overdue(self, share: SourceShare) -> list[int]:
        """Return what another source is slow to send, once nothing else is left.

        A host that stands still holds up the last chunks of all others.
        """
        if self.missing - self.in_flight.keys():
            return []
        found = share.wanted & self._overdue
        return [index for index in found if self.in_flight[index] == 1]

    def begin(self, index: int) -> None:
        """Note that a source is asked for a chunk."""
        self.in_flight[index] += 1

    def end(self, index: int) -> None:
        """Note that a source is no longer asked for a chunk."""
        self.in_flight[index] -= 1
        if not self.in_flight[index]:
            del self.in_flight[index]
            self._overdue.discard(index)

    def note_overdue(self, index: int) -> None:
        """Note that a source has been asked for `OVERDUE_S` seconds."""
        self._overdue.add(index)
        self.wake()

    def get_quiet_time(self) -> float:
        """Return the seconds since the last chunk came in."""
        return self._monotonic() - self._changed_at

    def _is_far(self, index: int) -> bool:
        return self._availability[index] <= 0 or self.is_urgent(index)

    def add_held(self, index: int) -> None:
        """Note that a checked chunk is held."""
        self.held.add(index)
        self.missing.discard(index)
        self._changed_at = self._monotonic()
        self._refusals.pop(index, None)
        for share in self.shares:
            share.wanted.discard(index)
        self.changed.set()
        if not self.missing:
            self.completed.set()

    def drop_held(self, index: int) -> None:
        """Fetch a chunk again because its kept bytes are wrong."""
        self.held.discard(index)
        self.missing.add(index)
        self.completed.clear()
        for share in self.shares:
            self._want(share, share.held & {index})
        self.wake()

    def refuse(self, index: int) -> None:
        """Note that a source would not pass a chunk on now, or not in time."""
        self._refusals[index] += URGENT_REFUSALS if index in self._overdue else 1

    def get_refusals(self, index: int) -> int:
        """Return how often sources refused a chunk."""
        return self._refusals[index]

    def is_urgent(self, index: int) -> bool:
        """Tell whether several sources refused a chunk."""
        return self._refusals[index] >= URGENT_REFUSALS

    def wake(self) -> None:
        """Let all sources look again, because a chunk is free to be fetched."""
        for share in self.shares:
            share.wake()
