"""Other cells that take requests which this one cannot start at once."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView


class Overflow(ABC):
    """Sends requests that would have to wait to another cell with free slots."""

    @abstractmethod
    def offer(self, req: PlacementRequest, fut: asyncio.Future[RunnerView]) -> bool:
        """Return whether another cell is tried; `fut` then receives the outcome."""

    def forward(self, req: PlacementRequest, fut: asyncio.Future[RunnerView]) -> bool:
        """Return whether the request waits in another cell, which then sets `fut`."""
        return False
