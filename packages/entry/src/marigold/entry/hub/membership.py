"""The entries that wrote themselves into the store, and this one among them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping

from marigold.core.exceptions import PlatformError
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import Registry
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.schema.generated.deployment import Member
from marigold.entry.hub.cells import CellMap

log = get_logger(__name__)

# Seconds before a call to the store is made again.
RETRY_S = 0.3
# Seconds that the entries of a new deployment take to write themselves down; all
# hosts start within 0.3 s of each other.
BOOTSTRAP_S = 1.5
CALL_TIMEOUT_S = 1.0
# Times that the list is read at the start before this entry goes on by itself.
READS = 3
# Seconds between looks whether this entry is listed.
CHECK_S = 3.0


class CellMembership:
    """The cell map as the belief of members has it, always with this entry."""

    def __init__(
        self, own: Member, members: ObjectCache[Member], regions: Mapping[str, str]
    ) -> None:
        self.own = own
        self._members = members
        self._regions = regions
        self._subscribers: list[Callable[[], None]] = []
        self._has_joined = asyncio.Event()
        self._arrange()
        members.subscribe(self._arrange)

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._subscribers.append(subscriber)

    def mark_joined(self) -> None:
        """Let those go on that wait for the first reading of the list."""
        self._has_joined.set()

    async def wait_joined(self) -> None:
        """Wait until the list was read, or could not be."""
        await self._has_joined.wait()

    def _arrange(self) -> None:
        members = {item.process: item for item in self._members.items.values()}
        members[self.own.process] = self.own
        self.count = len(members)
        self.cells = CellMap(members.values(), self._regions)
        self.cell = self.cells.get_cell(self.own.data_centre)
        for subscriber in self._subscribers:
            subscriber()

    def get_hub_order(self) -> list[Member]:
        """Return the entries of the own cell, its first hub first."""
        return self.cells.get_hub_order(self.cell)

    def covers(self, data_centre: str) -> bool:
        """Tell whether a data centre belongs to the own cell."""
        return self.cells.get_cell(data_centre) == self.cell


async def maintain_registration(
    roster: CellMembership,
    belief: ObjectCache[Member],
    registry: Registry[Member],
    is_bootstrap: bool,
    rng: random.Random,
) -> None:
    """Write this entry into the store, read who else is there, and stay listed.

    After a few failures this entry goes on by itself; the belief then comes later.
    """
    for attempt in range(1, READS + 1):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + BOOTSTRAP_S):
                await _join_once(roster, belief, registry, is_bootstrap)
                break
        except (PlatformError, TimeoutError) as exc:
            log.event("roster_unreadable", reason=repr(exc), attempt=attempt)
        await asyncio.sleep(RETRY_S * attempt * (0.5 + rng.random()))
    roster.mark_joined()
    while True:
        await asyncio.sleep(CHECK_S * (0.5 + rng.random()))
        if belief.confirmed_at is None or roster.own.process in belief.items:
            continue
        try:
            await registry.put(roster.own, False)
        except PlatformError as exc:
            log.event("registration_failed", reason=exc)


async def _join_once(
    roster: CellMembership,
    belief: ObjectCache[Member],
    registry: Registry[Member],
    is_bootstrap: bool,
) -> None:
    own = roster.own
    if is_bootstrap:
        # Nobody is listed yet; a stale listing is complete by then, or the hub tells.
        await registry.put(own, False)
        await asyncio.sleep(BOOTSTRAP_S)
    listing = await registry.read(is_stale=is_bootstrap)
    known = listing.items.get(own.process)
    if known != own and not is_bootstrap:
        await registry.put(own, known is not None)
    if belief.confirmed_at is None:
        # Revision 0: whatever a hub or the store tells is newer.
        belief.replace_all({**listing.items, own.process: own}, 0, "store")
    log.event("roster_joined", members=len(listing.items), bootstrap=is_bootstrap)
