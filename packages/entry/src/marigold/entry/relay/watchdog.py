"""Watchdog that aborts attempts at runners that stall."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from marigold.core.logging import get_logger
from marigold.entry.relay.exceptions import SilentRunnerError, WithdrawnError
from marigold.entry.relay.requests import RequestContext, get_stream_timeout
from marigold.entry.relay.views import RunnerView

T = TypeVar("T")

log = get_logger(__name__)

# Seconds between checks of a runner with a request in flight.
SILENCE_CHECK_S = 0.3
# Seconds before a runner's weights become too old at which requests that have not
# started there are withdrawn. Closing a connection takes that long to reach a runner in
# another region.
WITHDRAW_LEAD_S = 0.15
# Fraction of the time after which a stream's caller leaves without an event, at which a
# started stream is resumed at another runner.
STALL_FRACTION = 0.5


class AttemptWatchdog:
    """Waits for one attempt at a runner, and aborts it when it stalls.

    An attempt is aborted in three cases: the runner sends nothing on any connection,
    such as after a link failure; one stream stalls, possibly with bytes that are no
    events; or a stream has not started shortly before the runner's weights become too
    old, such as when a burst coincides with a version switch. Requests that may run
    only once are aborted only in the last case. `get_version_window` returns the
    seconds left in which the version that the runner held at sending may start the
    request; it is asked until the request has started, as this process may be suspended
    or learn of a newer version meanwhile. With `tolerates_silence`, attempts are
    aborted only in the last case. `started_before_stall` is set while the request is at
    another runner.
    """

    __slots__ = (
        "_ctx",
        "_event_at",
        "_get_version_window",
        "_is_stream",
        "_monotonic",
        "_next_check_at",
        "_pending",
        "_stall_timeout",
        "_view",
        "started_before_stall",
        "tolerates_silence",
    )

    def __init__(
        self,
        ctx: RequestContext,
        view: RunnerView,
        get_version_window: Callable[[], float],
        monotonic: Callable[[], float],
    ) -> None:
        self._ctx = ctx
        self._view = view
        self._get_version_window = get_version_window
        self._monotonic = monotonic
        self._pending: asyncio.Future[Any] | None = None
        self.started_before_stall: bool | None = None
        self.tolerates_silence = False
        self._event_at = self._next_check_at = monotonic()
        # Only a stream shows when it has started.
        self._is_stream = ctx.route.is_stream
        self._stall_timeout = (
            STALL_FRACTION * get_stream_timeout(ctx.route)
            if self._is_stream
            else math.inf
        )

    def get_start_window(self) -> float:
        """Return the seconds left in which the request may start, if that shows."""
        return self._get_version_window() if self._is_stream else math.inf

    @property
    def _has_started(self) -> bool:
        if self.started_before_stall is not None:
            return self.started_before_stall
        return self._ctx.is_started

    def record_event(self) -> None:
        """Record an event of the stream."""
        self._event_at = self._monotonic()

    def record_bytes(self) -> None:
        """Record bytes of a suspended attempt, which show that the host is alive."""
        self._view.record_sign(self._monotonic())

    async def guard(self, call: Callable[[], Awaitable[T]]) -> T:
        """Await a call; raise `SilentRunnerError` or `WithdrawnError` on a stall.

        After `SilentRunnerError` the call goes on: `guard` may be called again to wait
        for it, or `cancel` to end it.
        """
        if self._pending is None:
            if not self._needs_checks():
                return await call()
            self._pending = asyncio.ensure_future(call())
        task: asyncio.Future[T] = self._pending
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=self._get_check_delay())
                if done:
                    break
                self._check()
        except SilentRunnerError:
            raise
        except BaseException:
            self.cancel()
            raise
        self._pending = None
        return task.result()

    def cancel(self) -> None:
        """Cancel the call that goes on after a stall, if any."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    async def guard_read(self, read: Callable[[], Awaitable[T]]) -> T:
        """Guard a call that may be cancelled and repeated, without a task for it."""
        if not self._needs_checks():
            return await read()
        while True:
            now = self._monotonic()
            if now >= self._next_check_at:
                # Data may keep coming without any progress.
                self._check()
                self._next_check_at = now + self._get_check_delay()
            try:
                async with asyncio.timeout(self._next_check_at - now):
                    return await read()
            except TimeoutError:
                continue

    def _needs_checks(self) -> bool:
        ctx = self._ctx
        return ctx.route.is_idempotent or (self._is_stream and not self._has_started)

    def _get_check_delay(self) -> float:
        """Return the seconds until the next check of the runner."""
        if self._has_started:
            return SILENCE_CHECK_S
        remaining = self.get_start_window() - WITHDRAW_LEAD_S
        return max(min(SILENCE_CHECK_S, remaining), 0.0)

    def _check(self) -> None:
        ctx = self._ctx
        now = self._monotonic()
        id = self._view.id
        window = self.get_start_window()
        if not self._has_started and window <= WITHDRAW_LEAD_S:
            log.event(
                "attempt_withdrawn",
                request=ctx.id,
                runner=id,
                after=now - ctx.sent_at,
                late=WITHDRAW_LEAD_S - window,
            )
            raise WithdrawnError(f"{id}: not begun before its weights are too old")
        if self.tolerates_silence or not ctx.may_retry():
            return
        if self._view.is_silent(now):
            raise SilentRunnerError(f"{id}: nothing came")
        if ctx.is_started and now - self._event_at > self._stall_timeout:
            raise SilentRunnerError(f"{id}: no event came")
