"""Budget of what a cell sends to a second runner.

Answers the load pattern in which many runners fail at once and every request is
sent again, in a deployment of any number of entries: each entry belongs to one hub,
which counts the requests and repeats of all its entries together. What the
deployment allows beyond the ratio is shared by entries, so that the sum holds while
cells are cut in two.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from marigold.entry.relay.retry_budget import SlidingRetryBudget

# The part of the ratio that hubs use; entries without a hub have another part.
RATIO_PART = 0.6
# The part of an entry's share of what is allowed beyond the ratio that its hub uses,
# and that which a hub uses to which it has come within the last window: both together,
# and one move more, stay below the whole.
SETTLED_PART = 0.8
MOVED_PART = 0.1


class CellRetryBudget:
    """Repeats of the entries that are attached to one hub.

    `count_entries` returns the entries of the whole deployment. An entry that came
    from another hub adds little to what is allowed until a whole window has passed,
    and with it what the other one allowed for it.
    """

    def __init__(self, count_entries: Callable[[], int]) -> None:
        self._count_entries = count_entries
        self._attached: dict[str, float] = {}
        self._budget = SlidingRetryBudget(ratio_part=RATIO_PART)
        self.extra = 0.0

    def set_limits(self, ratio: float, extra: float, window: float) -> None:
        """Take the bounds of the deployment; `window` in seconds."""
        self._budget.ratio = ratio
        self._budget.window = window
        self.extra = extra

    def attach(self, process: str, now: float) -> None:
        """Count an entry in."""
        self._attached.setdefault(process, now)

    def detach(self, process: str) -> None:
        """Count an entry out."""
        self._attached.pop(process, None)

    def count_requests(self, requests: Mapping[str, int], now: float) -> None:
        """Count requests of callers by service."""
        for service, count in requests.items():
            self._budget.count_request(service, now, count)

    def take(self, service: str, now: float) -> bool:
        """Tell whether a repeat may be made now, and count it."""
        limit = now - self._budget.window
        parts = sum(
            SETTLED_PART if since <= limit else MOVED_PART
            for since in self._attached.values()
        )
        share = min(parts / max(self._count_entries(), 1), SETTLED_PART)
        self._budget.extra = self.extra * share
        return self._budget.take(service, now)
