"""Hedged opening of links, with up to three overlapping connection attempts."""

from __future__ import annotations

import asyncio

from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link

# Fractions of the connect timeout after which another attempt starts in parallel.
# Requests wait only a second for a link, and a connection may stall while it opens.
# The earlier attempts continue, because a connection to a busy host is merely slow.
NEXT_ATTEMPT_FRACTIONS = (0.25, 0.5)


async def open_link_hedged(address: str, ctx: LinkContext) -> Link:
    """Open a link to ``IP:PORT`` and return the first of up to three attempts.

    Raise `LinkError` if all attempts that were started have failed.
    """
    attempts: set[asyncio.Task[Link]] = set()
    try:
        for fraction in (*NEXT_ATTEMPT_FRACTIONS, None):
            attempts.add(asyncio.create_task(open_link(address, ctx)))
            wait = None if fraction is None else fraction * ctx.cfg.connect_timeout
            if await _wait_for_any(attempts, wait):
                break
        while True:
            link = _pop_link(attempts)
            if link is not None:
                return link
            await _wait_for_any(attempts, None)
    finally:
        for task in attempts:
            task.add_done_callback(_abort_unused_link)
            task.cancel()


async def _wait_for_any(
    attempts: set[asyncio.Task[Link]], timeout: float | None
) -> bool:
    done, _ = await asyncio.wait(
        attempts, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    return bool(done)


def _pop_link(attempts: set[asyncio.Task[Link]]) -> Link | None:
    """Return an open link, or None while attempts are running.

    Raise the error of the last attempt if all have failed.
    """
    for task in [task for task in attempts if task.done()]:
        attempts.discard(task)
        if task.exception() is None:
            return task.result()
        if not attempts:
            raise task.exception()
    return None


def _abort_unused_link(task: asyncio.Task[Link]) -> None:
    """Abort a link that opened in addition to the one in use."""
    if not task.cancelled() and task.exception() is None:
        task.result().abort()
