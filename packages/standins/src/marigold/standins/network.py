"""Network between the data centres of a fleet.

In a `DirectNetwork` all processes connect to each other directly. A
`ShapedNetwork` puts a relay on each path between data centres, and between a data
centre and the platform, so that the traffic of a path can be cut, frozen, silenced,
rate-limited and counted.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from marigold.standins.shaper import Direction, LinkFaults, ShapedLink

if TYPE_CHECKING:
    from marigold.standins.fleet import Fleet

PLATFORM = "platform"


class Network(ABC):
    """Connects the processes of a fleet."""

    def __init__(self, fleet: Fleet, data_centres: dict[str, str]) -> None:
        self._fleet = fleet
        self._data_centres = data_centres

    @abstractmethod
    async def start(self) -> None:
        """Open the paths to the platform."""

    @abstractmethod
    def get_platform_url(self, data_centre: str) -> str:
        """Return the URL at which a data centre reaches the platform."""

    async def add_host(
        self, host: str, data_centre: str, record: dict[str, Any]
    ) -> None:
        """Add a host to the host list, or update its record."""
        url = f"{self._fleet.platform_url}/hosts/{host}"
        await self._fleet.put_json(url, record)

    @abstractmethod
    async def stop(self) -> None:
        """Close all relays."""


class DirectNetwork(Network):
    """Network without relays."""

    async def start(self) -> None:
        """Do nothing."""

    def get_platform_url(self, data_centre: str) -> str:
        """Return the URL of the platform itself."""
        return self._fleet.platform_url

    async def stop(self) -> None:
        """Do nothing."""


class _Path:
    """The emulated physical link between two places, shared by its relays."""

    __slots__ = ("backward", "faults", "forward", "relays")

    def __init__(self) -> None:
        self.faults = LinkFaults()
        self.forward = Direction()
        self.backward = Direction()
        self.relays: list[ShapedLink] = []


class ShapedNetwork(Network):
    """Network with relays between data centres and to the platform."""

    def __init__(self, fleet: Fleet, data_centres: dict[str, str]) -> None:
        super().__init__(fleet, data_centres)
        self._paths: dict[tuple[str, str], _Path] = defaultdict(_Path)
        self._relays: dict[tuple[str, str], ShapedLink] = {}
        self._platform_urls: dict[str, str] = {}

    def get_path(self, first: str, second: str) -> _Path:
        """Return the path between two data centres, or one and the platform."""
        return self._paths[min(first, second), max(first, second)]

    async def start(self) -> None:
        """Open a relay to the platform for each data centre."""
        address = self._fleet.platform_url.removeprefix("http://")
        for data_centre in self._data_centres:
            relay = await self._open(data_centre, PLATFORM, address)
            self._platform_urls[data_centre] = f"http://{relay}/from/{data_centre}"

    async def _open(self, source: str, dest: str, address: str) -> str:
        path = self.get_path(source, dest)
        directions = (path.forward, path.backward)
        if source > dest:
            directions = (path.backward, path.forward)
        relay = ShapedLink(address, path.faults, directions)
        path.relays.append(relay)
        self._relays[source, address] = relay
        return await relay.start()

    def get_platform_url(self, data_centre: str) -> str:
        """Return the URL of the data centre's relay."""
        return self._platform_urls[data_centre]

    async def add_host(
        self, host: str, data_centre: str, record: dict[str, Any]
    ) -> None:
        """Open relays from the other data centres, then list the host."""
        address = record["address"]
        for source in self._data_centres:
            if source == data_centre or (source, address) in self._relays:
                continue
            route = {"address": await self._open(source, data_centre, address)}
            url = f"{self._fleet.platform_url}/from/{source}/routes/{host}"
            await self._fleet.put_json(url, route)
        await super().add_host(host, data_centre, record)

    def cut(self, first: str, second: str) -> None:
        """Close all connections between two places and refuse new ones."""
        for relay in self.get_path(first, second).relays:
            relay.cut()

    def heal(self, first: str, second: str) -> None:
        """End a cut or freeze between two places."""
        for relay in self.get_path(first, second).relays:
            relay.heal()

    def freeze(self, first: str, second: str) -> None:
        """Hold back all data between two places; connections stay open."""
        self.get_path(first, second).faults.frozen = True

    def silence(self, first: str, second: str) -> None:
        """Drop all further data on the connections that are open now."""
        for relay in self.get_path(first, second).relays:
            relay.silence()

    async def stop(self) -> None:
        """Close all relays."""
        for relay in self._relays.values():
            await relay.stop()
