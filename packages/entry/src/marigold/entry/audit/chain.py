"""Chain of admission records.

Each record of a process is numbered without gaps and carries a digest over its
fields and the digest before it, so that a record which is removed, moved or
altered breaks the chain.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

ADMISSION_EVENT = "request_admitted"
RELEASE_EVENT = "request_left"
DIGEST_CHARACTERS = 32
FIELDS = (
    "incarnation",
    "audit",
    "request",
    "customer",
    "plan",
    "precedence",
    "service",
    "generation",
    "sequence",
    "arrived",
    "admitted",
    "turn",
    "holds",
    "running",
    "slots",
    "concurrency",
    "rate",
    "weight",
    "target",
)


def compute_first_digest(process: str, incarnation: int) -> str:
    """Return the digest that a chain starts from."""
    text = f"{process}/{incarnation}".encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARACTERS]


def compute_digest(previous: str, fields: Mapping[str, Any]) -> str:
    """Return the digest of a record that follows the one with `previous`."""
    text = "\0".join([previous, *(str(fields[name]) for name in FIELDS)])
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


class AuditChain:
    """The chain of one process; `sequence` and `digest` are its head."""

    __slots__ = ("_incarnation", "digest", "sequence")

    def __init__(self, process: str, incarnation: int) -> None:
        self._incarnation = incarnation
        self.sequence = 0
        self.digest = compute_first_digest(process, incarnation)

    def append(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Number a record and add its digest; return all its fields."""
        self.sequence += 1
        fields["incarnation"] = self._incarnation
        fields["audit"] = self.sequence
        self.digest = compute_digest(self.digest, fields)
        fields["digest"] = self.digest
        return fields
