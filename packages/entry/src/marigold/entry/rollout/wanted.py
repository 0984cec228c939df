"""Computation of the model versions that each host has to load."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from marigold.core.schema.generated.records import HostRecord
from marigold.entry.lists.compiled import CompiledLists


class WantedVersion:
    """A version of a model that the lists in force want to be loaded.

    `hosts` are the hosts that have to load it, in all data centres.
    """

    __slots__ = ("distribution", "hosts", "model", "version")

    def __init__(
        self, model: str, version: str, distribution: str, hosts: list[HostRecord]
    ) -> None:
        self.model = model
        self.version = version
        self.distribution = distribution
        self.hosts = hosts

    @property
    def key(self) -> tuple[str, str]:
        """Model and version."""
        return self.model, self.version


def _compute_rank(key: str, host: str) -> bytes:
    return hashlib.sha256(f"{key}/{host}".encode()).digest()


def choose_hosts(
    key: str, hosts: Iterable[HostRecord], replicas: int
) -> list[HostRecord]:
    """Return the hosts for a version by rendezvous hash; all for 0 replicas."""
    ranked = sorted(hosts, key=lambda item: _compute_rank(key, item.host))
    return ranked[:replicas] if replicas else ranked


def compute_wanted(
    lists: CompiledLists, records: Iterable[HostRecord]
) -> list[WantedVersion]:
    """Return the wanted versions with their hosts.

    Where plans differ for the same version, the highest number of replicas
    applies, and the distribution "time" takes precedence over "origin-bytes".
    """
    hosts = [item for item in records if item.role == "target" and item.state == "live"]
    replicas: dict[tuple[str, str], list[int]] = {}
    distributions: dict[tuple[str, str], set[str]] = {}
    for plan in lists.plans.values():
        for model in plan.models:
            key = (model.name, model.version)
            replicas.setdefault(key, []).append(model.replicas)
            distributions.setdefault(key, set()).add(model.distribution)
    wanted = []
    for (name, version), counts in sorted(replicas.items()):
        count = 0 if 0 in counts else max(counts)
        candidates = [item for item in hosts if item.service == name]
        chosen = choose_hosts(f"{name}@{version}", candidates, count)
        distribution = "time" if "time" in distributions[name, version] else ""
        wanted.append(
            WantedVersion(name, version, distribution or "origin-bytes", chosen)
        )
    return wanted
