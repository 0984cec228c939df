"""Leases for leader election, stored as objects of the platform.

The holder renews its lease with a conditional update. Another process may acquire the
lease once it has observed the same version for the whole term on its own monotonic
clock. Each new holder gets a fencing number that is one higher than the last one.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from cattrs.preconf.json import make_converter

from marigold.core.exceptions import (
    LeaseLostError,
    ObjectConflictError,
    ObjectNotFoundError,
)
from marigold.core.platform.objects import ObjectClient, StoredObject
from marigold.core.schema.generated.records import Lease

_CONVERTER = make_converter()
# Part of the term in which the holder may rely on the lease.
SAFETY_RATIO = 0.5


def _load(stored: StoredObject) -> Lease:
    return _CONVERTER.loads(stored.data, Lease)


class LeaseClient:
    """Client of one process for one lease.

    Call `renew_or_acquire` at least three times within the term. `fence` is the
    fencing number while this process holds the lease, otherwise 0.
    """

    __slots__ = (
        "_monotonic",
        "_name",
        "_objects",
        "_process",
        "_renewed_at",
        "_seconds",
        "_seen_since",
        "_version",
        "fence",
    )

    def __init__(
        self,
        objects: ObjectClient,
        name: str,
        process: str,
        seconds: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._objects = objects
        self._name = name
        self._process = process
        self._seconds = seconds
        self._monotonic = monotonic
        self._version = 0
        self._seen_since = 0.0
        self._renewed_at = 0.0
        self.fence = 0

    def is_held(self) -> bool:
        """Return whether the lease is held and valid for at least half a term."""
        age = self._monotonic() - self._renewed_at
        return self.fence > 0 and age < self._seconds * SAFETY_RATIO

    def check_held(self) -> int:
        """Return the fencing number; raise `LeaseLostError` if it is not held."""
        if not self.is_held():
            raise LeaseLostError(f"{self._name} is not held by {self._process}")
        return self.fence

    async def renew_or_acquire(self) -> bool:
        """Renew the lease or try to acquire it; return whether it is held."""
        sent_at = self._monotonic()
        try:
            stored = await self._objects.get(self._name)
        except ObjectNotFoundError:
            return await self._write(1, 0, sent_at)
        lease = _load(stored)
        if lease.holder == self._process and lease.fence == self.fence:
            return await self._write(lease.fence, stored.version, sent_at)
        self.fence = 0
        if stored.version != self._version:
            self._version = stored.version
            # Count from the response: the version may be newer than the request.
            self._seen_since = self._monotonic()
            return False
        if sent_at - self._seen_since < lease.seconds:
            return False
        return await self._write(lease.fence + 1, stored.version, sent_at)

    async def _write(self, fence: int, version: int, sent_at: float) -> bool:
        lease = Lease(holder=self._process, fence=fence, seconds=self._seconds)
        data = _CONVERTER.dumps(lease).encode()
        try:
            self._version = await self._objects.update(self._name, data, version)
        except ObjectConflictError:
            self.fence = 0
            return False
        self.fence = fence
        self._renewed_at = sent_at
        return True
