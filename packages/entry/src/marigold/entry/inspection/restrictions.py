"""Finds restrictions that leave no runner for a request."""

from __future__ import annotations

from collections.abc import Iterator

from marigold.core.schema.generated.deployment import Configuration
from marigold.entry.inspection.notes import Finding


def find_unserved(cfg: Configuration, regions: frozenset[str]) -> Iterator[Finding]:
    """Yield routes and organisations whose regions exclude every runner.

    `regions` are those that have a data centre; empty if they are not known.
    """
    parts = [
        *((f"route {item.name}", item.regions) for item in cfg.routes),
        *((f"organisation {item.name}", item.regions) for item in cfg.organisations),
    ]
    for key, allowed in parts:
        unknown = sorted(set(allowed) - regions) if regions else []
        if allowed and len(unknown) == len(set(allowed)):
            yield Finding(
                key, f"none of its regions has a data centre: {', '.join(unknown)}"
            )
        elif unknown:
            yield Finding(
                key, f"these regions have no data centre: {', '.join(unknown)}", False
            )
    for route in cfg.routes:
        excluded = [
            item.name
            for item in cfg.organisations
            if route.regions and item.regions
            if not set(route.regions) & set(item.regions)
        ]
        # A public route does not look at the organisation.
        if excluded and not route.is_public:
            yield Finding(
                f"route {route.name}",
                "no region is allowed by both the route and the organisation, for "
                + ", ".join(sorted(excluded)),
                False,
            )
