"""The configuration in force and its age."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from marigold.core.boottime import get_boottime
from marigold.core.logging import get_logger
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.schema.generated.deployment import (
    Configuration,
    EngineModel,
    WeightOrigin,
)
from marigold.entry.relay.catalogue import Catalogue

log = get_logger(__name__)

# Seconds between checks for the first confirmation, which a hub sends separately from
# the configuration.
POLL_S = 0.02


class CatalogueSource:
    """Source of the current catalogue, which is None before the first configuration.

    The newest configuration ever received stays in force. An older one from the store,
    such as after a loss of its history, is ignored. One that cannot be decoded, or has
    been removed, leaves the last one in force, which is not confirmed any more. `clock`
    reads boot time in seconds.
    """

    __slots__ = ("_clock", "_configurations", "_last_confirmed_at", "catalogue")

    def __init__(
        self,
        configurations: ObjectCache[Configuration],
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self._configurations = configurations
        self._clock = clock
        # Set while the store has no configuration that can be read.
        self._last_confirmed_at: float | None = None
        self.catalogue: Catalogue | None = None
        configurations.subscribe(self._apply)

    def is_confirmed(self) -> bool:
        """Return whether a catalogue is known and the store has confirmed it."""
        return self.catalogue is not None and self.get_age() is not None

    async def wait_confirmed(self, seconds: float) -> None:
        """Wait until a catalogue is confirmed, for at most `seconds`."""
        end = time.monotonic() + seconds
        while not self.is_confirmed() and time.monotonic() < end:
            await asyncio.sleep(POLL_S)

    def get_age(self) -> float | None:
        """Return the seconds since the store confirmed it, None if it never did."""
        if self._last_confirmed_at is not None:
            return max(self._clock() - self._last_confirmed_at, 0.0)
        return self._configurations.get_age()

    def get_engine(self, service: str) -> EngineModel | None:
        """Return the cost model of a service, None for a plain service."""
        return None if self.catalogue is None else self.catalogue.get_engine(service)

    def get_cold(self, service: str) -> tuple[float, float]:
        """Return the seconds and the rate of cold runners, 0 for any number."""
        return (
            (0.0, 0.0) if self.catalogue is None else self.catalogue.get_cold(service)
        )

    def get_engine_services(self) -> list[str]:
        """Return the names of the services with a cost model."""
        return [] if self.catalogue is None else self.catalogue.get_engine_services()

    def get_origin(self) -> WeightOrigin | None:
        """Return the origin of weights, or None."""
        return None if self.catalogue is None else self.catalogue.get_origin()

    def _apply(self) -> None:
        received = list(self._configurations.items.values())
        if not received:
            log.event("configuration_missing", kept=self.catalogue is not None)
            if self._last_confirmed_at is None:
                self._last_confirmed_at = self._configurations.confirmed_at
            return
        self._last_confirmed_at = None
        newest = max(received, key=lambda item: item.version)
        current = self.catalogue
        if current is not None and newest.version < current.version:
            log.event(
                "configuration_outdated", version=newest.version, kept=current.version
            )
            return
        self.catalogue = Catalogue(newest)
        log.event(
            "configuration_in_force",
            version=newest.version,
            routes=len(newest.routes),
            organisations=len(newest.organisations),
            revision=self._configurations.revision,
        )
