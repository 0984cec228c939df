"""Finds limits of a configuration that contradict each other."""

from __future__ import annotations

from collections.abc import Iterator

from marigold.core.schema.generated.deployment import Configuration, Route, Service
from marigold.entry.inspection.notes import Finding


def find_limit_faults(cfg: Configuration) -> Iterator[Finding]:
    """Yield limits that cannot be met, alone or together."""
    for route in cfg.routes:
        yield from _find_route_faults(route)
    for service in cfg.services:
        yield from _find_service_faults(service)
    for name in ("header_bytes", "body_bytes"):
        if getattr(cfg.bounds, name) <= 0:
            yield Finding("bounds", f"{name} allows no request")


def _find_route_faults(route: Route) -> Iterator[Finding]:
    key = f"route {route.name}"
    if route.timeout <= 0:
        yield Finding(key, "its timeout is not positive, so that nothing is served")
    if route.target_latency <= 0:
        yield Finding(key, "its target latency is not positive", False)
    elif route.target_latency > route.timeout:
        yield Finding(
            key,
            f"its target latency ({route.target_latency:g} s) is longer than its "
            f"timeout ({route.timeout:g} s)",
        )
    if route.maximum_gap > route.timeout:
        yield Finding(
            key,
            f"its target gap ({route.maximum_gap:g} s) is longer than its timeout "
            f"({route.timeout:g} s)",
        )
    if route.maximum_gap and not route.is_stream:
        yield Finding(key, "it has a target gap, but does not stream", False)
    if route.maximum_attempts < 1:
        yield Finding(key, "it allows no attempt, but entries make one")
    if route.precedence < 0:
        yield Finding(key, "its precedence is negative; 0 is served first", False)


def _find_service_faults(service: Service) -> Iterator[Finding]:
    key = f"service {service.name}"
    if service.cold_start and not service.cold_rate:
        yield Finding(
            key,
            "of the time for which its runners are cold and their rate until then, one "
            "is not stated, so that the other has no effect",
        )
    if service.cold_rate and not service.cold_start:
        yield Finding(
            key,
            "its rate holds only for runners that say that they are cold, as no time "
            "is stated for which they are",
            False,
        )
    engine = service.engine
    if engine is None:
        return
    if engine.slots < 1:
        yield Finding(key, "its engines have no slots")
    usual = engine.usual_prompt + engine.usual_answer
    if 0 < engine.memory_tokens < usual:
        yield Finding(
            key,
            f"a usual request holds {usual} tokens, its engines {engine.memory_tokens}",
        )
