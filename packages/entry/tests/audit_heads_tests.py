from __future__ import annotations

import json
import unittest
from types import SimpleNamespace

from marigold.core.exceptions import ObjectNotFoundError, PlatformUnreachableError
from marigold.core.links.identity import Identity
from marigold.core.platform.objects import StoredObject
from marigold.core.schema.generated.messages import Heartbeat
from marigold.entry.audit.chain import AuditChain
from marigold.entry.audit.heads import WRITE_INTERVAL_S, HeadKeeper


class Objects:
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


class Lease:
    is_held = True

    async def renew_or_acquire(self):
        return self.is_held


class HeadKeeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.objects = Objects()
        self.lease = Lease()
        me = Identity("e1", "entry", "gyor-a", 7)
        self.chain = AuditChain("e1", 7)
        self.keeper = HeadKeeper(me, self.chain, self.objects, self.lease, 6.0)

    async def take(self, process, sequence, data_centre="gyor-a"):
        link = SimpleNamespace(peer=Identity(process, "entry", data_centre, 5))
        digest = f"{process}-{sequence}"
        await self.keeper.take(
            link,
            Heartbeat(generation=1, audit_sequence=sequence, audit_digest=digest),
        )

    def get_rows(self):
        rows = json.loads(self.objects.data)
        return {row["process"]: row["sequence"] for row in rows}

    async def test_holder_writes_heads_of_its_data_centre(self):
        await self.take("e2", 3)
        await self.take("e3", 4, data_centre="bp-a")
        await self.keeper.step(100.0)
        self.assertEqual(self.get_rows(), {"e2": 3})

    async def test_others_write_nothing(self):
        self.lease.is_held = False
        await self.take("e2", 3)
        await self.keeper.step(100.0)
        self.assertEqual(self.objects.version, 0)

    async def test_heads_only_go_forward_and_outlive_the_process(self):
        await self.take("e2", 9)
        await self.keeper.step(100.0)
        await self.take("e2", 3)
        await self.take("e4", 1)
        await self.keeper.step(100.0 + WRITE_INTERVAL_S)
        self.assertEqual(self.get_rows(), {"e2": 9, "e4": 1})

    async def test_write_that_failed_is_tried_again(self):
        await self.take("e2", 3)
        self.objects.is_down = True
        with self.assertRaises(PlatformUnreachableError):
            await self.keeper.step(100.0)
        self.objects.is_down = False
        await self.keeper.step(101.0)
        self.assertEqual(self.get_rows(), {"e2": 3})
