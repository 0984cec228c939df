from __future__ import annotations

import asyncio
import unittest

from marigold.core.clock import HybridClock
from marigold.core.links.identity import Identity
from marigold.core.links.link import LinkContext
from marigold.core.links.transport import open_link, serve_links
from marigold.core.schema.generated.messages import AnswerChunk, Heartbeat
from marigold.core.schema.generated.settings import Address, Links
from marigold.standins.shaper import LinkFaults, ShapedLink

SECRET = "secret-of-the-tests"
SILENCE_S = 0.3


def make_context(process="a", role="entry", **options):
    cfg = Links(heartbeat_interval=0.05, silence_timeout=SILENCE_S, **options)
    identity = Identity(process, role, "gyor-a", 1)
    return LinkContext(
        identity, HybridClock(), cfg, SECRET, lambda: Heartbeat(generation=0)
    )


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.accepted = asyncio.get_running_loop().create_future()
        self.closed = asyncio.Event()
        self.received = asyncio.Queue()
        ctx = make_context("t", "target")
        address = Address(host="127.0.0.1", port=0)
        port = await self.enterAsyncContext(serve_links(address, ctx, self.serve))
        self.relay = ShapedLink(f"127.0.0.1:{port}", LinkFaults())
        self.addAsyncCleanup(self.relay.stop)
        self.link = await open_link(await self.relay.start(), make_context())

    async def serve(self, link):
        self.accepted.set_result(link)
        async for message in link:
            if not isinstance(message, Heartbeat):
                self.received.put_nowait(message)
        self.closed.set()

    async def read_until_closed(self):
        async for _ in self.link:
            pass

    async def test_both_ends_close_a_silent_connection(self):
        reading = asyncio.create_task(self.read_until_closed())
        await self.accepted
        self.relay.silence()
        async with asyncio.timeout(5):
            await asyncio.gather(reading, self.closed.wait())

    async def test_message_slower_than_the_silence_timeout_is_received(self):
        reading = asyncio.create_task(self.read_until_closed())
        self.relay.faults.rate = 200_000.0
        data = bytes(int(200_000 * SILENCE_S * 3))
        await self.link.send(AnswerChunk(attempt="a", sequence=0, data=data))
        async with asyncio.timeout(10):
            self.assertEqual((await self.received.get()).data, data)
        self.assertFalse(reading.done())
        self.link.abort()
        await reading
