"""Choice of a target for a request.

A router does no input or output: it gets views of the targets, the time in
seconds and a source of random numbers.
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
    """Return the targets that hold the first version that any of them holds.

    With room at a target of the wanted version, the fallback is not used.
    """
    for version in versions:
        found = [target for target in targets if version in target.versions]
        if found:
            return found, version
    return ([], "") if versions else (list(targets), "")


class Router(ABC):
    """Policy that picks a target."""

    @abstractmethod
    def choose(
        self,
        targets: Sequence[TargetView],
        affinity: str,
        now: float,
        rng: random.Random,
    ) -> TargetView | None:
        """Return one of the targets, or None when the sequence is empty.

        `affinity` names what targets may hold in their caches for the request.
        """


class RoundRobinRouter(Router):
    """Baseline: each target in turn."""

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
    """Baseline: any target."""

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
    """The less loaded of two random targets.

    Targets in good state go before those that are silent, failing or slow
    compared with their peers; within each, local ones go before remote ones. A
    target that is avoided gets single requests as probes, so that it comes back
    once it has recovered.

    Each affinity prefers one target by rendezvous hash, the same from every
    entry and without any memory. The preferred target is taken unless its load
    is above the better of two random ones by `AFFINITY_BONUS` of its limit.
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
        """Return the best of two random targets and the preferred one."""
        if not targets:
            return None
        slow = self._get_slow_limit(targets, now)
        good: list[TargetView] = []
        avoided: list[TargetView] = []
        for view in targets:
            (avoided if _is_avoided(view, slow, now) else good).append(view)
        probe = _find_probe(avoided, now)
        if probe is not None:
            return probe
        pool = _prefer_local(good or targets)
        best = min(_take_two(pool, rng), key=lambda item: item.get_utilisation(now))
        return _apply_affinity(pool, best, affinity, now)

    def _get_slow_limit(self, targets: Sequence[TargetView], now: float) -> float:
        """Return the latency above which a target of the service is slow."""
        service = targets[0].service
        known = self._references.get(service)
        if known is None or now - known.at > REFERENCE_LIFETIME_S:
            latencies = [view.health.latency for view in targets if view.health.latency]
            median = statistics.median_low(latencies) if latencies else math.inf
            known = self._references[service] = _LatencyReference(median, now)
        return max(known.latency * SLOW_RATIO, SLOW_MINIMUM_S)


def _is_avoided(view: TargetView, slow: float, now: float) -> bool:
    health = view.health
    return health.failures > 0 or view.is_silent(now) or health.get_latency(now) > slow


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


def _take_two(
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
