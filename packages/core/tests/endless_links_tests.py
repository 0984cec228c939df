from __future__ import annotations

import asyncio
import base64
import logging

from endless_bytes_tests import FIELD, INTERIM, EndlessTestCase, repeat
from links_tests import make_context

from marigold.core.exceptions import LinkError
from marigold.core.links.transport import open_link, serve_links
from marigold.core.schema.generated.settings import Address

KEY = base64.b64encode(bytes(16))
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + KEY + b"\r\n\r\n"
)
# Frames of a client, whose mask is zero: without content, and beginning a message.
PING = b"\x89\x80\0\0\0\0"
EMPTY_START = b"\x02\x80\0\0\0\0"
EMPTY_PART = b"\x00\x80\0\0\0\0"
MESSAGE = b"\x82\xfe\x04\x00\0\0\0\0" + bytes(1024)
# Forms by name: how a connection begins, and what is repeated on it.
ACCEPTED_FORMS = {
    "blank lines": (b"", b"\r\n"),
    "request line": (b"GET /", b"a" * 1000),
    "fields": (b"GET / HTTP/1.1\r\nHost: a\r\n", FIELD),
    "garbage": (b"", b"\x00\xff"),
    "pings": (UPGRADE, PING),
    "empty parts of a message": (UPGRADE + EMPTY_START, EMPTY_PART),
    "messages": (UPGRADE, MESSAGE),
}
OPENED_FORMS = {
    **{name: (b"", block) for name, block in INTERIM.items()},
    "blank lines": (b"", b"\r\n"),
    "fields": (b"HTTP/1.1 101 Switching Protocols\r\n", FIELD),
    "refusal": (b"HTTP/1.1 403 Forbidden\r\n\r\n", b"a" * 1000),
    "garbage": (b"", b"\x00\xff"),
}


class EndlessLinkTests(EndlessTestCase):
    """A peer that has not proved who it is sends bytes without end."""

    async def asyncSetUp(self):
        # The library logs each handshake that fails, with its traceback.
        logger = logging.getLogger("websockets.server")
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.CRITICAL)

    async def test_accepted_links(self):
        ctx = make_context("t", "target", connect_timeout=0.5)

        async def serve(link):
            self.fail("the peer proved nothing")

        address = Address(host="127.0.0.1", port=0)
        port = await self.enterAsyncContext(serve_links(address, ctx, serve))
        for name, (head, block) in ACCEPTED_FORMS.items():
            with self.subTest(name):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(head)
                await self.check_ends(repeat(writer, block))
                writer.transport.abort()

    async def test_opened_links(self):
        ends = asyncio.Queue()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            head, block = self.form
            writer.write(head)
            await ends.put(await repeat(writer, block))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        ctx = make_context(connect_timeout=0.5)
        for name, self.form in OPENED_FORMS.items():
            with self.subTest(name):
                with self.assertRaises(LinkError):
                    await open_link(f"127.0.0.1:{port}", ctx)
                await self.check_ends(ends.get())
