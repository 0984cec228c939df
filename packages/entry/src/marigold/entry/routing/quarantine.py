"""Quarantine policies for requests suspected of crashing their targets.

A policy does no I/O and receives the current time in seconds as an argument.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import Literal

SUSPECT_S = 120.0
REFUSED_S = 300.0
MAXIMUM_FINGERPRINTS = 4096

Verdict = Literal["clear", "suspect", "refused"]


class QuarantinePolicy(ABC):
    """Policy that decides which requests run, run in isolation or are refused."""

    @abstractmethod
    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run."""

    @abstractmethod
    def add_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool, now: float
    ) -> None:
        """Record that a target was lost while it ran the request.

        `is_crash` is set when the back end crashed and its gate survived, `was_alone`
        when the request ran as a suspect, in isolation on the target.
        """

    @abstractmethod
    def mark_suspect(
        self, fingerprint: str, crashed_hosts: list[str], now: float
    ) -> None:
        """Record a suspicion that a peer reported."""

    @abstractmethod
    def mark_refused(self, fingerprint: str, now: float) -> None:
        """Refuse a request for a limited time."""

    @abstractmethod
    def clear(self, fingerprint: str) -> None:
        """Clear a suspect that completed in isolation, unless it is refused."""


class NoQuarantine(QuarantinePolicy):
    """Baseline policy that lets every request run."""

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return "clear" for every request."""
        return "clear"

    def add_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool, now: float
    ) -> None:
        """Ignore the loss."""

    def mark_suspect(
        self, fingerprint: str, crashed_hosts: list[str], now: float
    ) -> None:
        """Ignore the suspicion."""

    def mark_refused(self, fingerprint: str, now: float) -> None:
        """Ignore the refusal."""

    def clear(self, fingerprint: str) -> None:
        """Ignore the clearance."""


class SuspicionRecord:
    """Suspicion of a fingerprint, which expires at `until`.

    `crashed_hosts` are the hosts whose back end crashed while it ran such a request;
    `lost_at` is the time of the last reported loss.
    """

    __slots__ = ("crashed_hosts", "is_refused", "lost_at", "until")

    def __init__(self) -> None:
        self.crashed_hosts: set[str] = set()
        self.is_refused = False
        self.lost_at = 0.0
        self.until = 0.0


class SuspectQuarantine(QuarantinePolicy):
    """Refuses requests that lost a target in isolation or crashed two back ends.

    The loss of a whole target process makes its requests suspects, but any number
    of such losses does not get them refused: a whole rack may fail, and an
    identical request sent by many callers would run on several of its hosts. A
    back end that crashes while its gate survives implicates the requests that it ran,
    so that crashes on two hosts are enough for a refusal.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, SuspicionRecord] = OrderedDict()

    def _get_record(self, fingerprint: str, now: float) -> SuspicionRecord:
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            record = self._records[fingerprint] = SuspicionRecord()
            if len(self._records) > MAXIMUM_FINGERPRINTS:
                self._records.popitem(last=False)
        self._records.move_to_end(fingerprint)
        return record

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run."""
        record = self._records.get(fingerprint)
        if record is None:
            return "clear"
        if record.until <= now:
            del self._records[fingerprint]
            return "clear"
        return "refused" if record.is_refused else "suspect"

    def add_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool, now: float
    ) -> None:
        """Mark a request as suspect; refuse it if it ran in isolation."""
        self.mark_suspect(fingerprint, [host] if is_crash else [], now)
        if was_alone:
            self.mark_refused(fingerprint, now)

    def mark_suspect(
        self, fingerprint: str, crashed_hosts: list[str], now: float
    ) -> None:
        """Mark a request as suspect; refuse it after crashes on two hosts."""
        record = self._get_record(fingerprint, now)
        record.lost_at = now
        record.crashed_hosts.update(crashed_hosts)
        if len(record.crashed_hosts) > 1:
            record.is_refused = True
        seconds = REFUSED_S if record.is_refused else SUSPECT_S
        record.until = max(record.until, now + seconds)

    def get_lost_at(self, fingerprint: str) -> float:
        """Return when a target running the request was last lost, 0 if never."""
        record = self._records.get(fingerprint)
        return 0.0 if record is None else record.lost_at

    def mark_refused(self, fingerprint: str, now: float) -> None:
        """Refuse a request for `REFUSED_S`."""
        record = self._get_record(fingerprint, now)
        record.is_refused = True
        record.until = max(record.until, now + REFUSED_S)

    def clear(self, fingerprint: str) -> None:
        """Remove a suspicion, unless the request is refused."""
        record = self._records.get(fingerprint)
        if record is not None and not record.is_refused:
            del self._records[fingerprint]

    def get_suspects(self, now: float) -> dict[str, list[str]]:
        """Return the suspects with the hosts whose back end they crashed."""
        return {
            fingerprint: sorted(record.crashed_hosts)
            for fingerprint, record in self._records.items()
            if record.until > now and not record.is_refused
        }

    def get_refused(self, now: float) -> list[str]:
        """Return the refused fingerprints."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if record.until > now and record.is_refused
        ]


class Permit:
    """Permission to run a suspect on a host, which expires at `until`."""

    __slots__ = ("host", "request", "until")

    def __init__(self, host: str, request: str, until: float) -> None:
        self.host = host
        self.request = request
        self.until = until


class PermitTable:
    """Granted permits, at most one for each fingerprint and one for each host."""

    def __init__(self) -> None:
        self._permits: dict[str, Permit] = {}

    def grant(
        self, fingerprint: str, request: str, host: str, seconds: float, now: float
    ) -> bool:
        """Grant a permit; return whether it was available."""
        for other, permit in list(self._permits.items()):
            if permit.until <= now:
                del self._permits[other]
        if fingerprint in self._permits:
            return False
        if any(permit.host == host for permit in self._permits.values()):
            return False
        self._permits[fingerprint] = Permit(host, request, now + seconds)
        return True

    def release(self, fingerprint: str, request: str) -> None:
        """Release the permit of a request."""
        permit = self._permits.get(fingerprint)
        if permit is not None and permit.request == request:
            del self._permits[fingerprint]
