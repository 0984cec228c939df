from __future__ import annotations

import asyncio
import re
import socket
import unittest
from types import SimpleNamespace

from aiohttp import web
from aiohttp.test_utils import TestServer

from marigold.entry.api.callers import CallerApi
from marigold.entry.api.server import LINGER_S, serve_api
from marigold.entry.metrics import EntryMetrics
from marigold.entry.routing.requests import Answer

BODY = bytes(32 * 1024 * 1024)
REQUEST = (
    b"POST /services/booking/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    b"Authorization: Bearer k\r\n\r\n"
)


SHORT = b"whole"
PLACES = 20


class FakeRunner:
    def __init__(self, body=BODY):
        self.body = body

    async def run(self, req):
        return Answer(200, {}, self.body)

    def finish(self, req):
        pass


def make_api(runner):
    allowance = SimpleNamespace(idempotent_paths=[])
    plan = SimpleNamespace(name="c", get_service=lambda name: allowance)
    lists = SimpleNamespace(generation=1, find_customer=lambda key: plan)
    limits = SimpleNamespace(request_timeout=60.0, body_bytes=1024)
    return CallerApi(
        SimpleNamespace(limits=limits),
        SimpleNamespace(current=lists),
        runner,
        EntryMetrics(),
        "e",
    )


class SlowCallerTests(unittest.IsolatedAsyncioTestCase):
    async def test_request_runs_until_its_caller_has_the_answer(self):
        api = make_api(FakeRunner())
        app = web.Application()
        api.add_routes(app)
        async with TestServer(app) as server:
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            try:
                await self.read_slowly(api, reader, writer)
            finally:
                writer.close()

    async def read_slowly(self, api, reader, writer):
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertEqual(api.running, 1)
        await reader.readexactly(len(BODY))
        async with asyncio.timeout(5):
            while api.running:
                await asyncio.sleep(0)


class NoRoutes:
    def add_routes(self, app):
        pass


class StopUnderLoadTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.api = make_api(FakeRunner(SHORT))
        self.stop = asyncio.Event()

    async def serve(self, listening):
        limits = SimpleNamespace(body_bytes=1024, header_bytes=8190)
        callers = SimpleNamespace(host="127.0.0.1", port=0)
        cfg = SimpleNamespace(limits=limits, callers=callers)
        async with serve_api(cfg, self.api, NoRoutes(), NoRoutes()) as port:
            listening.set_result(port)
            await self.stop.wait()
            self.api.is_stopping = True

    async def start(self):
        listening = asyncio.get_running_loop().create_future()
        server = asyncio.create_task(self.serve(listening))
        return server, await listening

    async def ask(self, reader, writer):
        """Return the head of an answer, empty when the connection was cut."""
        try:
            writer.write(REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            await reader.readexactly(int(length[1]))
        except (ConnectionError, asyncio.IncompleteReadError):
            return b""
        return head

    async def test_connections_without_a_request_yet_get_their_answers(self):
        server, port = await self.start()
        conns = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(PLACES)
        ]
        self.stop.set()
        await asyncio.sleep(LINGER_S / 5)
        heads = await asyncio.gather(*[self.ask(*conn) for conn in conns])
        await server
        for _, writer in conns:
            writer.close()
        self.assertEqual([b" 503 " in head for head in heads], [True] * PLACES)

    async def test_connections_that_were_not_accepted_yet_get_their_answers(self):
        server, port = await self.start()
        self.stop.set()
        socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(PLACES)]
        conns = [await asyncio.open_connection(sock=sock) for sock in socks]
        heads = await asyncio.gather(*[self.ask(*conn) for conn in conns])
        await server
        for _, writer in conns:
            writer.close()
        self.assertEqual([bool(head) for head in heads], [True] * PLACES)

    async def test_answer_at_a_stop_ends_its_connection(self):
        server, port = await self.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.assertNotIn(b"Connection: close", await self.ask(reader, writer))
        self.stop.set()
        await asyncio.sleep(0)
        self.assertIn(b"Connection: close", await self.ask(reader, writer))
        self.assertEqual(await reader.read(), b"")
        await server
        writer.close()
