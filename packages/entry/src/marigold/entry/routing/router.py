"""Selection of a target for a request.

A router does no I/O: it receives views of the targets, the current time in seconds
and a random number generator.
"""

from __future__ import annotations

import math
import random
import statistics
from abc import ABC, abstractmethod
from collections.abc import Sequence

from marigold.entry.routing.load import TargetView, compute_hash

AFFINITY_BONUS = 0.25
SLOW_RATIO = 3.0
SLOW_MINIMUM_S = 0.05
REFERENCE_LIFETIME_S = 0.25
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1


def select_version(
    targets: Sequence[TargetView], versions: Sequence[str]
) -> tuple[list[TargetView], str]:
    """Return the targets of the first version that any has loaded, and the version.

    A fallback version is used only when no target has loaded an earlier one.
    Without versions, return all targets and an empty string.
    """
    for version in versions:
        found = [target for target in targets if version in target.versions]
        if found:
            return found, version
    return ([], "") if versions else (list(targets), "")


class Router(ABC):
    """Load balancing policy that selects a target."""

    @abstractmethod
    def choose(
        self,
        targets: Sequence[TargetView],
        affinity: str,
        now: float,
        rng: random.Random,
    ) -> TargetView | None:
        """Return one of the targets, or None when there are none.

        Requests with the same `affinity` benefit from the same target's cache.
        """


class RoundRobinRouter(Router):
    """Baseline policy that uses the targets in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        targets: Sequence[TargetView],
        affinity: str,
        now: float,
        rng: random.Random,
    ) -> TargetView | None:
        """Return the next target."""
        if not targets:
            return None
        self._next += 1
        return targets[self._next % len(targets)]


class RandomRouter(Router):
    """Baseline policy that selects a target at random."""

    def choose(
        self,
        targets: Sequence[TargetView],
        affinity: str,
        now: float,
        rng: random.Random,
    ) -> TargetView | None:
        """Return a random target."""
        return rng.choice(targets) if targets else None


class _LatencyReference:
    __slots__ = ("at", "latency")

    def __init__(self, latency: float, at: float) -> None:
        self.latency = latency
        self.at = at


class TwoChoiceRouter(Router):
    """Power of two choices with outlier detection and cache affinity.

    Healthy targets are preferred to those that are silent, failing or slower than
    their peers by `SLOW_RATIO`, and local targets to remote ones. An avoided
    target receives single requests as probes, so that its recovery is noticed.

    Rendezvous hashing assigns each affinity a preferred target, the same at every
    entry and without shared state. The preferred target is selected unless its
    utilisation exceeds that of the better of two random ones by `AFFINITY_BONUS`.
    """

    def __init__(self) -> None:
        self._references: dict[str, _LatencyReference] = {}

    def choose(
        self,
        targets: Sequence[TargetView],
        affinity: str,
        now: float,
        rng: random.Random,
    ) -> TargetView | None:
        """Return a probed, the preferred or the less loaded of two random targets."""
        if not targets:
            return None
        slow_limit = self._get_slow_limit(targets, now)
        good: list[TargetView] = []
        avoided: list[TargetView] = []
        for view in targets:
            (avoided if _is_avoided(view, slow_limit, now) else good).append(view)
        probe = _find_probe(avoided, now)
        if probe is not None:
            return probe
        pool = _prefer_local(good or targets)
        best = min(_sample_two(pool, rng), key=lambda item: item.get_utilisation(now))
        return _apply_affinity(pool, best, affinity, now)

    def _get_slow_limit(self, targets: Sequence[TargetView], now: float) -> float:
        """Return the latency in seconds above which a target of the service is slow."""
        service = targets[0].service
        known = self._references.get(service)
        if known is None or now - known.at > REFERENCE_LIFETIME_S:
            latencies = [view.health.latency for view in targets if view.health.latency]
            median = statistics.median_low(latencies) if latencies else math.inf
            known = self._references[service] = _LatencyReference(median, now)
        return max(known.latency * SLOW_RATIO, SLOW_MINIMUM_S)


def _is_avoided(view: TargetView, slow_limit: float, now: float) -> bool:
    health = view.health
    return (
        health.failures > 0
        or view.is_silent(now)
        or health.get_latency(now) > slow_limit
    )


def _find_probe(avoided: Sequence[TargetView], now: float) -> TargetView | None:
    for view in avoided:
        health = view.health
        if now < health.probe_at or health.has_pending() or view.is_silent(now):
            continue
        health.start_probe(now)
        return view
    return None


def _prefer_local(targets: Sequence[TargetView]) -> Sequence[TargetView]:
    return [view for view in targets if view.is_local] or targets


def _sample_two(
    pool: Sequence[TargetView], rng: random.Random
) -> tuple[TargetView, TargetView]:
    first = rng.randrange(len(pool))
    second = (first + 1 + rng.randrange(max(len(pool) - 1, 1))) % len(pool)
    return pool[first], pool[second]


def _apply_affinity(
    pool: Sequence[TargetView], best: TargetView, affinity: str, now: float
) -> TargetView:
    if not affinity:
        return best
    salt = compute_hash(affinity)
    preferred = max(
        pool, key=lambda view: ((view.hash ^ salt) * HASH_MULTIPLIER) & HASH_MASK
    )
    excess = preferred.get_utilisation(now) - best.get_utilisation(now)
    return preferred if excess < AFFINITY_BONUS else best
