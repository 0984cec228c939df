"""Carries out the load and unload orders of the rollout leader.

An order with a fencing number below the highest received is refused. A version is
published, so that the gate serves it, only after each chunk and the whole digest were
verified and the engine itself reports the version as loaded.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Awaitable, Callable

from marigold.core.exceptions import LinkClosedError, ManifestError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.platform.weights import compute_digest, load_manifest
from marigold.core.schema.generated.messages import LoadOrder, OrderProgress
from marigold.core.schema.generated.records import Manifest
from marigold.target.exceptions import OldFenceError
from marigold.target.weights.backoff import Backoff
from marigold.target.weights.download import Download
from marigold.target.weights.engine import WeightEngine
from marigold.target.weights.exceptions import (
    EngineFencedError,
    EngineOrderError,
    OrderRefusedError,
    VersionUnconfirmedError,
    WeightError,
)
from marigold.target.weights.exchange import WeightExchange

log = get_logger(__name__)

LOAD_ATTEMPTS = 3
CONFIRM_POLLS = 10
CONFIRM_POLL_S = 0.1
DRAIN_POLL_S = 0.05
PROGRESS_INTERVAL_S = 0.5


class GateControls:
    """Functions of the gate that orders use.

    `check_fence` raises `OldFenceError`; `refresh` reads the engine's versions and
    publishes all but those in `withheld`; `count_running` returns the number of
    attempts that run on a version.
    """

    __slots__ = ("check_fence", "count_running", "refresh", "withheld")

    def __init__(
        self,
        check_fence: Callable[[int], None],
        refresh: Callable[[], Awaitable[None]],
        count_running: Callable[[str], int],
        withheld: set[str],
    ) -> None:
        self.check_fence = check_fence
        self.refresh = refresh
        self.count_running = count_running
        self.withheld = withheld


class Job:
    """Execution of an order, current or finished.

    `previous` is the download of an order for the same version that was running as this
    one came. `is_doubted` is whether the verified chunks do not match the whole digest
    of the manifest.
    """

    __slots__ = (
        "download",
        "is_doubted",
        "link",
        "order",
        "previous",
        "state",
        "task",
    )

    def __init__(
        self, order: LoadOrder, link: Link, previous: Download | None = None
    ) -> None:
        self.order = order
        self.link = link
        self.previous = previous
        self.state = "accepted"
        self.is_doubted = False
        self.download: Download | None = None
        self.task: asyncio.Task[None] | None = None

    def get_doubted(self) -> str:
        """Return the digest of the manifest if something contradicts it."""
        if self.download is None:
            return ""
        is_doubted = self.is_doubted or bool(self.download.evidence.reasons)
        return self.download.digest if is_doubted else ""

    def is_ended(self) -> bool:
        """Return whether the job has reached a final state."""
        return self.state in ("confirmed", "failed", "refused", "cancelled")


class OrderExecutor:
    """Executes this host's orders, at most one at a time for each version."""

    def __init__(
        self,
        model: str,
        engine: WeightEngine,
        exchange: WeightExchange,
        gate: GateControls,
        rng: random.Random,
    ) -> None:
        self._model = model
        self._engine = engine
        self._exchange = exchange
        self._gate = gate
        self._rng = rng
        self._jobs: dict[str, Job] = {}
        self._queue: asyncio.Queue[tuple[Link, LoadOrder]] = asyncio.Queue()

    async def on_order(self, link: Link, order: LoadOrder) -> None:
        """Queue an order."""
        await self._queue.put((link, order))

    async def run(self) -> None:
        """Process the queued orders one after another until cancelled."""
        while True:
            await self.handle_order(*await self._queue.get())

    async def handle_order(self, link: Link, order: LoadOrder) -> None:
        """Start or update the job of an order, or report that it is refused."""
        try:
            self._check(order)
        except (OldFenceError, OrderRefusedError) as exc:
            log.event("order_refused", order=order.order, reason=exc)
            await self._report(link, order, "refused", None, str(exc))
            return
        await self._cancel_unwanted(order)
        job = self._jobs.get(order.version)
        if job is not None and await self._is_satisfied_by(job, order):
            await self._update_job(job, link, order)
        else:
            await self._start_job(link, order)

    def _check(self, order: LoadOrder) -> None:
        self._gate.check_fence(order.fence)
        if order.model != self._model:
            raise OrderRefusedError(f"this host serves {self._model}")

    async def _is_satisfied_by(self, job: Job, order: LoadOrder) -> bool:
        """Return whether a job does, or has done, what an order requests."""
        if job.order.operation != order.operation:
            return False
        if order.manifest and job.order.manifest != order.manifest:
            return False
        if not job.is_ended():
            return True
        return job.state == "confirmed" and await self._is_done_at_engine(order)

    async def _is_done_at_engine(self, order: LoadOrder) -> bool:
        try:
            is_loaded = order.version in await self._engine.get_versions()
        except EngineOrderError:
            return False
        return is_loaded == (order.operation == "load")

    async def _update_job(self, job: Job, link: Link, order: LoadOrder) -> None:
        order.manifest = order.manifest or job.order.manifest
        job.order = order
        job.link = link
        if job.download is not None:
            self._exchange.update_order(job.download, order)
        await self._report_job(job)

    async def _start_job(self, link: Link, order: LoadOrder) -> None:
        job = Job(order, link, await self._stop_job(order.version))
        self._jobs[order.version] = job
        log.event(
            "order_accepted",
            order=order.order,
            operation=order.operation,
            version=order.version,
            fence=order.fence,
        )
        run = self._load if order.operation == "load" else self._unload
        job.task = asyncio.create_task(self._run(job, run))

    async def _stop_job(self, version: str) -> Download | None:
        """Stop the job of a version, if any; return its download if it was running."""
        job = self._jobs.pop(version, None)
        if job is None:
            return None
        if job.task is not None:
            await cancel_tasks(job.task)
        if job.download is not None:
            await self._exchange.drop(job.download.digest)
        return None if job.is_ended() else job.download

    async def _cancel_unwanted(self, order: LoadOrder) -> None:
        for version, job in list(self._jobs.items()):
            is_load = job.order.operation == "load" and not job.is_ended()
            if is_load and version not in order.wanted and version != order.version:
                await self._stop_job(version)
                await self._discard_chunks(version, order.fence)
                job.state = "cancelled"
                log.event("order_cancelled", order=job.order.order, version=version)
                await self._report_job(job)

    async def _discard_chunks(self, version: str, fence: int) -> None:
        try:
            await self._engine.unload(version, fence)
        except EngineOrderError as exc:
            log.event("unload_failed", version=version, reason=exc)

    async def _run(self, job: Job, run: Callable[[Job], Awaitable[None]]) -> None:
        reporter = asyncio.create_task(self._report_progress(job))
        detail = ""
        try:
            await run(job)
            job.state = "confirmed"
        except (EngineFencedError, OldFenceError) as exc:
            job.state, detail = "refused", str(exc)
        except (WeightError, ManifestError) as exc:
            job.state, detail = "failed", str(exc)
        finally:
            reporter.cancel()
        log.event(
            "order_ended",
            order=job.order.order,
            operation=job.order.operation,
            version=job.order.version,
            state=job.state,
            detail=detail,
        )
        await self._report_job(job, detail)

    async def _load(self, job: Job) -> None:
        version = job.order.version
        self._gate.withheld.discard(version)
        if version in await self._engine.get_versions():
            await self._gate.refresh()
            return
        manifest = load_manifest(job.order.manifest)
        job.state = "fetching"
        job.download = self._exchange.start(manifest, job.order)
        self._keep_chunks(job)
        await self._fetch_verified(job)
        job.state = "loading"
        await self._load_confirmed(job, manifest)
        await self._gate.refresh()

    def _keep_chunks(self, job: Job) -> None:
        """Mark chunks that the engine has from the previous order as held.

        They are verified again before the load.
        """
        download, previous = job.download, job.previous
        if previous is None:
            return
        chunks = dict(enumerate(previous.manifest.chunks))
        for index, digest in enumerate(download.manifest.chunks):
            if index in previous.held and chunks[index] == digest:
                self._exchange.add_held(download, index)

    async def _fetch_verified(self, job: Job) -> None:
        """Fetch until the bytes stored by the engine match the whole digest."""
        download = job.download
        for _ in range(LOAD_ATTEMPTS):
            await download.completed.wait()
            try:
                corrupt = await self._find_corrupt_chunks(download.manifest)
            except ManifestError:
                job.is_doubted = True
                raise
            if not corrupt:
                return
            for index in corrupt:
                download.drop_held(index)
        raise EngineOrderError("the engine does not keep the chunks it is given")

    async def _find_corrupt_chunks(self, manifest: Manifest) -> list[int]:
        whole = hashlib.sha256()
        corrupt = []
        for index, digest in enumerate(manifest.chunks):
            data = await self._engine.get_chunk(manifest.version, index)
            whole.update(data)
            if compute_digest(data) != digest:
                corrupt.append(index)
        if not corrupt and whole.hexdigest() != manifest.digest:
            raise ManifestError("the whole digest does not match the chunks")
        return corrupt

    async def _load_confirmed(self, job: Job, manifest: Manifest) -> None:
        backoff = Backoff(self._rng)
        for remaining in reversed(range(LOAD_ATTEMPTS)):
            try:
                self._gate.check_fence(job.order.fence)
                await self._engine.load(manifest, job.order.fence)
                await self._wait_for_version(manifest.version)
                return
            except EngineFencedError:
                raise
            except EngineOrderError as exc:
                log.event("load_failed", version=manifest.version, reason=exc)
                if not remaining:
                    raise
            await backoff.wait()

    async def _wait_for_version(self, version: str) -> None:
        for _ in range(CONFIRM_POLLS):
            if version in await self._engine.get_versions():
                return
            await asyncio.sleep(CONFIRM_POLL_S)
        raise VersionUnconfirmedError(f"the engine does not report {version}")

    async def _unload(self, job: Job) -> None:
        version = job.order.version
        self._gate.withheld.add(version)
        try:
            await self._gate.refresh()
            while self._gate.count_running(version):
                await asyncio.sleep(DRAIN_POLL_S)
            self._gate.check_fence(job.order.fence)
            await self._engine.unload(version, job.order.fence)
            await self._gate.refresh()
        finally:
            self._gate.withheld.discard(version)

    async def _report_progress(self, job: Job) -> None:
        while True:
            await self._report_job(job)
            await asyncio.sleep(PROGRESS_INTERVAL_S)

    async def _report_job(self, job: Job, detail: str = "") -> None:
        await self._report(
            job.link, job.order, job.state, job.download, detail, job.get_doubted()
        )

    async def _report(
        self,
        link: Link,
        order: LoadOrder,
        state: str,
        download: Download | None,
        detail: str,
        doubted: str = "",
    ) -> None:
        progress = OrderProgress(
            order=order.order,
            state=state,
            chunks=len(download.held) if download else 0,
            total=len(download.manifest.chunks) if download else 0,
            detail=detail,
            doubted=doubted,
        )
        try:
            await link.send(progress)
        except LinkClosedError:
            return

    async def stop(self) -> None:
        """Stop all jobs."""
        for version in list(self._jobs):
            await self._stop_job(version)
