"""Links between the entry processes.

Of two entries, the one whose name sorts first opens the link. The other opens it
when there has been no link for a while, because the first may lack the host
list. Modules subscribe to the types of message that they handle:

    peers.subscribe(Demand, on_demand)
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from marigold.core.exceptions import LinkClosedError, LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.records import HostRecord

log = get_logger(__name__)

RECONNECT_S = 0.3
FALLBACK_DIAL_INTERVAL_S = 2.0

PeerHandler = Callable[[Link, Any], Awaitable[None]]


class EntryPeers:
    """Opens, serves and holds the links to other entries."""

    def __init__(self, ctx: LinkContext, rng: random.Random) -> None:
        self._ctx = ctx
        self._rng = rng
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._handlers: dict[type, list[PeerHandler]] = defaultdict(list)
        self._open_handlers: list[Callable[[Link], Awaitable[None]]] = []

    def subscribe(self, cls: type, handler: PeerHandler) -> None:
        """Call a handler for each message of a type."""
        self._handlers[cls].append(handler)

    def on_open(self, handler: Callable[[Link], Awaitable[None]]) -> None:
        """Call a handler for each link that opens."""
        self._open_handlers.append(handler)

    def get_names(self) -> list[str]:
        """Return the names of the entries that are linked now."""
        return sorted(self._links)

    def get_local_names(self) -> list[str]:
        """Return the names of the linked entries of the own data centre."""
        own_data_centre = self._ctx.identity.data_centre
        links = self._links.items()
        return sorted(
            name for name, link in links if link.peer.data_centre == own_data_centre
        )

    async def send(self, process: str, message: Any) -> bool:
        """Send to one entry; return whether the message was sent on a link."""
        link = self._links.get(process)
        if link is None:
            return False
        try:
            await link.send(message)
        except LinkClosedError:
            return False
        return True

    async def send_all(self, message: Any) -> None:
        """Send to every linked entry."""
        for process in list(self._links):
            await self.send(process, message)

    async def serve(self, link: Link) -> None:
        """Serve one link until it closes; replace an older link to the peer."""
        process = link.peer.process
        previous = self._links.get(process)
        if previous is not None and previous.peer.incarnation > link.peer.incarnation:
            link.abort()
            return
        if previous is not None:
            previous.abort()
        self._links[process] = link
        log.event("peer_linked", peer=process, incarnation=link.peer.incarnation)
        try:
            for handler in self._open_handlers:
                await handler(link)
            async for message in link:
                for handler in self._handlers[type(message)]:
                    await handler(link, message)
        except LinkClosedError:
            pass
        finally:
            if self._links.get(process) is link:
                del self._links[process]
            log.event("peer_unlinked", peer=process)

    async def sync(self, records: Iterable[HostRecord]) -> None:
        """Update the addresses and dial tasks to match the host list.

        A link that is open stays until it closes, also when the list no longer
        names the host or gives it another address, because the list may be stale.
        """
        own_name = self._ctx.identity.process
        self._addresses = {
            record.host: record.address
            for record in records
            if record.role == "entry" and record.host != own_name
        }
        for host in self._addresses.keys() - self._dialers.keys():
            self._dialers[host] = asyncio.create_task(self._dial(host))
        for host in self._dialers.keys() - self._addresses.keys():
            if host not in self._links:
                await cancel_tasks(self._dialers.pop(host))

    async def _dial(self, host: str) -> None:
        is_first = self._ctx.identity.process < host
        interval = RECONNECT_S if is_first else FALLBACK_DIAL_INTERVAL_S
        if not is_first:
            await self._pause(interval)
        while True:
            if host not in self._links:
                await self._open(host)
            await self._pause(interval)

    async def _pause(self, seconds: float) -> None:
        await asyncio.sleep(seconds * (0.5 + self._rng.random()))

    async def _open(self, host: str) -> None:
        address = self._addresses.get(host)
        if address is None:
            return
        try:
            link = await open_link(address, self._ctx)
        except LinkError:
            return
        await self.serve(link)

    async def stop(self) -> None:
        """Close all links."""
        await cancel_tasks(*self._dialers.values())
        for link in list(self._links.values()):
            link.abort()
