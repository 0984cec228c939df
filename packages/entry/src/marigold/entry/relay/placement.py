"""Choice of a runner for a request.

Answers the load pattern in which more requests come than runners can start at
once: the choice follows the expected time to the first part of the answer. Among
runners that are about as good, one goes first to which the asking entry has a
connection; the others are taken at random, so that entries which decide by the
same notes do not all go for the same one.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.estimates import estimate_start_delay, get_prefill_time
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

# Requests that a runner may hold beyond its slots, so that a slot which becomes
# free is taken before the deciders have heard of it.
OVERCOMMIT = 1
# Runners whose expected times differ by less are as good as each other: about
# what one pass of an engine takes.
TIE_TOLERANCE_S = 0.03
# Seconds by which a runner of another data centre or region counts as later; they
# stand for the delay of the links and for what bytes cost there.
OTHER_CENTRE_PENALTY_S = 0.03
OTHER_REGION_PENALTY_S = 0.06
# Seconds that the prompts which wait at an engine may take to read; while it reads,
# the answers that it writes stand still.
MAXIMUM_PREFILL_BACKLOG_S = 0.15
# Requests by which a runner may be fuller than the emptiest for the sake of an open
# connection.
AFFINITY_LOAD_SLACK = 3
# Seconds for which a connection to a runner is kept unused.
CONNECTION_IDLE_S = 4.0


class Placement(ABC):
    """Policy that picks a runner among those that may take a request."""

    @abstractmethod
    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return a runner with room, or None when the request has to wait."""


class EarliestStartPlacement(Placement):
    """The runner with the earliest expected first part, within its bound.

    An engine that reads many prompts at once starts none of them soon and holds up
    the answers that it writes. `unread_prompts` is how many may wait at one engine:
    1 for each of several entries that decide by notes, more for a hub that knows of
    all of them.
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
        """Return a runner with room, or None when the request has to wait."""
        if req.is_idempotent:
            probes = (view for view in views if self._is_probe(view, engine, now))
            probe = next(probes, None)
            if probe is not None:
                probe.health.record_probe(now)
                return probe
        healthy = [view for view in views if _is_healthy(view, now)]
        usable = healthy or views
        free = [view for view in usable if self.has_capacity(view, engine, now)]
        if not free:
            return None
        costs = [(_get_cost(req, engine, view, now), view) for view in free]
        best = min(cost for cost, _ in costs)
        ties = [view for cost, view in costs if cost <= best + TIE_TOLERANCE_S]
        return _choose_connected(req.entry, ties, now) or rng.choice(ties)

    def has_capacity(
        self, view: RunnerView, engine: EngineModel | None, now: float
    ) -> bool:
        """Tell whether a runner may be sent one more request."""
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
        return get_prefill_time(engine, waiting) * view.pace < MAXIMUM_PREFILL_BACKLOG_S

    def _is_probe(
        self, view: RunnerView, engine: EngineModel | None, now: float
    ) -> bool:
        health = view.health
        if not health.is_ejected(now) or not health.is_probe_due(now):
            return False
        return not view.is_silent(now) and self.has_capacity(view, engine, now)


def _is_healthy(view: RunnerView, now: float) -> bool:
    return not view.health.is_ejected(now) and not view.is_silent(now)


def _choose_connected(
    entry: str, views: Sequence[RunnerView], now: float
) -> RunnerView | None:
    """Return the runner that the entry was sent to last, None when long ago."""
    if not entry:
        return None
    limit = min(view.get_load(now) for view in views) + AFFINITY_LOAD_SLACK
    even = [view for view in views if view.get_load(now) <= limit]
    latest = max(even, key=lambda view: view.get_last_used_at(entry))
    is_kept = now - latest.get_last_used_at(entry) < CONNECTION_IDLE_S
    return latest if is_kept else None


def _get_cost(
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
    expected *= view.pace
    if view.region != req.region:
        expected += OTHER_REGION_PENALTY_S
    elif view.runner.data_centre != req.data_centre:
        expected += OTHER_CENTRE_PENALTY_S
    return expected + view.health.get_penalty(now)
