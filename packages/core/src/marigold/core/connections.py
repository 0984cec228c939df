"""Outgoing connections that detect a lost peer by TCP keep-alive and timeouts."""

from __future__ import annotations

import re
import select
import socket
from functools import partial
from typing import Any

from aiohttp import ClientError, ClientResponse, TCPConnector, hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from marigold.core.exceptions import AddressError

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
    """Protocol of a connection; `is_reused` is set from its second request on."""

    is_reused = False


class CheckedConnector(TCPConnector):
    """Connector that uses no idle connection on which something has arrived.

    Such bytes belong to no request, so they must not be read as the next answer.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(ReusableProtocol, loop=self._loop)

    async def _get(self, key: Any, traces: Any) -> Connection | None:
        while (conn := await super()._get(key, traces)) is not None:
            protocol = conn.protocol
            if not protocol.should_close and not _is_readable(protocol):
                protocol.is_reused = True
                return conn
            conn.close()
        return None


def _is_readable(protocol: ResponseHandler) -> bool:
    """Return whether the peer has sent data or closed the connection.

    The event loop may not have seen it yet.
    """
    poll = select.poll()
    poll.register(protocol.transport.get_extra_info("socket"), select.POLLIN)
    return bool(poll.poll(0))


def make_connector(keepalive: float) -> TCPConnector:
    """Return a connector that keeps idle connections for `keepalive` seconds."""
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


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``HOST:PORT``; raise `AddressError`."""
    match = ADDRESS.fullmatch(address)
    if match is None or int(match[2]) > PORT_MAXIMUM:
        raise AddressError(f"{address[:LOGGED_CHARACTERS]!a} is not HOST:PORT")
    return match[1], int(match[2])
