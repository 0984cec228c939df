"""The lists of one generation, with their entries divided into parts.

A hash of its name assigns each entry to a part, and each part has a digest. Two
states are compared by the digests of their parts, so that the cost of a change
depends on the size of the parts that it touches, not on the size of the lists.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Iterator, Mapping
from typing import Any

PLANS_PARTS = 64
ALLOWANCES_PARTS = 8
DIGEST_CHARACTERS = 32

Entry = dict[str, Any]
Changes = dict[str, Entry | None]


def compute_digest(data: bytes) -> str:
    """Return the digest that names stored data."""
    return hashlib.sha256(data).hexdigest()[:DIGEST_CHARACTERS]


def dump_part(entries: Mapping[str, Entry]) -> bytes:
    """Return the canonical serialised form of a part."""
    return json.dumps(entries, sort_keys=True, separators=(",", ":")).encode()


class PartTable:
    """Immutable table of the entries of one list.

    `digests` has one item per part, empty for a part without entries.
    """

    __slots__ = ("_parts", "digests")

    def __init__(self, parts: list[dict[str, Entry]], digests: list[str]) -> None:
        self._parts = parts
        self.digests = digests

    @classmethod
    def make_empty(cls, count: int) -> PartTable:
        """Return a table without entries."""
        return cls([{} for _ in range(count)], [""] * count)

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        for part in self._parts:
            yield from part.items()

    def _get_index(self, name: str) -> int:
        return zlib.crc32(name.encode()) % len(self._parts)

    def get(self, name: str) -> Entry | None:
        """Return the entry of a name."""
        return self._parts[self._get_index(name)].get(name)

    def get_part(self, index: int) -> dict[str, Entry]:
        """Return the entries of one part."""
        return self._parts[index]

    def apply(self, changes: Mapping[str, Entry | None]) -> PartTable:
        """Return the table after changes; None removes an entry."""
        parts = list(self._parts)
        digests = list(self.digests)
        touched = {self._get_index(name) for name in changes}
        for index in touched:
            parts[index] = dict(parts[index])
        for name, entry in changes.items():
            part = parts[self._get_index(name)]
            if entry is None:
                part.pop(name, None)
            else:
                part[name] = entry
        for index in touched:
            part = parts[index]
            digests[index] = compute_digest(dump_part(part)) if part else ""
        return PartTable(parts, digests)

    def diff(self, after: PartTable) -> Changes:
        """Return the changes that lead from this table to another."""
        changes: Changes = {}
        for index, digest in enumerate(after.digests):
            if digest == self.digests[index]:
                continue
            changes.update(_diff_part(self._parts[index], after.get_part(index)))
        return changes


def _diff_part(old: Mapping[str, Entry], new: Mapping[str, Entry]) -> Changes:
    changes: Changes = {name: None for name in old if name not in new}
    for name, entry in new.items():
        if old.get(name) != entry:
            changes[name] = entry
    return changes


class ListState:
    """Both lists of a generation; generation 0 has no entries.

    `edited` is the digest of the edited pair that the generation was made from.
    """

    __slots__ = ("allowances", "digest", "edited", "fallback", "generation", "plans")

    def __init__(
        self,
        generation: int,
        edited: str,
        plans: PartTable,
        allowances: PartTable,
        fallback: dict[str, list[str]],
    ) -> None:
        self.generation = generation
        self.edited = edited
        self.plans = plans
        self.allowances = allowances
        self.fallback = fallback
        self.digest = self._compute_digest()

    def _compute_digest(self) -> str:
        fields = [
            self.generation,
            self.edited,
            self.plans.digests,
            self.allowances.digests,
            self.fallback,
        ]
        return compute_digest(json.dumps(fields, sort_keys=True).encode())


def make_empty_state() -> ListState:
    """Return the state before any list was accepted."""
    plans = PartTable.make_empty(PLANS_PARTS)
    return ListState(0, "", plans, PartTable.make_empty(ALLOWANCES_PARTS), {})
