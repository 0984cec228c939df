"""Rendezvous hashing of hosts.

Processes with the same host list compute the same ranking. Adding or removing a
host changes only the choices that contain this host.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8


def compute_weight(key: str, host: str) -> int:
    """Return the weight of a host for a key."""
    text = f"{key}\0{host}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest())


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in order of descending weight for a key."""
    return sorted(hosts, key=lambda host: compute_weight(key, host), reverse=True)
