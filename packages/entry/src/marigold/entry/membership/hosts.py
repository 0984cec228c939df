"""Follows the platform's host list; an outage leaves the last list in place.

A process that started during an outage takes the list of a peer that linked to
it, until the platform answers.
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
    """Reads the host list at an interval and passes it to handlers."""

    def __init__(self, session: ClientSession, cfg: Platform) -> None:
        self._session = session
        self._cfg = cfg
        self._handlers: list[HostsHandler] = []
        self.hosts: list[HostRecord] = []

    def subscribe(self, handler: HostsHandler) -> None:
        """Call a handler with each list that was read."""
        self._handlers.append(handler)

    def exchange_with_peers(self, peers: EntryPeers) -> None:
        """Ask peers for their list while there is none, and answer them."""
        peers.on_open(self._ask)
        peers.subscribe(HostsRequest, self._answer)
        peers.subscribe(HostsUpdate, self._take)

    async def _ask(self, link: Link) -> None:
        if not self.hosts:
            await link.send(HostsRequest())

    async def _answer(self, link: Link, message: HostsRequest) -> None:
        if self.hosts:
            await link.send(HostsUpdate(hosts=dump_hosts(self.hosts)))

    async def _take(self, link: Link, message: HostsUpdate) -> None:
        if self.hosts:
            return
        try:
            self.hosts = load_hosts(message.hosts)
        except PlatformError as exc:
            log.event("host_list_rejected", peer=link.peer.process, reason=exc)
            return
        log.event("host_list_taken", peer=link.peer.process, hosts=len(self.hosts))
        await self._pass_on()

    async def refresh(self) -> bool:
        """Read the list once; tell whether the platform answered.

        Handlers get the last list again when it did not, because what they make
        of it also depends on which hosts can be reached.
        """
        is_read = True
        try:
            self.hosts = await get_hosts(self._session, self._cfg)
        except PlatformError as exc:
            log.event("host_list_failed", reason=exc)
            is_read = False
        await self._pass_on()
        return is_read

    async def _pass_on(self) -> None:
        for handler in self._handlers:
            await handler(self.hosts)

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._cfg.host_interval)
