"""Requests of callers and their answers."""

from __future__ import annotations

import hashlib
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from itertools import takewhile
from typing import Any

from marigold.core.fingerprints import compute_fingerprint
from marigold.core.schema.generated.messages import StartAttempt
from marigold.entry.lists.compiled import CustomerPlan

AFFINITY_BYTES = 4096


def compute_affinity(model: str, messages: Sequence[Any]) -> str:
    """Return a fingerprint of the first messages of a chat.

    It covers the model, the leading system messages and the first message after
    them, so that all turns of a conversation share it. Only the first
    `AFFINITY_BYTES` of these messages count.
    """
    system = sum(1 for _ in takewhile(_is_system, messages))
    text = repr(messages[: system + 1])[:AFFINITY_BYTES]
    return hashlib.blake2b(f"{model}\0{text}".encode(), digest_size=8).hexdigest()


def _is_system(message: Any) -> bool:
    return isinstance(message, dict) and message.get("role") == "system"


class AttemptClaim(ABC):
    """Claim that a request with an idempotency key must hold before each attempt."""

    @abstractmethod
    async def record_attempt(self, start: StartAttempt, host: str) -> None:
        """Store the attempt that is about to start; raise `AnswerError`."""


class Request:
    """An authenticated request; times are in seconds of the monotonic clock.

    `claim` is set for requests with an idempotency key.
    """

    __slots__ = (
        "_fingerprint",
        "affinity",
        "arrived",
        "body",
        "claim",
        "customer",
        "deadline",
        "headers",
        "id",
        "idempotency_key",
        "is_idempotent",
        "is_streamed",
        "method",
        "path",
        "service",
        "versions",
    )

    def __init__(
        self,
        *,
        id: str,
        customer: CustomerPlan,
        service: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
        versions: list[str] | None = None,
        is_streamed: bool = False,
        is_idempotent: bool = False,
        idempotency_key: str = "",
        affinity: str = "",
    ) -> None:
        self.id = id
        self.customer = customer
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.versions = versions or []
        self.is_streamed = is_streamed
        self.is_idempotent = is_idempotent
        self.idempotency_key = idempotency_key
        self.claim: AttemptClaim | None = None
        self.affinity = affinity
        self._fingerprint = ""
        self.arrived = time.monotonic()
        self.deadline = self.arrived + timeout

    def get_fingerprint(self) -> str:
        """Return a digest of the service, the method, the path and the body."""
        if not self._fingerprint:
            parts = (self.service, self.method, self.path)
            self._fingerprint = compute_fingerprint(parts, self.body)
        return self._fingerprint

    def get_time_left(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - time.monotonic()


class Answer:
    """Complete answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body
