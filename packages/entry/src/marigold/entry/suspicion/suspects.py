"""Suspects: requests during which runners ended.

Protects against a request that crashes every runner it is sent to and is sent again
through any entry. Other requests run on the same runners, and runners also end for
other reasons, alone or many at once. Only successive ends count: an end adds nothing if
its request was sent before an earlier end was known. When a rack fails while it runs
many copies of a popular request, these therefore count as one end. A complete response
on any entry clears a request.

Policies do no I/O. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from marigold.core.schema.generated.messages import SuspectCase
from marigold.entry.routing.quarantine import Verdict

# Successive ends after which a request is refused; the platform's documentation allows
# three more attempts.
ENDS_MAXIMUM = 3
# Seconds for which a request is suspected after an end, and refused after the last one.
# Each further end doubles the time of refusal, up to the maximum.
SUSPECT_S = 120.0
REFUSED_S = 300.0
REFUSED_MAXIMUM_S = 3600.0
# Seconds after a refusal for which the request stays suspected, so that one more end
# refuses it again.
PROBATION_S = 600.0
# Limits on the number of cases, and of runners that are named in each.
CASES_MAXIMUM = 1024
RUNNERS_MAXIMUM = 8


class Case:
    """Case against one request.

    `ends` counts successive ends, and `runners` names the incarnations that ended. The
    request may be tried again from `refused_until` on; the case is then dropped at
    `expires_at`.
    """

    __slots__ = ("ends", "expires_at", "refused_until", "runners")

    def __init__(self) -> None:
        self.ends = 0
        self.runners: list[str] = []
        self.refused_until = 0.0
        self.expires_at = 0.0

    def add_runners(self, runners: list[str]) -> bool:
        """Add incarnations; return whether any of them is new."""
        new = [item for item in runners if item not in self.runners]
        self.runners = (self.runners + new)[:RUNNERS_MAXIMUM]
        return bool(new)


class SuspicionPolicy(ABC):
    """Decides which requests run freely, run one at a time, or are refused."""

    @abstractmethod
    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a request."""

    @abstractmethod
    def record_end(
        self, fingerprint: str, runner: str, prior_ends: int, now: float
    ) -> bool:
        """Record that an incarnation ended during a request; return whether it is new.

        `prior_ends` is the number of ends known when the request was sent.
        """

    @abstractmethod
    def clear(self, fingerprint: str) -> bool:
        """Drop the case after a complete response; return whether there was one."""


class NoSuspicion(SuspicionPolicy):
    """Baseline without suspects: every request runs."""

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return "clear"."""
        return "clear"

    def record_end(
        self, fingerprint: str, runner: str, prior_ends: int, now: float
    ) -> bool:
        """Ignore the end."""
        return False

    def clear(self, fingerprint: str) -> bool:
        """Ignore the response."""
        return False


class SuspectTable(SuspicionPolicy):
    """Refuses a request after several successive ends.

    Every process has a table. Cases of other processes are merged by their maximum, so
    that updates may arrive in any order.
    """

    def __init__(self) -> None:
        self._cases: OrderedDict[str, Case] = OrderedDict()
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, subscriber: Callable[[str], None]) -> None:
        """Call a function with the fingerprint after each change."""
        self._subscribers.append(subscriber)

    @property
    def is_empty(self) -> bool:
        """Return whether there are no cases."""
        return not self._cases

    def find(self, fingerprint: str, now: float) -> Case | None:
        """Return the case against a request, or None."""
        case = self._cases.get(fingerprint)
        if case is not None and case.expires_at <= now:
            del self._cases[fingerprint]
            return None
        return case

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a request."""
        case = self.find(fingerprint, now)
        if case is None:
            return "clear"
        return "refused" if case.refused_until > now else "suspect"

    def record_end(
        self, fingerprint: str, runner: str, prior_ends: int, now: float
    ) -> bool:
        """Record an end during a request; return whether it is new."""
        case = self._get_or_create(fingerprint, now)
        is_new = case.add_runners([runner])
        if prior_ends + 1 > case.ends:
            is_new = True
            case.ends = prior_ends + 1
            case.expires_at = now + SUSPECT_S
            if case.ends >= ENDS_MAXIMUM:
                seconds = REFUSED_S * 2 ** (case.ends - ENDS_MAXIMUM)
                case.refused_until = now + min(seconds, REFUSED_MAXIMUM_S)
                case.expires_at = case.refused_until + PROBATION_S
        if is_new:
            self._notify(fingerprint)
        return is_new

    def merge(self, other: SuspectCase, now: float) -> bool:
        """Merge another process's case; return whether it added ends or runners."""
        case = self._get_or_create(other.fingerprint, now)
        is_new = case.add_runners(other.runners) or other.ends > case.ends
        case.ends = max(case.ends, other.ends)
        case.refused_until = max(case.refused_until, now + other.refused)
        case.expires_at = max(case.expires_at, now + other.left)
        if is_new:
            self._notify(other.fingerprint)
        return is_new

    def clear(self, fingerprint: str) -> bool:
        """Drop the case after a complete response, which no crashing request gets."""
        if self._cases.pop(fingerprint, None) is None:
            return False
        self._notify(fingerprint)
        return True

    def describe(self, fingerprint: str, now: float) -> SuspectCase | None:
        """Return the case against a request as a message, or None."""
        case = self.find(fingerprint, now)
        if case is None:
            return None
        return SuspectCase(
            fingerprint=fingerprint,
            ends=case.ends,
            runners=case.runners,
            refused=max(case.refused_until - now, 0.0),
            left=case.expires_at - now,
        )

    def describe_all(self, now: float) -> list[SuspectCase]:
        """Return all cases as messages."""
        found = [self.describe(name, now) for name in list(self._cases)]
        return [item for item in found if item is not None]

    def _get_or_create(self, fingerprint: str, now: float) -> Case:
        case = self.find(fingerprint, now)
        if case is None:
            if len(self._cases) >= CASES_MAXIMUM:
                self._evict(now)
            case = self._cases[fingerprint] = Case()
        self._cases.move_to_end(fingerprint)
        return case

    def _evict(self, now: float) -> None:
        """Drop the oldest case that is not refused, or else the oldest of all."""
        oldest = next(iter(self._cases))
        suspects = (
            name for name, case in self._cases.items() if case.refused_until <= now
        )
        del self._cases[next(suspects, oldest)]

    def _notify(self, fingerprint: str) -> None:
        for subscriber in self._subscribers:
            subscriber(fingerprint)
