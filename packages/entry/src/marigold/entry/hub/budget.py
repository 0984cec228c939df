"""Retry budget of a cell.

Prevents a retry storm when many runners fail at once, with any number of entries.
Each entry belongs to one hub, which counts the requests and retries of all its
entries together. The retries that the deployment allows beyond the ratio are divided
among entries, so that the total holds even when a cell is partitioned.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from marigold.entry.relay.retry_budget import SlidingRetryBudget

# Fraction of the retry ratio that hubs use; entries without a hub use another one.
RATIO_FRACTION = 0.6
# Fractions of an entry's share of the extra retries that its hub may use: once the
# entry was attached for a whole window, and before that. If an entry moves between
# hubs, even twice within a window, their fractions together stay below 1.
SETTLED_FRACTION = 0.8
NEW_FRACTION = 0.1


class CellRetryBudget:
    """Limits the retries of the entries that are attached to one hub.

    `count_entries` returns the number of entries in the deployment. An entry adds
    little to the budget until it was attached for a whole window, as its previous hub
    may have used its share in that time.
    """

    def __init__(self, count_entries: Callable[[], int]) -> None:
        self._count_entries = count_entries
        self._attached: dict[str, float] = {}
        self._budget = SlidingRetryBudget(ratio_fraction=RATIO_FRACTION)
        self.extra = 0.0

    def set_limits(self, ratio: float, extra: float, window: float) -> None:
        """Set the limits of the deployment; `window` is in seconds."""
        self._budget.ratio = ratio
        self._budget.window = window
        self.extra = extra

    def attach(self, process: str, now: float) -> None:
        """Add an entry's share to the budget."""
        self._attached.setdefault(process, now)

    def detach(self, process: str) -> None:
        """Remove an entry's share from the budget."""
        self._attached.pop(process, None)

    def record_requests(self, requests: Mapping[str, int], now: float) -> None:
        """Record callers' requests, by service."""
        for service, count in requests.items():
            self._budget.record_request(service, now, count)

    def try_acquire(self, service: str, now: float) -> bool:
        """Return whether a retry is allowed now, and count it if so."""
        limit = now - self._budget.window
        shares = sum(
            SETTLED_FRACTION if since <= limit else NEW_FRACTION
            for since in self._attached.values()
        )
        fraction = min(shares / max(self._count_entries(), 1), SETTLED_FRACTION)
        self._budget.extra = self.extra * fraction
        return self._budget.try_acquire(service, now)
