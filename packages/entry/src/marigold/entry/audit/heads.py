"""Collection of the audit chain heads of a data centre.

Every entry receives the heads of its peers in their heartbeats. The entry that
holds the lease writes all heads to the object API about once a minute, where they
outlive the hosts. `marigold-entry audit --verify --heads FILE` compares logs with
them.
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
# Limit on the heads in the stored object. The oldest incarnations are dropped.
MAXIMUM_HEADS = 5000

_ChainKey = tuple[str, int]


def get_heads_object_name(data_centre: str) -> str:
    """Return the name of the object that stores the heads of a data centre."""
    return f"audit/heads-{data_centre}"


def merge_heads(stored: bytes, heads: dict[_ChainKey, ChainHead]) -> bytes:
    """Return the stored heads updated with every head that is newer or missing."""
    rows = [ChainHead(**row) for row in json.loads(stored or b"[]")]
    merged = {(row.process, row.incarnation): row for row in rows}
    for key, head in heads.items():
        if key not in merged or merged[key].sequence < head.sequence:
            merged[key] = head
    newest = sorted(merged.values(), key=lambda head: head.incarnation)
    kept = [asdict(head) for head in newest[-MAXIMUM_HEADS:]]
    return json.dumps(kept, separators=(",", ":")).encode()


class ChainHeadCollector:
    """Collects the heads of a data centre and writes them while holding the lease."""

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
        self._renewal_interval_s = lease_seconds / 4
        self._heads: dict[_ChainKey, ChainHead] = {}
        self._next_write = 0.0

    async def on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Record the head that a peer of the same data centre reports."""
        peer = link.peer
        if peer.data_centre == self._identity.data_centre:
            self._record_head(peer, message.audit_sequence, message.audit_digest)

    def _record_head(self, identity: Identity, sequence: int, digest: str) -> None:
        if sequence:
            key = (identity.process, identity.incarnation)
            self._heads[key] = ChainHead(*key, sequence, digest)

    async def run(self) -> None:
        """Renew the lease and write heads periodically until cancelled."""
        while True:
            try:
                await self.renew_and_write(time.monotonic())
            except PlatformError as exc:
                log.event("audit_heads_not_written", reason=exc)
            await asyncio.sleep(self._renewal_interval_s)

    async def renew_and_write(self, now: float) -> None:
        """Renew or acquire the lease; write the heads if it is held and they are due.

        Raise `PlatformError` when a call to the platform fails.
        """
        if not await self._lease.renew_or_acquire() or now < self._next_write:
            return
        await self.write_heads()
        self._next_write = now + WRITE_INTERVAL_S

    async def write_heads(self) -> None:
        """Merge all known heads into the stored object.

        Raise `PlatformError` when a call to the platform fails.
        """
        self._record_head(self._identity, self._chain.sequence, self._chain.digest)
        name = get_heads_object_name(self._identity.data_centre)
        try:
            stored = await self._objects.get(name)
            data, version = stored.data, stored.version
        except ObjectNotFoundError:
            data, version = b"", 0
        merged = merge_heads(data, self._heads)
        if merged != data:
            await self._objects.update(name, merged, version)
            log.event("audit_heads_written", chains=len(self._heads))
