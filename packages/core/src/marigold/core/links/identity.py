"""Identity of the peers of a link, and the proof that they know the secret."""

from __future__ import annotations

import hashlib
import hmac
import time
from typing import Literal

NONCE_BYTES = 16

Role = Literal["entry", "target"]


class Identity:
    """Identity of a process; `incarnation` is its start time in microseconds."""

    __slots__ = ("data_centre", "incarnation", "process", "role")

    def __init__(
        self, process: str, role: Role, data_centre: str, incarnation: int
    ) -> None:
        self.process = process
        self.role = role
        self.data_centre = data_centre
        self.incarnation = incarnation

    def __repr__(self) -> str:
        return f"{self.role} {self.process}/{self.incarnation} in {self.data_centre}"


def make_incarnation() -> int:
    """Return a number that increases with each start of a process on a host."""
    return time.time_ns() // 1000


def compute_proof(secret: str, nonce: bytes, identity: Identity) -> bytes:
    """Return a MAC that proves that the process of `identity` knows the secret."""
    parts = (
        identity.role,
        identity.process,
        identity.data_centre,
        str(identity.incarnation),
    )
    text = nonce + "\0".join(parts).encode()
    return hmac.digest(secret.encode(), text, hashlib.sha256)


def is_proof_valid(proof: bytes, secret: str, nonce: bytes, identity: Identity) -> bool:
    """Return whether a proof is valid; the comparison takes constant time."""
    return hmac.compare_digest(proof, compute_proof(secret, nonce, identity))
