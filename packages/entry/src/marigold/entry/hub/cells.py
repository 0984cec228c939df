"""Partition of entries and data centres into cells, and the hub order of each cell.

Every process computes the partition from the same list of entries, so that no
consensus is needed. While the lists differ, a cell may have two hubs for a moment;
both know the load of the engines from the reports of the companions.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping

from marigold.core.schema.generated.deployment import Member

# Mean number of entries per data centre from which each data centre is a cell of its
# own. With fewer, a single hub balances the load over more engines.
CELL_ENTRIES = 8
SINGLE_CELL = "all"


class CellMap:
    """Cells of the listed entries; `regions` maps each data centre to its region."""

    __slots__ = ("_data_centres", "_is_split", "_members", "_owners")

    def __init__(self, members: Iterable[Member], regions: Mapping[str, str]) -> None:
        self._members = sorted(members, key=_rank)
        counts = Counter(item.data_centre for item in self._members)
        self._data_centres = sorted({*regions, *counts})
        needed = CELL_ENTRIES * len(self._data_centres)
        self._is_split = len(self._data_centres) > 1 and len(self._members) >= needed
        # A data centre without entries joins the cell of the first one that has any.
        first = min(counts, default="")
        self._owners = {
            name: name if counts[name] else first for name in self._data_centres
        }

    def get_cell(self, data_centre: str) -> str:
        """Return the name of the cell that a data centre belongs to."""
        if not self._is_split:
            return SINGLE_CELL
        return self._owners.get(data_centre, data_centre)

    def get_cells(self) -> list[str]:
        """Return the names of all cells."""
        return sorted({self.get_cell(name) for name in self._data_centres})

    def get_hub_order(self, cell: str) -> list[Member]:
        """Return the entries of a cell in the order in which they become its hub."""
        return [
            item for item in self._members if self.get_cell(item.data_centre) == cell
        ]


def _rank(member: Member) -> tuple[float, bytes]:
    # A hub does more work than other entries, so the largest hosts come first.
    digest = hashlib.blake2b(member.process.encode(), digest_size=8).digest()
    return -member.capacity, digest
