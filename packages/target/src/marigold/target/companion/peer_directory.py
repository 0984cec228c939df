"""Directory of a service's runners and the companions on their hosts."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from marigold.core.rollout.planner import PlanHost
from marigold.core.schema.generated.deployment import HeldModel, Runner


def get_held_version(held: Sequence[HeldModel]) -> int | None:
    """Return the version that a runner holds completely, or None."""
    return next((item.version for item in held if item.is_whole), None)


class PeerDirectory:
    """Companions of the runners of this host's service, as listed in the store.

    `get_runners` returns the runners by the address of their companion. `get_revision`
    returns a number that changes with the list; hosts are computed once per revision.
    """

    __slots__ = (
        "_get_revision",
        "_get_runners",
        "_held",
        "_hosts",
        "_regions",
        "own",
        "revision",
    )

    def __init__(
        self,
        address: str,
        data_centre: str,
        regions: Mapping[str, str],
        get_runners: Callable[[], dict[str, Runner]],
        get_revision: Callable[[], int],
    ) -> None:
        self._regions = regions
        self._get_runners = get_runners
        self._get_revision = get_revision
        self._hosts: list[PlanHost] = []
        self._held: list[int] = []
        self.revision = -1
        self.own = self._make_host(address, data_centre)

    def _make_host(self, address: str, data_centre: str) -> PlanHost:
        region = self._regions.get(data_centre, data_centre)
        return PlanHost(address, region, address)

    def refresh(self) -> int:
        """Update the hosts from the list of runners; return its revision."""
        revision = self._get_revision()
        if revision != self.revision:
            self.revision = revision
            runners = self._get_runners()
            self._hosts = [
                self._make_host(address, runner.data_centre)
                for address, runner in runners.items()
            ]
            self._held = [
                get_held_version(runner.held) or 0 for runner in runners.values()
            ]
        return revision

    def get_all(self) -> list[PlanHost]:
        """Return the companions of all listed runners."""
        self.refresh()
        return self._hosts

    def get_holding(self, version: int) -> list[PlanHost]:
        """Return the companions whose runners hold a version completely."""
        self.refresh()
        pairs = zip(self._hosts, self._held, strict=True)
        return [host for host, held in pairs if held == version]

    def get_needing(self, version: int) -> list[PlanHost]:
        """Return the companions whose runners hold an older version or no version."""
        self.refresh()
        pairs = zip(self._hosts, self._held, strict=True)
        return [host for host, held in pairs if held < version]
