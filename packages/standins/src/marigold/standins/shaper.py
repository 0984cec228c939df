"""A TCP relay that stands for a link: shaped, cut, frozen or silenced.

A relay for one link listens on its own port. Switches, changed by
``POST /faults`` on the control port:

- `rate`: bytes a second each way, 0 for no limit; shared by all connections;
- `latency`: seconds each way;
- `cut`: connections are closed and new ones refused;
- `frozen`: nothing passes, connections stay open;
- `silence`: connections open now never pass anything again, new ones do.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass

READ_BYTES = 16 * 1024
# Seconds in which connections end once they are aborted; none takes as long.
STOP_TIMEOUT_S = 1.0
# Seconds between looks whether a frozen link passes again.
FROZEN_POLL_S = 0.02
LINGER_OFF = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class LinkFaults:
    """Switches of a link; rate in bytes a second, latency in seconds."""

    rate: float = 0.0
    latency: float = 0.0
    cut: bool = False
    frozen: bool = False


class Direction:
    """One way of a link: bytes passed and when its rate lets more pass."""

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

    Relays that stand for one physical link share its faults and directions.
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
        """Bytes towards the target, and back."""
        return self._directions[0].bytes, self._directions[1].bytes

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address."""
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
        """Let everything pass again, but for silenced connections."""
        self.faults.cut = False
        self.faults.frozen = False

    def silence(self) -> None:
        """Let nothing pass on the connections open now."""
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
        # The loop may close after this, and would complain of open connections.
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
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            conn.writers.append(far_writer)
            there, back = self._directions
            conn.tasks = [
                asyncio.create_task(self._pump(conn, reader, far_writer, there)),
                asyncio.create_task(self._pump(conn, far_reader, writer, back)),
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
        """Wait while the link is frozen, and for good on a silenced connection."""
        while self.faults.frozen and not conn.silenced:
            await asyncio.sleep(FROZEN_POLL_S)
        if conn.silenced:
            # Hundreds of them that looked again and again held up the open ones.
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
    """Pass a reset on, which must not look like an end in order."""
    for writer in writers:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
        writer.transport.abort()
