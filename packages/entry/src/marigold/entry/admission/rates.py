"""Requests that wait for a token of their customer's rate.

A short wait smooths a burst and leaves other entries time to hand tokens over;
a request that would wait longer is refused at once.
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


class _Line:
    """Requests of one customer, one behind the other."""

    __slots__ = ("count", "lock")

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.count = 0


class RateLimiter:
    """Lets requests through in their order as tokens come in."""

    def __init__(
        self, limits: CustomerLimits, shares: ShareExchange | None = None
    ) -> None:
        self._limits = limits
        self._shares = shares
        self._lines: dict[str, _Line] = {}

    async def take(self, customer: CustomerPlan) -> None:
        """Take one token; raise `RateLimitedError`."""
        line = self._lines.get(customer.name)
        if line is None:
            if not self._limits.take_rate(customer, time.monotonic()):
                return
            line = self._lines[customer.name] = _Line()
        line.count += 1
        try:
            self._check(customer, line.count)
            async with line.lock:
                await self._wait(customer)
        finally:
            line.count -= 1
            if not line.count:
                self._lines.pop(customer.name, None)

    def _check(self, customer: CustomerPlan, place: int) -> None:
        """Refuse a request whose place in the line is too far back."""
        wait = place / self._limits.get_local_rate(customer, time.monotonic())
        if place > 1 and wait > RATE_WAIT_S:
            raise RateLimitedError(f"{customer.name} is over its rate", wait)

    async def _wait(self, customer: CustomerPlan) -> None:
        is_young = self._shares is not None and self._shares.is_young()
        if self._shares is not None:
            await self._shares.wait_until_agreed(START_WAIT_S)
            await self._ask_others(customer)
        until = time.monotonic() + (START_WAIT_S if is_young else RATE_WAIT_S)
        while wait := self._limits.retry_rate(customer, time.monotonic()):
            left = until - time.monotonic()
            # Just after the start, units and tokens are still on their way.
            if left <= 0 or (wait > left and not is_young):
                raise RateLimitedError(f"{customer.name} is over its rate", wait)
            await asyncio.sleep(min(wait, POLL_S))

    async def _ask_others(self, customer: CustomerPlan) -> None:
        now = time.monotonic()
        if not self._limits.has_whole_rate(customer, now):
            await self._shares.wait_for_round(f"rate/{customer.name}")
