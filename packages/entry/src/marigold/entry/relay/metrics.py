"""Metrics of a relaying entry."""

from __future__ import annotations

from marigold.core.metrics import Counter, Histogram, render_metrics


class RelayMetrics:
    """Counters and latency histograms with a bounded number of label values."""

    def __init__(self) -> None:
        self.requests = Counter(
            "marigold_relay_requests",
            "Requests by status and by who gave it.",
            ("status", "by"),
        )
        self.attempts_failed = Counter(
            "marigold_relay_attempts_failed",
            "Attempts at runners that failed, by kind.",
            ("kind",),
        )
        self.refused = Counter(
            "marigold_relay_refused", "Requests without an answer, by kind.", ("kind",)
        )
        self.ineligible = Counter(
            "marigold_relay_ineligible",
            "Requests that restrictions keep from every runner, by reason.",
            ("reason",),
        )
        self.rate_deferred = Counter(
            "marigold_relay_rate_deferred",
            "Placements that a runner's rate excluded, by what limits it.",
            ("cause",),
        )
        self.bodies_rejected = Counter(
            "marigold_relay_bodies_rejected",
            "Bodies that were refused or given up for want of memory, by reason.",
            ("reason",),
        )
        self.placements = Counter(
            "marigold_relay_placements",
            "Choices of a plain runner that reports a pace, by what they rest on.",
            ("basis",),
        )
        self.sized = Counter(
            "marigold_relay_sized",
            "Decisions by the size of a request, by outcome.",
            ("outcome",),
        )
        self.preferred = Counter(
            "marigold_relay_preferred",
            "Requests of underserved organisations that were given a runner.",
            ("precedence",),
        )
        self.manifests_requested = Counter(
            "marigold_relay_manifests_requested",
            "Requests of this hub to the origin of weights, by outcome.",
            ("outcome",),
        )
        self.runners_ended = Counter(
            "marigold_relay_runners_ended",
            "Requests under which a runner ended, by evidence.",
            ("evidence",),
        )
        self.total_time = Histogram(
            "marigold_relay_seconds", "Time of answered requests."
        )
        self.head_time = Histogram(
            "marigold_relay_head_seconds", "Time from sending to the runner's head."
        )
        self.first_event_time = Histogram(
            "marigold_relay_first_event_seconds", "Time to the first event of a stream."
        )

    def render(self) -> str:
        """Return the metrics in text format."""
        return render_metrics(
            self.requests,
            self.attempts_failed,
            self.refused,
            self.ineligible,
            self.rate_deferred,
            self.bodies_rejected,
            self.placements,
            self.sized,
            self.preferred,
            self.manifests_requested,
            self.runners_ended,
            self.total_time,
            self.head_time,
            self.first_event_time,
        )
