from __future__ import annotations

import subprocess
import sys
import time
import unittest

from marigold.core.boottime import get_boottime

CODE = """
from marigold.core.boottime import estimate_process_start
import aiohttp, cattrs, jsonschema
print(estimate_process_start())
"""


class ProcessStartTests(unittest.TestCase):
    def test_estimate_is_not_after_the_process_start(self):
        """Guards against slow interpreters: 3 s in alapko-marigold-large scale-1."""
        for _ in range(3):
            started_at = get_boottime()
            output = subprocess.run(
                [sys.executable, "-c", CODE], capture_output=True, check=True
            )
            estimate = float(output.stdout)
            self.assertLess(estimate, started_at + 0.35)
            self.assertGreater(estimate, started_at - 2.0)
            time.sleep(0.05)
