"""Verification that no admission record was removed, moved or altered.

The order within a chain follows from numbers and digests alone, so clock skew
between hosts does not affect it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Literal

from marigold.entry.audit.chain import compute_digest, compute_first_digest
from marigold.entry.audit.records import AdmissionRecord

FaultKind = Literal["removed", "reordered", "altered", "doubled"]
ChainKey = tuple[str, int]


@dataclass(slots=True)
class ChainHead:
    """Number and digest of a chain's newest record at the time of collection."""

    process: str
    incarnation: int
    sequence: int
    digest: str


@dataclass(slots=True)
class ChainFault:
    """A fault at one record number in the chain of a process incarnation."""

    kind: FaultKind
    process: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        return f"{self.kind}: record {self.number} of {self.process}/{self.incarnation}"


def verify_chains(
    records: Iterable[AdmissionRecord], heads: Sequence[ChainHead] = ()
) -> list[ChainFault]:
    """Return every fault in the chains, including deviations from collected heads."""
    chains: dict[ChainKey, list[AdmissionRecord]] = defaultdict(list)
    for record in records:
        chains[record.process, record.incarnation].append(record)
    for head in heads:
        chains.setdefault((head.process, head.incarnation), [])
    faults = []
    for key, chain in sorted(chains.items()):
        chain_heads = [
            item for item in heads if (item.process, item.incarnation) == key
        ]
        faults += _verify_chain(key, chain, chain_heads)
    return faults


def _verify_chain(
    key: ChainKey, chain: list[AdmissionRecord], heads: list[ChainHead]
) -> list[ChainFault]:
    faults = []
    expected = 1
    digest = compute_first_digest(*key)
    digests = {0: digest}
    position = -1
    for record in sorted(chain, key=lambda item: (item.number, item.position)):
        if record.number < expected:
            faults.append(ChainFault("doubled", *key, record.number))
            continue
        for number in range(expected, record.number):
            faults.append(ChainFault("removed", *key, number))
        # A record after a gap can't be checked, so the digest it claims is accepted
        # and the chain continues from there.
        is_consecutive = record.number == expected
        if is_consecutive and compute_digest(digest, record.fields) != record.digest:
            faults.append(ChainFault("altered", *key, record.number))
        if record.position < position:
            faults.append(ChainFault("reordered", *key, record.number))
        position = max(position, record.position)
        digest = digests[record.number] = record.digest
        expected = record.number + 1
    return faults + _compare_heads(key, digests, expected, heads)


def _compare_heads(
    key: ChainKey, digests: dict[int, str], expected: int, heads: list[ChainHead]
) -> list[ChainFault]:
    faults = []
    last = max((head.sequence for head in heads), default=0)
    for number in range(expected, last + 1):
        faults.append(ChainFault("removed", *key, number))
    for head in heads:
        if digests.get(head.sequence, head.digest) != head.digest:
            faults.append(ChainFault("altered", *key, head.sequence))
    return faults
