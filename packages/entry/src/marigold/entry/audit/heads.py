"""Gathers the heads of the audit chains of one data centre.

Every entry learns the heads of its peers from their heartbeats. The holder of a
lease writes them into the object API about once a minute, where they outlive the
hosts: `marigold-entry audit --verify --heads FILE` compares logs with them.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import asdict

from marigold.core.exceptions import ObjectNotFoundError, PlatformError
from marigold.core.links.identity import Identity
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.platform.leases import LeaseClient
from marigold.core.platform.objects import ObjectClient
from marigold.core.schema.generated.messages import Heartbeat
from marigold.entry.audit.chain import AuditChain
from marigold.entry.audit.verification import ChainHead

log = get_logger(__name__)

WRITE_INTERVAL_S = 60.0
# Rows of the stored list; the newest incarnations are kept.
MAXIMUM_HEADS = 5000

_Key = tuple[str, int]


def get_heads_name(data_centre: str) -> str:
    """Return the name of the object that holds the heads of a data centre."""
    return f"audit/heads-{data_centre}"


def merge_heads(stored: bytes, heads: dict[_Key, ChainHead]) -> bytes:
    """Return stored heads with those that are further on replaced."""
    rows = [ChainHead(**row) for row in json.loads(stored or b"[]")]
    merged = {(row.process, row.incarnation): row for row in rows}
    for key, head in heads.items():
        if key not in merged or merged[key].sequence < head.sequence:
            merged[key] = head
    newest = sorted(merged.values(), key=lambda head: head.incarnation)
    kept = [asdict(head) for head in newest[-MAXIMUM_HEADS:]]
    return json.dumps(kept, separators=(",", ":")).encode()


class HeadKeeper:
    """Knows the heads of a data centre and writes them while it holds the lease."""

    def __init__(
        self,
        identity: Identity,
        chain: AuditChain,
        objects: ObjectClient,
        lease: LeaseClient,
        lease_seconds: float,
    ) -> None:
        self._identity = identity
        self._chain = chain
        self._objects = objects
        self._lease = lease
        self._step_s = lease_seconds / 4
        self._heads: dict[_Key, ChainHead] = {}
        self._next_write = 0.0

    async def take(self, link: Link, message: Heartbeat) -> None:
        """Take in the head of a peer."""
        peer = link.peer
        if peer.data_centre == self._identity.data_centre:
            self._note(peer, message.audit_sequence, message.audit_digest)

    def _note(self, identity: Identity, sequence: int, digest: str) -> None:
        if sequence:
            key = (identity.process, identity.incarnation)
            self._heads[key] = ChainHead(*key, sequence, digest)

    async def run(self) -> None:
        """Keep the lease and write until cancelled."""
        while True:
            try:
                await self.step(time.monotonic())
            except PlatformError as exc:
                log.event("audit_heads_not_written", reason=exc)
            await asyncio.sleep(self._step_s)

    async def step(self, now: float) -> None:
        """Renew the lease and write when it is time; raise `PlatformError`."""
        if not await self._lease.renew_or_acquire() or now < self._next_write:
            return
        await self.write()
        self._next_write = now + WRITE_INTERVAL_S

    async def write(self) -> None:
        """Write all heads that are known; raise `PlatformError`."""
        self._note(self._identity, self._chain.sequence, self._chain.digest)
        name = get_heads_name(self._identity.data_centre)
        try:
            stored = await self._objects.get(name)
            data, version = stored.data, stored.version
        except ObjectNotFoundError:
            data, version = b"", 0
        merged = merge_heads(data, self._heads)
        if merged != data:
            await self._objects.update(name, merged, version)
            log.event("audit_heads_written", chains=len(self._heads))
