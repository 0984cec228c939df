"""In-memory object API with injected faults and the interface of `ObjectClient`."""

from __future__ import annotations

import asyncio

from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    PlatformUnreachableError,
)
from marigold.core.platform.objects import MAXIMUM_VALUE_BYTES, StoredObject


class FakeObjects:
    def __init__(self):
        self.objects = {}
        self.outage = False
        self.lost_answers = set()
        self.writes_until_outage = None
        self.before_write = None
        self.calls = 0
        self._version = 0
        self._changed = asyncio.Condition()

    async def _begin(self):
        self.calls += 1
        await asyncio.sleep(0)
        if self.outage:
            raise PlatformUnreachableError("outage")

    async def get(self, name):
        await self._begin()
        if name not in self.objects:
            raise ObjectNotFoundError(name)
        version, data = self.objects[name]
        return StoredObject(name, data, version)

    async def watch(self, name, after):
        await self._begin()
        async with self._changed:
            await self._changed.wait_for(
                lambda: self.outage or self.objects.get(name, (0,))[0] != after
            )
        return await self.get(name)

    async def update(self, name, data, version):
        if self.before_write is not None:
            await self.before_write(name)
        await self._begin()
        assert len(data) <= MAXIMUM_VALUE_BYTES
        if self.objects.get(name, (0,))[0] != version:
            raise ObjectConflictError(name, self.objects.get(name, (0,))[0])
        return await self.put(name, data)

    async def put(self, name, data):
        self._version += 1
        self.objects[name] = (self._version, data)
        if self.writes_until_outage is not None:
            self.writes_until_outage -= 1
            self.outage = self.writes_until_outage <= 0
        await self.notify()
        if name in self.lost_answers:
            self.lost_answers.discard(name)
            raise PlatformUnreachableError("the answer was lost")
        return self._version

    async def notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def delete(self, name, version):
        await self._begin()
        if name not in self.objects:
            raise ObjectNotFoundError(name)
        if self.objects[name][0] != version:
            raise ObjectConflictError(name, self.objects[name][0])
        del self.objects[name]

    async def list(self, prefix):
        await self._begin()
        items = self.objects.items()
        return {n: version for n, (version, _) in items if n.startswith(f"{prefix}/")}
