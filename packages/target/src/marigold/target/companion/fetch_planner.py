"""Plans which chunks a host fetches from the origin and which peers it dials.

Each process computes its own plan from the same list of hosts, without a leader.
Links between regions are slow and charged, so each chunk enters a region once, and
hosts that hold a version serve it within their region.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence

from marigold.core.rollout.planner import (
    DIALLED_PEERS,
    HostPlan,
    PlanHost,
    SwarmPlanner,
)

# Hosts of a region up to which each exchanges chunks with all others.
FULL_MESH_HOSTS = 8
# Hosts holding the whole version that a host dials in its region.
DIALLED_HOLDERS = 4


class FetchPlanner:
    """Computes fetch plans for the hosts of one model.

    The origin is in `origin_region`. It first sends one copy to the hosts of that
    region, which takes `first_copy_time` seconds, as it may fail later. The other
    regions fetch from that region and from each other; afterwards the origin sends
    them chunks as well.
    """

    __slots__ = ("_planner", "first_copy_time", "origin_region")

    def __init__(self, origin_region: str, first_copy_time: float = 0.0) -> None:
        self.origin_region = origin_region
        self.first_copy_time = first_copy_time
        self._planner = SwarmPlanner(SwarmPlanner.ORIGIN_BYTES, origin_region)

    def plan(
        self,
        own: PlanHost,
        needing: Sequence[PlanHost],
        holding: Sequence[PlanHost],
        chunks: int,
        seed: str,
    ) -> HostPlan:
        """Return the plan of one host.

        `needing` are the hosts that fetch the version, and `holding` those that
        already hold it.
        """
        hosts = {host.host: host for host in needing}
        hosts[own.host] = own
        if not holding:
            plans = self._planner.plan(
                chunks, list(hosts.values()), 0.0, random.Random(seed)
            )
            return plans[own.host]
        local_hosts = [host for host in hosts.values() if host.region == own.region]
        plan = HostPlan()
        plan.sources = _choose_peers(own, local_hosts)
        local_holders = {host.address for host in holding if host.region == own.region}
        if local_holders:
            plan.sources += _choose_by_hash(
                own, sorted(local_holders - {own.address}), DIALLED_HOLDERS
            )
        else:
            plan.remote = _assign_remote(own, local_hosts, holding, chunks, seed)
        return plan


def _choose_peers(own: PlanHost, local_hosts: Sequence[PlanHost]) -> list[str]:
    """Return the hosts of a region that a host dials; the other hosts dial it."""
    addresses = sorted(host.address for host in local_hosts)
    if len(addresses) <= FULL_MESH_HOSTS:
        return [address for address in addresses if address > own.address]
    # Dialling the next host in order forms a ring, so that every host is connected.
    position = addresses.index(own.address)
    following = addresses[(position + 1) % len(addresses)]
    others = [item for item in addresses if item not in (own.address, following)]
    return [following, *_choose_by_hash(own, others, DIALLED_PEERS - 1)]


def _choose_by_hash(own: PlanHost, addresses: Sequence[str], count: int) -> list[str]:
    """Return `count` addresses in hash order, which differs between hosts."""
    return sorted(addresses, key=lambda item: _rank(own.address, item))[:count]


def _rank(own: str, other: str) -> bytes:
    return hashlib.blake2b(f"{own}/{other}".encode(), digest_size=8).digest()


def _assign_remote(
    own: PlanHost,
    local_hosts: Sequence[PlanHost],
    holding: Sequence[PlanHost],
    chunks: int,
    seed: str,
) -> dict[str, list[int]]:
    """Return the chunks that a host fetches from other regions, by source."""
    order = sorted(host.address for host in local_hosts)
    position = order.index(own.address)
    shuffled = list(range(chunks))
    random.Random(seed).shuffle(shuffled)
    sources = sorted(host.address for host in holding)
    remote: dict[str, list[int]] = {}
    for number, chunk in enumerate(shuffled[position :: len(order)]):
        source = sources[(position + number) % len(sources)]
        remote.setdefault(source, []).append(chunk)
    return remote
