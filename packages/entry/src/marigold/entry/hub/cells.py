"""Which entries and data centres form a cell, and who may be its hub.

Every process computes this from the same list of entries, so that it needs no
agreement. While views differ, a cell has two hubs for a moment: both know the load
of the engines from the companions beside them.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping

from marigold.core.schema.generated.deployment import Member

# Entries for each data centre from which on each is a cell of its own. With fewer,
# one hub for all of them knows more engines, which evens out their load.
CELL_ENTRIES = 8
WHOLE = "all"


class CellMap:
    """Cells of the listed entries; `regions` maps data centres to theirs."""

    __slots__ = ("_data_centres", "_is_split", "_members", "_owners")

    def __init__(self, members: Iterable[Member], regions: Mapping[str, str]) -> None:
        self._members = sorted(members, key=_rank)
        counts = Counter(item.data_centre for item in self._members)
        self._data_centres = sorted({*regions, *counts})
        needed = CELL_ENTRIES * len(self._data_centres)
        self._is_split = len(self._data_centres) > 1 and len(self._members) >= needed
        # A data centre without entries is served by the first one that has some.
        first = min(counts, default="")
        self._owners = {
            name: name if counts[name] else first for name in self._data_centres
        }

    def get_cell(self, data_centre: str) -> str:
        """Return the name of the cell that a data centre belongs to."""
        if not self._is_split:
            return WHOLE
        return self._owners.get(data_centre, data_centre)

    def get_cells(self) -> list[str]:
        """Return the names of all cells."""
        return sorted({self.get_cell(name) for name in self._data_centres})

    def get_hub_order(self, cell: str) -> list[Member]:
        """Return the entries of a cell, its first hub first."""
        return [
            item for item in self._members if self.get_cell(item.data_centre) == cell
        ]


def _rank(member: Member) -> tuple[float, bytes]:
    # A hub does more than other entries, so the largest hosts go first.
    digest = hashlib.blake2b(member.process.encode(), digest_size=8).digest()
    return -member.capacity, digest
