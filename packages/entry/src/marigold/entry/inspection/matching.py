"""Finds entries of a configuration that no request can match."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from marigold.core.schema.generated.deployment import (
    Configuration,
    Organisation,
    Route,
)
from marigold.entry.inspection.notes import Finding


def find_unmatched(cfg: Configuration, is_whole: bool = True) -> Iterator[Finding]:
    """Yield routes, services, organisations and keys that are never used.

    Nothing is said to be missing or unused if the configuration is not whole.
    """
    yield from _find_repeated_names(cfg)
    yield from _find_unmatched_routes(cfg.routes)
    yield from _find_weight_faults(cfg.routes)
    if is_whole:
        yield from _find_unused_services(cfg)
        yield from _find_missing_keys(cfg)
    yield from _find_unmatched_organisations(cfg.organisations)


def _find_missing_keys(cfg: Configuration) -> Iterator[Finding]:
    needs_key = [route.name for route in cfg.routes if not route.is_public]
    has_key = any(key for item in cfg.organisations for key in item.keys)
    if needs_key and cfg.requires_keys and not has_key:
        yield Finding(
            "organisations",
            "no organisation has a key, so that only public routes are served",
        )


def _find_repeated_names(cfg: Configuration) -> Iterator[Finding]:
    kinds = {
        "route": [item.name for item in cfg.routes],
        "service": [item.name for item in cfg.services],
        "organisation": [item.name for item in cfg.organisations],
    }
    for kind, names in kinds.items():
        for name, count in Counter(names).items():
            if count > 1:
                yield Finding(f"{kind} {name}", f"the name is used {count} times")


def _find_unmatched_routes(routes: list[Route]) -> Iterator[Finding]:
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        key = f"route {route.name}"
        if not route.host or ":" in route.host or route.host != route.host.strip():
            yield Finding(
                key, f"no request has the host {route.host!r}, given without a port"
            )
        # Every path begins with an empty prefix.
        if route.path_prefix and not route.path_prefix.startswith("/"):
            yield Finding(
                key,
                f"no path begins with {route.path_prefix!r}; paths begin with a slash",
            )
        place = route.host.lower(), route.path_prefix
        if place in first:
            yield Finding(
                key, f"route {first[place]} has the same host and path and goes first"
            )
        first.setdefault(place, route.name)


def _find_unused_services(cfg: Configuration) -> Iterator[Finding]:
    known = {item.name for item in cfg.services}
    used = set()
    for route in cfg.routes:
        for item in route.services:
            used.add(item.service)
            if item.service not in known:
                yield Finding(
                    f"route {route.name}", f"no service has the name {item.service}"
                )
    for service in cfg.services:
        if service.name not in used and service.origin is None:
            yield Finding(f"service {service.name}", "no route names it", False)


def _find_weight_faults(routes: list[Route]) -> Iterator[Finding]:
    for route in routes:
        key = f"route {route.name}"
        weights = [item.weight for item in route.services]
        for item in route.services:
            if item.weight < 0:
                yield Finding(key, f"the weight of {item.service} is negative")
            elif item.weight == 0 and any(weight > 0 for weight in weights):
                yield Finding(
                    key, f"{item.service} has no weight and gets no request", False
                )
        if weights and not any(weight > 0 for weight in weights):
            yield Finding(
                key,
                f"no service has a weight; {route.services[0].service} gets all",
                False,
            )


def _find_unmatched_organisations(
    organisations: list[Organisation],
) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    for item in organisations:
        key = f"organisation {item.name}"
        if not any(item.keys):
            yield Finding(key, "it has no key, so that no request is its own", False)
        for number, value in enumerate(item.keys):
            # Keys are secrets, so only their positions are shown.
            if not value:
                yield Finding(key, f"key {number} is empty and never matches")
            elif holders.get(value) == item.name:
                yield Finding(key, f"key {number} is listed twice", False)
            elif value in holders:
                yield Finding(
                    key,
                    f"key {number} is also a key of {holders[value]}; one of both"
                    " is never recognised",
                )
            holders.setdefault(value, item.name)
