"""Choice of a runner for a request.

Answers the load pattern in which many entries send to few runners at once and
know their load from notes that are some hundred milliseconds old: the choice
follows the expected time to the first part of the answer, and is spread among
runners that are about as good, so that entries do not all go for the same one.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.estimates import estimate_start
from marigold.entry.relay.tickets import Ticket
from marigold.entry.relay.views import RunnerView

# Requests that a runner may hold beyond its slots, so that a slot which becomes
# free is taken before the entries have heard of it.
OVERCOMMIT = 1
# Runners whose expected times differ by less are as good as each other: about
# what one pass of an engine takes.
TIE_S = 0.03
# Seconds by which a runner of another data centre or region counts as later; they
# stand for the delay of the links and for what bytes cost there.
OTHER_CENTRE_S = 0.03
OTHER_REGION_S = 0.06


class Placement(ABC):
    """Policy that picks a runner among those that may take a request."""

    @abstractmethod
    def choose(
        self,
        ticket: Ticket,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return a runner with room, or None when the request has to wait."""


def has_room(view: RunnerView, now: float) -> bool:
    """Tell whether a runner may be sent one more request.

    An engine that reads many prompts at once starts none of them soon and holds up
    the answers that it writes, so each entry has one unread prompt there at most.
    """
    if view.get_load(now) >= view.runner.slots + OVERCOMMIT:
        return False
    return not view.runner.is_engine or not view.has_unread_prompt(now)


class EarliestStartPlacement(Placement):
    """The runner with the earliest expected first part, within its bound."""

    def choose(
        self,
        ticket: Ticket,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return a runner with room, or None when the request has to wait."""
        probe = next((view for view in views if _is_probe(view, now)), None)
        if probe is not None and ticket.route.is_idempotent:
            probe.health.note_probe(now)
            return probe
        sound = [view for view in views if _is_sound(view, now)]
        usable = sound or list(views)
        free = [view for view in usable if has_room(view, now)]
        if not free:
            return None
        costs = [(self._get_cost(ticket, engine, view, now), view) for view in free]
        best = min(cost for cost, _ in costs)
        return rng.choice([view for cost, view in costs if cost <= best + TIE_S])

    def _get_cost(
        self,
        ticket: Ticket,
        engine: EngineModel | None,
        view: RunnerView,
        now: float,
    ) -> float:
        usual_prompt = engine.usual_prompt if engine is not None else 0
        expected = estimate_start(
            engine,
            view.runner.slots,
            view.get_load(now),
            view.get_waiting_prompt(now, usual_prompt),
            ticket.prompt_tokens,
        )
        if view.is_far:
            expected += OTHER_REGION_S
        elif not view.is_local:
            expected += OTHER_CENTRE_S
        return expected + view.health.get_penalty(now)


def _is_sound(view: RunnerView, now: float) -> bool:
    return not view.health.is_avoided(now) and not view.is_silent(now)


def _is_probe(view: RunnerView, now: float) -> bool:
    health = view.health
    if not health.is_avoided(now) or not health.is_probe_due(now):
        return False
    return not view.is_silent(now) and has_room(view, now)
