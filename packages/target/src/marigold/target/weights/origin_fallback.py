"""Policies for requesting chunks from the origin that peers do not send.

They avoid that hosts which receive nothing for a moment, because the origin is slow
for all, request more from it and slow it further.
"""

from __future__ import annotations

import hashlib
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from marigold.target.weights.download import Download


class OriginFallback(ABC):
    """Chooses chunks to request from the origin after some time without any."""

    @abstractmethod
    def choose_chunks(self, download: Download, stalls: int) -> list[int]:
        """Return missing chunks; `stalls` counts periods in a row without any."""


class DoublingFallback(OriginFallback):
    """Chooses one chunk, then two, four and so on; for swarms with a fast origin."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose_chunks(self, download: Download, stalls: int) -> list[int]:
        """Return a random sample of missing chunks that doubles with each stall."""
        missing = sorted(download.missing)
        return self._rng.sample(missing, min(2 ** (stalls - 1), len(missing)))


class StaggeredFallback(OriginFallback):
    """Staggers the requests of a region's hosts for a chunk, in hash order.

    The first host may request it once the origin has had time to send the planned
    chunks, the second `step` seconds later, the third three steps later and so on
    exponentially, so that at first the origin is asked for about one copy per region.
    `get_hosts` returns the hosts of the region that need a version, `get_lateness` the
    seconds by which its download is later than planned.
    """

    __slots__ = ("_get_hosts", "_get_lateness", "_own", "_ranks", "_step")

    def __init__(
        self,
        own: str,
        get_hosts: Callable[[str], Sequence[str]],
        get_lateness: Callable[[str], float],
        step: float,
    ) -> None:
        self._own = own
        self._get_hosts = get_hosts
        self._get_lateness = get_lateness
        self._step = step
        self._ranks: dict[tuple[object, ...], int] = {}

    def choose_chunks(self, download: Download, stalls: int) -> list[int]:
        """Return the missing chunks that this host may request now."""
        version = download.manifest.version
        lateness = self._get_lateness(version)
        if lateness < 0:
            return []
        hosts = tuple(sorted({*self._get_hosts(version), self._own}))
        return [
            index
            for index in sorted(download.missing)
            if lateness >= (2 ** self._get_rank(index, hosts) - 1) * self._step
        ]

    def _get_rank(self, index: int, hosts: tuple[str, ...]) -> int:
        key = (index, hosts)
        if key not in self._ranks:
            if len(self._ranks) >= len(hosts) * 1000:
                self._ranks.clear()
            own = _hash(index, self._own)
            self._ranks[key] = sum(_hash(index, host) < own for host in hosts)
        return self._ranks[key]


def _hash(index: int, host: str) -> bytes:
    return hashlib.blake2b(f"{index}/{host}".encode(), digest_size=8).digest()
