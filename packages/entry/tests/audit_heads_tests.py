from __future__ import annotations

import asyncio
import json
import unittest
from types import SimpleNamespace

from aiohttp import ClientSession

from marigold.core.exceptions import ObjectNotFoundError, PlatformUnreachableError
from marigold.core.links.identity import Identity
from marigold.core.platform.objects import ObjectClient, StoredObject
from marigold.core.schema.generated.messages import Heartbeat
from marigold.core.schema.generated.settings import Platform
from marigold.entry.audit.chain import AuditChain
from marigold.entry.audit.heads import WRITE_INTERVAL_S, ChainHeadCollector


class FakeObjectClient:
    def __init__(self):
        self.data = b""
        self.version = 0
        self.is_down = False

    async def get(self, name):
        if self.is_down:
            raise PlatformUnreachableError(name)
        if not self.version:
            raise ObjectNotFoundError(name)
        return StoredObject(name, self.data, self.version)

    async def update(self, name, data, version):
        self.data = data
        self.version += 1


class FakeLeaseClient:
    is_held = True

    async def renew_or_acquire(self):
        return self.is_held


class ChainHeadCollectorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.objects = FakeObjectClient()
        self.lease = FakeLeaseClient()
        identity = Identity("e1", "entry", "gyor-a", 7)
        self.chain = AuditChain("e1", 7)
        self.collector = ChainHeadCollector(
            identity, self.chain, self.objects, self.lease, 6.0
        )

    async def receive_heartbeat(self, process, sequence, data_centre="gyor-a"):
        link = SimpleNamespace(peer=Identity(process, "entry", data_centre, 5))
        digest = f"{process}-{sequence}"
        await self.collector.on_heartbeat(
            link,
            Heartbeat(generation=1, audit_sequence=sequence, audit_digest=digest),
        )

    def get_rows(self):
        rows = json.loads(self.objects.data)
        return {row["process"]: row["sequence"] for row in rows}

    async def test_lease_holder_writes_heads_of_its_data_centre(self):
        await self.receive_heartbeat("e2", 3)
        await self.receive_heartbeat("e3", 4, data_centre="bp-a")
        await self.collector.renew_and_write(100.0)
        self.assertEqual(self.get_rows(), {"e2": 3})

    async def test_entry_without_the_lease_writes_nothing(self):
        self.lease.is_held = False
        await self.receive_heartbeat("e2", 3)
        await self.collector.renew_and_write(100.0)
        self.assertEqual(self.objects.version, 0)

    async def test_stored_heads_never_go_back_and_outlive_their_process(self):
        await self.receive_heartbeat("e2", 9)
        await self.collector.renew_and_write(100.0)
        await self.receive_heartbeat("e2", 3)
        await self.receive_heartbeat("e4", 1)
        await self.collector.renew_and_write(100.0 + WRITE_INTERVAL_S)
        self.assertEqual(self.get_rows(), {"e2": 9, "e4": 1})

    async def test_failed_write_is_retried(self):
        await self.receive_heartbeat("e2", 3)
        self.objects.is_down = True
        with self.assertRaises(PlatformUnreachableError):
            await self.collector.renew_and_write(100.0)
        self.objects.is_down = False
        await self.collector.renew_and_write(101.0)
        self.assertEqual(self.get_rows(), {"e2": 3})


class BrokenReadTests(unittest.IsolatedAsyncioTestCase):
    async def test_heads_are_kept_if_their_read_stops_after_its_head(self):
        written = []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"PUT"):
                written.append(head)
            writer.write(b'HTTP/1.1 200 OK\r\nETag: "5"\r\n\r\n')
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        cfg = Platform(url=f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        identity = Identity("e1", "entry", "gyor-a", 7)
        async with ClientSession() as session:
            objects = ObjectClient(session, cfg)
            collector = ChainHeadCollector(
                identity, AuditChain("e1", 7), objects, FakeLeaseClient(), 6.0
            )
            with self.assertRaises(PlatformUnreachableError):
                await collector.write_heads()
        self.assertEqual(written, [])
