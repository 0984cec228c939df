"""Metrics that an entry exposes."""

from __future__ import annotations

from marigold.core.metrics import Counter, Histogram, render_metrics


class EntryMetrics:
    """Counters and histograms of one entry process."""

    __slots__ = (
        "answers",
        "attempts",
        "bodies_rejected",
        "first_token",
        "queue_wait",
        "rollout_orders",
        "token_gap",
    )

    def __init__(self) -> None:
        self.answers = Counter(
            "marigold_answers", "Answers to callers.", ("customer", "status")
        )
        self.attempts = Counter(
            "marigold_attempts", "Ended attempts.", ("target", "outcome")
        )
        self.bodies_rejected = Counter(
            "marigold_bodies_rejected",
            "Bodies that were refused or given up for want of memory, by reason.",
            ("reason",),
        )
        self.rollout_orders = Counter(
            "marigold_rollout_orders",
            "States that orders to targets reached.",
            ("order", "state"),
        )
        self.queue_wait = Histogram(
            "marigold_queue_wait_seconds", "Wait for a target.", ("customer",)
        )
        self.first_token = Histogram(
            "marigold_first_token_seconds", "Time to the first part.", ("customer",)
        )
        self.token_gap = Histogram(
            "marigold_token_gap_seconds", "Time between parts.", ("customer",)
        )

    def render(self) -> str:
        """Return the metrics in text format."""
        return render_metrics(
            self.answers,
            self.attempts,
            self.bodies_rejected,
            self.rollout_orders,
            self.queue_wait,
            self.first_token,
            self.token_gap,
        )
