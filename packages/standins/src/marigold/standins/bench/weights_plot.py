"""Plot of replicas over time."""

from __future__ import annotations

from pathlib import Path


def draw_replicas(times: dict[str, list[float]], count: int, path: Path) -> None:
    """Plot the number of hosts with the version over time, a line for each policy."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "marigold"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for policy, seconds in times.items():
        counts = range(1, len(seconds) + 1)
        axes.step([0.0, *seconds], [0, *counts], where="post", label=policy)
    axes.axvline(1.0, color="grey", linestyle=":", label="lower bound")
    axes.set_xlabel("time in units of size over thin link")
    axes.set_ylabel("replicas")
    axes.set_ylim(0, count)
    axes.set_title(f"{count} hosts in three regions")
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
