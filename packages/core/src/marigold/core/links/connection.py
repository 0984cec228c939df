"""Websocket connections that record when data was last received."""

from __future__ import annotations

import time
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import OPEN

from marigold.core.logging import get_logger

log = get_logger(__name__)

# Bytes that a peer may send until the connection is open. The library reads and drops
# more of them until its timeout.
MAXIMUM_HANDSHAKE_BYTES = 64 * 1024


class LinkConnection(Connection):
    """Connection that records when data was last received.

    `last_received_at` is a time of the monotonic clock.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.last_received_at = time.monotonic()
        self._handshake_bytes = 0
        self._was_open = False

    def data_received(self, data: bytes) -> None:
        """Record the time and process the data."""
        self.last_received_at = time.monotonic()
        if not self._was_open and not self._accept_handshake(len(data)):
            return
        super().data_received(data)
        self._was_open = self._was_open or self.protocol.state is OPEN

    def _accept_handshake(self, size: int) -> bool:
        """Return whether bytes fit into a handshake; else close the connection."""
        self._handshake_bytes += size
        if self._handshake_bytes <= MAXIMUM_HANDSHAKE_BYTES:
            return True
        peer = self.transport.get_extra_info("peername")
        log.event("connection_rejected", peer=peer, reason="the handshake is too long")
        self.transport.abort()
        return False


class LinkClientConnection(LinkConnection, ClientConnection):
    """Connection of the side that opened the link."""


class LinkServerConnection(LinkConnection, ServerConnection):
    """Connection of the side that accepted the link."""
