"""The runners of a service and the companions beside them."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from marigold.core.rollout.planner import PlanHost
from marigold.core.schema.generated.deployment import HeldModel, Runner


def get_held_version(held: Sequence[HeldModel]) -> int | None:
    """Return the version that a runner holds in whole."""
    return next((item.version for item in held if item.is_whole), None)


class Neighbours:
    """The runners of this host's service, as the store lists them.

    `get_runners` returns them by the address of their companion.
    """

    __slots__ = ("_get_runners", "_regions", "own")

    def __init__(
        self,
        address: str,
        data_centre: str,
        regions: Mapping[str, str],
        get_runners: Callable[[], dict[str, Runner]],
    ) -> None:
        self._regions = regions
        self._get_runners = get_runners
        self.own = self._make_host(address, data_centre)

    def _make_host(self, address: str, data_centre: str) -> PlanHost:
        region = self._regions.get(data_centre, data_centre)
        return PlanHost(address, region, address)

    def get_all(self) -> list[PlanHost]:
        """Return the companions of all listed runners."""
        return [
            self._make_host(address, runner.data_centre)
            for address, runner in self._get_runners().items()
        ]

    def get_holding(self, version: int) -> list[PlanHost]:
        """Return the companions whose runners hold a version in whole."""
        return [
            self._make_host(address, runner.data_centre)
            for address, runner in self._get_runners().items()
            if get_held_version(runner.held) == version
        ]

    def get_needing(self, version: int) -> list[PlanHost]:
        """Return the companions whose runners hold an older version or none."""
        return [
            self._make_host(address, runner.data_centre)
            for address, runner in self._get_runners().items()
            if (get_held_version(runner.held) or 0) < version
        ]
