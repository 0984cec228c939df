"""Sends the answer of an attempt over its link."""

from __future__ import annotations

from typing import Any

from marigold.core.exceptions import LinkClosedError
from marigold.core.links.link import Link
from marigold.target.gate.records import AttemptRecord


async def send(record: AttemptRecord, message: Any) -> bool:
    """Send to the link of an attempt; return whether it accepted the message."""
    link = record.link
    if link is None:
        return False
    try:
        await link.send(message)
    except LinkClosedError:
        # A fetch over another link may have replaced this one meanwhile.
        if record.link is link:
            record.link = None
        return False
    return True


async def deliver(record: AttemptRecord, link: Link, sequence: int) -> bool:
    """Send an answer from a part onwards, then attach the link for later parts.

    Return whether the end was sent. A later fetch supersedes this one. Raise
    `LinkClosedError`.
    """
    fetch = record.fetch_count
    if record.head is not None:
        await link.send(record.head)
    while record.fetch_count == fetch and sequence < record.next_sequence:
        await link.send(record.get_chunk(sequence))
        sequence += 1
    if record.fetch_count != fetch:
        return False
    if record.end is None:
        record.link = link
        return False
    await link.send(record.end)
    return True
