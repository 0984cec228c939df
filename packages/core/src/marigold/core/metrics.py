"""Counters and latency histograms with a bounded number of label sets."""

from __future__ import annotations

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

MAXIMUM_LABEL_SETS = 200
MAXIMUM_VALUE_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
OTHER = "other"


def _format_labels(names: tuple[str, ...], values: tuple[str, ...]) -> str:
    pairs = zip(names, values, strict=True)
    return ",".join(f'{name}="{value}"' for name, value in pairs)


class _Family:
    __slots__ = ("_help", "_labels", "_name")

    def __init__(self, name: str, text: str, labels: tuple[str, ...]) -> None:
        self._name = name
        self._help = text
        self._labels = labels

    def _limit_label_sets(self, values: tuple[str, ...], known: int) -> tuple[str, ...]:
        if known < MAXIMUM_LABEL_SETS:
            return values
        return (OTHER,) * len(values)


class Counter(_Family):
    """A counter per label set; label sets above the maximum count as "other"."""

    __slots__ = ("_counts",)

    def __init__(self, name: str, text: str, labels: tuple[str, ...] = ()) -> None:
        super().__init__(name, text, labels)
        self._counts: dict[tuple[str, ...], float] = {}

    def add(self, *values: str, amount: float = 1) -> None:
        """Add to the count of a label set."""
        if values not in self._counts:
            values = self._limit_label_sets(values, len(self._counts))
        self._counts[values] = self._counts.get(values, 0) + amount

    def get(self, *values: str) -> float:
        """Return the count of a label set."""
        return self._counts.get(values, 0)

    def render(self) -> Iterator[str]:
        """Yield the lines of the text exposition format."""
        yield f"# HELP {self._name} {self._help}"
        yield f"# TYPE {self._name} counter"
        for values, count in self._counts.items():
            yield f"{self._name}{{{_format_labels(self._labels, values)}}} {count:g}"


class Histogram(_Family):
    """A histogram of durations per label set, stored in microseconds."""

    __slots__ = ("_histograms",)

    def __init__(self, name: str, text: str, labels: tuple[str, ...] = ()) -> None:
        super().__init__(name, text, labels)
        self._histograms: dict[tuple[str, ...], HdrHistogram] = {}

    def record(self, seconds: float, *values: str) -> None:
        """Record a duration."""
        histogram = self._histograms.get(values)
        if histogram is None:
            values = self._limit_label_sets(values, len(self._histograms))
            histogram = self._histograms.setdefault(
                values, HdrHistogram(1, MAXIMUM_VALUE_US, SIGNIFICANT_DIGITS)
            )
        micros = min(max(int(seconds * 1e6), 1), MAXIMUM_VALUE_US)
        histogram.record_value(micros)

    def render(self) -> Iterator[str]:
        """Yield the lines of the text exposition format."""
        yield f"# HELP {self._name} {self._help}"
        yield f"# TYPE {self._name} summary"
        for values, histogram in self._histograms.items():
            labels = _format_labels(self._labels, values)
            prefix = f"{labels}," if labels else ""
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                label = f'{prefix}quantile="{quantile / 100:g}"'
                yield f"{self._name}{{{label}}} {value:g}"
            yield f"{self._name}_count{{{labels}}} {histogram.get_total_count()}"


def render_metrics(*families: Counter | Histogram) -> str:
    """Return several metric families in the text exposition format."""
    lines = [line for family in families for line in family.render()]
    return "\n".join(lines) + "\n"
