"""The copies of a model's versions on this host, and where their chunks come from."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import WeightSource
from marigold.core.rollout.planner import PlanHost
from marigold.core.schema.generated.messages import LoadOrder
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.goals import VersionGoals
from marigold.target.companion.neighbours import Neighbours
from marigold.target.companion.sharing import SharePlanner
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.switching import SwitchTurns
from marigold.target.weights.download import Download
from marigold.target.weights.exchange import WeightExchange

log = get_logger(__name__)

# Versions whose chunks are kept in memory: the one in force, the next and, while
# that one spreads, the one after.
KEPT_VERSIONS = 3


class VersionCopies:
    """Copies of the versions of one model, by version.

    `clock` reads boot time in seconds, as in the goals.
    """

    def __init__(
        self,
        model: str,
        source: WeightSource,
        engine: StagedEngine,
        exchange: WeightExchange,
        goals: VersionGoals,
        turns: SwitchTurns,
        neighbours: Neighbours,
        planner: SharePlanner,
        clock: Callable[[], float],
    ) -> None:
        self._model = model
        self._source = source
        self._engine = engine
        self._exchange = exchange
        self._goals = goals
        self._turns = turns
        self._neighbours = neighbours
        self._planner = planner
        self._clock = clock
        self._downloads: dict[int, Download] = {}
        self._recovered: set[int] = set()
        self._started_at: dict[int, float] = {}

    def find(self, version: int) -> Download | None:
        """Return the copy of a version, None before it was begun."""
        return self._downloads.get(version)

    def is_own_leading(self, version: int) -> bool:
        """Tell whether this host leads the way to a version."""
        return self._is_leading(self._neighbours.own.host, version)

    def _is_leading(self, host: str, version: int) -> bool:
        hosts = self._neighbours.get_all()
        region = self._planner.origin_region
        return host in self._turns.choose_leading(hosts, region, version)

    def halt_others(self, wanted: set[int]) -> None:
        """Fetch nothing for versions that are not wanted; pass on what is held."""
        for version, download in self._downloads.items():
            is_halted = version not in wanted and not download.is_complete()
            if is_halted and not download.is_halted:
                log.event("copy_halted", version=version, held=len(download.held))
            download.is_halted = is_halted

    def _get_fetching(self, version: int) -> list[PlanHost]:
        """Return the hosts that are to bring a version."""
        return [
            item
            for item in self._neighbours.get_needing(version)
            if not self._goals.is_left_out(
                version, partial(self._is_leading, item.host)
            )
        ]

    def _share_out(self, version: int) -> tuple[list[PlanHost], list[PlanHost]]:
        """Return the hosts that fetch a version, and those that have it.

        Where some hosts lead the way to it, they share it out among themselves, and
        to the others they count as hosts that have it.
        """
        fetching = self._get_fetching(version)
        holding = self._neighbours.get_holding(version)
        if not self._goals.is_split(version):
            return fetching, holding
        leading = [item for item in fetching if self._is_leading(item.host, version)]
        if self.is_own_leading(version):
            return leading, holding
        return fetching, holding + leading

    async def go_on(self, version: int) -> Download:
        """Begin the copy of a version, or let it follow what hosts there are.

        Raise `WeightsNotFoundError`, `ManifestError` or `PlatformError` where it
        cannot be begun.
        """
        download = self._downloads.get(version)
        if download is None:
            download = await self._start(version)
        elif not download.is_complete():
            await self._recover(download)
            self._follow_hosts(download)
        return download

    async def _start(self, version: int) -> Download:
        manifest = await self._source.get_manifest(self._model, version)
        download = self._exchange.start(manifest, self._make_order(manifest))
        self._downloads[version] = download
        self._started_at[version] = self._clock()
        await self._recover(download)
        log.event(
            "copy_started",
            version=version,
            held=len(download.held),
            sources=len(download.order.sources),
            remote=len(download.order.remote),
            origin=len(download.order.origin_chunks),
        )
        await self._forget_old()
        return download

    async def _recover(self, download: Download) -> None:
        """Take what is in memory, or staged at the runner, as held; once each."""
        manifest = download.manifest
        version = int(manifest.version)
        if version in self._recovered:
            return
        found = await self._engine.recover(manifest)
        if found is None:
            return
        self._recovered.add(version)
        for index in self._engine.get_held(manifest.version) & download.missing:
            self._exchange.add_held(download, index)
        log.event("staged_recovered", version=version, chunks=found)

    def _follow_hosts(self, download: Download) -> None:
        order = self._make_order(download.manifest)
        known = download.order
        if _get_parts(order) != _get_parts(known):
            self._exchange.change(download, order)

    def _make_order(self, manifest: Manifest) -> LoadOrder:
        version = int(manifest.version)
        fetching, holding = self._share_out(version)
        plan = self._planner.plan(
            self._neighbours.own,
            fetching,
            holding,
            len(manifest.chunks),
            f"{self._model}/{version}",
        )
        origin_chunks = list(plan.origin_chunks)
        if self._is_origin_free(version):
            # It may help to bring chunks into this region.
            origin_chunks += [item for part in plan.remote.values() for item in part]
        return LoadOrder(
            order=f"{self._model}@{version}",
            fence=0,
            operation="load",
            model=self._model,
            version=manifest.version,
            manifest=b"",
            origin_chunks=origin_chunks,
            sources=plan.sources,
            remote=plan.remote,
        )

    def _is_origin_free(self, version: int) -> bool:
        """Tell whether the origin has had the time to send its one copy."""
        named_at = self._goals.get_named_at(version)
        if (
            named_at is None
            or self._neighbours.own.region == self._planner.origin_region
        ):
            return False
        return self._clock() >= named_at + self._planner.first_copy_time

    async def _forget_old(self) -> None:
        for version in sorted(self._downloads)[:-KEPT_VERSIONS]:
            download = self._downloads.pop(version)
            await self._exchange.drop(download.digest)
            await self._engine.unload(str(version), 0)

    def estimate_rest(self, download: Download) -> float:
        """Return the seconds until a copy is complete, at its pace so far."""
        missing = len(download.missing)
        if not missing:
            return 0.0
        version = int(download.manifest.version)
        elapsed = self._clock() - self._started_at.get(version, self._clock())
        return missing * elapsed / max(len(download.held), 1)


def _get_parts(order: LoadOrder) -> tuple[object, ...]:
    return order.sources, order.remote, order.origin_chunks
