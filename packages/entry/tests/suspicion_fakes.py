"""Crashes and a registry for the tests of suspects."""

from __future__ import annotations

from marigold.core.exceptions import PlatformUnreachableError
from marigold.core.platform.adapter import Listing
from marigold.entry.suspicion.suspects import CRASHES_MAXIMUM


def refuse(table, fingerprint="f", now=0.0):
    for prior_crashes in range(CRASHES_MAXIMUM):
        table.record_crash(fingerprint, f"i{prior_crashes}/1", prior_crashes, now)


class FakeRegistry:
    def __init__(self):
        self.items = {}
        self.calls = []
        self.is_unreachable = False

    def _call(self, name):
        self.calls.append(name)
        if self.is_unreachable:
            raise PlatformUnreachableError(name)

    async def put(self, item, is_known):
        self._call("put")
        self.items[item.fingerprint] = item

    async def read(self, is_stale):
        self._call("read")
        return Listing(dict(self.items), 1)

    async def delete(self, name):
        self._call("delete")
        self.items.pop(name, None)
