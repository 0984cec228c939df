"""Reading of callers' bodies within the memory budget of the process."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

from aiohttp import web

from marigold.core.exceptions import MarigoldError
from marigold.entry.memory.budget import BodyGivenUpError, BodyHold, MemoryBudget

# Bytes received for each byte of a body above which its chunks are very small; one of
# one byte has five more.
FRAGMENTED_RATIO = 3


class OversizedBodyError(MarigoldError):
    """The body is larger than callers may send."""


class BodyReader:
    """Reads whole bodies, so that they can be sent more than once.

    with reader.open_hold(http) as hold:
        body = await reader.read(http, hold, limit)
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget

    @contextmanager
    def open_hold(self, http: web.BaseRequest) -> Iterator[BodyHold]:
        """Hold what is read and answered until the context exits."""
        hold = self.budget.open(partial(_give_up, http))
        try:
            yield hold
        finally:
            self.budget.close(hold)

    async def read(self, http: web.BaseRequest, hold: BodyHold, limit: int) -> bytes:
        """Return the body of a request.

        Raise `OversizedBodyError` if it has more than `limit` bytes, and
        `BudgetExceededError` or `BodyGivenUpError` for want of memory.
        """
        self.budget.set_largest(limit)
        if (http.content_length or 0) > limit:
            raise OversizedBodyError(f"the body has {http.content_length} bytes")
        if not http.body_exists:
            self.budget.complete(hold)
            return b""
        parts = []
        size = 0
        while part := await http.content.readany():
            size += len(part)
            if size > limit:
                raise OversizedBodyError(f"the body has more than {limit} bytes")
            self._count(http, hold, len(part))
            parts.append(part)
        # The end of the body may have woken this reader just before it was given up.
        if (exc := http.content.exception()) is not None:
            raise exc
        self.budget.complete(hold)
        return b"".join(parts)

    def _count(self, http: web.BaseRequest, hold: BodyHold, size: int) -> None:
        self.budget.grow(hold, size)
        received = getattr(http.protocol, "wire_bytes", 0)
        if received > FRAGMENTED_RATIO * http.content.total_bytes:
            self.budget.mark_fragmented(hold)


def _give_up(http: web.BaseRequest) -> None:
    """End the reading of a body."""
    http.content.set_exception(BodyGivenUpError("others need the memory"))
