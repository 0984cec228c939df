"""Answers of the platform that stop midway: objects, weights and hosts."""

from __future__ import annotations

import asyncio
import json
import unittest
from itertools import product

from aiohttp import ClientSession

from marigold.core.exceptions import (
    ManifestError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.platform.hosts import get_hosts
from marigold.core.platform.objects import ObjectClient
from marigold.core.platform.weights import WeightClient, compute_digest, dump_manifest
from marigold.core.schema.generated.records import Manifest
from marigold.core.schema.generated.settings import Platform

HEAD = b'HTTP/1.1 200 OK\r\nETag: "5"\r\nContent-Type: application/json\r\n'
VALUE = b'{"holder":"entry-1","fence":3}'
LISTING = b'[{"name":"claims/1","version":4},{"name":"claims/2","version":5}]'
CHUNK = b"weights"
HOSTS = [{"process": "t-1", "role": "target", "address": "127.0.0.1:7001"}]
ENDS = ("close", "reset")
FORMS = {
    "length": lambda body: (b"Content-Length: %d\r\n" % len(body), body),
    "chunks": lambda body: (
        b"Transfer-Encoding: chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
    ),
    "nothing": lambda body: (b"", body),
}


def make_answers(body):
    """Return the head and the rest of a whole answer by form."""
    for form, make in FORMS.items():
        stated, rest = make(body)
        yield form, HEAD + stated + b"\r\n", rest


class RawPlatform:
    """A platform that answers each call with the same bytes and ends it."""

    def __init__(self):
        self.answer = b""
        self.end = "close"
        self.requests = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)
            await writer.drain()
        except asyncio.IncompleteReadError:
            pass
        if self.end == "reset":
            await asyncio.sleep(0.002)
            return writer.transport.abort()
        writer.close()


class BrokenReadTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = RawPlatform()
        cfg = Platform(url=await self.platform.start())
        session = await self.enterAsyncContext(ClientSession())
        self.addAsyncCleanup(self.platform.stop)
        self.objects = ObjectClient(session, cfg)
        self.weights = WeightClient(session, cfg)
        self.read_hosts = lambda: get_hosts(session, cfg)

    async def check(self, body, read, *errors):
        """Check that `read` raises one of `errors`, wherever the answer stops."""
        for form, head, rest in make_answers(body):
            whole = head + rest
            for size, end in product(range(0, len(whole), 5), ENDS):
                self.platform.answer, self.platform.end = whole[:size], end
                with self.subTest(form=form, size=size, end=end):
                    with self.assertRaises(errors or PlatformUnreachableError):
                        await read()

    async def test_part_of_an_object_is_no_value(self):
        await self.check(VALUE, lambda: self.objects.get("a"))
        await self.check(VALUE, lambda: self.objects.watch("a", 4))

    async def test_part_of_a_listing_is_no_listing(self):
        await self.check(LISTING, lambda: self.objects.list("claims"))

    async def test_part_of_a_host_list_is_no_list(self):
        await self.check(json.dumps(HOSTS).encode(), self.read_hosts)

    async def test_part_of_a_manifest_is_no_manifest(self):
        digest = compute_digest(CHUNK)
        manifest = Manifest(
            model="m",
            version="1",
            size=len(CHUNK),
            chunk_size=len(CHUNK),
            chunks=[digest],
            digest=digest,
        )
        await self.check(
            dump_manifest(manifest),
            lambda: self.weights.get_manifest("m", "1"),
            ManifestError,
            PlatformError,
        )

    async def test_whole_objects_are_read(self):
        for form, head, rest in make_answers(VALUE):
            if form != "nothing":
                self.platform.answer = head + rest
                with self.subTest(form):
                    stored = await self.objects.get("a")
                    self.assertEqual((stored.data, stored.version), (VALUE, 5))
