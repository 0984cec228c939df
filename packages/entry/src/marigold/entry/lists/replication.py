"""Replication of the lists among the entries of a data centre.

The two live entries that rank first by rendezvous hash watch the platform. The
first of them pushes each generation to its peers and accepts edits that another
process stored but did not accept. Heartbeats carry the generation of the sender,
so that an entry that missed a push requests the missing changes. Entries and data
centres that cannot reach the platform get the lists in this way as well.
"""

from __future__ import annotations

import asyncio
import random
import time

from marigold.core.exceptions import LinkClosedError, PlatformError
from marigold.core.links.identity import Identity
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    Heartbeat,
    ListsRequest,
    ListsUpdate,
)
from marigold.entry.lists.acceptance import ListAcceptor
from marigold.entry.lists.compiled import CompiledLists
from marigold.entry.lists.follower import ListFollower
from marigold.entry.lists.store import EDITED, AcceptedObject, ListStore
from marigold.entry.membership.peers import EntryPeers
from marigold.entry.membership.rendezvous import rank_hosts

log = get_logger(__name__)

WATCHER_COUNT = 2
ROLE_CHECK_INTERVAL_S = 0.25
RETRY_S = 0.5
ACCEPT_INTERVAL_S = 1.0
# An entry that does not watch reads the platform itself after no heartbeat of a
# watcher has arrived for this long.
WATCHER_TIMEOUT_S = 2.0
DIRECT_READ_INTERVAL_S = 5.0
# Entries of other data centres are asked only when the local watchers have not
# delivered a generation for this long.
REMOTE_GRACE_S = 0.3
REQUEST_TIMEOUT_S = 1.0


class ListReplicator:
    """Fetches each generation for this entry and sends it to peers."""

    def __init__(
        self,
        identity: Identity,
        store: ListStore,
        follower: ListFollower,
        acceptor: ListAcceptor,
        peers: EntryPeers,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._store = store
        self._follower = follower
        self._acceptor = acceptor
        self._peers = peers
        self._rng = rng
        self._key = f"lists/{identity.data_centre}"
        self._peer_generations: dict[str, int] = {}
        self._watcher_seen_at = time.monotonic()
        self._behind_since: dict[int, float] = {}
        self._request_expires_at = 0.0
        self._partial_updates: dict[str, list[ListsUpdate]] = {}
        self._pushes: set[asyncio.Task[None]] = set()
        self._processed_version = 0
        self._last_version = 0
        self.is_watching = False
        peers.subscribe(Heartbeat, self._on_heartbeat)
        peers.subscribe(ListsRequest, self._on_request)
        peers.subscribe(ListsUpdate, self._on_update)
        follower.lists.subscribe(self._on_lists)

    def _get_rank(self) -> int:
        names = [self._identity.process, *self._peers.get_local_names()]
        return rank_hosts(self._key, names).index(self._identity.process)

    async def run(self) -> None:
        """Replicate the lists until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            group.create_task(self._accept_edits())

    async def _watch(self) -> None:
        """Watch the platform while this entry ranks among the watchers."""
        version = 0
        while True:
            if self._get_rank() >= WATCHER_COUNT:
                self.is_watching = False
                await self._read_without_watchers()
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                accepted = await self._store.watch_accepted(version)
            except PlatformError as exc:
                self.is_watching = False
                log.event("lists_watch_failed", reason=exc)
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))
                continue
            self.is_watching = True
            if accepted is not None and await self._apply_accepted(accepted):
                version = accepted.version

    async def _read_without_watchers(self) -> None:
        if time.monotonic() - self._watcher_seen_at < WATCHER_TIMEOUT_S:
            return
        try:
            await self._apply_accepted(await self._store.get_accepted())
        except PlatformError as exc:
            log.event("lists_unavailable", reason=exc)
        # Delays the next direct read by the pause.
        pause = DIRECT_READ_INTERVAL_S * (0.5 + self._rng.random())
        self._watcher_seen_at = time.monotonic() + pause - WATCHER_TIMEOUT_S

    async def _apply_accepted(self, accepted: AcceptedObject) -> bool:
        """Put an accepted record into force; return whether it could be read."""
        record = accepted.record
        if record is None or record.generation <= self._follower.state.generation:
            return True
        try:
            state = await self._store.load_state(record, self._follower.state)
        except PlatformError as exc:
            log.event("lists_parts_unavailable", reason=exc)
            await asyncio.sleep(RETRY_S * self._rng.random())
            return False
        await self._follower.apply_state(state)
        return True

    async def _accept_edits(self) -> None:
        while True:
            await asyncio.sleep(ACCEPT_INTERVAL_S * (0.5 + self._rng.random()))
            if self._get_rank() > 0:
                continue
            try:
                await self._accept_pending_edit()
            except PlatformError as exc:
                log.event("lists_acceptance_failed", reason=exc)

    async def _accept_pending_edit(self) -> None:
        """Accept an edit that was already pending at the previous check.

        The process that stored it normally accepts it in the meantime.
        """
        version = (await self._store.get_versions()).get(EDITED, 0)
        previous, self._last_version = self._last_version, version
        if version == self._processed_version or version != previous:
            return
        await self._acceptor.advance()
        self._processed_version = version

    def _on_lists(self, lists: CompiledLists) -> None:
        self._behind_since.clear()
        self._request_expires_at = 0.0
        if lists.generation > 0 and self._get_rank() == 0:
            task = asyncio.create_task(self._push(lists.generation))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    async def _push(self, generation: int) -> None:
        for name in self._peers.get_local_names():
            known = self._peer_generations.get(name, 0)
            if known >= generation:
                continue
            self._peer_generations[name] = generation
            for update in self._follower.make_updates(known):
                if not await self._peers.send(name, update):
                    break

    async def _on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        self._peer_generations[link.peer.process] = message.generation
        is_local = link.peer.data_centre == self._identity.data_centre
        now = time.monotonic()
        if is_local and message.watching:
            self._watcher_seen_at = max(self._watcher_seen_at, now)
        if message.generation <= self._follower.state.generation:
            return
        since = self._behind_since.setdefault(message.generation, now)
        if is_local or now - since >= REMOTE_GRACE_S:
            await self._request_changes(link)

    async def _request_changes(self, link: Link) -> None:
        now = time.monotonic()
        if now < self._request_expires_at:
            return
        self._request_expires_at = now + REQUEST_TIMEOUT_S
        generation = self._follower.state.generation
        await link.send(ListsRequest(generation=generation))

    async def _on_request(self, link: Link, message: ListsRequest) -> None:
        for update in self._follower.make_updates(message.generation):
            await link.send(update)

    async def _on_update(self, link: Link, message: ListsUpdate) -> None:
        parts = self._partial_updates.setdefault(link.peer.process, [])
        if parts and parts[0].digest != message.digest:
            parts.clear()
        parts.append(message)
        if not message.last:
            return
        del self._partial_updates[link.peer.process]
        update = _merge_parts(parts)
        if await self._follower.apply_update(update):
            return
        if update.generation > self._follower.state.generation:
            await self._request_whole_lists(link)

    async def _request_whole_lists(self, link: Link) -> None:
        try:
            await link.send(ListsRequest(generation=0))
        except LinkClosedError:
            pass


def _merge_parts(parts: list[ListsUpdate]) -> ListsUpdate:
    whole = parts[-1]
    for part in parts[:-1]:
        whole.plans.update(part.plans)
        whole.allowances.update(part.allowances)
    return whole
