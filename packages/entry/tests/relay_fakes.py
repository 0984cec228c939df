from __future__ import annotations

from marigold.core.schema.generated.deployment import (
    EngineModel,
    HeldModel,
    Route,
    Runner,
    WeightedService,
)
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.views import RunnerView

ENGINE = EngineModel(
    slots=16,
    models=["assistant"],
    steps_per_pass=6,
    step=0.00673,
    step_per_request=0.0000219,
    step_per_context_token=6.8e-9,
    prompt_rate=30_600.0,
    pair_cost=6.47e-10,
    prompt_chunk=2048,
    usual_prompt=964,
    usual_answer=119,
)


def make_route(**changes):
    values = {
        "name": "draft",
        "host": "a.example",
        "path_prefix": "/draft/",
        "is_idempotent": True,
        "is_stream": True,
        "is_resumable": True,
        "services": [WeightedService(service="model", weight=1.0)],
        "timeout": 6.0,
        "target_latency": 0.4,
        "maximum_gap": 0.3,
        "precedence": 1,
        "maximum_attempts": 2,
    }
    return Route(**values | changes)


def make_context(id="r1", arrived_at=0.0, route=None, **changes):
    values = {
        "timeout": 6.0,
        "model": "assistant",
        "prompt_tokens": 900,
        "data_centre": "gyor-a",
        "region": "west",
    }
    return RequestContext(
        id, "model", route or make_route(), arrived_at, **values | changes
    )


def make_runner(id="i1", **changes):
    values = {
        "id": id,
        "service": "model",
        "address": "10.0.0.1:80",
        "data_centre": "gyor-a",
        "slots": 16,
        "is_draining": False,
        "is_engine": True,
        "held": [HeldModel(model="assistant", version=1)],
        "started_ms": 1,
    }
    return Runner(**values | changes)


def make_view(id="i1", region="west", **changes):
    return RunnerView(make_runner(id, **changes), region)
