"""Whether a runner ended while it ran a request.

A connection that breaks says little by itself: runners lose answers, close idle
connections and are cut off. A runner ended if nobody listens at its address any
more, or if the list of runners names a later start in its place.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable

from marigold.core.connections import split_address
from marigold.core.exceptions import MarigoldError
from marigold.core.logging import get_logger
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds that a runner may take to accept or refuse a connection; between regions a
# round trip takes some milliseconds.
PROBE_TIMEOUT_S = 0.15
# Seconds that a break waits for the list of runners: a restart takes some seconds, and
# its heartbeat one more.
PENDING_LIFETIME_S = 8.0
MAXIMUM_PENDING = 1000

# Seconds after a request was given up at a runner in which it still takes work up.
ABANDONED_CHECK_DELAY_S = 0.3

Probe = Callable[[str], Awaitable[bool]]


class ProbeUnansweredError(MarigoldError):
    """A host neither accepts nor refuses a connection."""


async def is_refused(address: str) -> bool:
    """Tell whether a host answers that nobody listens at an address.

    Raise `ProbeUnansweredError` where it does not answer, as one that is cut off.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as exc:
        raise ProbeUnansweredError(f"{address}: {exc!r}") from exc
    writer.transport.abort()
    return False


class RunnerCrash:
    """A runner that ended under a request.

    `fingerprint` names the request, `earlier` is how many runners are known to have
    ended under it, one after another, when it was sent.
    """

    __slots__ = ("earlier", "fingerprint", "request", "view")

    def __init__(
        self, request: str, fingerprint: str, view: RunnerView, earlier: int
    ) -> None:
        self.request = request
        self.fingerprint = fingerprint
        self.view = view
        self.earlier = earlier

    @property
    def incarnation(self) -> str:
        """Name of the incarnation that ended; ids are used again."""
        return f"{self.view.id}/{self.view.runner.started_ms}"


class CrashDetector:
    """Judges broken connections, now or when the list of runners tells more."""

    def __init__(
        self,
        metrics: RelayMetrics,
        on_crash: Callable[[RunnerCrash], None],
        probe: Probe = is_refused,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._metrics = metrics
        self._on_crash = on_crash
        self._probe = probe
        self._monotonic = monotonic
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._pending: deque[tuple[float, RunnerCrash]] = deque(maxlen=MAXIMUM_PENDING)

    async def investigate(self, crash: RunnerCrash, is_reset: bool) -> bool:
        """Take in that a connection broke under a request.

        Tell whether it is known what became of the runner.

        `is_reset` tells that the other side broke it; one that only fell silent may
        be cut off, and is not asked whether it listens. A runner that said it was
        leaving has ended as planned.
        """
        if crash.view.is_leaving or crash.view.runner.is_draining:
            return True
        if is_reset and await self._is_refused(crash.view):
            self._report(crash, "refused")
            return True
        self._pending.append((self._monotonic(), crash))
        return False

    async def investigate_abandoned(self, crash: RunnerCrash) -> bool:
        """Find out what became of a runner at which a request was given up.

        Tell whether that is known. Runners stop work when a connection closes.
        """
        await asyncio.sleep(ABANDONED_CHECK_DELAY_S)
        try:
            if not await self._probe(crash.view.runner.address):
                return True
        except ProbeUnansweredError:
            self._pending.append((self._monotonic(), crash))
            return False
        self._report(crash, "refused")
        return True

    def record_abandoned(self, crash: RunnerCrash) -> None:
        """Let the list of runners tell of a runner at which a request was given up."""
        self._pending.append((self._monotonic(), crash))

    async def _is_refused(self, view: RunnerView) -> bool:
        """Probe a runner, once for all requests that broke there together."""
        address = view.runner.address
        task = self._probes.get(address)
        if task is None:
            task = self._probes[address] = asyncio.ensure_future(self._probe(address))
            task.add_done_callback(lambda _: self._probes.pop(address, None))
        try:
            return await asyncio.shield(task)
        except ProbeUnansweredError as exc:
            log.event("probe_unanswered", runner=view.id, reason=exc)
            return False

    def record_restart(self, view: RunnerView) -> None:
        """Take in that an incarnation has been replaced by a later one."""
        limit = self._monotonic() - PENDING_LIFETIME_S
        kept = [(at, crash) for at, crash in self._pending if at >= limit]
        self._pending.clear()
        for at, crash in kept:
            if crash.view is view:
                self._report(crash, "restarted")
            else:
                self._pending.append((at, crash))

    def _report(self, crash: RunnerCrash, evidence: str) -> None:
        if crash.view.is_leaving or crash.view.runner.is_draining:
            return
        self._metrics.runners_ended.add(evidence)
        log.event(
            "runner_ended",
            request=crash.request,
            fingerprint=crash.fingerprint,
            runner=crash.incarnation,
            evidence=evidence,
            earlier=crash.earlier,
        )
        self._on_crash(crash)
