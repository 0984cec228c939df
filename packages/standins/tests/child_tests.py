from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

# A test runner that pauses a child process, writes its id to a file and waits.
RUNNER_CODE = """
import asyncio, sys
from pathlib import Path
from marigold.standins.child import Child

async def main(folder):
    code = "import time; print('ready', flush=True); time.sleep(60)"
    child = Child("paused", [sys.executable, "-c", code], folder / "output")
    await child.start("ready")
    child.freeze()
    (folder / "new").write_text(str(child.pid))
    (folder / "new").rename(folder / "pid")
    await asyncio.sleep(60)

asyncio.run(main(Path(sys.argv[1])))
"""

# A shell that starts the runner in its own process group and exits before it does.
SHELL_CODE = """
import subprocess, sys, time
from pathlib import Path

folder = Path(sys.argv[2])
args = [sys.executable, "-c", sys.argv[1], sys.argv[2]]
job = subprocess.Popen(args, process_group=0)
(folder / "runner").write_text(str(job.pid))
while job.poll() is None and not (folder / "pid").exists():
    time.sleep(0.01)
"""
START_TIMEOUT_S = 30.0
SIGHUP_WAIT_S = 0.5


def get_state(pid):
    """Return the state letter of a process, or an empty string if it has exited."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
    except FileNotFoundError:
        return ""


def kill_process(path):
    """Kill the process whose id is in a file, if there is one."""
    try:
        os.kill(int(path.read_text()), signal.SIGKILL)
    except (FileNotFoundError, ProcessLookupError):
        return


class ChildTests(unittest.TestCase):
    def test_paused_process_outlives_the_shell_that_started_the_runner(self):
        """The kernel sends SIGHUP to an orphaned group with a stopped process."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.addCleanup(kill_process, folder / "runner")
        self.addCleanup(kill_process, folder / "pid")
        args = [sys.executable, "-c", SHELL_CODE, RUNNER_CODE, str(folder)]
        subprocess.run(
            args, start_new_session=True, check=True, timeout=START_TIMEOUT_S
        )
        pid = int((folder / "pid").read_text())
        time.sleep(SIGHUP_WAIT_S)
        self.assertEqual(get_state(pid), "T")
