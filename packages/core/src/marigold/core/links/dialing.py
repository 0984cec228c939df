"""Opening a link that others wait for."""

from __future__ import annotations

import asyncio

from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link

# Parts of the time to open a link after which another try begins beside those that
# run: requests wait for a second, and a connection may go silent as it opens, while
# one to a busy host is only slow and must not be given up for that.
NEXT_TRY_PARTS = (0.25, 0.5)


async def open_link_hedged(address: str, ctx: LinkContext) -> Link:
    """Open a link to ``IP:PORT``; the first of up to three tries to succeed counts.

    Raise `LinkError` when all that began have failed.
    """
    tries: set[asyncio.Task[Link]] = set()
    try:
        for part in (*NEXT_TRY_PARTS, None):
            tries.add(asyncio.create_task(open_link(address, ctx)))
            wait = None if part is None else part * ctx.cfg.connect_timeout
            if await _has_ended(tries, wait):
                break
        while True:
            link = _take_link(tries)
            if link is not None:
                return link
            await _has_ended(tries, None)
    finally:
        for task in tries:
            task.add_done_callback(_abort_link)
            task.cancel()


async def _has_ended(tries: set[asyncio.Task[Link]], timeout: float | None) -> bool:
    done, _ = await asyncio.wait(
        tries, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    return bool(done)


def _take_link(tries: set[asyncio.Task[Link]]) -> Link | None:
    """Return a link that is open, None while tries run; raise the last one's error."""
    for task in [task for task in tries if task.done()]:
        tries.discard(task)
        if task.exception() is None:
            return task.result()
        if not tries:
            raise task.exception()
    return None


def _abort_link(task: asyncio.Task[Link]) -> None:
    """Abort a link that opened beside the one that is used."""
    if not task.cancelled() and task.exception() is None:
        task.result().abort()
