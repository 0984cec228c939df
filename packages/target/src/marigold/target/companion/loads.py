"""Reports of the runner's load to entries."""

from __future__ import annotations

import asyncio

from marigold.core.exceptions import LinkClosedError
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import RunnerLoad

log = get_logger(__name__)

# Seconds between reports while the load changes, and while it does not.
INTERVAL_S = 0.2
IDLE_INTERVAL_S = 1.0


class LoadReporter:
    """Sends the newest load to the entries that have a link to this process."""

    def __init__(self) -> None:
        self._links: set[Link] = set()
        self._load: RunnerLoad | None = None
        self._sent: RunnerLoad | None = None
        self._sent_at = 0.0

    def note(self, load: RunnerLoad) -> None:
        """Take in the load; it goes out with the next report."""
        self._load = load

    async def serve(self, link: Link) -> None:
        """Keep an entry's link until it closes."""
        self._links.add(link)
        log.event("entry_linked", entry=link.peer.process)
        try:
            if self._load is not None:
                await self._send(link, self._load)
            async for _ in link:
                pass
        finally:
            self._links.discard(link)
            log.event("entry_unlinked", entry=link.peer.process)

    async def run(self) -> None:
        """Report until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(INTERVAL_S)
            is_due = loop.time() - self._sent_at >= IDLE_INTERVAL_S
            if self._load is not None and (is_due or self._load != self._sent):
                await self.report()

    async def report(self) -> None:
        """Send the newest load now."""
        load = self._load
        if load is None:
            return
        self._sent = load
        self._sent_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(self._send(link, load) for link in list(self._links)))

    async def _send(self, link: Link, load: RunnerLoad) -> None:
        try:
            await link.send(load)
        except LinkClosedError:
            # The task that reads the link ends it and logs that.
            return
