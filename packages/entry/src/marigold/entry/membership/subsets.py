"""Policies that choose the subset of targets that an entry keeps links to.

A subset policy performs no I/O and is deterministic: entries with the same host
list compute the same subset for each entry.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Collection, Iterable

from marigold.core.schema.generated.records import HostRecord
from marigold.entry.membership.rendezvous import rank_hosts

# Least number of entries of the same data centre that choose a target.
MINIMUM_LOCAL_ENTRIES = 2


class SubsetPolicy(ABC):
    """Chooses the targets of one entry."""

    @abstractmethod
    def choose(
        self, own: HostRecord, records: Iterable[HostRecord], missing: Collection[str]
    ) -> set[str]:
        """Return the hosts of the targets that an entry keeps links to.

        `missing` names the listed targets that the entry cannot reach.
        """


class RendezvousSubset(SubsetPolicy):
    """Chooses the targets of each service with the highest rendezvous weight.

    Up to `size` targets of the entry's own data centre are chosen; remote targets
    fill the rest. A local target may be chosen by too few entries in this way.
    The `MINIMUM_LOCAL_ENTRIES` entries with the highest weight for each target
    therefore choose it in any case.
    """

    def __init__(self, size: int) -> None:
        self._size = size

    def choose(
        self, own: HostRecord, records: Iterable[HostRecord], missing: Collection[str]
    ) -> set[str]:
        """Return the subset of one entry."""
        entries = {own.host}
        services: dict[str, tuple[list[str], list[str]]] = defaultdict(lambda: ([], []))
        for record in records:
            is_local = record.data_centre == own.data_centre
            if record.role == "target":
                services[record.service][0 if is_local else 1].append(record.host)
            elif is_local:
                entries.add(record.host)
        chosen: set[str] = set()
        for local, remote in services.values():
            chosen |= self._choose_local(own.host, local, entries, missing)
            reachable = sum(host not in missing for host in local)
            remaining = max(self._size - reachable, 0)
            chosen |= self._choose_first(own.host, remote, remaining, missing)
        return chosen

    def _choose_first(
        self, own: str, hosts: list[str], count: int, missing: Collection[str]
    ) -> set[str]:
        """Return the first hosts by rank, with a substitute for each missing one."""
        ranked = rank_hosts(own, hosts)
        reachable = [host for host in ranked if host not in missing]
        return {*ranked[:count], *reachable[:count]}

    def _choose_local(
        self, own: str, hosts: list[str], entries: set[str], missing: Collection[str]
    ) -> set[str]:
        chosen = self._choose_first(own, hosts, self._size, missing)
        others = (host for host in hosts if host not in chosen)
        return chosen | {
            host
            for host in others
            if own in rank_hosts(host, entries)[:MINIMUM_LOCAL_ENTRIES]
        }
