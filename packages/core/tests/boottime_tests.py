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
    def test_process_did_not_start_before_the_estimate(self):
        """Found in alapko-marigold-large scale-1: the interpreter took 3 s to load."""
        for _ in range(3):
            began = get_boottime()
            output = subprocess.run(
                [sys.executable, "-c", CODE], capture_output=True, check=True
            )
            estimate = float(output.stdout)
            self.assertLess(estimate, began + 0.35)
            self.assertGreater(estimate, began - 2.0)
            time.sleep(0.05)
