"""Policies that choose a runner for a request.

When more requests arrive than runners can start at once, the runner with the shortest
expected time to the first part of the answer is chosen. Among runners that are about
equal, one that the requesting entry has an open connection to is preferred. Otherwise
the choice is random, so that entries with the same load reports do not all choose the
same runner.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.estimates import estimate_start_delay, get_prefill_time
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import SILENCE_S, RunnerView

# Requests that a runner may hold beyond its slots, so that a freed slot is filled
# before the schedulers learn of it.
OVERCOMMIT = 1
# Expected times that differ by less count as equal; about one pass of an engine.
TIE_TOLERANCE_S = 0.03
# Seconds added to the expected time of a runner in another data centre or region, for
# the delay of the links and the cost of their traffic.
OTHER_CENTRE_PENALTY_S = 0.03
OTHER_REGION_PENALTY_S = 0.06
# Seconds of prefill that may wait at an engine. Answers that it is generating stall
# during prefill.
MAXIMUM_PREFILL_BACKLOG_S = 0.15
# Requests that a runner with an open connection may hold beyond the least loaded one
# and still be preferred.
AFFINITY_LOAD_SLACK = 3
# Seconds after the last report of a runner's companion in which its host, rather than
# the companion alone, is taken to have failed; hosts stand still for some seconds.
REPORT_WAIT_S = 5.0
# Seconds for which an idle connection to a runner is kept.
CONNECTION_IDLE_S = 4.0


class Placement(ABC):
    """Policy that chooses among the runners that may take a request."""

    def has_capacity(
        self, view: RunnerView, engine: EngineModel | None, now: float
    ) -> bool:
        """Return whether a runner may be sent one more request."""
        return True

    def can_finish(
        self, req: PlacementRequest, engine: EngineModel | None, now: float
    ) -> bool:
        """Return whether some runner could finish the request in time."""
        return True

    def blocks(self, req: PlacementRequest, item: PlacementRequest) -> bool:
        """Return whether `item` finds no runner either if `req` finds none."""
        return True

    @abstractmethod
    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return a runner with capacity, or None when the request has to wait."""


class EarliestStartPlacement(Placement):
    """Choice of the runner with the earliest expected start that has capacity.

    An engine with many prompts to prefill starts none of them soon and stalls the
    answers that it is generating. `max_pending_prefills` is how many may wait at one
    engine: 1 for each of several entries that rely on load reports, more for a hub,
    which knows of all requests of its cell.
    """

    __slots__ = ("_max_pending_prefills",)

    def __init__(self, max_pending_prefills: int = 1) -> None:
        self._max_pending_prefills = max_pending_prefills

    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return a runner with capacity, or None when the request has to wait."""
        if req.is_idempotent:
            probes = [view for view in views if self._is_probe(view, engine, now)]
            if probes:
                return _probe_first(probes, now)
        responsive = [view for view in views if not view.is_unresponsive(now)]
        healthy = [view for view in responsive if not view.health.is_ejected(now)]
        usable = healthy or responsive
        if not usable:
            # A request that may run only once probes as well: it beats refusing all.
            probes = [view for view in views if _may_probe_unresponsive(view, now)]
            return _probe_first(probes, now) if probes else None
        free = [view for view in usable if self.has_capacity(view, engine, now)]
        if not free:
            return None
        return self._select(req, engine, free, now, rng)

    def _select(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView:
        """Return one of the runners that have capacity."""
        costs = [(_get_cost(req, engine, view, now), view) for view in views]
        best = min(cost for cost, _ in costs)
        ties = [view for cost, view in costs if cost <= best + TIE_TOLERANCE_S]
        return _choose_connected(req.entry, ties, now) or rng.choice(ties)

    def has_capacity(
        self, view: RunnerView, engine: EngineModel | None, now: float
    ) -> bool:
        """Return whether a runner may be sent one more request."""
        if view.get_load(now) >= view.runner.slots + OVERCOMMIT:
            return False
        if engine is None or not view.runner.is_engine:
            return True
        pending = view.count_pending_prefills(now)
        if pending < 1:
            return True
        if pending >= self._max_pending_prefills:
            return False
        waiting = view.get_prefill_backlog(now, engine.usual_prompt)
        return (
            get_prefill_time(engine, waiting) * view.slowdown
            < MAXIMUM_PREFILL_BACKLOG_S
        )

    def _is_probe(
        self, view: RunnerView, engine: EngineModel | None, now: float
    ) -> bool:
        health = view.health
        if view.is_unresponsive(now):
            return _may_probe_unresponsive(view, now)
        if not health.is_ejected(now) or not health.is_probe_due(now):
            return False
        return self.has_capacity(view, engine, now)


def _probe_first(views: Sequence[RunnerView], now: float) -> RunnerView:
    """Return the runner whose probe has been due for longest, and record the probe."""
    probe = min(views, key=lambda view: view.health.probe_at)
    probe.health.record_probe(now)
    return probe


def _may_probe_unresponsive(view: RunnerView, now: float) -> bool:
    """Return whether a request may find out if an unresponsive runner is back.

    One at a time, since all that is sent to a host that stands still reaches it late,
    and none while a report of its companion can be expected to show that it is back.
    """
    if view.in_flight or now - view.reported_at < REPORT_WAIT_S:
        return False
    return view.health.is_probe_due(now)


def _choose_connected(
    entry: str, views: Sequence[RunnerView], now: float
) -> RunnerView | None:
    """Return a runner that the entry still has a connection to, or None.

    Prefer the one that the entry used last.
    """
    if not entry:
        return None
    limit = min(view.get_load(now) for view in views) + AFFINITY_LOAD_SLACK
    even = [view for view in views if view.get_load(now) <= limit]
    latest = max(even, key=lambda view: view.get_last_used_at(entry))
    is_kept = now - latest.get_last_used_at(entry) < CONNECTION_IDLE_S
    return latest if is_kept else None


def estimate_start(
    req: PlacementRequest, engine: EngineModel | None, view: RunnerView, now: float
) -> float:
    """Return the seconds in which a runner begins a request that is sent to it now.

    A runner that has been silent for a while may stay so for as long again.
    """
    expected = _estimate_by_model(req, engine, view, now)
    silence = min(view.get_silence(now), SILENCE_S)
    return max(expected, view.start_delays.get(now), silence)


def _estimate_by_model(
    req: PlacementRequest, engine: EngineModel | None, view: RunnerView, now: float
) -> float:
    usual_prompt = engine.usual_prompt if engine is not None else 0
    expected = estimate_start_delay(
        engine,
        view.runner.slots,
        view.get_load(now),
        view.get_prefill_backlog(now, usual_prompt),
        req.prompt_tokens,
    )
    return expected * view.slowdown


def _get_cost(
    req: PlacementRequest, engine: EngineModel | None, view: RunnerView, now: float
) -> float:
    return _estimate_by_model(req, engine, view, now) + get_penalty(req, view, now)


def get_penalty(req: PlacementRequest, view: RunnerView, now: float) -> float:
    """Return the seconds that a runner's distance and health count as."""
    penalty = view.health.get_penalty(now)
    if view.region != req.region:
        return penalty + OTHER_REGION_PENALTY_S
    if view.runner.data_centre != req.data_centre:
        return penalty + OTHER_CENTRE_PENALTY_S
    return penalty
