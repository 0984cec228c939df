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
from marigold.entry.relay.forwarding import CallerRequest
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

    `suspects` holds the keys of the request that are suspected, and `prior_crashes` the
    number of known crashes by key when the request was sent. `is_inconclusive` is set
    while it is unknown whether the runner crashed.
    """

    __slots__ = ("_finishers", "is_inconclusive", "prior_crashes", "suspects")

    def __init__(self) -> None:
        self.suspects: set[str] = set()
        self.prior_crashes: dict[str, int] = {}
        self.is_inconclusive = False
        self._finishers: list[Callable[[bool], None]] = []

    def add(self, key: str, crashes: int, finish: Callable[[bool], None]) -> None:
        """Add the permission for a key; `finish` is called when the trial ends."""
        self.suspects.add(key)
        self.prior_crashes[key] = crashes
        self._finishers.append(finish)

    def end(self) -> None:
        """End the trial; the next one starts after a delay if this was inconclusive."""
        finishers, self._finishers = self._finishers, []
        for finish in finishers:
            finish(self.is_inconclusive)

    def transfer(self) -> Trial:
        """Return a new trial, which is to be ended in place of this one."""
        other = Trial()
        other.suspects = self.suspects
        other.prior_crashes = self.prior_crashes
        other._finishers, self._finishers = self._finishers, []
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

    def is_still_allowed(self, req: CallerRequest, trial: Trial) -> bool:
        """Return whether an admitted request may still be sent.

        Runners may have crashed during requests like it while it waited for a runner.
        """
        if self._table.is_empty:
            return True
        now = self._monotonic()
        for key in req.get_keys():
            verdict = self._table.get_verdict(key, now)
            if verdict == "refused" or (
                verdict == "suspect" and key not in trial.suspects
            ):
                return False
            case = self._table.find(key, now)
            if case is not None:
                prior_crashes = trial.prior_crashes.get(key, 0)
                trial.prior_crashes[key] = max(case.crashes, prior_crashes)
        return True

    async def admit(self, request: str, req: CallerRequest) -> Trial:
        """Return permission to run a request, or raise `TrialRefusedError`."""
        trial = Trial()
        if self._table.is_empty:
            return trial
        now = self._monotonic()
        verdicts = {key: self._table.get_verdict(key, now) for key in req.get_keys()}
        for key, verdict in verdicts.items():
            if verdict == "refused":
                raise self._make_refusal(key)
        wait_until = asyncio.get_running_loop().time() + TRIAL_WAIT_S
        try:
            # In the same order everywhere, as requests hold some while they wait.
            for key in sorted(key for key in verdicts if verdicts[key] == "suspect"):
                await self._start_trial(key, trial, wait_until)
        except BaseException:
            trial.end()
            raise
        for key in trial.suspects:
            log.event(
                "suspect_tried",
                request=request,
                fingerprint=key,
                part=req.get_part_keys().get(key, ""),
                earlier=trial.prior_crashes[key],
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

    async def _start_trial(
        self, fingerprint: str, trial: Trial, wait_until: float
    ) -> None:
        """Wait for the permission for a suspected key, and add it to the trial."""
        session = self._client.session
        if session is not None and session.is_alive:
            await self._start_trial_at_hub(session, fingerprint, trial, wait_until)
        else:
            await self._start_trial_locally(fingerprint, trial, wait_until)

    async def _start_trial_at_hub(
        self, session: HubSession, fingerprint: str, trial: Trial, wait_until: float
    ) -> None:
        case = self._table.describe(fingerprint, self._monotonic())
        if case is None:
            return
        ask_id = self._client.next_ask_id()

        def finish(is_inconclusive: bool) -> None:
            # The hub must know the outcome before it admits the next trial.
            self._batcher.flush()
            session.channel.put(TrialEnd(ask=ask_id, doubtful=is_inconclusive))

        answer = None
        replies = session.open_replies(ask_id)
        try:
            session.channel.put(TrialAsk(ask=ask_id, case=case))
            async with asyncio.timeout_at(wait_until):
                answer = await replies.get()
        except TimeoutError:
            log.event("trial_unanswered", fingerprint=fingerprint)
        finally:
            session.close_replies(ask_id)
            if not (isinstance(answer, TrialAnswer) and answer.allowed):
                finish(False)
        if not (isinstance(answer, TrialAnswer) and answer.allowed):
            raise self._make_refusal(fingerprint)
        trial.add(fingerprint, max(answer.ends, case.ends), finish)

    async def _start_trial_locally(
        self, fingerprint: str, trial: Trial, wait_until: float
    ) -> None:
        """Start a trial by this process's own table while there is no hub."""
        token = f"own {next(self._trial_ids)}"
        fut: asyncio.Future[tuple[bool, int]] = asyncio.Future()

        def answer(is_allowed: bool, crashes: int) -> None:
            if not fut.done():
                fut.set_result((is_allowed, crashes))

        self._trials.request(fingerprint, token, answer)
        is_allowed, crashes = False, 0
        try:
            async with asyncio.timeout_at(wait_until):
                is_allowed, crashes = await fut
        except TimeoutError:
            log.event("trial_unanswered", fingerprint=fingerprint)
        finally:
            if not is_allowed:
                self._trials.end(token)
        if not is_allowed:
            raise self._make_refusal(fingerprint)
        trial.add(
            fingerprint,
            crashes,
            lambda is_inconclusive: self._trials.end(token, is_inconclusive),
        )

    def record_crash(self, crash: RunnerCrash) -> None:
        """Record that a runner crashed during a request."""
        now = self._monotonic()
        changed = self._table.record_crashes(
            crash.keys,
            crash.incarnation,
            crash.prior_crashes,
            crash.version,
            crash.sent_at,
            now,
        )
        for key in changed:
            case = self._table.find(key, now)
            log.event(
                "request_suspected",
                request=crash.request,
                fingerprint=key,
                part=crash.parts.get(key, ""),
                ends=0 if case is None else case.crashes,
                proven=case is not None and case.is_proven,
                verdict=self._table.get_verdict(key, now),
            )
            self._batcher.add(key)

    def record_start(self, request: str, req: CallerRequest) -> None:
        """Record that a runner began to respond to a request."""
        now = self._monotonic()
        for key, part in req.get_part_keys().items():
            if self._table.record_start(key, now):
                log.event("part_proven", request=request, fingerprint=key, part=part)
                self._batcher.add(key)

    def record_answer(
        self, request: str, req: CallerRequest, version: int, sent_at: float
    ) -> None:
        """Record that a request got a complete response.

        `version` is that of the weights, and `sent_at` when the runner got the request.
        """
        now = self._monotonic()
        changed = [
            key
            for key in req.get_part_keys()
            if self._table.record_answer(key, version, sent_at, now)
        ]
        if self._table.is_empty and not changed:
            return
        if self._table.clear(req.get_fingerprint()):
            changed.append(req.get_fingerprint())
        for key in changed:
            is_cleared = self._table.find(key, now) is None
            log.event(
                "request_cleared" if is_cleared else "part_proven",
                request=request,
                fingerprint=key,
                part=req.get_part_keys().get(key, ""),
            )
            self._batcher.add(key)

    def handle_update(self, update: SuspectNews) -> None:
        """Apply an update from the hub."""
        now = self._monotonic()
        for case in update.cases:
            self._table.merge(case, now)
            known = self._table.find(case.fingerprint, now)
            if known is not None and known.is_proven and not case.proven:
                # Other processes do not know that runners began to answer this part.
                self._batcher.add(case.fingerprint)
        for fingerprint in update.cleared:
            self._table.clear(fingerprint)

    def _send(self, update: SuspectNews) -> None:
        session = self._client.session
        if session is not None:
            session.channel.put(update)
