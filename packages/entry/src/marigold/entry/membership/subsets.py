"""Choice of the targets that an entry keeps links to.

A subset policy does no input or output. Every entry that knows the same hosts
makes the same choice for itself and for others.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Collection, Iterable

from marigold.core.schema.generated.records import HostRecord
from marigold.entry.membership.rendezvous import rank_hosts

# Entries of the own data centre that a target has at the least.
MIN_LOCAL_ENTRIES = 2


class SubsetPolicy(ABC):
    """Policy that picks targets for one entry."""

    @abstractmethod
    def choose(
        self, me: HostRecord, records: Iterable[HostRecord], missing: Collection[str]
    ) -> set[str]:
        """Return the hosts of the targets that an entry keeps links to.

        `missing` names targets of the list that the entry cannot reach.
        """


class RendezvousSubset(SubsetPolicy):
    """The targets of each service that rank first for the entry.

    Targets of the own data centre come first, up to `size`; remote ones fill
    what is left. A local target that ranks high for too few entries is taken by
    those that rank first for it, so that each has `MIN_LOCAL_ENTRIES` of them.
    """

    def __init__(self, size: int) -> None:
        self._size = size

    def choose(
        self, me: HostRecord, records: Iterable[HostRecord], missing: Collection[str]
    ) -> set[str]:
        """Return the subset of one entry."""
        entries = {me.host}
        services: dict[str, tuple[list[str], list[str]]] = defaultdict(lambda: ([], []))
        for record in records:
            is_local = record.data_centre == me.data_centre
            if record.role == "target":
                services[record.service][0 if is_local else 1].append(record.host)
            elif is_local:
                entries.add(record.host)
        chosen: set[str] = set()
        for local, remote in services.values():
            chosen |= self._choose_local(me.host, local, entries, missing)
            reachable = sum(host not in missing for host in local)
            room = max(self._size - reachable, 0)
            chosen |= self._choose_first(me.host, remote, room, missing)
        return chosen

    def _choose_first(
        self, me: str, hosts: list[str], count: int, missing: Collection[str]
    ) -> set[str]:
        """Return the first hosts, and as many more as the missing among them."""
        ranked = rank_hosts(me, hosts)
        reachable = [host for host in ranked if host not in missing]
        return {*ranked[:count], *reachable[:count]}

    def _choose_local(
        self, me: str, hosts: list[str], entries: set[str], missing: Collection[str]
    ) -> set[str]:
        chosen = self._choose_first(me, hosts, self._size, missing)
        rest = (host for host in hosts if host not in chosen)
        return chosen | {
            host for host in rest if me in rank_hosts(host, entries)[:MIN_LOCAL_ENTRIES]
        }
