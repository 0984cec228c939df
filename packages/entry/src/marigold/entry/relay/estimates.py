"""Estimated times at a model engine, from its published cost model."""

from __future__ import annotations

from marigold.core.schema.generated.deployment import EngineModel

# Factor by which prefill, which runs between decode steps, slows them down at a busy
# engine: 31 ms for each of ten requests per second.
PREFILL_SLOWDOWN = 1.5
# Assumed seconds of a request to a plain service, which has no cost model.
PLAIN_SERVICE_S = 0.05


def get_step_time(engine: EngineModel, running: float) -> float:
    """Return the seconds of one decode step at a batch size."""
    context = running * (engine.usual_prompt + engine.usual_answer / 2)
    return (
        engine.step
        + engine.step_per_request * running
        + engine.step_per_context_token * context
    )


def get_prefill_time(engine: EngineModel, tokens: float) -> float:
    """Return the seconds to prefill a prompt of `tokens`."""
    if engine.prompt_rate <= 0:
        return 0.0
    return tokens / engine.prompt_rate + engine.pair_cost * tokens * tokens / 2


def get_service_time(engine: EngineModel | None) -> float:
    """Return the seconds from the first token to the last in a full batch."""
    if engine is None:
        return PLAIN_SERVICE_S
    return engine.usual_answer * get_step_time(engine, engine.slots) * PREFILL_SLOWDOWN


def estimate_start_delay(
    engine: EngineModel | None,
    slots: int,
    load: float,
    prefill_backlog: float,
    prompt_tokens: float,
) -> float:
    """Return the estimated seconds until the first part of an answer.

    `load` is the requests that the runner holds, `prefill_backlog` their prompt tokens
    that are not prefilled yet. The request waits for half a pass, for the prefills
    ahead of it and, when the batch is full, for other requests to finish.
    """
    excess = max(load + 1 - slots, 0.0)
    turnover = get_service_time(engine) / max(slots, 1)
    if engine is None:
        return PLAIN_SERVICE_S + excess * turnover
    running = min(load, slots)
    steps = engine.steps_per_pass * get_step_time(engine, running)
    prefill = get_prefill_time(engine, prompt_tokens)
    prefill += prefill_backlog / engine.prompt_rate if engine.prompt_rate > 0 else 0.0
    passes = steps * (1.5 if running >= 1 else 1.0)
    return passes + prefill + excess * turnover
