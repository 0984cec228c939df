"""Budget of the memory that is held for callers.

It answers clients that nobody controls: many large bodies of legal size at once, most
of which stop short of their end while their connections stay open. Without a bound,
what is kept of them ends the process, and all other requests with it.

    hold = budget.open(abort)
    budget.grow(hold, len(part))  # raises BudgetExceededError
    budget.close(hold)
"""

from __future__ import annotations

import math
from collections.abc import Callable

from marigold.core.exceptions import MarigoldError
from marigold.core.logging import get_logger

log = get_logger(__name__)

MEGABYTE = 1_000_000
# Megabytes of a process without requests, and fraction of the rest that bodies and
# answers may hold. What is left is for connections, parsing and the allocator.
BASE_MB = 60.0
HELD_FRACTION = 0.4
# Times that the bytes of a body or an answer are counted: those of a body are joined
# once they are complete, and both are copied to a connection.
COPIES = 2
# Bytes up to which a body counts as small, and the fraction of the budget that larger
# ones may use. Ordinary requests are still served while large bodies use up the rest.
SMALL_BYTES = 65_536
LARGE_FRACTION = 0.9
# Bytes that a body whose content comes in very small chunks holds in addition, as the
# parser keeps an object for each.
FRAGMENT_BYTES = 500_000
# A body that gains fewer bytes than this in so many seconds has stalled. Callers send
# bodies within a fraction of a second.
PROGRESS_BYTES = 4096
STALL_S = 1.0


class BudgetExceededError(MarigoldError):
    """There is no memory for more bytes of this body."""


class BodyGivenUpError(MarigoldError, TimeoutError):
    """The body has stalled, and others need its memory.

    It is a timeout, as the HTTP library expects no other error from a body that is left
    unread.
    """


class BodyHold:
    """What is held for one request; `abort` ends the reading of its body."""

    __slots__ = (
        "_marked_bytes",
        "abort",
        "bytes",
        "charged",
        "is_complete",
        "is_fragmented",
        "progressed_at",
    )

    def __init__(self, abort: Callable[[], None], now: float) -> None:
        self.abort = abort
        self.bytes = 0
        self.charged = 0
        self.is_complete = False
        self.is_fragmented = False
        self.progressed_at = now
        self._marked_bytes = 0

    def record_bytes(self, size: int, now: float) -> None:
        """Record that bytes of the body arrived."""
        self.bytes += size
        if self.bytes - self._marked_bytes >= PROGRESS_BYTES:
            self._marked_bytes = self.bytes
            self.progressed_at = now


class MemoryBudget:
    """Bytes that are held for all requests of this process, against their limit.

    `memory_mb` is the memory of the process, 0 for no limit.

    When a body needs more than there is, those that have stalled make room, the longest
    first; if none has, the body that needs it is refused. Bodies that are complete, and
    answers, are never given up: their requests may run.
    """

    __slots__ = (
        "_holds",
        "_memory_mb",
        "_monotonic",
        "capacity",
        "charged",
        "on_reject",
    )

    def __init__(self, memory_mb: float, monotonic: Callable[[], float]) -> None:
        self._memory_mb = memory_mb
        self._monotonic = monotonic
        self._holds: dict[BodyHold, None] = {}
        self.charged = 0
        self.capacity = math.inf
        # Called with the reason when a body is refused or given up.
        self.on_reject: Callable[[str], None] = lambda reason: None
        self.set_largest(0)

    def set_largest(self, body_bytes: int) -> None:
        """Set the size of the largest body, which always fits when it is alone."""
        if not self._memory_mb:
            return
        held = max(self._memory_mb - BASE_MB, 0.0) * HELD_FRACTION * MEGABYTE
        largest = COPIES * body_bytes + FRAGMENT_BYTES
        # Rounded up, so that the fraction of it is not below the largest body.
        self.capacity = max(held, math.ceil(largest / LARGE_FRACTION))

    def open(self, abort: Callable[[], None]) -> BodyHold:
        """Return the hold of a request whose body is about to be read."""
        hold = BodyHold(abort, self._monotonic())
        self._holds[hold] = None
        return hold

    def grow(self, hold: BodyHold, size: int) -> None:
        """Add bytes to a body; raise `BudgetExceededError` if there is no room."""
        now = self._monotonic()
        hold.record_bytes(size, now)
        charge = COPIES * size
        if not self._make_room(hold, charge, now):
            self._reject(hold, "refused", now)
            raise BudgetExceededError("too much is held for other requests")
        self._charge(hold, charge)

    def mark_fragmented(self, hold: BodyHold) -> None:
        """Charge a body for its very small chunks, once."""
        if hold.is_fragmented:
            return
        hold.is_fragmented = True
        now = self._monotonic()
        if not self._make_room(hold, FRAGMENT_BYTES, now):
            self._reject(hold, "fragmented", now)
            raise BudgetExceededError("too many bodies come in very small chunks")
        self._charge(hold, FRAGMENT_BYTES)

    def complete(self, hold: BodyHold) -> None:
        """Record that a body is whole, so that its request may run."""
        hold.is_complete = True

    def add_answer(self, hold: BodyHold, size: int) -> None:
        """Count an answer that is held until its caller has read it."""
        charge = COPIES * size
        self._make_room(hold, charge, self._monotonic())
        self._charge(hold, charge)

    def close(self, hold: BodyHold) -> None:
        """Release what was held for a request."""
        self._holds.pop(hold, None)
        self.charged -= hold.charged
        hold.charged = 0

    def _charge(self, hold: BodyHold, size: int) -> None:
        hold.charged += size
        self.charged += size

    def _make_room(self, hold: BodyHold, size: int, now: float) -> bool:
        """Give up stalled bodies until there is room; return whether there is."""
        is_small = hold.charged + size <= COPIES * SMALL_BYTES
        limit = self.capacity * (1.0 if is_small else LARGE_FRACTION)
        if self.charged + size <= limit:
            return True
        stalled = [
            item
            for item in self._holds
            if item is not hold
            and not item.is_complete
            and item.charged
            and now - item.progressed_at >= STALL_S
        ]
        for item in sorted(stalled, key=lambda item: item.progressed_at):
            self._reject(item, "stalled", now)
            self.close(item)
            item.abort()
            if self.charged + size <= limit:
                return True
        return False

    def _reject(self, hold: BodyHold, reason: str, now: float) -> None:
        self.on_reject(reason)
        log.routine(
            "body_rejected",
            reason=reason,
            bytes=hold.bytes,
            silent=now - hold.progressed_at,
            held=self.charged,
            budget=self.capacity,
            requests=len(self._holds),
        )
