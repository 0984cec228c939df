"""Calls that change what is staged or loaded at a runner.

A runner may carry out a call after its caller has stopped to wait, or is gone. Chunks
of one version would then be loaded as another one, so a version has to wait until no
call of another version can be outstanding:

    calls = StagingCalls()
    await calls.run("2", 7, lambda: driver.put_chunk(model, 7, data))
    calls.is_free_for("3")
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import PlatformError, PlatformUnreachableError
from marigold.core.logging import get_logger

log = get_logger(__name__)

# Seconds that a caller waits for an answer; the call itself goes on.
ANSWER_TIMEOUT_S = 1.0
# Seconds without an answer after which the connection of a call is closed. Connections
# may go silent for good.
CALL_TIMEOUT_S = 15.0
# Seconds after the loss of its connection, or of the process that made it, after which
# a call is over.
LOST_CALL_S = 6.0
# Index of a load order among the calls of a version.
ORDER = -1

CallKey = tuple[str, int]


class _LostCall:
    """Call without an answer whose connection was lost; times are of `clock`."""

    __slots__ = ("began_at", "over_at")

    def __init__(self, began_at: float, over_at: float) -> None:
        self.began_at = began_at
        self.over_at = over_at


class StagingCalls:
    """Calls of all versions to one runner that may still be carried out.

    `clock` reads boot time in seconds. Before `settled_at`, calls of a previous process
    on this host may be outstanding.
    """

    __slots__ = (
        "_clock",
        "_lost",
        "_open",
        "_reported_at",
        "_runner_started_ms",
        "_settled_at",
        "_staged_version",
    )

    def __init__(
        self,
        clock: Callable[[], float] = get_boottime,
        settled_at: float = -math.inf,
    ) -> None:
        self._clock = clock
        self._open: dict[CallKey, asyncio.Task[None]] = {}
        self._lost: dict[CallKey, _LostCall] = {}
        self._settled_at = settled_at
        self._staged_version = 0
        self._runner_started_ms = 0
        self._reported_at = -math.inf

    async def run(
        self,
        version: str,
        index: int,
        call: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Make a call, or wait again for the same one if it has no answer yet.

        Raise `PlatformUnreachableError` if no answer comes in time, and the
        `PlatformError` of the call.
        """
        key = (version, index)
        task = self._open.get(key)
        if task is None:
            task = self._open[key] = asyncio.create_task(call())
            task.add_done_callback(partial(self._end, key, self._clock()))
        done, _ = await asyncio.wait({task}, timeout=ANSWER_TIMEOUT_S)
        if not done:
            raise PlatformUnreachableError(f"no answer in {ANSWER_TIMEOUT_S} s")
        task.result()

    def _end(self, key: CallKey, began_at: float, task: asyncio.Task[None]) -> None:
        del self._open[key]
        exc = asyncio.CancelledError() if task.cancelled() else task.exception()
        is_answered = isinstance(exc, PlatformError | None) and not isinstance(
            exc, PlatformUnreachableError
        )
        if not is_answered:
            log.event("staging_call_lost", version=key[0], index=key[1], reason=exc)
            self._lost[key] = _LostCall(began_at, self._clock() + LOST_CALL_S)

    def record_report(self, started_ms: int) -> None:
        """Process a runner's report: a runner that restarted has forgotten its calls.

        `started_ms` is the epoch time at which the runner started.
        """
        now = self._clock()
        if started_ms != self._runner_started_ms:
            # Later calls may have reached the runner after its restart.
            self._lost = {
                key: call
                for key, call in self._lost.items()
                if call.began_at > self._reported_at
            }
            if self._runner_started_ms:
                self._settled_at = -math.inf
            self._runner_started_ms = started_ms
        self._reported_at = now

    def record_staged(self, version: str) -> None:
        """Record a version of which a chunk was found staged.

        The previous process staged it while no call of an earlier version was
        outstanding, as versions are staged in their order.
        """
        self._staged_version = max(self._staged_version, int(version))

    def is_free_for(self, version: str) -> bool:
        """Return whether no call of another version can still be carried out."""
        now = self._clock()
        self._lost = {
            key: call for key, call in self._lost.items() if now < call.over_at
        }
        is_settled = now >= self._settled_at or int(version) == self._staged_version
        return is_settled and all(
            other == version for other, _ in (*self._open, *self._lost)
        )
