"""Removal of expired claims.

Claims are divided into shards by the first digits of their digest. The entry
that holds a lease sweeps the shards in turn, so that each claim is read about
once per pass and removed with one write.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    PlatformError,
)
from marigold.core.logging import get_logger
from marigold.core.platform.leases import LeaseClient
from marigold.core.platform.objects import ObjectClient
from marigold.entry.claims.store import PREFIX, SHARDS, ClaimStore, get_shard_prefix

log = get_logger(__name__)

READ_PAUSE_S = 0.02
PASSES_PER_RETENTION = 2


class ClaimSweeper:
    """Removes expired claims while this process holds the lease."""

    def __init__(
        self,
        objects: ObjectClient,
        lease: LeaseClient,
        lease_seconds: float,
        retention: float,
        rng: random.Random,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._objects = objects
        self._store = ClaimStore(objects)
        self._lease = lease
        self._lease_seconds = lease_seconds
        self._retention = retention
        # Entries may be replaced before a pass over all shards ends. With a fixed first
        # shard, the last shards would then never be swept.
        self._shard = rng.randrange(SHARDS)
        self._read_wall_clock = read_wall_clock

    async def keep_lease(self) -> None:
        """Renew the lease, or wait for it to become free, until cancelled."""
        while True:
            try:
                await self._lease.renew_or_acquire()
            except PlatformError as exc:
                log.event("lease_unavailable", lease=f"{PREFIX}-sweep", reason=exc)
            await asyncio.sleep(self._lease_seconds / 3)

    async def run(self) -> None:
        """Sweep the shards in turn until cancelled."""
        pause = self._retention / PASSES_PER_RETENTION / SHARDS
        while True:
            await asyncio.sleep(pause)
            if self._lease.is_held():
                await self.sweep_next()

    async def sweep_next(self) -> None:
        """Remove the expired claims of the next shard."""
        self._shard = (self._shard + 1) % SHARDS
        try:
            names = await self._objects.list(get_shard_prefix(self._shard))
            for name in names:
                await self._sweep(name)
                await asyncio.sleep(READ_PAUSE_S)
        except PlatformError as exc:
            log.event("sweep_failed", shard=self._shard, reason=exc)

    async def _sweep(self, name: str) -> None:
        found = await self._store.read(name)
        if (
            found is None
            or self._read_wall_clock() - found.claim.made_at <= self._retention
        ):
            return
        try:
            await self._objects.delete(name, found.version)
        except (ObjectConflictError, ObjectNotFoundError):
            # The key was claimed again, or another process removed the claim.
            return
        log.event("claim_removed", claim=name)
