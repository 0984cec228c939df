"""Errors of the target process."""

from __future__ import annotations

from marigold.core.exceptions import MarigoldError


class OldFenceError(MarigoldError):
    """An order has a lower fencing number than an earlier order.

    `highest` is the highest number received so far.
    """

    def __init__(self, fence: int, highest: int) -> None:
        super().__init__(f"fence {fence} is older than {highest}")
        self.fence = fence
        self.highest = highest
