"""Hash chain of admission records.

The records of a process are numbered without gaps. Each carries a digest over its
fields and the digest of the record before it, so removing, moving or altering a
record breaks the chain.
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
    """Return the initial digest of a chain, which its first record builds on."""
    text = f"{process}/{incarnation}".encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARACTERS]


def compute_digest(previous: str, fields: Mapping[str, Any]) -> str:
    """Return the digest of a record, given the digest of the record before it."""
    text = "\0".join([previous, *(str(fields[name]) for name in FIELDS)])
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


class AuditChain:
    """Hash chain of one process.

    `sequence` and `digest` belong to the newest record and form the chain's head.
    """

    __slots__ = ("_incarnation", "digest", "sequence")

    def __init__(self, process: str, incarnation: int) -> None:
        self._incarnation = incarnation
        self.sequence = 0
        self.digest = compute_first_digest(process, incarnation)

    def append(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Add the record's number and digest to its fields and return them."""
        self.sequence += 1
        fields["incarnation"] = self._incarnation
        fields["audit"] = self.sequence
        self.digest = compute_digest(self.digest, fields)
        fields["digest"] = self.digest
        return fields
