"""Rate limiting: requests wait for a token of their customer's rate.

A short wait smooths bursts and gives other entries time to transfer tokens; a
request that would wait longer is refused at once.
"""

from __future__ import annotations

import asyncio
import time

from marigold.entry.admission.exchange import ShareExchange
from marigold.entry.admission.limits import CustomerLimits
from marigold.entry.exceptions import RateLimitedError
from marigold.entry.lists.compiled import CustomerPlan

RATE_WAIT_S = 2.0
START_WAIT_S = 5.0
POLL_S = 0.05


class _CustomerQueue:
    """Requests of one customer that wait for tokens, in FIFO order."""

    __slots__ = ("count", "lock")

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.count = 0


class RateLimiter:
    """Admits the requests of each customer in order as tokens become available."""

    def __init__(
        self, limits: CustomerLimits, shares: ShareExchange | None = None
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._queues: dict[str, _CustomerQueue] = {}

    async def take(self, customer: CustomerPlan) -> None:
        """Take one token; raise `RateLimitedError`."""
        queue = self._queues.get(customer.name)
        if queue is None:
            if not self._limits.take_rate(customer, time.monotonic()):
                return
            queue = self._queues[customer.name] = _CustomerQueue()
        queue.count += 1
        try:
            self._check(customer, queue.count)
            async with queue.lock:
                await self._wait(customer)
        finally:
            queue.count -= 1
            if not queue.count:
                self._queues.pop(customer.name, None)

    def _check(self, customer: CustomerPlan, position: int) -> None:
        """Refuse a request whose position in the queue implies too long a wait."""
        wait = position / self._limits.get_local_rate(customer, time.monotonic())
        if position > 1 and wait > RATE_WAIT_S:
            raise RateLimitedError(f"{customer.name} is over its rate", wait)

    async def _wait(self, customer: CustomerPlan) -> None:
        is_warming_up = self._shares is not None and self._shares.is_warming_up()
        if self._shares is not None:
            await self._shares.wait_until_agreed(START_WAIT_S)
            await self._request_units(customer)
        deadline = time.monotonic() + (START_WAIT_S if is_warming_up else RATE_WAIT_S)
        while wait := self._limits.retry_rate(customer, time.monotonic()):
            time_left = deadline - time.monotonic()
            # Shortly after the start, units and tokens are still in transit.
            if time_left <= 0 or (wait > time_left and not is_warming_up):
                raise RateLimitedError(f"{customer.name} is over its rate", wait)
            await asyncio.sleep(min(wait, POLL_S))

    async def _request_units(self, customer: CustomerPlan) -> None:
        now = time.monotonic()
        if not self._limits.has_whole_rate(customer, now):
            await self._shares.wait_for_round(f"rate/{customer.name}")
