"""Positions in the history of the platform's store.

A store that comes back from a copy begins a new era: its revisions go back to those of
the copy and are given out again, so that a revision names a moment of one era only. A
position holds both in one number, and positions are ordered over all eras:

    make_position(era=2, revision=17) > make_position(era=1, revision=900)

The position of a store without eras is its revision.
"""

from __future__ import annotations

REVISION_BITS = 40
REVISION_MAXIMUM = (1 << REVISION_BITS) - 1


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return (era << REVISION_BITS) + revision


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def get_revision(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & REVISION_MAXIMUM


def is_restored(before: int, after: int) -> bool:
    """Return whether the store came back from a copy between two positions.

    Position 0 is that of a process that has read nothing of the store.
    """
    return before > 0 and get_era(after) > get_era(before)
