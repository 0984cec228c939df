"""Entries of the deployment, as registered in the store, and this entry's cell."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from marigold.core.exceptions import PlatformError
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Registry
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.platform.positions import get_era
from marigold.core.schema.generated.deployment import Member
from marigold.entry.hub.cells import CellMap

log = get_logger(__name__)

# Seconds before a failed call to the store is retried, times the number of attempts.
RETRY_S = 0.3
# Seconds in which all entries of a new deployment register; all hosts start within
# 0.3 s of each other.
BOOTSTRAP_S = 1.5
# Seconds that a call to the store may take.
CALL_TIMEOUT_S = 1.0
# Attempts to register and read the list at the start before the entry continues alone.
JOIN_ATTEMPTS = 3
# Mean seconds between checks that this entry is still listed.
CHECK_INTERVAL_S = 3.0


class CellMembership:
    """Cells computed from the known members, which always include this entry."""

    def __init__(
        self, own: Member, members: ObjectCache[Member], regions: Mapping[str, str]
    ) -> None:
        self.own = own
        self._members = members
        self._regions = regions
        self._subscribers: list[Callable[[], None]] = []
        self._has_joined = asyncio.Event()
        self._rebuild()
        members.subscribe(self._rebuild)

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._subscribers.append(subscriber)

    def mark_joined(self) -> None:
        """Release the waiters of `wait_joined`."""
        self._has_joined.set()

    async def wait_joined(self) -> None:
        """Wait until the list was read, or the attempts to read it were exhausted."""
        await self._has_joined.wait()

    def _rebuild(self) -> None:
        members = {item.process: item for item in self._members.items.values()}
        members[self.own.process] = self.own
        self.count = len(members)
        self.cells = CellMap(members.values(), self._regions)
        self.cell = self.cells.get_cell(self.own.data_centre)
        for subscriber in self._subscribers:
            subscriber()

    def get_hub_order(self) -> list[Member]:
        """Return the entries of the own cell in hub order."""
        return self.cells.get_hub_order(self.cell)

    def covers(self, data_centre: str) -> bool:
        """Return whether a data centre belongs to the own cell."""
        return self.cells.get_cell(data_centre) == self.cell


async def maintain_registration(
    membership: CellMembership,
    cache: ObjectCache[Member],
    registry: Registry[Member],
    is_bootstrap: bool,
    rng: random.Random,
) -> None:
    """Register this entry in the store, read the other entries, and stay registered.

    After a few failures the entry continues alone and learns of the others later. A
    store that comes back from a copy may have lost the registration, which the cache
    does not show: the entry registers once more in each era.
    """
    era = 0
    for attempt in range(1, JOIN_ATTEMPTS + 1):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + BOOTSTRAP_S):
                era = await _join_once(membership, cache, registry, is_bootstrap)
                break
        except (PlatformError, TimeoutError) as exc:
            log.event("roster_unreadable", reason=repr(exc), attempt=attempt)
        await asyncio.sleep(RETRY_S * attempt * (0.5 + rng.random()))
    membership.mark_joined()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + rng.random()))
        is_listed = membership.own.process in cache.items
        current = get_era(cache.revision)
        if cache.confirmed_at is None or (is_listed and current <= era):
            continue
        try:
            await registry.put(membership.own, is_listed)
            era = current
        except PlatformError as exc:
            log.event("registration_failed", reason=exc)


async def _join_once(
    membership: CellMembership,
    cache: ObjectCache[Member],
    registry: Registry[Member],
    is_bootstrap: bool,
) -> int:
    """Join, and return the last era in which this entry is certainly registered."""
    own = membership.own
    if is_bootstrap:
        # No entry is listed yet. After the wait, even a stale listing is complete;
        # otherwise the hub supplies the rest.
        await registry.put(own, False)
        await asyncio.sleep(BOOTSTRAP_S)
    listing = await registry.read(is_stale=is_bootstrap)
    known = listing.items.get(own.process)
    if known != own and not is_bootstrap:
        await registry.put(own, known is not None)
    if cache.confirmed_at is None:
        # Revision 0: any state from a hub or a watch of the store is newer.
        cache.replace_all({**listing.items, own.process: own}, 0, "store")
    log.event("roster_joined", members=len(listing.items), bootstrap=is_bootstrap)
    if is_bootstrap and known is None:
        return 0
    return get_era(listing.revision)
