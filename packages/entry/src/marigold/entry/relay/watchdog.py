"""How long an attempt waits for its runner."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from marigold.entry.relay.exceptions import SilentRunnerError, WithdrawnError
from marigold.entry.relay.requests import RequestContext, get_stream_timeout
from marigold.entry.relay.views import RunnerView

T = TypeVar("T")

# Seconds between looks at a runner that owes bytes.
SILENCE_CHECK_S = 0.3
# Seconds before a runner's weights are too old at which what has not begun there is
# taken back: a close needs as long to reach a runner of another region.
WITHDRAW_LEAD_S = 0.15
# Part of the time that the caller of a stream bears without an event after which a
# stream that has begun goes on elsewhere.
STALL_FRACTION = 0.5


class AttemptWatchdog:
    """Waits for one attempt at a runner, and gives it up in three cases.

    A runner may send nothing to anyone, as one whose link is dead; it may stall one
    stream, with bytes now and then that are no event; and it may not have begun a
    stream shortly before its weights are too old to begin anything, as when a burst
    meets a switch of versions. All only on routes whose requests may run again.
    `time_to_begin` is in seconds from now.
    """

    __slots__ = (
        "_ctx",
        "_event_at",
        "_monotonic",
        "_next_check_at",
        "_stall_timeout",
        "_view",
        "_withdraw_at",
    )

    def __init__(
        self,
        ctx: RequestContext,
        view: RunnerView,
        start_window: float,
        monotonic: Callable[[], float],
    ) -> None:
        self._ctx = ctx
        self._view = view
        self._monotonic = monotonic
        self._event_at = self._next_check_at = monotonic()
        # Only a stream tells that it has begun.
        is_stream = ctx.route.is_stream
        self._stall_timeout = (
            STALL_FRACTION * get_stream_timeout(ctx.route) if is_stream else math.inf
        )
        self._withdraw_at = (
            self._event_at + start_window - WITHDRAW_LEAD_S if is_stream else math.inf
        )

    def record_event(self) -> None:
        """Take in an event of the stream."""
        self._event_at = self._monotonic()

    async def guard(self, call: Awaitable[T]) -> T:
        """Await a call; raise `SilentRunnerError` or `WithdrawnError`."""
        if not self._ctx.route.is_idempotent:
            return await call
        task = asyncio.ensure_future(call)
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=self._get_check_delay())
                if done:
                    return task.result()
                self._check()
        finally:
            task.cancel()

    async def guard_read(self, read: Callable[[], Awaitable[T]]) -> T:
        """Do as `guard` with a call that may be broken off and made again."""
        if not self._ctx.route.is_idempotent:
            return await read()
        while True:
            now = self._monotonic()
            if now >= self._next_check_at:
                # Bytes may come all the time without being any progress.
                self._check()
                self._next_check_at = now + self._get_check_delay()
            try:
                async with asyncio.timeout(self._next_check_at - now):
                    return await read()
            except TimeoutError:
                continue

    def _get_check_delay(self) -> float:
        """Return the seconds until the runner is looked at again."""
        if self._ctx.is_started:
            return SILENCE_CHECK_S
        left = self._withdraw_at - self._monotonic()
        return max(min(SILENCE_CHECK_S, left), 0.0)

    def _check(self) -> None:
        ctx = self._ctx
        now = self._monotonic()
        id = self._view.id
        if not ctx.is_started and now >= self._withdraw_at:
            raise WithdrawnError(f"{id}: not begun before its weights are too old")
        if not ctx.may_retry():
            return
        if self._view.is_silent(now):
            raise SilentRunnerError(f"{id}: nothing came")
        if ctx.is_started and now - self._event_at > self._stall_timeout:
            raise SilentRunnerError(f"{id}: no event came")
