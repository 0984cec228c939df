"""Recovery of attempts that another entry sent to a target."""

from __future__ import annotations

from expression import Error, Result

from marigold.core.schema.generated.messages import StartAttempt
from marigold.core.schema.generated.records import Claim
from marigold.entry.membership.pool import TargetPool
from marigold.entry.routing.calls import AttemptCall, AttemptFailure
from marigold.entry.routing.dispatcher import Dispatcher, StreamedAnswer
from marigold.entry.routing.requests import Answer, Request


class AttemptRecovery:
    """Resumes the attempt that a claim names."""

    def __init__(
        self, pool: TargetPool, dispatcher: Dispatcher, progress_timeout: float
    ) -> None:
        self._pool = pool
        self._dispatcher = dispatcher
        self._progress_timeout = progress_timeout

    async def recover(
        self, req: Request, claim: Claim, name: str
    ) -> Result[Answer | StreamedAnswer, AttemptFailure]:
        """Return the attempt's answer, or the failure that its target reports.

        The target voids an attempt that has not started, so that it never runs.
        """
        conn = self._pool.find(claim.target)
        if conn is None:
            return Error(AttemptFailure("its target is not known here", "unknown"))
        start = self._make_start(req, claim, name)
        call = AttemptCall(start, conn, self._progress_timeout)
        conn.add(call)
        try:
            opened = await call.resume()
            if opened.is_error():
                return Error(opened.error)
            return await self._dispatcher.read_answer(req, call, opened.ok)
        except BaseException:
            await call.cancel()
            raise

    def _make_start(self, req: Request, claim: Claim, name: str) -> StartAttempt:
        # Identifies the attempt to resume; the message itself is not sent.
        return StartAttempt(
            attempt=claim.attempt,
            request=claim.request,
            incarnation=claim.incarnation,
            customer=req.customer.name,
            service=req.service,
            method=req.method,
            path=req.path,
            headers={},
            body=b"",
            created=claim.created,
            claim=name,
            claim_fence=claim.fence,
        )
