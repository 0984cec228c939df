"""Writer of the claim that one request holds while it runs."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from marigold.core.exceptions import (
    ObjectConflictError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import StartAttempt
from marigold.core.schema.generated.records import Claim
from marigold.entry.claims.store import (
    ClaimStore,
    StoredClaim,
    put_answer,
)
from marigold.entry.exceptions import KeyInProgressError, UnreachableError
from marigold.entry.routing.requests import Answer, AttemptClaim, Request

log = get_logger(__name__)

RETRY_AFTER_S = 1.0
WRITE_RETRY_DELAYS_S = (1.0, 2.0, 4.0, 8.0, 16.0)


class ClaimWriter(AttemptClaim):
    """Writes the claim of one request under a fencing number of its own.

    Each attempt is recorded in the claim before it starts, so that an entry that
    takes over the claim knows which target to ask for the outcome.
    """

    def __init__(
        self,
        store: ClaimStore,
        name: str,
        process: str,
        read_clock: Callable[[], int],
        req: Request,
        found: StoredClaim | None,
    ) -> None:
        self._store = store
        self._name = name
        self._read_clock = read_clock
        self._version = found.version if found is not None else 0
        self._is_written = False
        self._is_uncertain = False
        self.claim = Claim(
            request=req.id,
            attempt="",
            # Without a claim the fence starts at the current time, which exceeds
            # the fence of an earlier claim that expired and was removed.
            fence=found.claim.fence + 1 if found is not None else int(time.time()),
            state="claimed",
            holder=process,
            made_at=time.time(),
            fingerprint=req.get_fingerprint(),
        )

    async def record_attempt(self, start: StartAttempt, host: str) -> None:
        """Record an attempt in the claim before it is sent to a target.

        Raise `KeyInProgressError` or `UnreachableError`.
        """
        start.created = self._read_clock()
        start.claim = self._name
        start.claim_fence = self.claim.fence
        self.claim.attempt = start.attempt
        self.claim.created = start.created
        self.claim.target = host
        self.claim.incarnation = start.incarnation
        await self._write_or_refuse()

    async def take_over(self, found: Claim) -> None:
        """Take over a claim together with the attempt that it names.

        Raise `KeyInProgressError` or `UnreachableError`.
        """
        self.claim.attempt = found.attempt
        self.claim.created = found.created
        self.claim.target = found.target
        self.claim.incarnation = found.incarnation
        await self._write_or_refuse()

    async def _write_or_refuse(self) -> None:
        try:
            await self._write()
        except ObjectConflictError as exc:
            message = "another request with this idempotency key came first"
            raise KeyInProgressError(message, RETRY_AFTER_S) from exc
        except PlatformUnreachableError as exc:
            message = "idempotency keys cannot be claimed now"
            raise UnreachableError(message, RETRY_AFTER_S) from exc

    async def _write(self) -> None:
        try:
            self._version = await self._store.write(
                self._name, self.claim, self._version
            )
        except PlatformUnreachableError:
            self._is_uncertain = True
            raise
        self._is_written = True

    def put_answer(self, answer: Answer) -> None:
        """Put the answer into the claim; `store_answer` writes it."""
        put_answer(self.claim, answer)

    async def store_answer(self) -> None:
        """Write the answer; retry while the platform is unavailable."""
        await self._retry(self._try_write)

    async def release(self) -> None:
        """Release the key for reuse, because the request was not executed."""
        self.claim.state = "free"
        if self._is_uncertain:
            await self._retry(self._release_uncertain)
        elif self._is_written:
            await self._retry(self._try_write)

    async def _retry(self, write: Callable[[], Awaitable[bool]]) -> None:
        for delay in WRITE_RETRY_DELAYS_S:
            if await write():
                return
            await asyncio.sleep(delay)

    async def _release_uncertain(self) -> bool:
        """Release the claim if a write without a response took effect."""
        try:
            found = await self._store.read(self._name)
        except PlatformError:
            return False
        if found is None or not self._is_own(found.claim):
            return True
        self._version = found.version
        return await self._try_write()

    def _is_own(self, claim: Claim) -> bool:
        is_same_request = claim.request == self.claim.request
        return is_same_request and claim.fence == self.claim.fence

    async def clear_holder(self) -> None:
        """Clear the holder, so that another entry can recover the attempt now."""
        self.claim.holder = ""
        if self._is_written:
            await self._try_write()

    async def _try_write(self) -> bool:
        """Write the claim; return false when the write has to be retried."""
        try:
            await self._write()
        except ObjectConflictError:
            log.event("claim_lost", claim=self._name)
        except PlatformError as exc:
            # The claim still names the attempt, so that the next entry that
            # reads it can ask the target.
            log.event("claim_not_updated", claim=self._name, reason=exc)
            return False
        return True
