"""Index of the configuration in force."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Sequence

from marigold.core.schema.generated.deployment import (
    CallerBounds,
    Configuration,
    EngineModel,
    Organisation,
    Route,
    Service,
    WeightedService,
    WeightOrigin,
)


class Catalogue:
    """Index of routes by host and path, organisations by key and services by name.

    Example: `catalogue.find_route("quotes.example", "/draft/7")`.
    """

    __slots__ = ("_keys", "_routes", "_services", "bounds", "requires_keys", "version")

    def __init__(self, cfg: Configuration) -> None:
        self.version = cfg.version
        self.bounds: CallerBounds = cfg.bounds
        self.requires_keys = cfg.requires_keys
        self._services: dict[str, Service] = {item.name: item for item in cfg.services}
        self._keys: dict[str, Organisation] = {
            key: item for item in cfg.organisations for key in item.keys
        }
        self._routes: dict[str, list[Route]] = defaultdict(list)
        for route in cfg.routes:
            self._routes[route.host.lower()].append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda item: len(item.path_prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._routes.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key; an empty one is no key."""
        return self._keys.get(key) if key else None

    def get_engine(self, service: str) -> EngineModel | None:
        """Return the cost model of a service, None for a plain service."""
        found = self._services.get(service)
        return None if found is None else found.engine

    def get_cold(self, service: str) -> tuple[float, float]:
        """Return for how long a runner is cold, and the requests per second until then.

        Both are 0 for a service whose runners take any number.
        """
        found = self._services.get(service)
        return (0.0, 0.0) if found is None else (found.cold_start, found.cold_rate)

    def get_origin(self) -> WeightOrigin | None:
        """Return the origin of weights, or None."""
        services = self._services.values()
        return next((item.origin for item in services if item.origin), None)

    def get_engine_services(self) -> list[str]:
        """Return the names of the services with a cost model."""
        return [name for name, item in self._services.items() if item.engine]


def choose_service(services: Sequence[WeightedService], rng: random.Random) -> str:
    """Return one of a route's services, chosen at random by weight."""
    if len(services) == 1:
        return services[0].service
    weights = [max(item.weight, 0.0) for item in services]
    if not any(weights):
        return services[0].service
    return rng.choices(services, weights)[0].service
