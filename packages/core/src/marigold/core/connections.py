"""Outgoing connections that detect a lost peer by TCP keep-alive and timeouts.

What a peer sends without being asked closes its connection: all bytes on an idle one,
a second answer to a request, and bytes without content beyond a bound.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Iterable
from functools import partial
from typing import Any

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientResponse,
    TCPConnector,
    hdrs,
)
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from marigold.core.exceptions import AddressError
from marigold.core.logging import get_logger
from marigold.core.overhead import OverheadCounter

log = get_logger(__name__)

# Time after which a connection with unacknowledged data is closed. Callers wait about
# two seconds, in which a second attempt has to fit.
USER_TIMEOUT_MS = 1500
# TCP keep-alive: idle time before the first probe, interval, and number of probes.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Digits are ASCII ones only, as `int` accepts those of other scripts as well.
ADDRESS = re.compile(r"([A-Za-z0-9][A-Za-z0-9.-]{0,252}):([0-9]{1,5})")
PORT_MAXIMUM = 65535
LOGGED_CHARACTERS = 80
STATUS_SWITCHING_PROTOCOLS = 101
# Statuses of HTTP (RFC 9110, section 15). The parser accepts any three digits.
DEFINED_STATUSES = range(100, 600)
# Bytes that are parsed at once until the head of an answer has been received.
HEAD_PART_BYTES = 16 * 1024
# More than any object, manifest, chunk or report has.
MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
BODILESS_STATUSES = frozenset({204, 304})
# Exceptions of a call that got no complete response. The library raises a
# `RuntimeError` for a body that is not encoded as its headers state, and a `ValueError`
# for a host name that cannot be looked up.
CALL_ERRORS = (TimeoutError, ClientError, OSError, RuntimeError, ValueError)


def _make_socket(info: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = info[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


class ReusableProtocol(ResponseHandler):
    """Protocol of a connection that is closed when its peer sends what it should not.

    `is_reused` is set from its second request on, and `is_idle` while no request uses
    the connection.
    """

    is_reused = False

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self._has_answer = False
        self._overhead = OverheadCounter()

    def set_response_params(self, **options: Any) -> None:
        """Prepare the connection for the answer to the next request."""
        self._has_answer = False
        self._overhead.start()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless they belong to no request."""
        # The library passes no bytes when reading is resumed, even after the release.
        if self.is_idle and data:
            self._reject("bytes on an idle connection")
            return
        # Heads take many times their size in memory, so only a few are parsed at once.
        while len(data) > HEAD_PART_BYTES and not self._has_answer:
            self._parse(data[:HEAD_PART_BYTES])
            data = data[HEAD_PART_BYTES:]
            if not self.is_connected():
                return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        super().data_received(data)
        self._overhead.add(len(data))
        # The parser keeps the rest of what it was given while reading is paused.
        if self._reading_paused or not self.is_connected():
            return
        if self._overhead.is_exceeded():
            self._reject("too many bytes without content")

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of an answer and its body; only the first one is asked for."""
        if self._has_answer:
            if self.is_connected():
                self._reject("a second answer")
            return
        head, body = data
        if head.code not in DEFINED_STATUSES:
            self._reject(f"status {head.code}, which HTTP does not define")
            return
        if not is_interim(head.code):
            self._has_answer = True
            self._overhead.set_content(body)
        super().feed_data(data, size)

    def _reject(self, reason: str) -> None:
        """Close the connection; an answer that is not whole ends with an error."""
        if self.transport is None:
            return
        peer = self.transport.get_extra_info("peername")
        log.event("connection_rejected", peer=peer, reason=reason)
        exc = ClientPayloadError(reason)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(exc)
        self.set_exception(exc)
        self.transport.abort()


class CheckedConnector(TCPConnector):
    """Connector that uses no idle connection on which something has arrived.

    Such bytes belong to no request, so they must not be read as the next answer. They
    close the connection as soon as the event loop receives them.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(ReusableProtocol, loop=self._loop)

    async def _get(self, key: Any, traces: Any) -> Connection | None:
        while (conn := await super()._get(key, traces)) is not None:
            protocol = conn.protocol
            if not protocol.should_close and not _is_readable(protocol):
                protocol.is_idle = False
                protocol.is_reused = True
                return conn
            conn.close()
        return None

    def _release(
        self, key: Any, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.is_idle = True

    def count_connections(self, address: str) -> tuple[int, int]:
        """Return the connections to ``HOST:PORT`` that are in use, and idle ones."""
        peer = split_address(address)
        idle = [conn for conns in self._conns.values() for conn, _ in conns]
        return _count_peer(self._acquired, peer), _count_peer(idle, peer)


def _count_peer(connections: Iterable[Any], peer: tuple[str, int]) -> int:
    """Return how many open connections lead to a peer.

    The library also keeps placeholders of connections that are being opened.
    """
    transports = [
        item.transport
        for item in connections
        if isinstance(item, ReusableProtocol) and item.transport is not None
    ]
    return sum(item.get_extra_info("peername") == peer for item in transports)


def is_interim(status: int) -> bool:
    """Return whether an answer with a status precedes the answer to the request."""
    return 100 <= status < 200 and status != STATUS_SWITCHING_PROTOCOLS


def _is_readable(protocol: ResponseHandler) -> bool:
    """Return whether the peer has sent data or closed the connection.

    The event loop may not have seen it yet.
    """
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket"), select.POLLIN)
    return bool(poll.poll(0))


def make_connector(keepalive: float) -> TCPConnector:
    """Return a connector that keeps idle connections for `keepalive` seconds.

    With 0, each connection serves one request.
    """
    if not keepalive:
        return CheckedConnector(limit=0, force_close=True, socket_factory=_make_socket)
    return CheckedConnector(
        limit=0,
        ttl_dns_cache=None,
        keepalive_timeout=keepalive,
        socket_factory=_make_socket,
    )


def is_framed(resp: ClientResponse, method: str) -> bool:
    """Return whether an answer states where its body ends, by length or by chunks.

    Any other body ends with its connection, even if one of its transfer codings is
    `chunked`: only the last one delimits it (RFC 9112, section 6.3).
    """
    if method == hdrs.METH_HEAD or resp.status in BODILESS_STATUSES:
        return True
    codings = ",".join(resp.headers.getall(hdrs.TRANSFER_ENCODING, []))
    if codings:
        return codings.rpartition(",")[2].strip().lower() == "chunked"
    return hdrs.CONTENT_LENGTH in resp.headers


async def read_body(resp: ClientResponse, limit: int) -> bytes:
    """Return the body, or a beginning of more than `limit` bytes of a longer one."""
    parts = []
    size = 0
    while size <= limit and (part := await resp.content.readany()):
        parts.append(part)
        size += len(part)
    if size > limit:
        # The rest may have no end, and would be read before the connection is reused.
        resp.close()
    return b"".join(parts)


async def read_whole(resp: ClientResponse, limit: int = MAXIMUM_BODY_BYTES) -> bytes:
    """Return the body; raise `ClientPayloadError` if it has more than `limit` bytes."""
    data = await read_body(resp, limit)
    if len(data) > limit:
        raise ClientPayloadError(f"the body has more than {limit} bytes")
    return data


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``HOST:PORT``; raise `AddressError`."""
    match = ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > PORT_MAXIMUM:
        raise AddressError(f"{address[:LOGGED_CHARACTERS]!a} is not HOST:PORT")
    return match[1], int(match[2])
