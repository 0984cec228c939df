"""Runs suspect requests in isolation, one at a time, on the least loaded target."""

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

CRASH_OUTCOME = "lost"
RETRY_AFTER_S = 1.0
PERMIT_RETRY_S = 0.1
# No request with the fingerprint runs for this time after the last loss: copies that
# were sent before the loss was reported may crash another target, and a gate takes up
# to 0.15 s to report that its back end has crashed.
LOSS_SETTLE_S = 0.3
# A request that found its back end gone waits for this time, in which the loss reaches
# all entries: a request with the same fingerprint may have caused it.
LOSS_PROPAGATION_S = 0.2
DRAIN_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.02
PERMIT_MARGIN_S = 1.0


def is_target_lost(failure: AttemptFailure, view: TargetView) -> bool:
    """Return whether an attempt failed because its target was lost.

    An unreachable target in another data centre counts as partitioned, not lost.
    """
    if failure.reason == "target unreachable":
        return view.is_local
    return failure.reason in (CRASH_OUTCOME, "target restarted")


class SuspectIsolation:
    """Admits suspect requests by permit and reserves a target for each."""

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
        """Return whether a request must not share a target with others."""
        return self._coordinator.get_verdict(req.get_fingerprint()) != "clear"

    async def record_outcome(
        self, req: Request, view: TargetView, failure: AttemptFailure | None
    ) -> None:
        """Update the suspicion of a request; no failure means a complete answer."""
        was_alone = req.id in self._reserved
        fingerprint = req.get_fingerprint()
        if failure is None and was_alone:
            await self._coordinator.report_clear(fingerprint)
            log.event("request_cleared", request=req.id)
        elif failure is not None and is_target_lost(failure, view):
            is_crash = failure.reason == CRASH_OUTCOME
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
            await asyncio.sleep(max(min(LOSS_PROPAGATION_S, req.get_time_left()), 0.0))

    async def acquire(self, req: Request, excluded: frozenset[str]) -> Grant | None:
        """Wait for a permit and a target; return None once the request is cleared.

        Raise `QuarantinedError` when the request is refused in the meantime and
        `NoCapacityError` when no permit and target were available in time.
        """
        wait = max(0.0, min(self._limits.queue_wait, req.get_time_left()))
        deadline = time.monotonic() + wait
        while time.monotonic() < deadline:
            verdict = self._coordinator.get_verdict(req.get_fingerprint())
            if verdict == "clear":
                return None
            if verdict == "refused":
                raise make_quarantined_error(req)
            if self._coordinator.get_loss_age(req.get_fingerprint()) >= LOSS_SETTLE_S:
                grant = await self._try_targets(req, excluded)
                if grant is not None:
                    return grant
            await asyncio.sleep(self._rng.uniform(0, PERMIT_RETRY_S))
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
            if view.has_capacity(now) and view.find_version(req.versions) is not None
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
        if not await self._coordinator.request_permit(
            fingerprint, req.id, view.host, seconds
        ):
            return None
        self._reserved[req.id] = view
        try:
            grant = await self._admission.acquire(req, self._get_other_hosts(view))
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

    def _get_other_hosts(self, view: TargetView) -> frozenset[str]:
        views = self._pool.get_views(view.service)
        return frozenset(item.host for item in views) - {view.host}

    async def _drain(self, view: TargetView) -> None:
        """Wait until this entry's other attempts at a target end or time out."""
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        while view.outstanding > 1 and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)

    def release(self, req: Request) -> None:
        """End the reservation of the target and release the permit."""
        view = self._reserved.pop(req.id, None)
        if view is None:
            return
        view.is_reserved = False
        self._coordinator.release_permit(req.get_fingerprint(), req.id)
        self._admission.admit_waiting()


def make_quarantined_error(req: Request) -> QuarantinedError:
    """Return the error for a refused request."""
    message = f"requests like this one ended the targets of {req.service}"
    return QuarantinedError(message)
