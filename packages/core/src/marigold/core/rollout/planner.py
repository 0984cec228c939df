"""Planning of which host fetches which chunk of new weights from which source.

A planner does no I/O. The rollout leaders of all data centres compute the same plan
from the same hosts without coordination, because the random number generator that
they pass is seeded with the model and the version.

    planner = SwarmPlanner(SwarmPlanner.TIME)
    plans = planner.plan(chunk_count, hosts, now, random.Random("assistant@2"))
    plans["assistant-bp-a-1"].origin_chunks
"""

from __future__ import annotations

import hashlib
import random
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Sequence

# Regions that the origin serves directly.
ORIGIN_COPIES = 4
# Upload budget of a host, in copies of the weights.
UPLOAD_COPIES = 1.1
DIALLED_PEERS = 4
MAXIMUM_OWNERS = 8


class PlanHost:
    """A host to which a version is to be distributed."""

    __slots__ = ("address", "host", "is_live", "region")

    def __init__(
        self, host: str, region: str, address: str, is_live: bool = True
    ) -> None:
        self.host = host
        self.region = region
        self.address = address
        self.is_live = is_live


class HostPlan:
    """Chunks that a host fetches, and their sources.

    The host may exchange any chunk with the peers to which it connects, `sources`, and
    with those that connect to it. `origin_chunks` are fetched from the origin, and
    `remote` maps addresses of peers in other regions to the chunks to fetch from them.
    """

    __slots__ = ("origin_chunks", "remote", "sources")

    def __init__(self) -> None:
        self.origin_chunks: list[int] = []
        self.sources: list[str] = []
        self.remote: dict[str, list[int]] = {}

    def get_key(self) -> tuple[object, ...]:
        """Return a value that is equal for equal plans."""
        remote = tuple((item, tuple(self.remote[item])) for item in sorted(self.remote))
        return tuple(self.origin_chunks), tuple(self.sources), remote


class RolloutPlanner(ABC):
    """Policy that assigns the chunks of a version to hosts and sources."""

    @abstractmethod
    def plan(
        self,
        chunks: int,
        hosts: Sequence[PlanHost],
        now: float,
        rng: random.Random,
    ) -> dict[str, HostPlan]:
        """Return the plan of each live host, by name, for a number of chunks."""


class OriginOnlyPlanner(RolloutPlanner):
    """Baseline: every host fetches everything from the origin."""

    def plan(
        self,
        chunks: int,
        hosts: Sequence[PlanHost],
        now: float,
        rng: random.Random,
    ) -> dict[str, HostPlan]:
        """Return the plan of each live host."""
        plans = {}
        for host in hosts:
            if host.is_live:
                plans[host.host] = HostPlan()
                plans[host.host].origin_chunks = list(range(chunks))
        return plans


class TreePlanner(RolloutPlanner):
    """Baseline: a fixed binary tree of hosts in the order of their names."""

    def plan(
        self,
        chunks: int,
        hosts: Sequence[PlanHost],
        now: float,
        rng: random.Random,
    ) -> dict[str, HostPlan]:
        """Return the plan of each live host."""
        live = sorted(
            (host for host in hosts if host.is_live),
            key=lambda item: (item.region, item.host),
        )
        plans = {host.host: HostPlan() for host in live}
        for position, host in enumerate(live):
            everything = list(range(chunks))
            if position == 0:
                plans[host.host].origin_chunks = everything
            else:
                parent = live[(position - 1) // 2]
                plans[host.host].remote[parent.address] = everything
        return plans


def _shuffle(hosts: Sequence[PlanHost], seed: float) -> list[PlanHost]:
    """Return hosts in a random order that is stable when hosts join or leave."""
    return sorted(hosts, key=lambda item: random.Random(f"{seed}/{item.host}").random())


def _get_weight(seed: float, part: str, host: PlanHost) -> bytes:
    key = f"{seed}/{part}/{host.host}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def _choose_by_weight(seed: float, chunk: int, hosts: Sequence[PlanHost]) -> PlanHost:
    """Return a host for a chunk; it stays the same when others leave."""
    return max(hosts, key=lambda host: _get_weight(seed, f"chunk/{chunk}", host))


class _Region:
    """Hosts of a region; `parent` is the region from which they get the chunks."""

    __slots__ = ("hosts", "live", "name", "owners", "parent")

    def __init__(self, name: str, hosts: list[PlanHost]) -> None:
        self.name = name
        self.hosts = hosts
        self.live = [host for host in hosts if host.is_live]
        self.owners: list[PlanHost] = []
        self.parent: _Region | None = None

    def assign_owners(self, chunks: int, seed: float) -> None:
        """Assign each chunk to the host that fetches it from outside the region.

        The number of owners is limited, since with many flows over a narrow link each
        flow is so slow that it cannot be distinguished from a stalled one. The chunks
        of a host that is not live are divided among the live hosts; all other chunks
        keep their owners. All regions divide the chunks into the same groups, so that
        an owner fetches from few owners of another region. If there are fewer hosts
        than groups, the chunks of groups without an owner are divided among them.
        """
        group_owners = self._assign_groups(seed)
        capacity = -(-chunks // len(group_owners))
        free = {owner.host: capacity for owner in group_owners.values()}
        shuffled = list(range(chunks))
        random.Random(seed).shuffle(shuffled)
        owners: dict[int, PlanHost] = {}
        for position, chunk in enumerate(shuffled):
            owner = group_owners.get(position % MAXIMUM_OWNERS)
            if owner is not None:
                owners[chunk] = owner
                free[owner.host] -= 1
        for chunk in shuffled:
            if chunk not in owners:
                candidates = [host for host in self.hosts if free.get(host.host)]
                owners[chunk] = _choose_by_weight(seed, chunk, candidates)
                free[owners[chunk].host] -= 1
        self.owners = [
            owner if owner.is_live else _choose_by_weight(seed, chunk, self.live)
            for chunk, owner in sorted(owners.items())
        ]

    def _assign_groups(self, seed: float) -> dict[int, PlanHost]:
        """Return the owners of groups of chunks, by rendezvous hashing.

        A host owns one group at most; the pairs of the largest weights count. Hosts
        leave the list and return while their runners restart. If that moved the chunks
        of others, a chunk in flight would be fetched by its new owner as well: the
        origin sent 60 chunks of 48, and 3 were missing when it failed.
        """
        pairs = sorted(
            (
                (_get_weight(seed, f"group/{group}", host), group, host)
                for group in range(MAXIMUM_OWNERS)
                for host in self.hosts
            ),
            key=lambda item: item[0],
            reverse=True,
        )
        owners: dict[int, PlanHost] = {}
        owning: set[str] = set()
        for _, group, host in pairs:
            if group not in owners and host.host not in owning:
                owners[group] = host
                owning.add(host.host)
        return owners

    def count_children(self) -> int:
        """Return how many regions this one can serve within its upload budget."""
        size = len(self.live)
        return max(int(UPLOAD_COPIES * size) - (size - 1), 1)


class SwarmPlanner(RolloutPlanner):
    """Planner that sends each chunk into a region once; its hosts then exchange chunks.

    With the preference `TIME` the origin serves up to `ORIGIN_COPIES` regions, with
    `ORIGIN_BYTES` one. These serve the other regions in a tree that keeps the uploads
    of each host within its budget. `origin_region` is the region of the weight store
    and is served first.
    """

    TIME = "time"
    ORIGIN_BYTES = "origin-bytes"

    def __init__(self, preference: str, origin_region: str = "") -> None:
        self._roots = 1 if preference == self.ORIGIN_BYTES else ORIGIN_COPIES
        self._origin_region = origin_region

    def plan(
        self,
        chunks: int,
        hosts: Sequence[PlanHost],
        now: float,
        rng: random.Random,
    ) -> dict[str, HostPlan]:
        """Return the plan of each live host."""
        regions = self._make_regions(hosts)
        seed = rng.random()
        for region in regions:
            region.assign_owners(chunks, seed)
        self._connect_regions(regions)
        plans = {host.host: HostPlan() for region in regions for host in region.live}
        for region in regions:
            self._plan_ingress(region, chunks, plans)
            self._plan_exchange(region, plans, seed)
        return plans

    def _make_regions(self, hosts: Sequence[PlanHost]) -> list[_Region]:
        by_region: dict[str, list[PlanHost]] = defaultdict(list)
        for host in sorted(hosts, key=lambda item: item.host):
            by_region[host.region].append(host)
        regions = [_Region(name, items) for name, items in by_region.items()]
        return sorted(
            (region for region in regions if region.live),
            key=lambda item: (
                item.name != self._origin_region,
                -len(item.hosts),
                item.name,
            ),
        )

    def _connect_regions(self, regions: list[_Region]) -> None:
        served = regions[: self._roots]
        capacity = {region.name: region.count_children() for region in regions}
        for region in regions[self._roots :]:
            region.parent = next(item for item in served if capacity[item.name])
            capacity[region.parent.name] -= 1
            served.append(region)

    def _plan_ingress(
        self, region: _Region, chunks: int, plans: dict[str, HostPlan]
    ) -> None:
        for chunk in range(chunks):
            plan = plans[region.owners[chunk].host]
            if region.parent is None:
                plan.origin_chunks.append(chunk)
            else:
                source = region.parent.owners[chunk].address
                plan.remote.setdefault(source, []).append(chunk)

    def _plan_exchange(
        self, region: _Region, plans: dict[str, HostPlan], seed: float
    ) -> None:
        ring = _shuffle(region.live, seed)
        rng = random.Random(f"{seed}/{region.name}/peers")
        size = len(ring)
        # Distance 1 connects all hosts in a ring, so that every host is reached.
        distances = list(range(2, size // 2 + 1))
        others = rng.sample(distances, min(DIALLED_PEERS - 1, len(distances)))
        dialled = [1, *others] if size > 1 else []
        for position, host in enumerate(ring):
            for distance in dialled:
                is_duplicate = 2 * distance == size and position >= distance
                if not is_duplicate:
                    peer = ring[(position + distance) % size]
                    plans[host.host].sources.append(peer.address)


def make_planner(preference: str, origin_region: str = "") -> RolloutPlanner:
    """Return the planner for the preference of an allowances list."""
    return SwarmPlanner(preference, origin_region)
