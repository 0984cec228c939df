"""Metrics of a companion."""

from __future__ import annotations

from marigold.core.metrics import Counter, Histogram, render_metrics


class CompanionMetrics:
    """Counters and histograms of a companion, with a bounded number of series."""

    def __init__(self) -> None:
        self.loads = Counter(
            "marigold_companion_loads", "Orders to load, by result.", ("result",)
        )
        self.skips = Counter(
            "marigold_companion_skips",
            "Decisions on overlapping versions, by who skips the earlier one.",
            ("skip",),
        )
        self.switch_plans = Counter(
            "marigold_companion_switch_plans",
            "Plans of the order in which runners switch, by kind.",
            ("kind",),
        )
        self.manifests_checked = Counter(
            "marigold_companion_manifests_checked",
            "Answers on manifests in doubt, by verdict.",
            ("verdict",),
        )
        self.copy_time = Histogram(
            "marigold_companion_copy_seconds",
            "Time from the naming of a version to the order to load it.",
        )

    def render(self) -> str:
        """Return the metrics in the text exposition format."""
        return render_metrics(
            self.loads,
            self.skips,
            self.switch_plans,
            self.manifests_checked,
            self.copy_time,
        )
