"""Outgoing connections that detect a lost peer by TCP keep-alive and timeouts."""

from __future__ import annotations

import socket
from typing import Any

from aiohttp import ClientError, TCPConnector

# Time after which a connection with unacknowledged data is closed. Callers wait about
# two seconds, in which a second attempt has to fit.
USER_TIMEOUT_MS = 1500
# TCP keep-alive: idle time before the first probe, interval, and number of probes.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Exceptions of a call that got no complete response. The library raises a
# `RuntimeError` for a body that is not encoded as its headers state.
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
    """Return a connector that keeps idle connections for `keepalive` seconds."""
    return TCPConnector(
        limit=0,
        ttl_dns_cache=None,
        keepalive_timeout=keepalive,
        socket_factory=_make_socket,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
