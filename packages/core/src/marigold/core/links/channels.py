"""Message channels between two components, in one process or over a link.

A hub serves all processes of its cell through channels, including its own process.
`put` never blocks: messages are queued, and a channel whose queue overflows is closed.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

from cbor2 import CBOREncodeError

from marigold.core.exceptions import LinkClosedError
from marigold.core.links.identity import Identity
from marigold.core.links.link import Link
from marigold.core.logging import get_logger

log = get_logger(__name__)

# Send queue of a channel; it holds the messages of a few busy seconds of a hub.
PENDING_MAXIMUM = 2000
# Length to which the reason for a message that has no encoding is logged.
REASON_CHARACTERS = 200


class Channel(ABC):
    """Channel to a peer; iterate over it to receive messages."""

    peer: Identity

    @abstractmethod
    def put(self, message: Any) -> None:
        """Queue a message; it is discarded if the channel is closed."""

    @abstractmethod
    def __aiter__(self) -> AsyncIterator[Any]:
        """Yield messages until the channel is closed."""

    @abstractmethod
    def close(self) -> None:
        """Close immediately; queued messages are discarded."""


class LinkChannel(Channel):
    """Channel over a link; a background task sends the queued messages."""

    def __init__(self, link: Link) -> None:
        self.peer = link.peer
        self._link = link
        self._pending: deque[Any] = deque()
        self._has_pending = asyncio.Event()
        self._writer = asyncio.create_task(self._write())

    def put(self, message: Any) -> None:
        """Queue a message."""
        if len(self._pending) >= PENDING_MAXIMUM:
            log.event("channel_overfull", peer=self.peer.process)
            self.close()
            return
        self._pending.append(message)
        self._has_pending.set()

    async def _write(self) -> None:
        while True:
            await self._has_pending.wait()
            while self._pending:
                try:
                    await self._link.send(self._pending.popleft())
                except LinkClosedError:
                    # The reader of the link ends as well and logs it.
                    return
                except (CBOREncodeError, ValueError) as exc:
                    reason = repr(exc)[:REASON_CHARACTERS]
                    log.event("message_unsendable", peer=self.peer, reason=reason)
            self._has_pending.clear()

    async def __aiter__(self) -> AsyncIterator[Any]:
        """Yield messages until the link closes."""
        try:
            async for message in self._link:
                yield message
        finally:
            self.close()

    def close(self) -> None:
        """Close immediately."""
        self._writer.cancel()
        self._link.abort()


class LocalChannel(Channel):
    """One end of a channel within a process."""

    def __init__(self, peer: Identity) -> None:
        self.peer = peer
        self._incoming: asyncio.Queue[Any] = asyncio.Queue()
        self._other: LocalChannel | None = None

    def connect(self, other: LocalChannel) -> None:
        """Connect this end to the other one."""
        self._other = other
        other._other = self

    def put(self, message: Any) -> None:
        """Send a message."""
        if self._other is not None:
            self._other._incoming.put_nowait(message)

    async def __aiter__(self) -> AsyncIterator[Any]:
        """Yield messages until either end closes."""
        while self._other is not None or not self._incoming.empty():
            message = await self._incoming.get()
            if message is None:
                return
            yield message

    def close(self) -> None:
        """Close both ends."""
        other, self._other = self._other, None
        self._incoming.put_nowait(None)
        if other is not None:
            other.close()
