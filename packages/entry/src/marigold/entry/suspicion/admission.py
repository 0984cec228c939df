"""Admission of suspects on an entry, through trials that the hub grants."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable

from marigold.core.exceptions import MarigoldError
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    SuspectNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from marigold.entry.hub.client import HubClient
from marigold.entry.hub.session import HubSession
from marigold.entry.relay.crashes import RunnerCrash
from marigold.entry.suspicion.batching import UpdateBatcher, make_full_update
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import TrialQueue

log = get_logger(__name__)

# Seconds that a suspect waits for the outcome of another request like it. Services
# without an engine answer in less.
TRIAL_WAIT_S = 1.0
# Retry-After of a suspect that waited in vain: the usual duration of a stream.
TRIAL_RETRY_S = 2.0


class TrialRefusedError(MarigoldError):
    """The request may not run now.

    `retry_after` is the number of seconds after which it may be sent again.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class Trial:
    """Permission to run a request once.

    `prior_crashes` is the number of known crashes during this request, 0 if it is no
    suspect.
    `is_inconclusive` is set while it is unknown whether the runner crashed.
    """

    __slots__ = ("_finish", "is_inconclusive", "prior_crashes")

    def __init__(
        self, prior_crashes: int = 0, finish: Callable[[bool], None] | None = None
    ) -> None:
        self.prior_crashes = prior_crashes
        self.is_inconclusive = False
        self._finish = finish

    def end(self) -> None:
        """End the trial; the next one starts after a delay if this was inconclusive."""
        finish, self._finish = self._finish, None
        if finish is not None:
            finish(self.is_inconclusive)

    def transfer(self) -> Trial:
        """Return a new trial, which is to be ended in place of this one."""
        other = Trial(self.prior_crashes, self._finish)
        self._finish = None
        return other


class SuspectAdmission:
    """Admits requests by the cases that this entry and its hub know of."""

    def __init__(
        self,
        table: SuspectTable,
        trials: TrialQueue,
        client: HubClient,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._trials = trials
        self._client = client
        self._monotonic = monotonic
        self._trial_ids = itertools.count(1)
        self._batcher = UpdateBatcher(table, self._send, monotonic)
        client.on_suspect_update = self.handle_update
        client.make_suspect_updates = lambda: make_full_update(table, monotonic())

    def is_still_allowed(
        self, get_fingerprint: Callable[[], str], trial: Trial
    ) -> bool:
        """Return whether an admitted request may still be sent.

        Runners may have crashed during requests like it while it waited for a runner.
        """
        if self._table.is_empty:
            return True
        verdict = self._table.get_verdict(get_fingerprint(), self._monotonic())
        return verdict == "clear" or (verdict == "suspect" and trial.prior_crashes > 0)

    async def admit(self, request: str, get_fingerprint: Callable[[], str]) -> Trial:
        """Return permission to run a request, or raise `TrialRefusedError`."""
        if self._table.is_empty:
            return Trial()
        fingerprint = get_fingerprint()
        verdict = self._table.get_verdict(fingerprint, self._monotonic())
        if verdict == "clear":
            return Trial()
        if verdict == "refused":
            raise self._make_refusal(fingerprint)
        trial = await self._start_trial(fingerprint)
        log.event(
            "suspect_tried",
            request=request,
            fingerprint=fingerprint,
            earlier=trial.prior_crashes,
        )
        return trial

    def _make_refusal(self, fingerprint: str) -> TrialRefusedError:
        now = self._monotonic()
        case = self._table.find(fingerprint, now)
        if case is None or case.refused_until <= now:
            return TrialRefusedError("another request like it is tried", TRIAL_RETRY_S)
        names = ", ".join(case.runners)
        return TrialRefusedError(
            f"{case.crashes} runners ended one after another under requests like this "
            f"one: {names}",
            case.refused_until - now,
        )

    async def _start_trial(self, fingerprint: str) -> Trial:
        session = self._client.session
        if session is not None and session.is_alive:
            return await self._start_trial_at_hub(session, fingerprint)
        return await self._start_trial_locally(fingerprint)

    async def _start_trial_at_hub(self, session: HubSession, fingerprint: str) -> Trial:
        case = self._table.describe(fingerprint, self._monotonic())
        if case is None:
            return Trial()
        ask_id = self._client.next_ask_id()

        def finish(is_inconclusive: bool) -> None:
            # The hub must know the outcome before it admits the next trial.
            self._batcher.flush()
            session.channel.put(TrialEnd(ask=ask_id, doubtful=is_inconclusive))

        answer = None
        replies = session.open_replies(ask_id)
        try:
            session.channel.put(TrialAsk(ask=ask_id, case=case))
            async with asyncio.timeout(TRIAL_WAIT_S):
                answer = await replies.get()
        except TimeoutError:
            log.event("trial_unanswered", fingerprint=fingerprint)
        finally:
            session.close_replies(ask_id)
            if not (isinstance(answer, TrialAnswer) and answer.allowed):
                finish(False)
        if isinstance(answer, TrialAnswer) and answer.allowed:
            return Trial(max(answer.ends, case.ends), finish)
        raise self._make_refusal(fingerprint)

    async def _start_trial_locally(self, fingerprint: str) -> Trial:
        """Start a trial by this process's own table while there is no hub."""
        token = f"own {next(self._trial_ids)}"
        fut: asyncio.Future[tuple[bool, int]] = asyncio.Future()

        def answer(is_allowed: bool, crashes: int) -> None:
            if not fut.done():
                fut.set_result((is_allowed, crashes))

        self._trials.request(fingerprint, token, answer)
        is_allowed, crashes = False, 0
        try:
            async with asyncio.timeout(TRIAL_WAIT_S):
                is_allowed, crashes = await fut
        except TimeoutError:
            log.event("trial_unanswered", fingerprint=fingerprint)
        finally:
            if not is_allowed:
                self._trials.end(token)
        if not is_allowed:
            raise self._make_refusal(fingerprint)
        return Trial(
            crashes, lambda is_inconclusive: self._trials.end(token, is_inconclusive)
        )

    def record_crash(self, crash: RunnerCrash) -> None:
        """Record that a runner crashed during a request."""
        now = self._monotonic()
        if not self._table.record_crash(
            crash.fingerprint, crash.incarnation, crash.prior_crashes, now
        ):
            return
        case = self._table.find(crash.fingerprint, now)
        log.event(
            "request_suspected",
            request=crash.request,
            fingerprint=crash.fingerprint,
            ends=0 if case is None else case.crashes,
            verdict=self._table.get_verdict(crash.fingerprint, now),
        )
        self._batcher.add(crash.fingerprint)

    def record_answer(self, request: str, get_fingerprint: Callable[[], str]) -> None:
        """Record that a request got a complete response."""
        if self._table.is_empty:
            return
        fingerprint = get_fingerprint()
        if self._table.clear(fingerprint):
            log.event("request_cleared", request=request, fingerprint=fingerprint)
            self._batcher.add(fingerprint)

    def handle_update(self, update: SuspectNews) -> None:
        """Apply an update from the hub."""
        now = self._monotonic()
        for case in update.cases:
            self._table.merge(case, now)
        for fingerprint in update.cleared:
            self._table.clear(fingerprint)

    def _send(self, update: SuspectNews) -> None:
        session = self._client.session
        if session is not None:
            session.channel.put(update)
