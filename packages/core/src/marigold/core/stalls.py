"""Detection of times in which this process did not run.

A process stands still while its host is suspended, while it is stopped by a signal, or
when it gets no processor time. Input that arrived meanwhile is handled late:

    monitor = StallMonitor()
    asyncio.create_task(monitor.run())
    ...
    arrived_at = monitor.get_earliest_arrival()
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from marigold.core.boottime import get_boottime
from marigold.core.logging import get_logger

log = get_logger(__name__)

# Seconds between ticks, and how late a tick is when it counts as a stall.
TICK_S = 0.05
STALL_S = 0.05
# Seconds after a stall within which input that arrived during it is handled.
BACKLOG_S = 0.5
# Seconds above which a stall is logged; shorter ones are common on busy hosts.
LOGGED_S = 0.5
STALLS_MAXIMUM = 32


class StallMonitor:
    """Records when this process last did not run; times are boot times in seconds."""

    def __init__(self, clock: Callable[[], float] = get_boottime) -> None:
        self._clock = clock
        self._ticked_at: float | None = None
        self._stalls: deque[tuple[float, float]] = deque(maxlen=STALLS_MAXIMUM)

    async def run(self) -> None:
        """Tick until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_S)
        finally:
            self._ticked_at = None

    def tick(self) -> None:
        """Record that the process runs."""
        now = self._clock()
        if self._is_stalled(now) and self._ticked_at is not None:
            self._stalls.append((self._ticked_at, now))
            if now - self._ticked_at > LOGGED_S:
                log.event("process_stalled", seconds=now - self._ticked_at)
        self._ticked_at = now

    def _is_stalled(self, now: float) -> bool:
        return self._ticked_at is not None and now - self._ticked_at > TICK_S + STALL_S

    def get_earliest_arrival(self) -> float:
        """Return the earliest time at which input handled now can have arrived.

        A stall that begins before the backlog of another is handled extends that.
        """
        earliest = now = self._clock()
        if self._is_stalled(now) and self._ticked_at is not None:
            earliest = self._ticked_at
        for start, end in reversed(self._stalls):
            if earliest - end >= BACKLOG_S:
                break
            earliest = start
        return earliest

    def get_read_delay(self) -> float:
        """Return the seconds for which input handled now may have waited."""
        earliest = self.get_earliest_arrival()
        return self._clock() - earliest
