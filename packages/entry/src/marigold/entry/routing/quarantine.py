"""Which requests are suspected of ending the targets that run them.

A policy does no input or output; it takes the time in seconds as an argument.
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
    """Policy that decides which requests run, run alone or are refused."""

    @abstractmethod
    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run."""

    @abstractmethod
    def add_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool, now: float
    ) -> None:
        """Take in that a target was lost while it ran the request.

        `is_crash` tells that the back end ended under a gate that lives on, and
        `was_alone` that the request ran as a suspect, alone on the target.
        """

    @abstractmethod
    def suspect(self, fingerprint: str, crashed: list[str], now: float) -> None:
        """Take in from a peer that a request is suspected."""

    @abstractmethod
    def refuse(self, fingerprint: str, now: float) -> None:
        """Refuse a request for a time."""

    @abstractmethod
    def clear(self, fingerprint: str) -> None:
        """Trust a request that ran alone to its end, unless it is refused."""


class NoQuarantine(QuarantinePolicy):
    """Baseline: every request runs."""

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return "clear"."""
        return "clear"

    def add_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool, now: float
    ) -> None:
        """Pass over the loss."""

    def suspect(self, fingerprint: str, crashed: list[str], now: float) -> None:
        """Pass over the suspicion."""

    def refuse(self, fingerprint: str, now: float) -> None:
        """Pass over the refusal."""

    def clear(self, fingerprint: str) -> None:
        """Pass over the clearance."""


class Case:
    """What is held against a fingerprint, until a time in seconds.

    `lost_at` is the time in seconds of the last loss that was told.
    """

    __slots__ = ("crashed", "is_refused", "lost_at", "until")

    def __init__(self) -> None:
        self.crashed: set[str] = set()
        self.is_refused = False
        self.lost_at = 0.0
        self.until = 0.0


class SuspectQuarantine(QuarantinePolicy):
    """Refuses what ended a target alone, or the back ends of two hosts.

    A target process that is lost makes what it ran suspects and no more: hosts
    fail by the rack, and a request that many callers send alike would run on
    several of them. A back end that ends while its gate lives on points at what
    it ran, so that two of those are enough.
    """

    def __init__(self) -> None:
        self._cases: OrderedDict[str, Case] = OrderedDict()

    def _get_case(self, fingerprint: str, now: float) -> Case:
        case = self._cases.get(fingerprint)
        if case is None or case.until <= now:
            case = self._cases[fingerprint] = Case()
            if len(self._cases) > MAXIMUM_FINGERPRINTS:
                self._cases.popitem(last=False)
        self._cases.move_to_end(fingerprint)
        return case

    def get_verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how a request may run."""
        case = self._cases.get(fingerprint)
        if case is None:
            return "clear"
        if case.until <= now:
            del self._cases[fingerprint]
            return "clear"
        return "refused" if case.is_refused else "suspect"

    def add_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool, now: float
    ) -> None:
        """Suspect a request, or refuse it at its second target."""
        self.suspect(fingerprint, [host] if is_crash else [], now)
        if was_alone:
            self.refuse(fingerprint, now)

    def suspect(self, fingerprint: str, crashed: list[str], now: float) -> None:
        """Suspect a request and refuse it when two back ends ended under it."""
        case = self._get_case(fingerprint, now)
        case.lost_at = now
        case.crashed.update(crashed)
        if len(case.crashed) > 1:
            case.is_refused = True
        seconds = REFUSED_S if case.is_refused else SUSPECT_S
        case.until = max(case.until, now + seconds)

    def get_lost_at(self, fingerprint: str) -> float:
        """Return when a target was last lost under a request, 0 for never."""
        case = self._cases.get(fingerprint)
        return 0.0 if case is None else case.lost_at

    def refuse(self, fingerprint: str, now: float) -> None:
        """Refuse a request for `REFUSED_S`."""
        case = self._get_case(fingerprint, now)
        case.is_refused = True
        case.until = max(case.until, now + REFUSED_S)

    def clear(self, fingerprint: str) -> None:
        """Forget a suspicion."""
        case = self._cases.get(fingerprint)
        if case is not None and not case.is_refused:
            del self._cases[fingerprint]

    def get_suspects(self, now: float) -> dict[str, list[str]]:
        """Return the suspects with the hosts whose back end ended under them."""
        return {
            fingerprint: sorted(case.crashed)
            for fingerprint, case in self._cases.items()
            if case.until > now and not case.is_refused
        }

    def get_refused(self, now: float) -> list[str]:
        """Return the refused fingerprints."""
        return [
            fingerprint
            for fingerprint, case in self._cases.items()
            if case.until > now and case.is_refused
        ]


class Permit:
    """Leave to run a suspect on a host until a time in seconds."""

    __slots__ = ("host", "request", "until")

    def __init__(self, host: str, request: str, until: float) -> None:
        self.host = host
        self.request = request
        self.until = until


class PermitTable:
    """Permits given out: each fingerprint once, each host one suspect."""

    def __init__(self) -> None:
        self._permits: dict[str, Permit] = {}

    def give(
        self, fingerprint: str, request: str, host: str, seconds: float, now: float
    ) -> bool:
        """Give a permit; tell whether it could be given."""
        for other, permit in list(self._permits.items()):
            if permit.until <= now:
                del self._permits[other]
        if fingerprint in self._permits:
            return False
        if any(permit.host == host for permit in self._permits.values()):
            return False
        self._permits[fingerprint] = Permit(host, request, now + seconds)
        return True

    def take_back(self, fingerprint: str, request: str) -> None:
        """End the permit of a request."""
        permit = self._permits.get(fingerprint)
        if permit is not None and permit.request == request:
            del self._permits[fingerprint]
