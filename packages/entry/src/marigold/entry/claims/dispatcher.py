"""Dispatch of requests with an idempotency key, at most once per key."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from marigold.core.exceptions import PlatformUnreachableError
from marigold.core.logging import get_logger
from marigold.core.schema.generated.records import Claim
from marigold.entry.claims.cache import ClaimCache
from marigold.entry.claims.recovery import AttemptRecovery
from marigold.entry.claims.store import (
    ClaimStore,
    StoredClaim,
    get_answer,
    get_claim_name,
)
from marigold.entry.claims.writer import RETRY_AFTER_S, ClaimWriter
from marigold.entry.exceptions import (
    AnswerError,
    AnswerNotKeptError,
    KeyInProgressError,
    KeyReusedError,
    MalformedRequestError,
    TargetFailedError,
    UnreachableError,
)
from marigold.entry.routing.dispatcher import Dispatcher, StreamedAnswer
from marigold.entry.routing.requests import Answer, Request

log = get_logger(__name__)

MAXIMUM_KEY_CHARACTERS = 255
OUTAGE_PAUSE_S = 1.0
CLAIM_WRITE_WAIT_S = 0.5
REPLAYED_HEADER = "Idempotent-Replayed"


class IdempotentDispatcher:
    """Dispatches requests; one with a key holds a claim in the object API.

    `is_entry_live` returns whether another entry process is linked. It decides
    only whether to wait for that entry; taking over its claim is safe either way.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        store: ClaimStore,
        recovery: AttemptRecovery,
        process: str,
        retention: float,
        request_timeout: float,
        read_clock: Callable[[], int],
        is_entry_live: Callable[[str], bool],
    ) -> None:
        self._dispatcher = dispatcher
        self._store = store
        self._recovery = recovery
        self._process = process
        self._retention = retention
        self._request_timeout = request_timeout
        self._read_clock = read_clock
        self._is_entry_live = is_entry_live
        self._cache = ClaimCache()
        self._running: dict[str, asyncio.Event] = {}
        self._outage_until = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def pending_writes(self) -> int:
        """Number of final claim writes that have not completed."""
        return len(self._tasks)

    async def run(self, req: Request) -> Answer | StreamedAnswer:
        """Return the answer to a request; raise `AnswerError`.

        The caller must call `finish` after it has forwarded the answer.
        """
        if not req.idempotency_key or req.is_idempotent:
            return await self._dispatcher.run(req)
        if len(req.idempotency_key) > MAXIMUM_KEY_CHARACTERS:
            raise MalformedRequestError("the idempotency key is too long")
        name = get_claim_name(req.customer.name, req.idempotency_key)
        await self._wait_for_duplicate(req, name)
        ended = self._running[name] = asyncio.Event()
        try:
            return await self._run_keyed(req, name)
        finally:
            ended.set()
            del self._running[name]

    def finish(self, req: Request) -> None:
        """Release the capacity that the request holds."""
        self._dispatcher.finish(req)

    async def _wait_for_duplicate(self, req: Request, name: str) -> None:
        try:
            async with asyncio.timeout(req.get_time_left()):
                while name in self._running:
                    await self._running[name].wait()
        except TimeoutError:
            raise KeyInProgressError("the request is running", RETRY_AFTER_S) from None

    async def _run_keyed(self, req: Request, name: str) -> Answer | StreamedAnswer:
        found = await self._find(name)
        if found is not None:
            self._check_fingerprint(req, found.claim)
            if found.claim.state == "done":
                return self._replay(req, found.claim)
            if found.claim.state == "claimed":
                return await self._take_over(req, name, found)
        writer = self._make_writer(req, name, found)
        return await self._run_claimed(req, name, writer)

    async def _find(self, name: str) -> StoredClaim | None:
        cached = self._cache.get(name)
        if cached is not None and not self._is_expired(cached):
            return StoredClaim(cached, 0)
        if time.monotonic() < self._outage_until:
            raise UnreachableError("idempotency keys cannot be read", RETRY_AFTER_S)
        try:
            found = await self._store.read(name)
        except PlatformUnreachableError as exc:
            # Requests during this pause fail without waiting for the platform.
            self._outage_until = time.monotonic() + OUTAGE_PAUSE_S
            message = "idempotency keys cannot be read now"
            raise UnreachableError(message, RETRY_AFTER_S) from exc
        if found is not None and self._is_expired(found.claim):
            found.claim.state = "free"
        return found

    def _is_expired(self, claim: Claim) -> bool:
        return time.time() - claim.made_at > self._retention

    def _check_fingerprint(self, req: Request, claim: Claim) -> None:
        if claim.state != "free" and claim.fingerprint != req.get_fingerprint():
            raise KeyReusedError("the idempotency key was used for another request")

    def _replay(self, req: Request, claim: Claim) -> Answer:
        log.event("answer_replayed", request=req.id, first=claim.request)
        if not claim.kept:
            raise AnswerNotKeptError("the answer was too large to be kept")
        answer = get_answer(claim)
        answer.headers[REPLAYED_HEADER] = "true"
        return answer

    def _is_running_elsewhere(self, claim: Claim) -> bool:
        is_recent = time.time() - claim.made_at < self._request_timeout
        is_other = claim.holder != self._process
        return is_recent and is_other and self._is_entry_live(claim.holder)

    def _make_writer(
        self, req: Request, name: str, found: StoredClaim | None
    ) -> ClaimWriter:
        return ClaimWriter(
            self._store, name, self._process, self._read_clock, req, found
        )

    async def _take_over(
        self, req: Request, name: str, found: StoredClaim
    ) -> Answer | StreamedAnswer:
        claim = found.claim
        if self._is_running_elsewhere(claim):
            raise KeyInProgressError("the request is running", RETRY_AFTER_S)
        writer = self._make_writer(req, name, found)
        await writer.take_over(claim)
        log.event("claim_taken_over", request=req.id, first=claim.request)
        result = await self._recovery.recover(req, writer.claim, name)
        if result.is_ok():
            return await self._store_answer(name, writer, result.ok)
        if result.error.executed == "no":
            return await self._run_claimed(req, name, writer)
        await self._wait_briefly(writer.clear_holder())
        message = f"the first request with this key: {result.error.reason}"
        raise TargetFailedError(message, RETRY_AFTER_S)

    async def _run_claimed(
        self, req: Request, name: str, writer: ClaimWriter
    ) -> Answer | StreamedAnswer:
        req.claim = writer
        try:
            answer = await self._dispatcher.run(req)
        except AnswerError as exc:
            was_not_executed = exc.executed == "no"
            await self._wait_briefly(
                writer.release() if was_not_executed else writer.clear_holder()
            )
            raise
        except asyncio.CancelledError:
            # The caller has disconnected and may retry at another entry.
            self._start_task(writer.clear_holder())
            raise
        return await self._store_answer(name, writer, answer)

    async def _store_answer(
        self, name: str, writer: ClaimWriter, answer: Answer | StreamedAnswer
    ) -> Answer | StreamedAnswer:
        if isinstance(answer, Answer):
            writer.put_answer(answer)
            self._cache.add(name, writer.claim)
            await self._wait_briefly(writer.store_answer())
        return answer

    async def _wait_briefly(self, coro: Coroutine[Any, Any, None]) -> None:
        # A slow or unavailable platform must not delay the answer for longer.
        await asyncio.wait({self._start_task(coro)}, timeout=CLAIM_WRITE_WAIT_S)

    def _start_task(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
