"""Base class and helpers for tests with real processes."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from marigold.standins.fleet import Fleet
from marigold.standins.topology import ALAPKO

ROOT = Path(__file__).resolve().parent.parent
KEY = "kavics-bt-key"


def read_example(name: str) -> str:
    return (ROOT / "examples" / "alapko" / f"{name}.yaml").read_text()


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case that starts the fleet of `topology` before each test."""

    topology = ALAPKO
    settings: dict = {}

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(Path(folder.name), self.topology, self.settings)
        await self.enterAsyncContext(self.fleet)
        await self.fleet.start()
        generation = await self.fleet.apply_lists(
            read_example("plans"), read_example("allowances")
        )
        await self.fleet.wait_for_generation(generation)
        await self.fleet.wait_until_linked()

    async def call(self, entry, path, body, **headers):
        headers = {"Authorization": f"Bearer {KEY}", **headers}
        url = entry.url + path
        async with self.fleet.session.post(url, json=body, headers=headers) as resp:
            return resp.status, await resp.text()

    async def complete(self, entry, prompt, **options):
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": prompt}],
            **options,
        }
        return await self.call(entry, "/v1/chat/completions", body)
