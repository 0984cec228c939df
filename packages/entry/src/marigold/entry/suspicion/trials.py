"""Which suspected request may run: each one once at a time.

A request that waits for the outcome of another like it is told at once when that
one was answered, or ended a runner for the last time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable

from marigold.core.logging import get_logger
from marigold.entry.suspicion.suspects import CASES_MAXIMUM, SuspectTable

log = get_logger(__name__)

# Seconds after a trial that broke without a sign of what became of its runner before
# the next one; the list of runners tells of a restart within that time.
DOUBT_S = 4.0

# Called with whether a request may run, and how many runners ended under it before.
Answer = Callable[[bool, int], None]


class _Line:
    """The trial of one request, and those that wait for its outcome."""

    __slots__ = ("holder", "not_before", "waiting")

    def __init__(self) -> None:
        self.holder: Hashable | None = None
        self.not_before = 0.0
        self.waiting: deque[tuple[Hashable, Answer]] = deque()


class TrialQueue:
    """Trials of suspected requests; askers are named by tokens of their own."""

    def __init__(self, book: SuspectTable, monotonic: Callable[[], float]) -> None:
        self._book = book
        self._monotonic = monotonic
        self._lines: dict[str, _Line] = {}
        self._names: dict[Hashable, str] = {}
        book.subscribe(self._settle)

    def ask(self, fingerprint: str, token: Hashable, answer: Answer) -> None:
        """Answer now or later whether a request may run; `end` has to follow."""
        now = self._monotonic()
        case = self._book.find(fingerprint, now)
        if case is None:
            answer(True, 0)
            return
        line = self._open(fingerprint, now)
        if case.refused_until > now or line.not_before > now:
            answer(False, case.ends)
            return
        self._names[token] = fingerprint
        if line.holder is None:
            line.holder = token
            answer(True, case.ends)
        else:
            line.waiting.append((token, answer))

    def end(self, token: Hashable, is_inconclusive: bool = False) -> None:
        """Take in that a request has run, or waits no longer.

        `is_doubtful` tells that it was sent and that nothing is known of its outcome.
        """
        fingerprint = self._names.pop(token, None)
        line = self._lines.get(fingerprint) if fingerprint is not None else None
        if fingerprint is None or line is None:
            return
        if line.holder != token:
            line.waiting = deque(item for item in line.waiting if item[0] != token)
            return
        line.holder = None
        if is_inconclusive:
            line.not_before = self._monotonic() + DOUBT_S
            log.event("trial_doubtful", fingerprint=fingerprint, seconds=DOUBT_S)
        self._go_on(fingerprint, line)

    def _open(self, fingerprint: str, now: float) -> _Line:
        if len(self._lines) > CASES_MAXIMUM:
            idle = [
                name
                for name, line in self._lines.items()
                if line.holder is None and line.not_before <= now
            ]
            for name in idle:
                del self._lines[name]
        return self._lines.setdefault(fingerprint, _Line())

    def _settle(self, fingerprint: str) -> None:
        line = self._lines.get(fingerprint)
        if line is not None:
            self._go_on(fingerprint, line)

    def _go_on(self, fingerprint: str, line: _Line) -> None:
        """Answer those that wait, as far as the outcome is known."""
        now = self._monotonic()
        case = self._book.find(fingerprint, now)
        is_inconclusive = line.not_before > now
        if case is None:
            self._answer_all(line, True, 0)
        elif case.refused_until > now or is_inconclusive:
            self._answer_all(line, False, case.ends)
        elif line.holder is None and line.waiting:
            line.holder, answer = line.waiting.popleft()
            answer(True, case.ends)
        is_idle = line.holder is None and not line.waiting and not is_inconclusive
        if case is None or is_idle:
            self._lines.pop(fingerprint, None)

    def _answer_all(self, line: _Line, is_allowed: bool, ends: int) -> None:
        waiting, line.waiting = line.waiting, deque()
        for token, answer in waiting:
            self._names.pop(token, None)
            answer(is_allowed, ends)
