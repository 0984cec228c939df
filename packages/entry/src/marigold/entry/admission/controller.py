"""Admission control: requests queue until their limits and a target have room."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence

from marigold.core.clock import HybridClock
from marigold.core.logging import get_logger
from marigold.core.schema.generated.settings import CallerLimits
from marigold.entry.admission.exchange import ShareExchange
from marigold.entry.admission.limits import CustomerLimits
from marigold.entry.admission.overload import WaitEstimator
from marigold.entry.admission.policy import (
    AdmissionPolicy,
    CapacityCheck,
    QueuedRequest,
)
from marigold.entry.admission.rates import RateLimiter
from marigold.entry.audit.chain import ADMISSION_EVENT, RELEASE_EVENT, AuditChain
from marigold.entry.exceptions import (
    AnswerError,
    NoCapacityError,
    RateLimitedError,
    UnreachableError,
)
from marigold.entry.lists.compiled import CustomerPlan
from marigold.entry.routing.load import RECONNECT_GRACE_S, TargetView
from marigold.entry.routing.requests import Request
from marigold.entry.routing.router import Router, select_version

log = get_logger(__name__)

RETRY_AFTER_S = 1.0


class Grant:
    """Permission to send one attempt of a request to a target."""

    __slots__ = ("target", "version", "waited")

    def __init__(self, target: TargetView, version: str, waited: float) -> None:
        self.target = target
        self.version = version
        self.waited = waited


class _Waiter(QueuedRequest):
    __slots__ = ("arrived_clock", "excluded", "fut", "is_counted", "req")

    def __init__(
        self,
        req: Request,
        sequence: int,
        excluded: frozenset[str],
        arrived_clock: int,
    ) -> None:
        super().__init__(
            req.id, req.customer, sequence, req.arrived, tuple(req.versions)
        )
        self.req = req
        self.excluded = excluded
        self.arrived_clock = arrived_clock
        self.is_counted = False
        self.fut: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()


class _ServiceCapacityCheck(CapacityCheck):
    """Capacity check for one service at one point in time."""

    __slots__ = ("_limits", "_now", "_service", "_views")

    def __init__(
        self,
        service: str,
        views: list[TargetView],
        limits: CustomerLimits,
        now: float,
    ) -> None:
        self._service = service
        self._views = views
        self._limits = limits
        self._now = now

    def has_room(self, queued: QueuedRequest) -> bool:
        customer = queued.customer
        if not self._limits.has_capacity(customer, self._service, self._now):
            return False
        return any(
            view.has_room(self._now) and view.find_version(queued.versions) is not None
            for view in self._views
        )

    def has_slot(self, customer: CustomerPlan) -> bool:
        return self._limits.has_slot(customer, self._now)

    def is_full(self) -> bool:
        return not any(view.has_room(self._now) for view in self._views)


class _ServiceQueue:
    """Waiting requests of one service.

    A request that was admitted before and needs another attempt keeps its slot.
    Such requests, and those that only some targets may run, are kept in `retried`:
    they are tried before the queue of the policy and block none of its requests.
    `is_unreachable` is set while every target is unlinked or silent.
    """

    __slots__ = ("is_unreachable", "policy", "retried", "waits")

    def __init__(self, policy: AdmissionPolicy) -> None:
        self.policy = policy
        self.is_unreachable = False
        self.waits = WaitEstimator()
        self.retried: OrderedDict[int, _Waiter] = OrderedDict()


class AdmissionController:
    """Queues of one entry, with one admission policy for each service.

    Call `enter` once for a request, then `acquire` for each of its attempts, and
    `leave` at its end.
    """

    def __init__(
        self,
        cfg: CallerLimits,
        limits: CustomerLimits,
        router: Router,
        get_views: Callable[[str], list[TargetView]],
        make_policy: Callable[[], AdmissionPolicy],
        rng: random.Random,
        clock: HybridClock,
        chain: AuditChain,
    ) -> None:
        self._clock = clock
        self._chain = chain
        self._cfg = cfg
        self._limits = limits
        self._router = router
        self._get_views = get_views
        self._make_policy = make_policy
        self._rng = rng
        self._queues: dict[str, _ServiceQueue] = {}
        self._sequence = 0
        self._held_limits: dict[str, list[str]] = {}
        self._shares: ShareExchange | None = None
        self._rate_limiter = RateLimiter(limits)

    def set_share_exchange(self, shares: ShareExchange) -> None:
        """Set the exchange that requests units from other entries."""
        self._shares = shares
        self._rate_limiter = RateLimiter(self._limits, shares)

    async def enter(self, req: Request) -> None:
        """Check the rate, the queue length and the expected wait of a request.

        Raise `RateLimitedError` or `NoCapacityError`.
        """
        customer = req.customer
        await self._rate_limiter.take(customer)
        queue = self._get_queue(req.service)
        ahead = queue.policy.count(customer.name)
        if ahead >= self._cfg.queue_length:
            message = f"{customer.name} has too many requests waiting"
            raise RateLimitedError(message, RETRY_AFTER_S)
        now = time.monotonic()
        self._update_reachability(req.service, queue, self._get_views(req.service), now)
        wait = queue.waits.estimate(customer.name, ahead, now)
        timeout = self._get_maximum_wait(req)
        if wait > timeout:
            raise self._make_capacity_error(req, max(wait - timeout, RETRY_AFTER_S))

    def _make_capacity_error(self, req: Request, retry_after: float) -> AnswerError:
        """Return the error for a full service or a customer at its concurrency."""
        customer = req.customer
        if self._limits.has_slot(customer, time.monotonic()):
            message = f"no room for {req.service} in time"
            return NoCapacityError(message, retry_after)
        message = f"{customer.name} runs as many requests as its plan allows"
        return RateLimitedError(message, retry_after)

    def leave(self, req: Request) -> None:
        """Release the customer's slot at the end of a request."""
        taken = self._held_limits.pop(req.id, None)
        if taken is not None:
            # Log the end before the slot is released, so that uses do not overlap.
            log.event(RELEASE_EVENT, request=req.id, customer=req.customer.name)
            self._limits.release_slot(taken, time.monotonic())
            for queue in self._queues.values():
                queue.policy.unblock(req.customer.name)
            self.admit_waiting()

    async def acquire(self, req: Request, excluded: frozenset[str]) -> Grant:
        """Wait for a target outside `excluded`.

        When no link to its targets is open, but one was lost less than
        `RECONNECT_GRACE_S` seconds ago, the request waits for up to that time. Raise
        `UnreachableError` when no target of the service is reachable,
        `NoCapacityError` when none had room in time and `RateLimitedError` when the
        customer had no slot in time.
        """
        timeout = self._get_target_timeout(req, excluded)
        self._sequence += 1
        waiter = _Waiter(req, self._sequence, excluded, self._clock.now())
        queue = self._get_queue(req.service)
        if req.id in self._held_limits or excluded:
            queue.retried[waiter.sequence] = waiter
        else:
            queue.policy.add(waiter)
            self._adjust_waiting(waiter, 1)
            queue.waits.begin_wait(req.customer.name, time.monotonic())
        self._admit_for_service(req.service, queue)
        try:
            async with asyncio.timeout(timeout):
                return await waiter.fut
        except TimeoutError:
            if waiter.fut.done() and not waiter.fut.cancelled():
                return waiter.fut.result()
            raise self._make_timeout_error(req, excluded) from None
        except asyncio.CancelledError:
            if waiter.fut.done() and not waiter.fut.cancelled():
                waiter.fut.result().target.outstanding -= 1
            raise
        finally:
            queue.retried.pop(waiter.sequence, None)
            queue.policy.remove(waiter)
            if not queue.policy.count(req.customer.name):
                queue.waits.end_wait(req.customer.name)
            if waiter.is_counted:
                self._adjust_waiting(waiter, -1)

    def _adjust_waiting(self, waiter: _Waiter, step: int) -> None:
        waiter.is_counted = step > 0
        needs_more = self._limits.adjust_waiting(
            waiter.customer, waiter.req.service, step, time.monotonic()
        )
        if needs_more and step > 0 and self._shares is not None:
            self._shares.request_units()

    def _get_maximum_wait(self, req: Request) -> float:
        return max(0.0, min(self._cfg.queue_wait, req.get_time_left()))

    def _get_target_timeout(self, req: Request, excluded: frozenset[str]) -> float:
        """Return the seconds to wait for a target, or raise `UnreachableError`."""
        timeout = self._get_maximum_wait(req)
        if self._find_candidates(req, excluded):
            return timeout
        if not self._is_reconnecting(req, excluded):
            raise self._make_unreachable_error(req)
        log.event("request_waits_for_link", request=req.id, timeout=RECONNECT_GRACE_S)
        return min(timeout, RECONNECT_GRACE_S)

    def _is_reconnecting(self, req: Request, excluded: frozenset[str]) -> bool:
        now = time.monotonic()
        return any(
            view.is_reconnecting(now)
            for view in self._get_views(req.service)
            if self._may_serve(view, req, excluded)
        )

    def _make_timeout_error(
        self, req: Request, excluded: frozenset[str]
    ) -> AnswerError:
        """Return the error for a request that was not admitted in time."""
        if not self._find_candidates(req, excluded):
            return self._make_unreachable_error(req)
        return self._make_capacity_error(req, RETRY_AFTER_S)

    def _make_unreachable_error(self, req: Request) -> AnswerError:
        message = f"no target for {req.service} can be reached"
        return UnreachableError(message, RETRY_AFTER_S)

    def _get_queue(self, service: str) -> _ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _ServiceQueue(self._make_policy())
        return queue

    def _find_candidates(
        self, req: Request, excluded: frozenset[str]
    ) -> Sequence[TargetView]:
        return [
            view
            for view in self._get_views(req.service)
            if view.is_open and self._may_serve(view, req, excluded)
        ]

    def _may_serve(
        self, view: TargetView, req: Request, excluded: frozenset[str]
    ) -> bool:
        if view.leaving or view.host in excluded:
            return False
        return view.find_version(req.versions) is not None

    def on_shares_change(self) -> None:
        """Admit requests after this entry's share of a limit changed."""
        for queue in self._queues.values():
            queue.policy.unblock_all()
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit the waiting requests that have room now."""
        for service, queue in self._queues.items():
            if queue.retried or len(queue.policy):
                self._admit_for_service(service, queue)

    def _admit_for_service(self, service: str, queue: _ServiceQueue) -> None:
        now = time.monotonic()
        views = self._get_views(service)
        self._update_reachability(service, queue, views, now)
        check = _ServiceCapacityCheck(service, views, self._limits, now)
        for waiter in list(queue.retried.values()):
            if check.is_full():
                return
            if not self._may_run(waiter, check):
                continue
            if self._admit(waiter, now):
                del queue.retried[waiter.sequence]
        while not check.is_full():
            waiter = queue.policy.take_next(now, check)
            if waiter is None:
                return
            if not self._admit(waiter, now):
                queue.policy.restore(waiter)
                return

    def _update_reachability(
        self, service: str, queue: _ServiceQueue, views: list[TargetView], now: float
    ) -> None:
        """Reset the wait estimate when the last target is lost or the first returns.

        The admissions that a silent or lost link prevents are no measure of how fast
        the queue drains once a link is open.
        """
        is_unreachable = not any(
            view.is_open and not view.is_silent(now) for view in views
        )
        if is_unreachable != queue.is_unreachable:
            queue.is_unreachable = is_unreachable
            queue.waits.reset(now)
            log.event(
                "wait_estimate_reset", service=service, is_unreachable=is_unreachable
            )

    def _may_run(self, waiter: _Waiter, check: _ServiceCapacityCheck) -> bool:
        if waiter.req.id in self._held_limits:
            return True
        waiter.turn = "apart"
        return check.has_room(waiter) and check.has_slot(waiter.customer)

    def _admit(self, waiter: _Waiter, now: float) -> bool:
        if waiter.fut.done():
            return True
        req = waiter.req
        candidates = self._find_candidates(req, waiter.excluded)
        free = [view for view in candidates if view.has_room(now)]
        free, version = select_version(free, req.versions)
        view = self._router.choose(free, req.affinity, now, self._rng)
        if view is None:
            return False
        is_first = req.id not in self._held_limits
        if is_first:
            self._held_limits[req.id] = self._limits.take_slot(
                req.customer, req.service, now
            )
            if waiter.is_counted:
                self._adjust_waiting(waiter, -1)
        # Count the attempt now, so that the next selection takes it into account.
        view.outstanding += 1
        waited = now - waiter.arrived
        if is_first:
            queue = self._get_queue(req.service)
            queue.waits.record_admission(req.customer.name, now)
            self._log_admission(waiter, view, now)
        waiter.fut.set_result(Grant(view, version, waited))
        return True

    def _log_admission(self, waiter: _Waiter, view: TargetView, now: float) -> None:
        customer = waiter.customer
        plan = customer.customer
        fields = {
            "request": waiter.request,
            "customer": customer.name,
            "plan": customer.plan,
            "precedence": customer.precedence,
            "service": waiter.req.service,
            "generation": self._limits.get_generation(),
            "sequence": waiter.sequence,
            "arrived": waiter.arrived_clock,
            "admitted": self._clock.now(),
            "turn": waiter.turn,
            "holds": waiter.holds,
            "running": self._limits.count_running(customer),
            "slots": self._limits.count_slots(customer, now),
            "concurrency": plan.concurrency,
            "rate": f"{plan.rate:g}",
            "weight": f"{plan.weight:g}",
            "target": view.host,
        }
        log.event(ADMISSION_EVENT, **self._chain.append(fields))
