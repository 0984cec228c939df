"""What is held against requests under which runners ended.

Answers the load pattern in which one request ends each runner that begins it and
comes again at any entry, while others run beside it and runners also end by
themselves, alone or many at once. Ends count only one after another: a request that
was sent before an earlier end was known adds nothing, so that the copies of a popular
request that a rack takes down are one end. A whole answer, anywhere, clears.

A policy does no input or output; times are seconds of a steady clock.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from marigold.core.schema.generated.messages import SuspectCase
from marigold.entry.routing.quarantine import Verdict

# Runners that end one after another under a request before it is refused; the
# platform's pages allow three sends more.
ENDS_MAXIMUM = 3
# Seconds for which a request is suspected after an end, and refused after the last
# one; each further end doubles the latter.
SUSPECT_S = 120.0
REFUSED_S = 300.0
REFUSED_MAXIMUM_S = 3600.0
# Seconds after a refusal in which the request is still suspected, and its next end
# refuses it again.
PROBATION_S = 600.0
# Requests that something is held against, and runners that are named for each.
CASES_MAXIMUM = 1024
RUNNERS_MAXIMUM = 8


class Case:
    """What is held against one request.

    `ends` counts the runners that ended one after another, `runners` names
    incarnations, `refused_until` and `until` are when it may be tried and when it is
    forgotten.
    """

    __slots__ = ("ends", "refused_until", "runners", "until")

    def __init__(self) -> None:
        self.ends = 0
        self.runners: list[str] = []
        self.refused_until = 0.0
        self.until = 0.0

    def add_runners(self, runners: list[str]) -> bool:
        """Name more incarnations; tell whether there were new ones."""
        new = [item for item in runners if item not in self.runners]
        self.runners = (self.runners + new)[:RUNNERS_MAXIMUM]
        return bool(new)


class SuspicionPolicy(ABC):
    """Policy that says which requests run, are tried one at a time, or are refused."""

    @abstractmethod
    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run."""

    @abstractmethod
    def record_end(
        self, fingerprint: str, runner: str, prior_ends: int, now: float
    ) -> bool:
        """Take in that an incarnation ended under a request; tell whether it is new.

        `earlier` is how many ends were known when it was sent.
        """

    @abstractmethod
    def clear(self, fingerprint: str) -> bool:
        """Take in a whole answer; tell whether anything was held against it."""


class NoSuspicion(SuspicionPolicy):
    """Baseline: every request runs."""

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return "clear"."""
        return "clear"

    def record_end(
        self, fingerprint: str, runner: str, prior_ends: int, now: float
    ) -> bool:
        """Pass over the end."""
        return False

    def clear(self, fingerprint: str) -> bool:
        """Pass over the answer."""
        return False


class SuspectTable(SuspicionPolicy):
    """Refuses a request under which runners ended one after another.

    Every process has one. What others hold against a request is merged by the higher
    count, so that the order in which news arrive does not matter. `on_change` is
    called with the fingerprint after each change.
    """

    def __init__(self) -> None:
        self._cases: OrderedDict[str, Case] = OrderedDict()
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, subscriber: Callable[[str], None]) -> None:
        """Call a function with the fingerprint after each change."""
        self._subscribers.append(subscriber)

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is held against any request."""
        return not self._cases

    def find(self, fingerprint: str, now: float) -> Case | None:
        """Return what is held against a request."""
        case = self._cases.get(fingerprint)
        if case is not None and case.until <= now:
            del self._cases[fingerprint]
            return None
        return case

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run."""
        case = self.find(fingerprint, now)
        if case is None:
            return "clear"
        return "refused" if case.refused_until > now else "suspect"

    def record_end(
        self, fingerprint: str, runner: str, prior_ends: int, now: float
    ) -> bool:
        """Take in that an incarnation ended under a request; tell whether it is new."""
        case = self._open(fingerprint, now)
        is_new = case.add_runners([runner])
        if prior_ends + 1 > case.ends:
            is_new = True
            case.ends = prior_ends + 1
            case.until = now + SUSPECT_S
            if case.ends >= ENDS_MAXIMUM:
                seconds = REFUSED_S * 2 ** (case.ends - ENDS_MAXIMUM)
                case.refused_until = now + min(seconds, REFUSED_MAXIMUM_S)
                case.until = case.refused_until + PROBATION_S
        if is_new:
            self._publish(fingerprint)
        return is_new

    def merge(self, news: SuspectCase, now: float) -> bool:
        """Take in what another process holds against a request.

        Tell whether it is more than was known here.
        """
        case = self._open(news.fingerprint, now)
        is_new = case.add_runners(news.runners) or news.ends > case.ends
        case.ends = max(case.ends, news.ends)
        case.refused_until = max(case.refused_until, now + news.refused)
        case.until = max(case.until, now + news.left)
        if is_new:
            self._publish(news.fingerprint)
        return is_new

    def clear(self, fingerprint: str) -> bool:
        """Take in a whole answer, which no request gets that ends its runners."""
        if self._cases.pop(fingerprint, None) is None:
            return False
        self._publish(fingerprint)
        return True

    def describe(self, fingerprint: str, now: float) -> SuspectCase | None:
        """Return what another process needs to know of a request."""
        case = self.find(fingerprint, now)
        if case is None:
            return None
        return SuspectCase(
            fingerprint=fingerprint,
            ends=case.ends,
            runners=case.runners,
            refused=max(case.refused_until - now, 0.0),
            left=case.until - now,
        )

    def describe_all(self, now: float) -> list[SuspectCase]:
        """Return all that is held against requests."""
        found = [self.describe(name, now) for name in list(self._cases)]
        return [item for item in found if item is not None]

    def _open(self, fingerprint: str, now: float) -> Case:
        case = self.find(fingerprint, now)
        if case is None:
            if len(self._cases) >= CASES_MAXIMUM:
                self._drop_one(now)
            case = self._cases[fingerprint] = Case()
        self._cases.move_to_end(fingerprint)
        return case

    def _drop_one(self, now: float) -> None:
        """Forget the oldest suspect, or the oldest of all where all are refused."""
        oldest = next(iter(self._cases))
        suspects = (
            name for name, case in self._cases.items() if case.refused_until <= now
        )
        del self._cases[next(suspects, oldest)]

    def _publish(self, fingerprint: str) -> None:
        for subscriber in self._subscribers:
            subscriber(fingerprint)
