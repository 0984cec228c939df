"""Storage of claims on idempotency keys in the platform's object API."""

from __future__ import annotations

import hashlib
from base64 import b64decode, b64encode

from cattrs.preconf.json import make_converter

from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    PlatformUnreachableError,
)
from marigold.core.platform.objects import ObjectClient
from marigold.core.schema.generated.records import Claim
from marigold.entry.routing.requests import Answer

PREFIX = "claims"
SHARD_DIGITS = 3
SHARDS = 16**SHARD_DIGITS
MAXIMUM_BODY_BYTES = 512 * 1024
WRITE_TRIES = 2

_CONVERTER = make_converter()


class StoredClaim:
    """A claim and the version of its object."""

    __slots__ = ("claim", "version")

    def __init__(self, claim: Claim, version: int) -> None:
        self.claim = claim
        self.version = version


def get_claim_name(customer: str, key: str) -> str:
    """Return the name of the claim's object.

    The digest covers the customer, so that customers cannot share a key.
    """
    digest = hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()
    return f"{PREFIX}/{digest[:SHARD_DIGITS]}/{digest}"


def get_shard_prefix(shard: int) -> str:
    """Return the common prefix of the object names in a shard."""
    return f"{PREFIX}/{shard:0{SHARD_DIGITS}x}"


def put_answer(claim: Claim, answer: Answer) -> None:
    """Put an answer into a claim; drop a body above `MAXIMUM_BODY_BYTES`."""
    claim.state = "done"
    claim.status = answer.status
    claim.headers = answer.headers
    claim.kept = len(answer.body) <= MAXIMUM_BODY_BYTES
    claim.body = b64encode(answer.body).decode() if claim.kept else ""


def get_answer(claim: Claim) -> Answer:
    """Return the stored answer."""
    return Answer(claim.status, dict(claim.headers), b64decode(claim.body))


class ClaimStore:
    """Reads and writes claims."""

    def __init__(self, objects: ObjectClient) -> None:
        self._objects = objects

    async def read(self, name: str) -> StoredClaim | None:
        """Return a claim; raise `PlatformUnreachableError`."""
        try:
            stored = await self._objects.get(name)
        except ObjectNotFoundError:
            return None
        return StoredClaim(_CONVERTER.loads(stored.data, Claim), stored.version)

    async def write(self, name: str, claim: Claim, version: int) -> int:
        """Write over a version; return the new one.

        When a response is lost, read the claim back, and write again if the
        first write had no effect. Raise `ObjectConflictError` or
        `PlatformUnreachableError`; in the latter case the write may have taken
        effect.
        """
        data = _CONVERTER.dumps(claim).encode()
        is_uncertain = False
        for tries_left in reversed(range(WRITE_TRIES)):
            try:
                return await self._objects.update(name, data, version)
            except PlatformUnreachableError:
                is_uncertain = True
                if not tries_left:
                    raise
            except ObjectConflictError:
                if not is_uncertain:
                    raise
                return await self._confirm(name, claim)
            stored = await self.read(name)
            if stored is not None and stored.claim == claim:
                return stored.version
        raise PlatformUnreachableError(f"{name}: no response to the write")

    async def _confirm(self, name: str, claim: Claim) -> int:
        """Return the version of a claim that is stored as written."""
        stored = await self.read(name)
        if stored is None or stored.claim != claim:
            raise ObjectConflictError(name, stored.version if stored else 0)
        return stored.version
