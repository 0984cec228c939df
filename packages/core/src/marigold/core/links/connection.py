"""Websocket connections that record when data was last received."""

from __future__ import annotations

import time
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection


class LinkConnection(Connection):
    """Connection that records when data was last received.

    `last_received` is a time of the monotonic clock.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.last_received = time.monotonic()

    def data_received(self, data: bytes) -> None:
        """Record the time and process the data."""
        self.last_received = time.monotonic()
        super().data_received(data)


class LinkClientConnection(LinkConnection, ClientConnection):
    """Connection of the side that opened the link."""


class LinkServerConnection(LinkConnection, ServerConnection):
    """Connection of the side that accepted the link."""
