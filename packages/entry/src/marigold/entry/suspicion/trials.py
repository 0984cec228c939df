"""Queues that let suspects run one at a time.

Requests with the same fingerprint, or part of their prompts, wait for the outcome of
the running trial. All of them are admitted once it gets a complete response, and
refused once it causes the last tolerated crash.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable

from marigold.core.logging import get_logger
from marigold.entry.suspicion.suspects import CASES_MAXIMUM, SuspectTable

log = get_logger(__name__)

# Seconds before the next trial after one that failed while it is unknown whether its
# runner crashed. The list of runners shows a restart within that time.
INCONCLUSIVE_DELAY_S = 4.0

# Called with whether a request may run, and the number of known crashes during it.
AnswerCallback = Callable[[bool, int], None]


class _Queue:
    """Running trial of one fingerprint, and the requests that wait for its outcome."""

    __slots__ = ("holder", "not_before", "waiting")

    def __init__(self) -> None:
        self.holder: Hashable | None = None
        self.not_before = 0.0
        self.waiting: deque[tuple[Hashable, AnswerCallback]] = deque()


class TrialQueue:
    """Queues of trials by fingerprint; callers identify each trial by a token."""

    def __init__(self, table: SuspectTable, monotonic: Callable[[], float]) -> None:
        self._table = table
        self._monotonic = monotonic
        self._queues: dict[str, _Queue] = {}
        self._fingerprints: dict[Hashable, str] = {}
        table.subscribe(self._on_change)

    def request(
        self, fingerprint: str, token: Hashable, answer: AnswerCallback
    ) -> None:
        """Answer, now or later, whether a request may run; `end` has to follow."""
        now = self._monotonic()
        case = self._table.find(fingerprint, now)
        if case is None:
            answer(True, 0)
            return
        verdict = self._table.get_verdict(fingerprint, now)
        if verdict == "clear":
            answer(True, case.crashes)
            return
        queue = self._get_or_create(fingerprint, now)
        if verdict == "refused" or queue.not_before > now:
            answer(False, case.crashes)
            return
        self._fingerprints[token] = fingerprint
        if queue.holder is None:
            queue.holder = token
            answer(True, case.crashes)
        else:
            queue.waiting.append((token, answer))

    def end(self, token: Hashable, is_inconclusive: bool = False) -> None:
        """End a trial that has run, or cancel one that waits.

        `is_inconclusive` means that the request was sent and its outcome is unknown.
        """
        fingerprint = self._fingerprints.pop(token, None)
        queue = self._queues.get(fingerprint) if fingerprint is not None else None
        if fingerprint is None or queue is None:
            return
        if queue.holder != token:
            queue.waiting = deque(item for item in queue.waiting if item[0] != token)
            return
        queue.holder = None
        if is_inconclusive:
            queue.not_before = self._monotonic() + INCONCLUSIVE_DELAY_S
            log.event(
                "trial_doubtful", fingerprint=fingerprint, seconds=INCONCLUSIVE_DELAY_S
            )
        self._advance(fingerprint, queue)

    def _get_or_create(self, fingerprint: str, now: float) -> _Queue:
        if len(self._queues) > CASES_MAXIMUM:
            idle = [
                name
                for name, queue in self._queues.items()
                if queue.holder is None and queue.not_before <= now
            ]
            for name in idle:
                del self._queues[name]
        return self._queues.setdefault(fingerprint, _Queue())

    def _on_change(self, fingerprint: str) -> None:
        queue = self._queues.get(fingerprint)
        if queue is not None:
            self._advance(fingerprint, queue)

    def _advance(self, fingerprint: str, queue: _Queue) -> None:
        """Answer waiting requests as far as the outcome is known."""
        now = self._monotonic()
        case = self._table.find(fingerprint, now)
        verdict = self._table.get_verdict(fingerprint, now)
        crashes = 0 if case is None else case.crashes
        is_inconclusive = queue.not_before > now
        if verdict == "clear":
            self._answer_waiting(queue, True, crashes)
        elif verdict == "refused" or is_inconclusive:
            self._answer_waiting(queue, False, crashes)
        elif queue.holder is None and queue.waiting:
            queue.holder, answer = queue.waiting.popleft()
            answer(True, crashes)
        is_idle = queue.holder is None and not queue.waiting and not is_inconclusive
        if verdict == "clear" or is_idle:
            self._queues.pop(fingerprint, None)

    def _answer_waiting(self, queue: _Queue, is_allowed: bool, crashes: int) -> None:
        waiting, queue.waiting = queue.waiting, deque()
        for token, answer in waiting:
            self._fingerprints.pop(token, None)
            answer(is_allowed, crashes)
