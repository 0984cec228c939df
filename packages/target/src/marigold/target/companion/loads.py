"""Reports of the runner's load to hubs."""

from __future__ import annotations

import asyncio

from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import RunnerLoad

log = get_logger(__name__)

# Seconds between reports while the load changes, and while it does not.
INTERVAL_S = 0.4
IDLE_INTERVAL_S = 1.0


class LoadReporter:
    """Sends the latest load to all hubs with a link to this process."""

    def __init__(self) -> None:
        self._hubs: set[Channel] = set()
        self._load: RunnerLoad | None = None
        self._sent: RunnerLoad | None = None
        self._sent_at = 0.0

    def update(self, load: RunnerLoad) -> None:
        """Update the load; it is sent with the next report."""
        self._load = load

    def attach(self, hub: Channel) -> None:
        """Start reporting to a hub, with the latest load at once."""
        self._hubs.add(hub)
        if self._load is not None:
            hub.put(self._load)

    def detach(self, hub: Channel) -> None:
        """Stop reporting to a hub."""
        self._hubs.discard(hub)

    async def run(self) -> None:
        """Send reports until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(INTERVAL_S)
            is_due = loop.time() - self._sent_at >= IDLE_INTERVAL_S
            if self._load is not None and (is_due or self._load != self._sent):
                self.report()

    def report(self) -> None:
        """Send the latest load now."""
        load = self._load
        if load is None:
            return
        self._sent = load
        self._sent_at = asyncio.get_running_loop().time()
        for hub in self._hubs:
            hub.put(load)
