"""Runs suspects alone: one at a time on the least loaded target."""

from __future__ import annotations

import asyncio
import random
import time

from marigold.core.logging import get_logger
from marigold.core.schema.generated.settings import CallerLimits
from marigold.entry.admission.controller import AdmissionController, Grant
from marigold.entry.exceptions import (
    NoCapacityError,
    QuarantinedError,
    UnreachableError,
)
from marigold.entry.membership.pool import TargetPool
from marigold.entry.routing.calls import UNREACHABLE, AttemptFailure
from marigold.entry.routing.load import TargetView
from marigold.entry.routing.requests import Request
from marigold.entry.routing.suspects import SuspectCoordinator

log = get_logger(__name__)

CRASH_REASON = "lost"
RETRY_AFTER_S = 1.0
ASK_PAUSE_S = 0.1
# Seconds after the last loss under a request in which none like it runs: copies that
# were sent before the word spread may end another target, and a gate takes up to
# 0.15 s to tell that its back end has ended.
SETTLE_S = 0.3
# Seconds that a request waits which found its back end gone: the one that ended it may
# have been like it, and the word of that takes so long to spread.
NEWS_S = 0.2
DRAIN_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.02
PERMIT_MARGIN_S = 1.0


def is_target_lost(failure: AttemptFailure, view: TargetView) -> bool:
    """Tell whether an attempt failed because its target died.

    A target in another data centre that cannot be reached is taken for cut off.
    """
    if failure.reason == "target unreachable":
        return view.is_local
    return failure.reason in (CRASH_REASON, "target restarted")


class SuspectIsolation:
    """Admits suspects under permits and reserves their targets."""

    def __init__(
        self,
        limits: CallerLimits,
        coordinator: SuspectCoordinator,
        admission: AdmissionController,
        pool: TargetPool,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._coordinator = coordinator
        self._admission = admission
        self._pool = pool
        self._rng = rng
        self._reserved: dict[str, TargetView] = {}

    def is_suspect(self, req: Request) -> bool:
        """Tell whether a request may not run beside others."""
        return self._coordinator.get_verdict(req.get_fingerprint()) != "clear"

    async def judge(
        self, req: Request, view: TargetView, failure: AttemptFailure | None
    ) -> None:
        """Learn from the end of an attempt, without a failure from a whole answer."""
        was_alone = req.id in self._reserved
        fingerprint = req.get_fingerprint()
        if failure is None and was_alone:
            await self._coordinator.report_clear(fingerprint)
            log.event("request_cleared", request=req.id)
        elif failure is not None and is_target_lost(failure, view):
            is_crash = failure.reason == CRASH_REASON
            await self._coordinator.report_loss(
                fingerprint, view.host, is_crash, was_alone
            )
            log.event(
                "request_suspected",
                request=req.id,
                target=view.host,
                reason=failure.reason,
                verdict=self._coordinator.get_verdict(fingerprint),
            )
        self.release(req)
        if failure is not None and failure.reason == UNREACHABLE:
            await asyncio.sleep(max(min(NEWS_S, req.get_time_left()), 0.0))

    async def acquire(self, req: Request, excluded: frozenset[str]) -> Grant | None:
        """Wait for a permit and a target; None when the request was cleared.

        Raise `QuarantinedError` when the request is refused in the meantime and
        `NoCapacityError` when there was no permit in time.
        """
        wait = max(0.0, min(self._limits.queue_wait, req.get_time_left()))
        until = time.monotonic() + wait
        while time.monotonic() < until:
            verdict = self._coordinator.get_verdict(req.get_fingerprint())
            if verdict == "clear":
                return None
            if verdict == "refused":
                raise make_quarantined_error(req)
            if self._coordinator.get_quiet_time(req.get_fingerprint()) >= SETTLE_S:
                grant = await self._try_targets(req, excluded)
                if grant is not None:
                    return grant
            await asyncio.sleep(self._rng.uniform(0, ASK_PAUSE_S))
        raise NoCapacityError(f"no room to run {req.id} alone", RETRY_AFTER_S)

    async def _try_targets(
        self, req: Request, excluded: frozenset[str]
    ) -> Grant | None:
        for view in self._rank_targets(req, excluded):
            grant = await self._try_target(req, view)
            if grant is not None:
                return grant
        return None

    def _rank_targets(self, req: Request, excluded: frozenset[str]) -> list[TargetView]:
        now = time.monotonic()
        views = [
            view
            for view in self._pool.get_views(req.service)
            if view.has_room(now) and view.find_version(req.versions) is not None
        ]
        others = [view for view in views if view.host not in excluded]
        return sorted(
            others or views,
            key=lambda view: (
                not view.is_local,
                view.health.failures > 0,
                view.get_load(now),
            ),
        )

    async def _try_target(self, req: Request, view: TargetView) -> Grant | None:
        fingerprint = req.get_fingerprint()
        seconds = req.get_time_left() + PERMIT_MARGIN_S
        if not await self._coordinator.ask(fingerprint, req.id, view.host, seconds):
            return None
        self._reserved[req.id] = view
        try:
            grant = await self._admission.acquire(req, self._get_all_but(view))
            view.is_reserved = True
            await self._drain(view)
        except UnreachableError:
            self.release(req)
            return None
        except BaseException:
            self.release(req)
            raise
        if self._coordinator.get_verdict(fingerprint) == "refused":
            view.outstanding -= 1
            self.release(req)
            raise make_quarantined_error(req)
        log.event("suspect_isolated", request=req.id, target=view.host)
        return grant

    def _get_all_but(self, view: TargetView) -> frozenset[str]:
        views = self._pool.get_views(view.service)
        return frozenset(item.host for item in views) - {view.host}

    async def _drain(self, view: TargetView) -> None:
        """Wait until nothing else of this entry runs at a target, for a time."""
        until = time.monotonic() + DRAIN_TIMEOUT_S
        while view.outstanding > 1 and time.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_S)

    def release(self, req: Request) -> None:
        """Open the target to others and give the permit back."""
        view = self._reserved.pop(req.id, None)
        if view is None:
            return
        view.is_reserved = False
        self._coordinator.give_back(req.get_fingerprint(), req.id)
        self._admission.admit_waiting()


def make_quarantined_error(req: Request) -> QuarantinedError:
    """Return the error for a request that is refused."""
    message = f"requests like this one ended the targets of {req.service}"
    return QuarantinedError(message)
