"""Detection of runners that crash while they run a request.

A broken connection alone is no proof of a crash: runners lose answers, close idle
connections and are cut off by the network. A runner has crashed if its address refuses
connections, or if the runner list names a later incarnation in its place.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

from marigold.core.connections import split_address
from marigold.core.exceptions import AddressError, MarigoldError
from marigold.core.logging import get_logger
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds that a runner may take to accept or refuse a connection; a round trip between
# regions takes some milliseconds.
PROBE_TIMEOUT_S = 0.15
# Seconds for which a broken connection waits for evidence from the runner list: a
# restart takes some seconds, and its heartbeat one more.
PENDING_LIFETIME_S = 8.0
MAXIMUM_PENDING = 1000

# Seconds to wait after a request was abandoned before its runner is probed, as the
# runner may still start the request in that time.
ABANDONED_CHECK_DELAY_S = 0.3

Probe = Callable[[str], Awaitable[bool]]


class ProbeUnansweredError(MarigoldError):
    """The host neither accepts nor refuses the connection."""


async def is_refused(address: str) -> bool:
    """Return whether a host refuses connections at an address.

    Raise `ProbeUnansweredError` when it does not answer, such as when it is cut off.
    """
    try:
        host, port = split_address(address)
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (AddressError, OSError, TimeoutError, UnicodeError) as exc:
        raise ProbeUnansweredError(f"{address}: {exc!r}") from exc
    writer.transport.abort()
    return False


class RunnerCrash:
    """A runner that crashed, or may have, while it ran a request.

    `fingerprint` identifies the request, and the keys of `parts` the parts of its
    prompt, whose ids are the values. `prior_crashes` holds, by key, the number of
    runners that had crashed on it, one after another, when it was sent, at `sent_at`.
    `version` is that of the weights, 0 if it is not known.
    """

    __slots__ = (
        "fingerprint",
        "parts",
        "prior_crashes",
        "request",
        "sent_at",
        "version",
        "view",
    )

    def __init__(
        self,
        request: str,
        fingerprint: str,
        view: RunnerView,
        prior_crashes: Mapping[str, int],
        parts: Mapping[str, str] = MappingProxyType({}),
        version: int = 0,
        sent_at: float = 0.0,
    ) -> None:
        self.request = request
        self.sent_at = sent_at
        self.fingerprint = fingerprint
        self.view = view
        self.prior_crashes = prior_crashes
        self.parts = parts
        self.version = version

    @property
    def keys(self) -> list[str]:
        """All keys of the request, the most specific one first."""
        return [self.fingerprint, *self.parts]

    @property
    def incarnation(self) -> str:
        """Name of the incarnation; ids alone are reused after a restart."""
        return f"{self.view.id}/{self.view.runner.started_ms}"


class CrashDetector:
    """Classifies broken connections by a probe or by the runner list."""

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
        """Investigate a connection that broke during a request.

        Return whether it is known that the runner crashed or did not. `is_reset` is set
        if the runner's side closed the connection. A runner that only went silent may
        be cut off, and is not probed. A runner that had announced its stop did not
        crash.
        """
        if crash.view.is_leaving or crash.view.runner.is_draining:
            return True
        has_crashed = False
        try:
            has_crashed = is_reset and await self._is_refused(crash.view)
        finally:
            # The caller may leave during the probe.
            if not has_crashed:
                self._pending.append((self._monotonic(), crash))
        if has_crashed:
            self._report(crash, "refused")
        return has_crashed

    async def investigate_abandoned(self, crash: RunnerCrash) -> bool:
        """Probe a runner at which a request was abandoned.

        Return whether it is known that the runner crashed or did not. Runners stop work
        on a request when its connection closes.
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
        """Record an abandoned request, to be resolved by the runner list."""
        self._pending.append((self._monotonic(), crash))

    async def _is_refused(self, view: RunnerView) -> bool:
        """Probe a runner; requests that broke at the same time share one probe."""
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
        """Report the pending crashes of a runner that a later incarnation replaced."""
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
            parts=",".join(crash.parts.values()),
            runner=crash.incarnation,
            evidence=evidence,
            earlier=crash.prior_crashes.get(crash.fingerprint, 0),
        )
        self._on_crash(crash)
