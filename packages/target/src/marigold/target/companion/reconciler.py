"""Reconciles this host's runner with the wanted version of its model's weights.

Each companion decides for its own runner, based on the platform's store. The number of
earlier orders is a precondition of each order, so a repeated order has no effect.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigold.core.exceptions import (
    ManifestError,
    PlatformError,
    WeightsNotFoundError,
)
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import RunnerDriver, WeightSource
from marigold.core.schema.generated.deployment import RunnerReport
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.target.companion.copies import VersionCopies
from marigold.target.companion.load_backoff import LoadBackoff
from marigold.target.companion.loads import LoadReporter
from marigold.target.companion.metrics import CompanionMetrics
from marigold.target.companion.peer_directory import PeerDirectory, get_held_version
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.switch_stagger import STALLED_REMAINING_S, SwitchStagger
from marigold.target.companion.switching import Switching
from marigold.target.companion.version_schedule import (
    SWARM_COPY_FACTOR,
    ScheduledVersion,
    VersionSchedule,
)
from marigold.target.weights.download import Download
from marigold.target.weights.exceptions import EngineOrderError

log = get_logger(__name__)

# Seconds between polls of the runner while a version is being copied, and otherwise.
# The load is updated with each poll.
POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 0.2
# Seconds between the report of a pause to entries and the load order.
PAUSE_NOTICE_S = 0.02
# Seconds after the start in which the store lists the runners that hold a version. If
# it lists none by then, all runners were restarted at once.
VERSION_DISCOVERY_S = 4.0
# Seconds until the origin is asked again for a manifest that it denied: of a version
# that has to be loaded, and of one that is only served to peers.
DENIED_RETRY_S = 0.5
NOT_SERVED_RETRY_S = 10.0


class WeightReconciler:
    """Control loop for one model's weights on this host.

    `copy_time` is the minimum seconds of a copy over the host's link; `clock` reads
    boot time in seconds. `_paused_for` is the version for whose load the runner is
    paused.
    """

    def __init__(
        self,
        model: str,
        driver: RunnerDriver,
        source: WeightSource,
        engine: StagedEngine,
        copies: VersionCopies,
        schedule: VersionSchedule,
        stagger: SwitchStagger,
        peers: PeerDirectory,
        loads: LoadReporter,
        metrics: CompanionMetrics,
        copy_time: float,
        clock: Callable[[], float],
        switching: Switching | None = None,
    ) -> None:
        self._model = model
        self._driver = driver
        self._source = source
        self._engine = engine
        self._copies = copies
        self._schedule = schedule
        self._stagger = stagger
        self._peers = peers
        self._loads = loads
        self._metrics = metrics
        self._copy_time = copy_time
        self._clock = clock
        self._switching = switching
        self._started_at = clock()
        self._denied_until: dict[int, float] = {}
        self._unserved_until: dict[int, float] = {}
        self._is_reachable = True
        self._is_copying = True
        self._paused_for: int | None = None
        self._load_backoff = LoadBackoff()
        self._started_ms = 0
        self.report: RunnerReport | None = None

    async def run(self) -> None:
        """Poll the runner and load wanted versions until cancelled."""
        while True:
            try:
                await self._reconcile()
            except (PlatformError, ManifestError, EngineOrderError) as exc:
                self._record_failure(exc)
            is_idle = self._paused_for is None and not self._is_copying
            await asyncio.sleep(IDLE_POLL_INTERVAL_S if is_idle else POLL_INTERVAL_S)

    def _record_failure(self, exc: Exception) -> None:
        if self._is_reachable:
            log.event("keeper_held_up", model=self._model, reason=exc)
        self._is_reachable = False

    async def _reconcile(self) -> None:
        """Poll the runner once, then copy, pause or load as needed."""
        await self._discover_version()
        await self._copy_next(self._get_own_version())
        report = await self._driver.get_report()
        self._apply_report(report)
        own = get_held_version(report.held)
        await self._serve_to_peers(own)
        pending = await self._copy_next(own)
        self._is_copying = bool(pending)
        if not pending or report.is_busy:
            return
        scheduled = pending[0]
        if not self._load_backoff.may_load(scheduled.version, self._clock()):
            return
        if not self._engine.calls.is_free_for(str(scheduled.version)):
            log.routine("load_deferred", model=self._model, version=scheduled.version)
            return
        download = self._copies.get(scheduled.version)
        if download is None:
            return
        if self._paused_for != scheduled.version and self._should_pause(
            scheduled, download, own
        ):
            await self._pause(scheduled.version, report)
        if self._paused_for is not None and self._is_stalled(download):
            log.event("pause_ended", version=scheduled.version, held=len(download.held))
            self._paused_for = None
        if download.is_complete() and self._paused_for == scheduled.version:
            await self._load(scheduled, download, report)

    async def _discover_version(self) -> None:
        """Ask the origin for its newest version if no other source names one."""
        if self._schedule.get_newest() is not None:
            return
        if self._clock() - self._started_at < VERSION_DISCOVERY_S:
            return
        newest = await self._find_newest()
        if newest is not None:
            self._schedule.add(newest, self._clock())

    async def _find_newest(self) -> int | None:
        """Return the newest version at the origin, None if two answers do not agree.

        Nothing else tells a corrupt version number from a sound one.
        """
        found = []
        try:
            for _ in range(2):
                manifest = await self._source.get_manifest(self._model, None)
                found.append(int(manifest.version))
        except (PlatformError, ManifestError) as exc:
            log.routine("manifest_failed", version="newest", reason=exc)
            return None
        log.event("newest_version", model=self._model, versions=found)
        return found[0] if found[0] == found[1] else None

    async def _copy_next(self, own: int | None) -> list[ScheduledVersion]:
        """Copy the first incomplete version; return the pending versions."""
        pending = self._schedule.get_pending(own, self._copies.is_own_host_leading)
        self._copies.halt_others({scheduled.version for scheduled in pending})
        if pending:
            # Later versions are staged after this one is loaded.
            self._engine.staged_version = str(pending[0].version)
        for scheduled in pending:
            if not await self._copy_version(scheduled.version):
                break
        return pending

    async def _copy_version(self, version: int) -> bool:
        """Continue the copy of a version; return whether it is complete."""
        if self._clock() < self._denied_until.get(version, 0.0):
            return False
        try:
            return (await self._copies.start_or_update(version)).is_complete()
        except WeightsNotFoundError as exc:
            await self._handle_denial(version, exc)
        except (PlatformError, ManifestError) as exc:
            log.routine("manifest_failed", version=version, reason=exc)
        return False

    async def _handle_denial(self, version: int, reason: Exception) -> None:
        """Give up a version that the origin denies, or ask for it again later."""
        newest = None
        if version == self._schedule.get_newest():
            self._denied_until[version] = self._clock() + DENIED_RETRY_S
            newest = await self._find_newest()
        is_lost = self._schedule.is_lost(version, newest)
        log.event(
            "version_denied",
            version=version,
            newest=newest,
            is_lost=is_lost,
            reason=reason,
        )
        if newest is not None and newest > version:
            self._schedule.add(newest, self._clock())
        if is_lost:
            self._schedule.mark_unavailable(version)

    async def _serve_to_peers(self, version: int | None) -> None:
        """Let peers fetch the version that the runner holds.

        A version without a manifest cannot be verified and is not served. The origin
        has manifests of the newest versions only.
        """
        if version is None or self._clock() < self._unserved_until.get(version, 0.0):
            return
        try:
            await self._copies.start_or_update(version)
        except WeightsNotFoundError as exc:
            self._unserved_until[version] = self._clock() + NOT_SERVED_RETRY_S
            log.event("version_not_served", version=version, reason=exc)
        except (PlatformError, ManifestError) as exc:
            log.routine("manifest_failed", version=version, reason=exc)

    def _get_own_version(self) -> int | None:
        return None if self.report is None else get_held_version(self.report.held)

    def _apply_report(self, report: RunnerReport) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            log.event("keeper_goes_on", model=self._model, sequence=report.sequence)
        self.report = report
        self._engine.calls.record_report(report.started_ms)
        version = get_held_version(report.held)
        crashes = self._load_backoff.record_report(
            report.started_ms, version, self._clock()
        )
        if crashes:
            log.event("runner_ended_loading", model=self._model, ends=crashes)
            self._metrics.loads.add("ended")
        if report.started_ms != self._started_ms:
            self._started_ms = report.started_ms
            self._paused_for = None
        if self._paused_for is not None and (version or 0) >= self._paused_for:
            log.event("version_loaded", model=self._model, version=version)
            self._metrics.loads.add("loaded")
            self._paused_for = None
        self._loads.update(
            RunnerLoad(
                started_ms=report.started_ms,
                running=report.running,
                waiting=report.waiting,
                paused=self._paused_for is not None,
                version=version or 0,
                pace=round(report.pace, 2),
            )
        )

    def _should_pause(
        self, scheduled: ScheduledVersion, download: Download, own: int | None
    ) -> bool:
        """Return whether the runner has to pause for a version now."""
        if own is None:
            return download.is_complete()
        needing = [item.host for item in self._peers.get_needing(scheduled.version)]
        count = len(needing)
        own_host = self._peers.own.host
        position = self._stagger.get_position(own_host, needing, scheduled.version)
        now = self._clock()
        if self._switching is not None:
            idle = download.get_idle_time() if download.is_complete() else 0.0
            complete_at = now + self._copies.estimate_remaining(download) - idle
            may_pause = self._switching.may_pause(scheduled, own, now, complete_at)
            if may_pause is not None:
                return may_pause
        expected_at = scheduled.named_at + self._copy_time * SWARM_COPY_FACTOR
        deadline = self._schedule.get_deadline(scheduled.version, own)
        if not download.is_complete():
            remaining = self._copies.estimate_remaining(download)
            lead = self._stagger.get_pause_lead(
                max(expected_at, now + remaining), deadline
            )
            return self._stagger.may_pause_early(position, count, remaining, lead)
        # A late copy is late on most hosts, so switches stay staggered from its end.
        complete_at = max(expected_at, now - download.get_idle_time())
        return now >= self._stagger.get_switch_time(
            position, count, complete_at, deadline
        )

    def _is_stalled(self, download: Download) -> bool:
        return self._copies.estimate_remaining(download) > STALLED_REMAINING_S

    async def _pause(self, version: int, report: RunnerReport) -> None:
        """Report to entries that the runner accepts no requests for now."""
        self._paused_for = version
        self._apply_report(report)
        self._loads.report()
        await asyncio.sleep(PAUSE_NOTICE_S)

    async def _load(
        self, scheduled: ScheduledVersion, download: Download, report: RunnerReport
    ) -> None:
        """Order the paused runner to load."""
        self._metrics.copy_time.record(self._clock() - scheduled.named_at)
        deadline = self._schedule.get_deadline(
            scheduled.version, self._get_own_version()
        )
        log.event(
            "load_ordered",
            model=self._model,
            version=scheduled.version,
            sequence=report.sequence,
            running=report.running,
            needed_in=deadline - self._clock(),
        )
        self._load_backoff.record_order(scheduled.version, report.started_ms)
        try:
            await self._engine.load(download.manifest, report.sequence)
        except EngineOrderError:
            # The runner may have accepted the order; its next report shows whether.
            self._paused_for = None
            self._metrics.loads.add("failed")
            raise
