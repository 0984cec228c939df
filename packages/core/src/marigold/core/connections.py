"""Outgoing connections that find out by themselves that their peer is gone."""

from __future__ import annotations

import socket
from typing import Any

from aiohttp import ClientError, TCPConnector

# A connection on which sent bytes are not acknowledged for so long is given up.
# Callers bear about two seconds, in which another attempt has to fit.
USER_TIMEOUT_MS = 1500
# An idle connection is probed after so many seconds, as often, and so many times.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# What a call may end with when no whole answer came. The library raises a
# `RuntimeError` where a body is not coded as its head says.
CALL_ERRORS = (TimeoutError, ClientError, OSError, RuntimeError)


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


def make_connector(keepalive: float) -> TCPConnector:
    """Return a connector; `keepalive` is the seconds that a connection is kept."""
    return TCPConnector(
        limit=0,
        ttl_dns_cache=None,
        keepalive_timeout=keepalive,
        socket_factory=_make_socket,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the parts of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
