"""Which chunks a host fetches from the origin, and which peers it dials.

Every process computes its own part from the same list of hosts, without a holder
that gives orders. Links between regions are thin and paid for, so each chunk
enters a region once; hosts of a region that have a version pass it on there.
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

# Hosts of a region up to which each exchanges with all others.
FULL_MESH_HOSTS = 8
# Hosts with the whole version that one dials in its region.
DIALLED_HOLDERS = 4


class FetchPlanner:
    """Plans for hosts of one model.

    `origin_region` is where the origin of weights is. It first sends one copy to
    hosts of that region, as it may go away, which takes `first_copy_time` seconds.
    The regions feed each other, and the origin helps once it has done that.
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
        """Return the part of one host.

        `needing` are the hosts that are to fetch the version, and `holding` those
        that have it.
        """
        hosts = {host.host: host for host in needing}
        hosts[own.host] = own
        if not holding:
            plans = self._planner.plan(
                chunks, list(hosts.values()), 0.0, random.Random(seed)
            )
            return plans[own.host]
        near = [host for host in hosts.values() if host.region == own.region]
        plan = HostPlan()
        plan.sources = _choose_peers(own, near)
        local = {host.address for host in holding if host.region == own.region}
        if local:
            plan.sources += _choose(own, sorted(local - {own.address}), DIALLED_HOLDERS)
        else:
            plan.remote = _assign_remote(own, near, holding, chunks, seed)
        return plan


def _choose_peers(own: PlanHost, near: Sequence[PlanHost]) -> list[str]:
    """Return the hosts of a region that a host dials; the others dial it."""
    addresses = sorted(host.address for host in near)
    if len(addresses) <= FULL_MESH_HOSTS:
        return [address for address in addresses if address > own.address]
    # The next one in the order closes a ring, so that every host is reached.
    place = addresses.index(own.address)
    following = addresses[(place + 1) % len(addresses)]
    others = [item for item in addresses if item not in (own.address, following)]
    return [following, *_choose(own, others, DIALLED_PEERS - 1)]


def _choose(own: PlanHost, addresses: Sequence[str], count: int) -> list[str]:
    """Return some addresses by a hash, others for each host."""
    return sorted(addresses, key=lambda item: _rank(own.address, item))[:count]


def _rank(own: str, other: str) -> bytes:
    return hashlib.blake2b(f"{own}/{other}".encode(), digest_size=8).digest()


def _assign_remote(
    own: PlanHost,
    near: Sequence[PlanHost],
    holding: Sequence[PlanHost],
    chunks: int,
    seed: str,
) -> dict[str, list[int]]:
    """Return the chunks that a host brings into its region, by source."""
    order = sorted(host.address for host in near)
    place = order.index(own.address)
    spread = list(range(chunks))
    random.Random(seed).shuffle(spread)
    sources = sorted(host.address for host in holding)
    remote: dict[str, list[int]] = {}
    for number, chunk in enumerate(spread[place :: len(order)]):
        source = sources[(place + number) % len(sources)]
        remote.setdefault(source, []).append(chunk)
    return remote
