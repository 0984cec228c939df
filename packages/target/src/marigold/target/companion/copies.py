"""Copies of a model's versions on this host and the sources of their chunks."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from marigold.core.exceptions import ManifestError, PlatformError
from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.core.platform.adapter import WeightSource
from marigold.core.platform.weights import abbreviate_digest
from marigold.core.rollout.planner import PlanHost
from marigold.core.schema.generated.messages import LoadOrder
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.fetch_planner import FetchPlanner
from marigold.target.companion.peer_directory import PeerDirectory
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.switch_stagger import SwitchStagger
from marigold.target.companion.version_schedule import VersionSchedule
from marigold.target.weights.download import Download
from marigold.target.weights.exchange import WeightExchange
from marigold.target.weights.manifest_evidence import Verdict

log = get_logger(__name__)

# Versions whose chunks are kept in memory: the loaded one, the next one and, while
# that is being distributed, the one after it.
KEPT_VERSIONS = 3
# Allowance on the time that the origin's first copy takes at its rate, as a factor and
# in seconds. Only then do hosts ask the origin for chunks planned for other hosts.
FIRST_COPY_FACTOR = 1.3
FIRST_COPY_MARGIN_S = 0.5
# Fraction of the chunks planned from other regions that must be available there before
# the origin counts as sending a version; with less, it may have failed right after it
# started.
ORIGIN_STARTED_FRACTION = 0.2
# Seconds that a copy may take from peers that hold the version before it counts as
# late.
PEER_COPY_GRACE_S = 2.0
# Seconds without any chunk after which the end of a copy cannot be estimated; chunks
# normally arrive about every 0.1 s.
STALL_AFTER_S = 1.0


class VersionCopies:
    """Copies of the versions of one model.

    `clock` reads boot time in seconds, like the times in the schedule.
    `manifests_checked` counts later answers on manifests in doubt, by verdict.
    """

    def __init__(
        self,
        model: str,
        source: WeightSource,
        engine: StagedEngine,
        exchange: WeightExchange,
        schedule: VersionSchedule,
        stagger: SwitchStagger,
        peers: PeerDirectory,
        planner: FetchPlanner,
        clock: Callable[[], float],
        manifests_checked: Counter,
    ) -> None:
        self._model = model
        self._source = source
        self._engine = engine
        self._exchange = exchange
        self._schedule = schedule
        self._stagger = stagger
        self._peers = peers
        self._planner = planner
        self._clock = clock
        self._manifests_checked = manifests_checked
        self._downloads: dict[int, Download] = {}
        self._recovered: set[int] = set()
        self._started_at: dict[int, float] = {}
        self._origin_started_at: dict[int, float] = {}
        self._leading: set[str] = set()
        self._leading_key: tuple[int, int, int] | None = None
        self._plan_keys: dict[int, tuple[object, ...]] = {}

    def get(self, version: int) -> Download | None:
        """Return the copy of a version, or None if it has not been started."""
        return self._downloads.get(version)

    def is_own_host_leading(self, version: int) -> bool:
        """Return whether this host is one of the leading hosts of a version.

        Leading hosts skip the versions that it replaces and fetch it first.
        """
        return self._is_leading(self._peers.own.host, version)

    def _is_leading(self, host: str, version: int) -> bool:
        key = (self._peers.refresh(), self._schedule.revision, version)
        if self._leading_key != key:
            hosts = self._peers.get_all()
            region = self._planner.origin_region
            fraction = self._schedule.get_leading_fraction(version)
            self._leading = self._stagger.choose_leading(
                hosts, region, version, fraction
            )
            self._leading_key = key
        return host in self._leading

    def halt_others(self, wanted: set[int]) -> None:
        """Stop fetching versions that are not wanted; still serve their held chunks."""
        for version, download in self._downloads.items():
            is_halted = version not in wanted and not download.is_complete()
            if is_halted and not download.is_halted:
                log.event("copy_halted", version=version, held=len(download.held))
            download.is_halted = is_halted

    def _get_fetching(self, version: int) -> list[PlanHost]:
        """Return the hosts that fetch a version."""
        return [
            item
            for item in self._peers.get_needing(version)
            if not self._schedule.is_skipped(
                version, partial(self._is_leading, item.host)
            )
        ]

    def _split_hosts(self, version: int) -> tuple[list[PlanHost], list[PlanHost]]:
        """Return the hosts that fetch a version and those that hold it.

        If the version has leading hosts, they divide its chunks among themselves, and
        the other hosts treat them as holders.
        """
        fetching = self._get_fetching(version)
        holding = self._peers.get_holding(version)
        if not self._schedule.is_split(version):
            return fetching, holding
        leading = [item for item in fetching if self._is_leading(item.host, version)]
        if self.is_own_host_leading(version):
            return leading, holding
        return fetching, holding + leading

    async def start_or_update(self, version: int) -> Download:
        """Start the copy of a version, or adapt its plan to the current hosts.

        Raise `WeightsNotFoundError`, `ManifestError` or `PlatformError` if it cannot
        be started.
        """
        download = self._downloads.get(version)
        if download is None:
            download = await self._start(version)
        elif not download.is_complete():
            download = await self._check_manifest(download)
            await self._recover(download)
            self._update_plan(download)
        return download

    async def _check_manifest(self, download: Download) -> Download:
        """Ask for a manifest again if evidence contradicts it.

        Return the download, or the one that takes its place with another manifest.
        """
        manifest, evidence = download.manifest, download.evidence
        now = self._clock()
        if not evidence.should_ask(now):
            return download
        evidence.record_ask(now)
        try:
            answer = await self._source.get_manifest(
                self._model, int(manifest.version), evidence.get_doubted()
            )
        except (PlatformError, ManifestError) as exc:
            log.event("manifest_unchecked", version=manifest.version, reason=exc)
            return download
        reasons = ",".join(evidence.reasons)
        verdict = evidence.judge(answer, download.held)
        self._manifests_checked.add(verdict.value)
        log.event(
            "manifest_checked",
            version=manifest.version,
            manifest=abbreviate_digest(manifest.digest),
            answer=abbreviate_digest(answer.digest),
            verdict=verdict.value,
            reasons=reasons,
        )
        if verdict is Verdict.REPLACED:
            return await self._replace(download, answer)
        return download

    async def _replace(self, old: Download, manifest: Manifest) -> Download:
        """Go on with another manifest of a version and the chunks that match it."""
        pairs = zip(old.manifest.chunks, manifest.chunks, strict=False)
        changed = [index for index, (a, b) in enumerate(pairs) if a != b]
        self._engine.discard(manifest.version, changed)
        await self._exchange.drop(old.digest)
        download = self._begin(manifest)
        self._mark_held(download)
        return download

    def _begin(self, manifest: Manifest) -> Download:
        download = self._exchange.start(manifest, self._make_order(manifest))
        self._downloads[int(manifest.version)] = download
        return download

    async def _start(self, version: int) -> Download:
        manifest = await self._source.get_manifest(self._model, version)
        download = self._begin(manifest)
        self._started_at[version] = self._clock()
        await self._recover(download)
        log.event(
            "copy_started",
            version=version,
            manifest=abbreviate_digest(download.digest),
            held=len(download.held),
            sources=len(download.order.sources),
            remote=len(download.order.remote),
            origin=len(download.order.origin_chunks),
        )
        await self._drop_old()
        return download

    async def _recover(self, download: Download) -> None:
        """Mark chunks in memory or staged at the runner as held, once per version."""
        manifest = download.manifest
        version = int(manifest.version)
        if version in self._recovered:
            return
        found = await self._engine.recover(manifest)
        if found is None:
            return
        self._recovered.add(version)
        self._mark_held(download)
        log.event("staged_recovered", version=version, chunks=found)

    def _mark_held(self, download: Download) -> None:
        """Mark the chunks in memory as held."""
        held = self._engine.get_held(download.manifest.version)
        for index in held & download.missing:
            self._exchange.add_held(download, index)

    def _update_plan(self, download: Download) -> None:
        version = int(download.manifest.version)
        # Planning over all hosts takes milliseconds and is requested with every poll.
        key = (
            self._peers.refresh(),
            self._schedule.revision,
            self._is_first_copy_sent(version),
        )
        if self._plan_keys.get(version) == key:
            return
        self._plan_keys[version] = key
        order = self._make_order(download.manifest)
        current = download.order
        if _get_sources(order) != _get_sources(current):
            self._exchange.update_order(download, order)

    def _make_order(self, manifest: Manifest) -> LoadOrder:
        version = int(manifest.version)
        fetching, holding = self._split_hosts(version)
        plan = self._planner.plan(
            self._peers.own,
            fetching,
            holding,
            len(manifest.chunks),
            f"{self._model}/{version}",
        )
        origin_chunks = list(plan.origin_chunks)
        if self._is_first_copy_sent(version):
            # The origin may also send the chunks planned from other regions.
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

    def _is_first_copy_sent(self, version: int) -> bool:
        """Return whether the origin has had time to send its first copy.

        While other regions hold no chunks, it has not started. If every region asked
        it for a copy after an outage, all copies would be late.
        """
        download = self._downloads.get(version)
        if download is None or self._peers.own.region == self._planner.origin_region:
            return False
        now = self._clock()
        if version not in self._origin_started_at:
            if download.get_offered_fraction() < ORIGIN_STARTED_FRACTION:
                return False
            self._origin_started_at[version] = now
        remaining = (1.0 - ORIGIN_STARTED_FRACTION) * self._get_first_copy_time()
        return now >= self._origin_started_at[version] + remaining

    def _get_first_copy_time(self) -> float:
        """Return the seconds that the origin needs for its first copy."""
        return self._planner.first_copy_time * FIRST_COPY_FACTOR + FIRST_COPY_MARGIN_S

    def get_local_fetching(self, version: str) -> list[str]:
        """Return the hosts in this region that fetch a version."""
        region = self._peers.own.region
        fetching = self._get_fetching(int(version))
        return [item.host for item in fetching if item.region == region]

    def get_delay(self, version: str) -> float:
        """Return the seconds by which a copy is late, negative if it is in time.

        The expected time starts again when the origin fails.
        """
        number = int(version)
        now = self._clock()
        if self._peers.get_holding(number):
            started_at = self._started_at.get(number, now)
            return now - started_at - PEER_COPY_GRACE_S
        named_at = self._schedule.get_named_at(number)
        expected_from = max(
            now if named_at is None else named_at,
            now - self._exchange.get_origin_failure_age(),
        )
        return now - expected_from - self._get_first_copy_time()

    async def _drop_old(self) -> None:
        for version in sorted(self._downloads)[:-KEPT_VERSIONS]:
            download = self._downloads.pop(version)
            for table in (self._started_at, self._origin_started_at, self._plan_keys):
                table.pop(version, None)
            await self._exchange.drop(download.digest)
            await self._engine.unload(str(version), 0)

    def estimate_remaining(self, download: Download) -> float:
        """Return the seconds until a copy is complete at its average rate so far.

        The result is infinite if no chunk has arrived for a while, as the missing
        chunks may depend on one stalled host or on the origin.
        """
        missing = len(download.missing)
        if not missing:
            return 0.0
        if download.get_idle_time() >= STALL_AFTER_S:
            return math.inf
        version = int(download.manifest.version)
        elapsed = self._clock() - self._started_at.get(version, self._clock())
        return missing * elapsed / max(len(download.held), 1)


def _get_sources(order: LoadOrder) -> tuple[object, ...]:
    return order.sources, order.remote, order.origin_chunks
