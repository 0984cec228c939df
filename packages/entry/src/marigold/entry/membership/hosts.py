"""Polling of the platform's host list.

During an outage of the platform the last list stays in use. A process that
starts during an outage uses the list of a peer until the platform answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import ClientSession

from marigold.core.exceptions import PlatformError
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.platform.hosts import dump_hosts, get_hosts, load_hosts
from marigold.core.schema.generated.messages import HostsRequest, HostsUpdate
from marigold.core.schema.generated.records import HostRecord
from marigold.core.schema.generated.settings import Platform
from marigold.entry.membership.peers import EntryPeers

log = get_logger(__name__)

HostsHandler = Callable[[list[HostRecord]], Awaitable[None]]


class HostListPoller:
    """Reads the host list at an interval and calls handlers with it."""

    def __init__(self, session: ClientSession, cfg: Platform) -> None:
        self._session = session
        self._cfg = cfg
        self._handlers: list[HostsHandler] = []
        self.hosts: list[HostRecord] = []

    def subscribe(self, handler: HostsHandler) -> None:
        """Call a handler with the current list after each read."""
        self._handlers.append(handler)

    def exchange_with_peers(self, peers: EntryPeers) -> None:
        """Request the list from peers while there is none; serve their requests."""
        peers.on_open(self._send_request)
        peers.subscribe(HostsRequest, self._on_request)
        peers.subscribe(HostsUpdate, self._on_update)

    async def _send_request(self, link: Link) -> None:
        if not self.hosts:
            await link.send(HostsRequest())

    async def _on_request(self, link: Link, message: HostsRequest) -> None:
        if self.hosts:
            await link.send(HostsUpdate(hosts=dump_hosts(self.hosts)))

    async def _on_update(self, link: Link, message: HostsUpdate) -> None:
        if self.hosts:
            return
        try:
            self.hosts = load_hosts(message.hosts)
        except PlatformError as exc:
            log.event("host_list_rejected", peer=link.peer.process, reason=exc)
            return
        log.event("host_list_taken", peer=link.peer.process, hosts=len(self.hosts))
        await self._call_handlers()

    async def refresh(self) -> bool:
        """Read the list once; return whether the platform answered.

        Call the handlers with the last list when it did not, because their result
        also depends on which hosts are reachable.
        """
        is_read = True
        try:
            self.hosts = await get_hosts(self._session, self._cfg)
        except PlatformError as exc:
            log.event("host_list_failed", reason=exc)
            is_read = False
        await self._call_handlers()
        return is_read

    async def _call_handlers(self) -> None:
        for handler in self._handlers:
            await handler(self.hosts)

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._cfg.host_interval)
