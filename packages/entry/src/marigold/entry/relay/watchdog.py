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
WITHDRAW_S = 0.15
# Part of the time that the caller of a stream bears without an event after which a
# stream that has begun goes on elsewhere.
STALL_PART = 0.5


class AttemptWatchdog:
    """Waits for one attempt at a runner, and gives it up in three cases.

    A runner may send nothing to anyone, as one whose link is dead; it may stall one
    stream, with bytes now and then that are no event; and it may not have begun a
    stream shortly before its weights are too old to begin anything, as when a burst
    meets a switch of versions. All only on routes whose requests may run again.
    `time_to_begin` is in seconds from now.
    """

    __slots__ = (
        "_event_at",
        "_look_at",
        "_monotonic",
        "_stall",
        "_ticket",
        "_view",
        "_withdraw_at",
    )

    def __init__(
        self,
        ticket: RequestContext,
        view: RunnerView,
        time_to_begin: float,
        monotonic: Callable[[], float],
    ) -> None:
        self._ticket = ticket
        self._view = view
        self._monotonic = monotonic
        self._event_at = self._look_at = monotonic()
        # Only a stream tells that it has begun.
        is_stream = ticket.route.is_stream
        self._stall = (
            STALL_PART * get_stream_timeout(ticket.route) if is_stream else math.inf
        )
        self._withdraw_at = (
            self._event_at + time_to_begin - WITHDRAW_S if is_stream else math.inf
        )

    def record_event(self) -> None:
        """Take in an event of the stream."""
        self._event_at = self._monotonic()

    async def guard(self, call: Awaitable[T]) -> T:
        """Await a call; raise `SilentRunnerError` or `WithdrawnError`."""
        if not self._ticket.route.is_idempotent:
            return await call
        task = asyncio.ensure_future(call)
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=self._get_next_look())
                if done:
                    return task.result()
                self._check()
        finally:
            task.cancel()

    async def guard_read(self, read: Callable[[], Awaitable[T]]) -> T:
        """Do as `guard` with a call that may be broken off and made again."""
        if not self._ticket.route.is_idempotent:
            return await read()
        while True:
            now = self._monotonic()
            if now >= self._look_at:
                # Bytes may come all the time without being any progress.
                self._check()
                self._look_at = now + self._get_next_look()
            try:
                async with asyncio.timeout(self._look_at - now):
                    return await read()
            except TimeoutError:
                continue

    def _get_next_look(self) -> float:
        """Return the seconds until the runner is looked at again."""
        if self._ticket.is_started:
            return SILENCE_CHECK_S
        left = self._withdraw_at - self._monotonic()
        return max(min(SILENCE_CHECK_S, left), 0.0)

    def _check(self) -> None:
        ticket = self._ticket
        now = self._monotonic()
        id = self._view.id
        if not ticket.is_started and now >= self._withdraw_at:
            raise WithdrawnError(f"{id}: not begun before its weights are too old")
        if not ticket.may_retry():
            return
        if self._view.is_silent(now):
            raise SilentRunnerError(f"{id}: nothing came")
        if ticket.is_started and now - self._event_at > self._stall:
            raise SilentRunnerError(f"{id}: no event came")
