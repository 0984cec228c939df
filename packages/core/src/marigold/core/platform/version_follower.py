"""Follower of the wanted versions that remembers the superseded ones.

The store names the newest version of a model only. The time limit of an earlier version
ends first, also for processes that start after it was superseded:

    before  {"assistant": 2}
    after   {"assistant": 3, "assistant<SEPARATOR>2": 2}
"""

from __future__ import annotations

from collections import defaultdict

from marigold.core.platform.followers import VersionedFollower
from marigold.core.platform.object_cache import Times
from marigold.core.schema.generated.deployment import WantedVersion

# Names in the store are parts of paths and contain no control characters.
SEPARATOR = "\0"
# Superseded versions that are kept for each name in the store. Versions can be named
# seconds apart; one that was superseded that often has reached its time limit.
SUPERSEDED_MAXIMUM = 8


def _get_store_name(name: str, item: WantedVersion) -> str:
    """Return the name under which the store had an item."""
    return name.removesuffix(f"{SEPARATOR}{item.version}")


class VersionFollower(VersionedFollower[WantedVersion]):
    """Follower whose items include superseded versions under names of their own.

    They are replicated like other items, with the times at which they were named.
    """

    def get_earliest_change(self, name: str, item: WantedVersion) -> float | None:
        """Return when the store last confirmed that it had no such version yet."""
        known = self.items.get(_get_store_name(name, item))
        if known is not None and known.version >= item.version:
            return None
        return self.confirmed_at

    def _keep_superseded(self, items: dict[str, WantedVersion]) -> Times:
        super()._keep_superseded(items)
        times: dict[str, float | None] = {}
        for name, item in self.items.items():
            store_name = _get_store_name(name, item)
            newest = items.get(store_name)
            kept_name = f"{store_name}{SEPARATOR}{item.version}"
            if newest is None or newest.version <= item.version or kept_name in items:
                continue
            items[kept_name] = item
            if kept_name not in self.items:
                times[kept_name] = self.valid_from.get(name)
        _limit_superseded(items)
        return {name: time for name, time in times.items() if name in items}


def _limit_superseded(items: dict[str, WantedVersion]) -> None:
    """Remove superseded versions beyond the limit, and those of removed models."""
    superseded: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for name, item in items.items():
        store_name = _get_store_name(name, item)
        if name != store_name:
            superseded[store_name].append((item.version, name))
    for store_name, kept in superseded.items():
        limit = SUPERSEDED_MAXIMUM if store_name in items else 0
        for _, name in sorted(kept, reverse=True)[limit:]:
            del items[name]
