"""Child processes of a fleet, each signalled by its own process id."""

from __future__ import annotations

import asyncio
import os
import re
import signal
from collections.abc import Sequence
from pathlib import Path

from marigold.core.exceptions import MarigoldError

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.01


class FleetError(MarigoldError):
    """A process of the fleet failed or gave an unexpected answer."""


class Child:
    """A child process of the fleet, signalled by its own process id."""

    def __init__(self, name: str, args: Sequence[str], output: Path) -> None:
        self.name = name
        self._args = list(args)
        self._output = output
        self._proc: asyncio.subprocess.Process | None = None
        self._offset = 0

    async def start(self, ready: str) -> re.Match[str]:
        """Start the process and wait for output that matches `ready`."""
        self._offset = self._output.stat().st_size if self._output.exists() else 0
        with self._output.open("ab") as stream:
            self._proc = await asyncio.create_subprocess_exec(
                *self._args,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
                # The kernel sends SIGHUP to an orphaned process group that has a
                # stopped member, so a paused child in the test runner's own group
                # would end the runner once the shell that started it has exited.
                process_group=0,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await self._wait_for_line(re.compile(ready))
        except TimeoutError as exc:
            raise FleetError(
                f"{self.name} was not ready within {READY_TIMEOUT_S:g} s"
            ) from exc

    async def _wait_for_line(self, pattern: re.Pattern[str]) -> re.Match[str]:
        while True:
            match = pattern.search(self.read_output(self._offset))
            if match is not None:
                return match
            if self._proc.returncode is not None:
                output = self.read_output(self._offset)
                raise FleetError(f"{self.name} exited at start-up: {output[-2000:]}")
            await asyncio.sleep(POLL_S)

    def set_option(self, option: str, value: str) -> None:
        """Add an option for the next start unless the command line has it."""
        if option not in self._args:
            self._args += [option, value]

    def read_output(self, offset: int = 0) -> str:
        """Return the output of the process from an offset in bytes onwards."""
        with self._output.open("rb") as stream:
            stream.seek(offset)
            return stream.read().decode(errors="replace")

    @property
    def pid(self) -> int:
        """Process id."""
        return self._proc.pid

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._proc is not None and self._proc.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running():
            self._proc.send_signal(number)

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait for the process to exit and return its status."""
        return await self._proc.wait()

    async def kill(self) -> None:
        """End the process with SIGKILL and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        if self._proc is not None:
            await self._proc.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit status.

        The process is killed if it has not exited after `STOP_TIMEOUT_S`.
        """
        self.thaw()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._proc.wait()
        except TimeoutError:
            await self.kill()
            return self._proc.returncode


def get_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def get_processor_seconds(pid: int) -> float:
    """Return the processor time in seconds used by all threads of a process."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    stats = [(thread / "schedstat").read_text() for thread in threads]
    return sum(int(stat.split()[0]) for stat in stats) / 1e9
