"""Suspects: requests, and shared parts of prompts, during which runners crashed.

Protects against a request that crashes every runner it is sent to and is sent again
through any entry, and against a part of prompts that does so in whichever request it
is. Each request has several keys: its fingerprint, and one key for each shared part of
its prompt. Other requests run on the same runners, and runners also crash for other
reasons, alone or many at once. Only successive crashes count: a crash adds nothing if
its request was sent before the previous crash was known. The failure of a rack that
runs many copies of a popular request therefore counts as one crash. A complete response
at any entry clears all keys of its request.

Several keys are in every crash of a deadly part: those of the parts that stand beside
it, and of requests on the same runner. Parts that runners have begun to answer are
tolerated longer. Once a part is refused, it explains its crashes, which then count
against no other key.

Policies do no I/O. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence

from marigold.core.schema.generated.messages import SuspectCase
from marigold.entry.routing.quarantine import Verdict
from marigold.entry.suspicion.parts import ProvenParts, is_part_key

# Successive crashes after which a request is refused; the platform's documentation
# allows three more attempts.
CRASHES_MAXIMUM = 3
# Further crashes that are tolerated of a part that runners have begun to answer.
# Popular parts are beside many crashes that others cause, which are refused before.
PROVEN_ALLOWANCE = 2
# Seconds for which a request is suspected after a crash, and refused after the last
# tolerated one. Each further crash doubles the time of refusal, up to the maximum.
SUSPECT_S = 120.0
REFUSED_S = 300.0
REFUSED_MAXIMUM_S = 3600.0
# Seconds after a refusal for which the request stays suspected, so that one more crash
# refuses it again.
PROBATION_S = 600.0
# Limits on the number of cases, and of runners that are named in each.
CASES_MAXIMUM = 1024
RUNNERS_MAXIMUM = 16


class Case:
    """Case against one key.

    `crashes` counts successive crashes, and `runners` names the incarnations that
    crashed. `version` is the newest version of their weights, 0 if it is not known.
    `is_proven` is set if a runner has begun to answer a request with the part. The key
    may be tried again from `refused_until` on, and the case is dropped at `expires_at`.
    This process learned of the first crash at `opened_at`.
    """

    __slots__ = (
        "crashes",
        "expires_at",
        "is_proven",
        "opened_at",
        "refused_until",
        "runners",
        "version",
    )

    def __init__(self, now: float = 0.0) -> None:
        self.crashes = 0
        self.runners: list[str] = []
        self.version = 0
        self.is_proven = False
        self.opened_at = now
        self.refused_until = 0.0
        self.expires_at = 0.0

    @property
    def allowance(self) -> int:
        """Number of crashes that count nothing."""
        return PROVEN_ALLOWANCE if self.is_proven else 0

    @property
    def counted_crashes(self) -> int:
        """Number of successive crashes beyond the allowance."""
        return self.crashes - self.allowance

    def is_refused(self, now: float) -> bool:
        """Return whether the key is refused."""
        return self.refused_until > now and self.counted_crashes >= CRASHES_MAXIMUM

    def add_runners(self, runners: list[str]) -> bool:
        """Add incarnations; return whether any of them is new."""
        new = [item for item in runners if item not in self.runners]
        self.runners = (self.runners + new)[:RUNNERS_MAXIMUM]
        return bool(new)

    def add_crash(self, crashes: int, now: float) -> bool:
        """Raise the number of crashes; return whether it was lower."""
        if crashes <= self.crashes:
            return False
        self.crashes = crashes
        self.expires_at = now + SUSPECT_S
        excess = self.counted_crashes - CRASHES_MAXIMUM
        if excess >= 0:
            self.refused_until = now + min(REFUSED_S * 2**excess, REFUSED_MAXIMUM_S)
            self.expires_at = self.refused_until + PROBATION_S
        return True


class SuspicionPolicy(ABC):
    """Decides which requests run freely, run one at a time, or are refused."""

    @abstractmethod
    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a request, or on a part of prompts."""

    @abstractmethod
    def record_crash(
        self, fingerprint: str, runner: str, prior_crashes: int, now: float
    ) -> bool:
        """Record that an incarnation crashed during a request; return if it is new.

        `prior_crashes` is the number of crashes known when the request was sent.
        """

    @abstractmethod
    def clear(self, fingerprint: str) -> bool:
        """Drop the case after a complete response; return whether there was one."""


class NoSuspicion(SuspicionPolicy):
    """Baseline without suspects: every request runs."""

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return "clear"."""
        return "clear"

    def record_crash(
        self, fingerprint: str, runner: str, prior_crashes: int, now: float
    ) -> bool:
        """Ignore the crash."""
        return False

    def clear(self, fingerprint: str) -> bool:
        """Ignore the response."""
        return False


class SuspectTable(SuspicionPolicy):
    """Refuses a request, or a part of prompts, after several successive crashes.

    Every process has a table. Cases of other processes are merged by their maximum, so
    that updates may arrive in any order.
    """

    def __init__(self) -> None:
        self._cases: OrderedDict[str, Case] = OrderedDict()
        self._proofs = ProvenParts()
        # Parts that may be refused; those that no longer are get removed lazily.
        self._refused_parts: dict[str, None] = {}
        self._subscribers: list[Callable[[str], None]] = []

    def subscribe(self, subscriber: Callable[[str], None]) -> None:
        """Call a function with the key after each change."""
        self._subscribers.append(subscriber)

    @property
    def is_empty(self) -> bool:
        """Return whether there are no cases."""
        return not self._cases

    def find(self, fingerprint: str, now: float) -> Case | None:
        """Return the case against a key, or None."""
        case = self._cases.get(fingerprint)
        if case is not None and case.expires_at <= now:
            del self._cases[fingerprint]
            return None
        return case

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return the verdict on a key."""
        case = self.find(fingerprint, now)
        if case is None or case.counted_crashes <= 0:
            return "clear"
        return "refused" if case.is_refused(now) else "suspect"

    def record_crash(
        self, fingerprint: str, runner: str, prior_crashes: int, now: float
    ) -> bool:
        """Record a crash during a request with one key; return whether it is new."""
        priors = {fingerprint: prior_crashes}
        return bool(self.record_crashes([fingerprint], runner, priors, 0, now, now))

    def record_crashes(
        self,
        keys: Sequence[str],
        runner: str,
        prior_crashes: Mapping[str, int],
        version: int,
        sent_at: float,
        now: float,
    ) -> list[str]:
        """Record a crash during a request; return the keys for which it is new.

        `keys` are those of the request, the most specific one first. `prior_crashes`
        holds the numbers of crashes known when it was sent, and `version` that of the
        weights. At most one part is refused for the same crash.
        """
        changed = []
        counts: dict[str, int] = {}
        for key in keys:
            if not self._get_unexplained(key, [runner], now):
                if (case := self.find(key, now)) is not None:
                    case.add_runners([runner])
                continue
            case = self._get_or_create(key, now)
            case.version = max(case.version, version)
            if case.add_runners([runner]):
                changed.append(key)
            # The case may have been cleared and opened again since then.
            is_known = sent_at >= case.opened_at
            counts[key] = (prior_crashes.get(key, 0) if is_known else 0) + 1
        culprit = self._find_culprit(counts, runner)
        for key, crashes in counts.items():
            case = self._cases[key]
            if is_part_key(key) and key != culprit:
                crashes = min(crashes, CRASHES_MAXIMUM - 1 + case.allowance)
            if case.add_crash(crashes, now) and key not in changed:
                changed.append(key)
        for key in changed:
            self._notify(key)
        if culprit is not None:
            self._explain_others(culprit, now)
        return changed

    def _find_culprit(self, counts: Mapping[str, int], runner: str) -> str | None:
        """Return the part that is to be refused, if any.

        The last one is chosen among equals, as fewer requests share it. If only one
        request crashed runners with it, that request is refused instead.
        """
        culprit, most = None, CRASHES_MAXIMUM - 1
        for key, crashes in counts.items():
            counted = crashes - self._cases[key].allowance
            if not is_part_key(key) or counted <= most:
                continue
            if not self._has_rarer_suspect(key, runner):
                culprit, most = key, counted
        if culprit is None:
            return None
        runners = set(self._cases[culprit].runners)
        for key, crashes in counts.items():
            if is_part_key(key) or crashes < CRASHES_MAXIMUM:
                continue
            if runners <= set(self._cases[key].runners):
                return None
        return culprit

    def _has_rarer_suspect(self, part: str, runner: str) -> bool:
        """Return whether a part that is answered less often was in the same crashes.

        The last one, of `runner`, may not be known yet.
        """
        runners = set(self._cases[part].runners) - {runner}
        responses = self._proofs.count(part)
        return any(
            is_part_key(key)
            and case.crashes > 0
            and runners <= set(case.runners)
            and self._proofs.count(key) < responses
            for key, case in self._cases.items()
        )

    def _get_refused_parts(self, now: float) -> dict[str, Case]:
        found = {}
        for name in list(self._refused_parts):
            case = self.find(name, now)
            if case is None or not case.is_refused(now):
                del self._refused_parts[name]
            else:
                found[name] = case
        return found

    def _get_unexplained(
        self, key: str, runners: Sequence[str], now: float
    ) -> Sequence[str]:
        """Return the incarnations under which no other part is refused.

        If this key is refused as well, another one has to explain all of its crashes,
        and more.
        """
        if not self._refused_parts:
            return runners
        parts = self._get_refused_parts(now)
        explained = [set(case.runners) for name, case in parts.items() if name != key]
        if key in parts:
            explained = [others for others in explained if others > set(runners)]
        return [item for item in runners if not any(item in x for x in explained)]

    def _explain_others(self, part: str, now: float) -> None:
        """Discount the crashes that a refused part explains from all other cases.

        Parts keep their incarnations: if one of them goes on crashing runners until it
        is refused, it explains the crashes of this one.
        """
        self._refused_parts[part] = None
        for key, case in list(self._cases.items()):
            if key == part or not case.runners:
                continue
            count = len(self._get_unexplained(key, case.runners, now))
            if not count and not is_part_key(key):
                self.clear(key)
            elif count < case.crashes:
                case.crashes = count
                self._notify(key)

    def record_start(self, key: str, now: float) -> bool:
        """Record that a runner began to respond; return whether a case changed.

        Most parts that crash runners do so before that.
        """
        self._proofs.add(key, now)
        case = self.find(key, now)
        if case is None or case.is_proven:
            return False
        case.is_proven = True
        self._notify(key)
        return True

    def record_answer(self, key: str, version: int, sent_at: float, now: float) -> bool:
        """Record a complete response with a part; return whether its case changed.

        A part may have begun to crash runners after that request was sent, or only
        those with newer weights, so that other responses do not clear it.
        """
        case = self.find(key, now)
        if case and sent_at >= case.opened_at and version >= case.version:
            self._proofs.add(key, now)
            return self.clear(key)
        return self.record_start(key, now)

    def merge(self, other: SuspectCase, now: float) -> bool:
        """Merge another process's case; return whether it added anything."""
        key = other.fingerprint
        ends = other.ends
        if other.runners and self._refused_parts:
            unexplained = self._get_unexplained(key, other.runners, now)
            if not unexplained and not is_part_key(key):
                return False
            ends = min(ends, len(unexplained))
        case = self._get_or_create(key, now)
        is_new = case.add_runners(other.runners) or ends > case.crashes
        if other.proven and not case.is_proven:
            is_new = case.is_proven = True
        case.version = max(case.version, other.version)
        case.crashes = max(case.crashes, ends)
        case.refused_until = max(case.refused_until, now + other.refused)
        case.expires_at = max(case.expires_at, now + other.left)
        if is_new:
            self._notify(key)
            if is_part_key(key) and case.is_refused(now):
                self._explain_others(key, now)
        return is_new

    def clear(self, fingerprint: str) -> bool:
        """Drop the case after a complete response, which no crashing request gets."""
        if self._cases.pop(fingerprint, None) is None:
            return False
        self._notify(fingerprint)
        return True

    def describe(self, fingerprint: str, now: float) -> SuspectCase | None:
        """Return the case against a key as a message, or None."""
        case = self.find(fingerprint, now)
        if case is None:
            return None
        return SuspectCase(
            fingerprint=fingerprint,
            ends=case.crashes,
            runners=case.runners,
            refused=case.refused_until - now if case.is_refused(now) else 0.0,
            left=case.expires_at - now,
            version=case.version,
            proven=case.is_proven,
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
            case = self._cases[fingerprint] = Case(now)
            case.is_proven = self._proofs.is_proven(fingerprint, now)
        self._cases.move_to_end(fingerprint)
        return case

    def _evict(self, now: float) -> None:
        """Drop the oldest case that is not refused, or else the oldest of all."""
        oldest = next(iter(self._cases))
        suspects = (
            name for name, case in self._cases.items() if not case.is_refused(now)
        )
        del self._cases[next(suspects, oldest)]

    def _notify(self, fingerprint: str) -> None:
        for subscriber in self._subscribers:
            subscriber(fingerprint)
