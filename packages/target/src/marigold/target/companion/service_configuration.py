"""What the configuration in force says of a companion's service and of the origin."""

from __future__ import annotations

import asyncio

from marigold.core.platform.feeds import FeedFollower
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    Service,
    WeightOrigin,
)

POLL_S = 0.05


class ServiceConfiguration:
    """View of one service in the newest configuration."""

    __slots__ = ("_configurations", "_service")

    def __init__(
        self, configurations: FeedFollower[Configuration], service: str
    ) -> None:
        self._configurations = configurations
        self._service = service

    def _get_services(self) -> list[Service]:
        """Return the services of the newest configuration, none without one."""
        configurations = self._configurations.items.values()
        newest = max(configurations, key=lambda item: item.version, default=None)
        return [] if newest is None else newest.services

    def get_engine(self) -> EngineModel | None:
        """Return the cost model of the service, None if it is not configured."""
        names = {item.name: item for item in self._get_services()}
        service = names.get(self._service)
        return None if service is None else service.engine

    def get_origin(self) -> WeightOrigin | None:
        """Return the origin of weights, None if it is not configured."""
        return next((item.origin for item in self._get_services() if item.origin), None)

    async def wait_for_model(self) -> tuple[str, WeightOrigin, EngineModel]:
        """Return the service's model, its origin and its cost model.

        Wait until the configuration has them.
        """
        while True:
            engine, origin = self.get_engine(), self.get_origin()
            if engine is not None and engine.models and origin is not None:
                return engine.models[0], origin, engine
            await asyncio.sleep(POLL_S)
