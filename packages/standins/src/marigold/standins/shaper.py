"""A TCP relay that emulates a network link with limits and faults.

Each relay listens on a port of its own. Its switches:

- `rate`: bytes a second in each direction, 0 for no limit; shared by all
  connections;
- `latency`: seconds in each direction;
- `cut`: connections are closed and new ones refused;
- `frozen`: no data passes, connections stay open;
- `silence`: no data ever passes on the connections open now, new ones work.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass

READ_BYTES = 16 * 1024
# Connections end well within this time once they are aborted.
STOP_TIMEOUT_S = 1.0
FROZEN_POLL_S = 0.02
LINGER_OFF = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """Fault switches of a link; rate in bytes a second, latency in seconds."""

    rate: float = 0.0
    latency: float = 0.0
    cut: bool = False
    frozen: bool = False


class Direction:
    """A direction of a link, with the time at which its bandwidth is free."""

    __slots__ = ("bytes", "free_at")

    def __init__(self) -> None:
        self.free_at = 0.0
        self.bytes = 0


class _Connection:
    __slots__ = ("handler", "silenced", "tasks", "writers")

    def __init__(self, handler: asyncio.Task[None]) -> None:
        self.handler = handler
        self.silenced = False
        self.tasks: list[asyncio.Task[None]] = []
        self.writers: list[asyncio.StreamWriter] = []


class ShapedLink:
    """Relay from a local port to ``IP:PORT``.

    Relays of the same physical link share its faults and directions.
    """

    def __init__(
        self,
        target: str,
        faults: LinkFaults | None = None,
        directions: tuple[Direction, Direction] | None = None,
    ) -> None:
        host, port = target.rsplit(":", 1)
        self._target = (host, int(port))
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._directions = directions or (Direction(), Direction())
        self.faults = faults or LinkFaults()
        self.address = ""

    @property
    def bytes_passed(self) -> tuple[int, int]:
        """Bytes relayed to the target and from it."""
        return self._directions[0].bytes, self._directions[1].bytes

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self.faults.cut = True
        for conn in list(self._connections):
            for writer in conn.writers:
                writer.transport.abort()

    def heal(self) -> None:
        """End a cut or freeze; silenced connections stay silent."""
        self.faults.cut = False
        self.faults.frozen = False

    def silence(self) -> None:
        """Drop all further data on the connections that are open now."""
        for conn in self._connections:
            conn.silenced = True

    async def stop(self) -> None:
        """Close the relay and its connections."""
        if self._server is not None:
            self._server.close()
        self.cut()
        handlers = [conn.handler for conn in self._connections]
        for conn in self._connections:
            for task in conn.tasks:
                task.cancel()
        # The event loop may close next, and reports pending connections as errors.
        if handlers:
            await asyncio.wait(handlers, timeout=STOP_TIMEOUT_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        conn = _Connection(asyncio.current_task())
        conn.writers.append(writer)
        self._connections.add(conn)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            conn.writers.append(target_writer)
            forward, backward = self._directions
            conn.tasks = [
                asyncio.create_task(self._pump(conn, reader, target_writer, forward)),
                asyncio.create_task(self._pump(conn, target_reader, writer, backward)),
            ]
            await asyncio.wait(conn.tasks, return_when=asyncio.FIRST_COMPLETED)
            if any(_has_failed(task) for task in conn.tasks):
                _reset(conn.writers)
        except OSError:
            pass
        finally:
            self._connections.discard(conn)
            for task in conn.tasks:
                task.cancel()
            for open_writer in conn.writers:
                open_writer.transport.abort()

    async def _pump(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await self._wait_until_unblocked(conn)
            await self._delay(direction, len(data))
            direction.bytes += len(data)
            writer.write(data)
            await writer.drain()

    async def _wait_until_unblocked(self, conn: _Connection) -> None:
        """Wait while the link is frozen, and forever on a silenced connection."""
        while self.faults.frozen and not conn.silenced:
            await asyncio.sleep(FROZEN_POLL_S)
        if conn.silenced:
            # Polling by hundreds of silenced connections delayed the others.
            await asyncio.Event().wait()

    async def _delay(self, direction: Direction, size: int) -> None:
        wait = self.faults.latency
        if self.faults.rate:
            now = time.monotonic()
            direction.free_at = max(direction.free_at, now) + size / self.faults.rate
            wait += direction.free_at - now
        if wait > 0:
            await asyncio.sleep(wait)


def _has_failed(task: asyncio.Task[None]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is not None


def _reset(writers: list[asyncio.StreamWriter]) -> None:
    """Reset both connections, so that a reset does not arrive as a regular close."""
    for writer in writers:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        writer.transport.abort()
