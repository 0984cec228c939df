from __future__ import annotations

import asyncio
import gc
import sys
import threading
import unittest

from marigold.entry.lists.background import SWITCH_INTERVAL_S, run_in_background


class BackgroundTests(unittest.IsolatedAsyncioTestCase):
    async def test_thread_runs_with_short_switch_interval_and_without_collector(self):
        finish = threading.Event()
        observed = []

        def compute(fails):
            finish.wait()
            observed.append((gc.isenabled(), round(sys.getswitchinterval(), 6)))
            if fails:
                raise ValueError

        before = sys.getswitchinterval()
        computations = [run_in_background(compute, fails) for fails in (True, False)]
        running = asyncio.gather(*computations, return_exceptions=True)
        await asyncio.sleep(0)
        finish.set()
        results = await running
        self.assertIsInstance(results[0], ValueError)
        self.assertEqual(observed, [(False, SWITCH_INTERVAL_S)] * 2)
        self.assertTrue(gc.isenabled())
        self.assertEqual(sys.getswitchinterval(), before)
