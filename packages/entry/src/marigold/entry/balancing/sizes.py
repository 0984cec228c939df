"""Choice of the engine of a request by sizes and deadlines.

It addresses the replay `marigold.standins.bench.load_sizes`: streams of different sizes
at engines that are busy, the largest of which were cut at their deadline. A request
joins an engine only if it and all streams there can still end in time. A large one goes
to an engine with little time to spare that suffices, so that large requests gather at
few engines and the others stay open for any request.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.balancing.sizes_work import EngineWork, get_tokens
from marigold.entry.relay.estimates import get_prefill_time, get_step_time
from marigold.entry.relay.placement import EarliestStartPlacement
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds that stay free before a deadline: two passes of an engine and the links.
END_MARGIN_S = 0.15
# Multiple of the usual answer above which a request is large, and the share of the
# engines that it may join, those with the least time to spare.
LARGE_ANSWER = 2.5
GATHERED_SHARE = 0.25


def get_usual_reading(engine: EngineModel) -> float:
    """Return the seconds of reading prompts for a second of generation, at full slots.

    A large request that can spare less keeps other prompts from a full engine,
    which then runs with free slots. At lower load, fewer prompts follow.
    """
    reading = engine.slots * get_prefill_time(engine, engine.usual_prompt)
    generation = engine.usual_answer * get_step_time(engine, engine.slots)
    return reading / generation if generation > 0 else 0.0


def _is_large(req: PlacementRequest, engine: EngineModel) -> bool:
    return req.answer_tokens > LARGE_ANSWER * engine.usual_answer


def _is_no_smaller(tokens: int, others: int) -> bool:
    """Return whether a number is not below another; 0 is one that is not stated."""
    return tokens == others or (tokens > others > 0)


class SizedPlacement(EarliestStartPlacement):
    """Earliest start among the engines that can finish all that they would hold.

    Requests without `end_deadline` are placed by the earliest start alone.
    """

    __slots__ = ("_sized",)

    def __init__(
        self, max_pending_prefills: int = 1, sized: Counter | None = None
    ) -> None:
        super().__init__(max_pending_prefills)
        self._sized = sized

    def choose(
        self,
        req: PlacementRequest,
        engine: EngineModel | None,
        views: Sequence[RunnerView],
        now: float,
        rng: random.Random,
    ) -> RunnerView | None:
        """Return an engine that can finish all in time, or None to wait."""
        if engine is None or req.end_deadline is None:
            return super().choose(req, engine, views, now, rng)
        fit = [view for view in views if self._fits(req, engine, view, now)]
        fit = self._gather(req, engine, fit, now)
        chosen = super().choose(req, engine, fit, now, rng)
        self._count("deferred" if chosen is None else "placed")
        if chosen is not None:
            log.routine(
                "size_placed",
                request=req.id,
                runner=chosen.id,
                prompt=req.prompt_tokens,
                answer=req.answer_tokens,
                left=req.end_deadline - now,
                fit=len(fit),
                report_age=now - chosen.reported_at,
                of=len(views),
            )
        return chosen

    def can_finish(
        self, req: PlacementRequest, engine: EngineModel | None, now: float
    ) -> bool:
        """Return whether an engine that holds nothing else would finish in time."""
        if engine is None or req.end_deadline is None:
            return True
        prompt, answer = get_tokens(req, engine)
        needed = get_prefill_time(engine, prompt) + answer * get_step_time(engine, 1)
        is_held = not 0 < engine.memory_tokens < prompt + answer
        if is_held and now + needed + END_MARGIN_S < req.end_deadline:
            return True
        self._count("refused")
        log.routine(
            "size_refused",
            request=req.id,
            prompt=prompt,
            answer=answer,
            left=req.end_deadline - now,
            needed=needed,
            memory=engine.memory_tokens,
        )
        return False

    def _count(self, outcome: str) -> None:
        if self._sized is not None:
            self._sized.add(outcome)

    def blocks(self, req: PlacementRequest, item: PlacementRequest) -> bool:
        """Return whether `item` finds no engine either if `req` finds none."""
        if req.end_deadline is None or item.end_deadline is None:
            return True
        return _is_no_smaller(item.prompt_tokens, req.prompt_tokens) and (
            _is_no_smaller(item.answer_tokens, req.answer_tokens)
        )

    def _gather(
        self,
        req: PlacementRequest,
        engine: EngineModel,
        views: list[RunnerView],
        now: float,
    ) -> list[RunnerView]:
        """Return the engines with the least time to spare, for a large request."""
        if not _is_large(req, engine):
            return views
        free = [view for view in views if view.get_load(now) < view.runner.slots]
        free = free or views
        free.sort(key=lambda view: self._get_room(engine, view, now))
        return free[: max(int(len(free) * GATHERED_SHARE), 1)]

    def _get_room(self, engine: EngineModel, view: RunnerView, now: float) -> float:
        if view.work is None:
            return math.inf
        others = max(view.get_load(now) - len(view.in_flight), 0.0)
        interval = view.work.get_interval(engine, others, 1)
        return view.work.get_room(interval, view.slowdown, now)

    def _fits(
        self, req: PlacementRequest, engine: EngineModel, view: RunnerView, now: float
    ) -> bool:
        if view.work is None:
            view.work = EngineWork(now)
        work, slowdown = view.work, view.slowdown
        others = max(view.get_load(now) - len(view.in_flight), 0.0)
        work.update(view.in_flight, engine, others, slowdown, now)
        prompt, answer = get_tokens(req, engine)
        if engine.memory_tokens:
            usual = engine.usual_prompt + engine.usual_answer
            held = work.count_tokens() + others * usual
            if held + prompt + answer > engine.memory_tokens:
                return False
        interval = work.get_interval(engine, others, 1)
        read = get_prefill_time(engine, prompt)
        if read + END_MARGIN_S > work.get_room(interval, slowdown, now):
            return False
        generation = answer * interval
        if _is_large(req, engine):
            # The interval counts the prompts that follow those of other processes.
            fullness = min(len(view.in_flight) / max(engine.slots, 1), 1.0)
            generation *= 1 + get_usual_reading(engine) * fullness
        needed = work.get_read_backlog() + read + generation
        return now + needed * slowdown + END_MARGIN_S < (req.end_deadline or 0.0)
