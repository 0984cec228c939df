"""An entry's side: what it learns of suspects, and leave to run one."""

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
from marigold.entry.suspicion.batching import UpdateBatcher, make_all_news
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import TrialQueue

log = get_logger(__name__)

# Seconds that a suspect waits for the outcome of another request like it; answers of
# plain services take a part of that.
TRIAL_WAIT_S = 1.0
# Retry-After of one that waited in vain: about what a stream takes to end.
TRIAL_RETRY_S = 2.0


class TrialRefusedError(MarigoldError):
    """The request may not run now.

    `retry_after` is the seconds after which one like it may be tried.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class Trial:
    """Leave to run a request once.

    `earlier` is how many runners are known to have ended under it, 0 for a request
    that nothing is held against.
    """

    __slots__ = ("_finish", "is_inconclusive", "prior_ends")

    def __init__(
        self, prior_ends: int = 0, finish: Callable[[bool], None] | None = None
    ) -> None:
        self.prior_ends = prior_ends
        self.is_inconclusive = False
        self._finish = finish

    def end(self) -> None:
        """Let the next one like it run, later where the outcome is doubtful."""
        finish, self._finish = self._finish, None
        if finish is not None:
            finish(self.is_inconclusive)

    def transfer(self) -> Trial:
        """Return a trial that ends in place of this one."""
        other = Trial(self.prior_ends, self._finish)
        self._finish = None
        return other


class SuspectAdmission:
    """Admits requests by what is held against them, here and at the hub."""

    def __init__(
        self,
        book: SuspectTable,
        trials: TrialQueue,
        client: HubClient,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self._trials = trials
        self._client = client
        self._monotonic = monotonic
        self._numbers = itertools.count(1)
        self._outbox = UpdateBatcher(book, self._send, monotonic)
        client.take_news = self.take_news
        client.make_news = lambda: make_all_news(book, monotonic())

    def is_still_allowed(
        self, get_fingerprint: Callable[[], str], trial: Trial
    ) -> bool:
        """Tell whether a request that was admitted may still be sent.

        It may have waited for a runner while others like it ended some.
        """
        if self._book.is_empty:
            return True
        verdict = self._book.get_verdict(get_fingerprint(), self._monotonic())
        return verdict == "clear" or (verdict == "suspect" and trial.prior_ends > 0)

    async def admit(self, request: str, get_fingerprint: Callable[[], str]) -> Trial:
        """Return leave to run a request; raise `TrialRefusedError` for none."""
        if self._book.is_empty:
            return Trial()
        fingerprint = get_fingerprint()
        verdict = self._book.get_verdict(fingerprint, self._monotonic())
        if verdict == "clear":
            return Trial()
        if verdict == "refused":
            raise self._make_refusal(fingerprint)
        trial = await self._ask(fingerprint)
        log.event(
            "suspect_tried",
            request=request,
            fingerprint=fingerprint,
            earlier=trial.prior_ends,
        )
        return trial

    def _make_refusal(self, fingerprint: str) -> TrialRefusedError:
        now = self._monotonic()
        case = self._book.find(fingerprint, now)
        if case is None or case.refused_until <= now:
            return TrialRefusedError("another request like it is tried", TRIAL_RETRY_S)
        names = ", ".join(case.runners)
        return TrialRefusedError(
            f"{case.ends} runners ended one after another under requests like this "
            f"one: {names}",
            case.refused_until - now,
        )

    async def _ask(self, fingerprint: str) -> Trial:
        session = self._client.session
        if session is not None and session.is_alive:
            return await self._ask_hub(session, fingerprint)
        return await self._ask_here(fingerprint)

    async def _ask_hub(self, session: HubSession, fingerprint: str) -> Trial:
        case = self._book.describe(fingerprint, self._monotonic())
        if case is None:
            return Trial()
        number = self._client.next_ask_id()

        def finish(is_inconclusive: bool) -> None:
            # What became of the runner has to be known before the next one is tried.
            self._outbox.flush()
            session.channel.put(TrialEnd(ask=number, doubtful=is_inconclusive))

        answer = None
        answers = session.open_answers(number)
        try:
            session.channel.put(TrialAsk(ask=number, case=case))
            async with asyncio.timeout(TRIAL_WAIT_S):
                answer = await answers.get()
        except TimeoutError:
            log.event("trial_unanswered", fingerprint=fingerprint)
        finally:
            session.close_answers(number)
            if not (isinstance(answer, TrialAnswer) and answer.allowed):
                finish(False)
        if isinstance(answer, TrialAnswer) and answer.allowed:
            return Trial(max(answer.ends, case.ends), finish)
        raise self._make_refusal(fingerprint)

    async def _ask_here(self, fingerprint: str) -> Trial:
        """Ask this process's own book, while there is no hub."""
        token = f"own {next(self._numbers)}"
        fut: asyncio.Future[tuple[bool, int]] = asyncio.Future()

        def answer(is_allowed: bool, ends: int) -> None:
            if not fut.done():
                fut.set_result((is_allowed, ends))

        self._trials.ask(fingerprint, token, answer)
        is_allowed, ends = False, 0
        try:
            async with asyncio.timeout(TRIAL_WAIT_S):
                is_allowed, ends = await fut
        except TimeoutError:
            log.event("trial_unanswered", fingerprint=fingerprint)
        finally:
            if not is_allowed:
                self._trials.end(token)
        if not is_allowed:
            raise self._make_refusal(fingerprint)
        return Trial(
            ends, lambda is_inconclusive: self._trials.end(token, is_inconclusive)
        )

    def record_end(self, end: RunnerCrash) -> None:
        """Take in that a runner ended under a request."""
        now = self._monotonic()
        if not self._book.record_end(
            end.fingerprint, end.incarnation, end.earlier, now
        ):
            return
        case = self._book.find(end.fingerprint, now)
        log.event(
            "request_suspected",
            request=end.request,
            fingerprint=end.fingerprint,
            ends=0 if case is None else case.ends,
            verdict=self._book.get_verdict(end.fingerprint, now),
        )
        self._outbox.note(end.fingerprint)

    def record_answer(self, request: str, get_fingerprint: Callable[[], str]) -> None:
        """Take in that a request got a whole answer."""
        if self._book.is_empty:
            return
        fingerprint = get_fingerprint()
        if self._book.clear(fingerprint):
            log.event("request_cleared", request=request, fingerprint=fingerprint)
            self._outbox.note(fingerprint)

    def take_news(self, news: SuspectNews) -> None:
        """Take in what the hub tells."""
        now = self._monotonic()
        for case in news.cases:
            self._book.merge(case, now)
        for fingerprint in news.cleared:
            self._book.clear(fingerprint)

    def _send(self, news: SuspectNews) -> None:
        session = self._client.session
        if session is not None:
            session.channel.put(news)
