"""Pauses of runners that switch at about the same time, and their overlap.

If all runners load as soon as their copies are complete, most are paused at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from marigold.target.switches.timing import DRAIN_SPREAD, SwitchTiming


class Pause:
    """Time in which a runner accepts no requests."""

    __slots__ = ("end", "start")

    def __init__(self, start: float, end: float) -> None:
        self.start = start
        self.end = end


def make_pauses(
    starts: Sequence[float],
    complete: Sequence[float],
    deadline: float,
    timing: SwitchTiming,
) -> list[Pause]:
    """Return the pauses of runners that pause at `starts`.

    A runner that has not paused by the deadline gets no requests from then on. It loads
    once its requests have ended and its copy is complete.
    """
    pauses = []
    for number, (start, complete_at) in enumerate(zip(starts, complete, strict=True)):
        begun = min(start, deadline)
        drain = timing.drain * DRAIN_SPREAD[number % len(DRAIN_SPREAD)]
        end = max(begun + drain, start, complete_at) + timing.load
        pauses.append(Pause(begun, end))
    return pauses


def count_paused(pauses: Iterable[Pause]) -> int:
    """Return the largest number of runners that are paused at the same time."""
    changes: list[tuple[int, int]] = []
    for pause in pauses:
        # Computed ends differ from the starts that follow by less than a millisecond.
        changes += [(round(pause.start * 1000), 1), (round(pause.end * 1000), -1)]
    paused = largest = 0
    # At the same moment, ends sort before starts.
    for _, change in sorted(changes):
        paused += change
        largest = max(largest, paused)
    return largest
