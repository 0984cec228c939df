"""Authenticated link to a peer.

A link carries CBOR messages over a websocket. Both sides send heartbeats, and a link
on which no data arrives for `Links.silence_timeout` seconds is aborted. This detects
connections whose state a device between the peers has lost. Bytes count rather than
messages, since a single message can take longer than the timeout on a slow link.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from websockets.exceptions import ConnectionClosed

from marigold.core.clock import HybridClock
from marigold.core.exceptions import LinkClosedError, LinkMessageError
from marigold.core.links.codec import decode, encode
from marigold.core.links.connection import LinkConnection
from marigold.core.links.identity import Identity
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.settings import Links

log = get_logger(__name__)

MAXIMUM_BAD_MESSAGES = 3


class LinkContext:
    """Settings and state shared by all links of a process.

    `make_heartbeat` returns the next heartbeat; it is called once per link and
    interval.
    """

    __slots__ = ("cfg", "clock", "identity", "make_heartbeat", "secret")

    def __init__(
        self,
        identity: Identity,
        clock: HybridClock,
        cfg: Links,
        secret: str,
        make_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self.identity = identity
        self.clock = clock
        self.cfg = cfg
        self.secret = secret
        self.make_heartbeat = make_heartbeat


class Link:
    """Authenticated link; iterate over it to receive messages."""

    __slots__ = (
        "_bad_messages",
        "_conn",
        "_ctx",
        "_tasks",
        "address",
        "opened",
        "peer",
    )

    def __init__(
        self, conn: LinkConnection, ctx: LinkContext, peer: Identity, address: str
    ) -> None:
        self._conn = conn
        self._ctx = ctx
        self._tasks: list[asyncio.Task[None]] = []
        self._bad_messages = 0
        self.peer = peer
        self.address = address
        self.opened = time.monotonic()

    @property
    def last_received(self) -> float:
        """Time of the monotonic clock at which data was last received."""
        return self._conn.last_received

    @property
    def age(self) -> float:
        """Seconds since the link was opened."""
        return time.monotonic() - self.opened

    async def send(self, message: Any) -> None:
        """Send a message.

        Raise `LinkClosedError` if the link is closed. It is then unknown whether
        earlier messages have reached the peer.
        """
        try:
            await self._conn.send(encode(message, self._ctx.clock.now()))
        except ConnectionClosed as exc:
            raise LinkClosedError(f"link to {self.peer.process} is closed") from exc

    async def __aiter__(self) -> AsyncIterator[Any]:
        """Yield received messages until the link closes."""
        self._start()
        try:
            async for frame in self._conn:
                message = self._decode(frame)
                if message is not None:
                    yield message
        except ConnectionClosed:
            return
        finally:
            self._stop()

    def _decode(self, frame: str | bytes) -> Any:
        try:
            if isinstance(frame, str):
                raise LinkMessageError("expected a binary frame")
            reading, message = decode(frame)
        except LinkMessageError as exc:
            self._bad_messages += 1
            log.event("link_message_rejected", peer=self.peer.process, reason=exc)
            if self._bad_messages >= MAXIMUM_BAD_MESSAGES:
                self.abort()
            return None
        self._ctx.clock.observe(reading)
        return message

    def _start(self) -> None:
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._watch_silence()),
        ]

    def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            try:
                await self.send(self._ctx.make_heartbeat())
            except LinkClosedError:
                return
            await asyncio.sleep(self._ctx.cfg.heartbeat_interval)

    async def _watch_silence(self) -> None:
        timeout = self._ctx.cfg.silence_timeout
        while True:
            silent_for = time.monotonic() - self.last_received
            if silent_for >= timeout:
                log.event("link_silent", peer=self.peer.process, seconds=silent_for)
                self.abort()
                return
            await asyncio.sleep(timeout - silent_for)

    def abort(self) -> None:
        """Close immediately, without a closing handshake."""
        self._conn.transport.abort()

    async def close(self) -> None:
        """Close with a closing handshake."""
        await self._conn.close()


LinkHandler = Callable[[Link], Awaitable[None]]
