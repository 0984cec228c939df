"""Emulated network segments whose bandwidth all connections over them share.

Every byte between two hosts passes the sender's uplink, the link between their
regions and the receiver's downlink. Each is a `NetworkSegment` with its own rate.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict

from marigold.standins.shaper import Direction, ShapedLink

FROZEN_POLL_S = 0.02


class NetworkSegment(Direction):
    """A segment in one direction; `rate` in bytes a second, 0 for no limit."""

    __slots__ = ("is_frozen", "rate")

    def __init__(self, rate: float) -> None:
        super().__init__()
        self.rate = rate
        self.is_frozen = False

    def reserve(self, size: int, now: float) -> float:
        """Reserve bandwidth for `size` bytes; return when they have passed."""
        self.bytes += size
        if self.rate:
            self.free_at = max(self.free_at, now) + size / self.rate
        return max(self.free_at, now)


async def transmit(segments: list[NetworkSegment], size: int) -> None:
    """Wait until `size` bytes have passed all segments of a path."""
    while any(segment.is_frozen for segment in segments):
        await asyncio.sleep(FROZEN_POLL_S)
    now = time.monotonic()
    wait = max(segment.reserve(size, now) for segment in segments) - now
    if wait > 0:
        await asyncio.sleep(wait)


class SegmentRelay(ShapedLink):
    """A relay whose two directions go over shared segments."""

    def __init__(
        self, target: str, forward: list[NetworkSegment], backward: list[NetworkSegment]
    ) -> None:
        super().__init__(target)
        self._segments = dict(zip(self._directions, (forward, backward), strict=True))

    async def _delay(self, direction: Direction, size: int) -> None:
        await transmit(self._segments[direction], size)


class SegmentMap:
    """The segments of hosts, of pairs of regions and of the origin."""

    __slots__ = (
        "downlinks",
        "inter_region",
        "origin",
        "origin_region",
        "regions",
        "uplinks",
    )

    def __init__(
        self,
        host_rate: float,
        inter_region_rate: float,
        origin_rate: float,
        origin_region: str,
    ) -> None:
        self.uplinks: dict[str, NetworkSegment] = defaultdict(
            lambda: NetworkSegment(host_rate)
        )
        self.downlinks: dict[str, NetworkSegment] = defaultdict(
            lambda: NetworkSegment(host_rate)
        )
        self.inter_region: dict[tuple[str, str], NetworkSegment] = defaultdict(
            lambda: NetworkSegment(inter_region_rate)
        )
        self.origin = NetworkSegment(origin_rate)
        self.origin_region = origin_region
        self.regions: dict[str, str] = {}

    def _get_inter_region(self, source: str, receiver: str) -> list[NetworkSegment]:
        return [] if source == receiver else [self.inter_region[source, receiver]]

    def get_path(self, sender: str, receiver: str) -> list[NetworkSegment]:
        """Return the segments from one host to another."""
        regions = self.regions[sender], self.regions[receiver]
        return [
            self.uplinks[sender],
            *self._get_inter_region(*regions),
            self.downlinks[receiver],
        ]

    def get_origin_path(self, receiver: str) -> list[NetworkSegment]:
        """Return the segments from the origin to a host."""
        inter_region = self._get_inter_region(
            self.origin_region, self.regions[receiver]
        )
        return [self.origin, *inter_region, self.downlinks[receiver]]

    def freeze(self, host: str, is_frozen: bool) -> None:
        """Freeze or unfreeze all traffic to and from a host."""
        self.uplinks[host].is_frozen = is_frozen
        self.downlinks[host].is_frozen = is_frozen
