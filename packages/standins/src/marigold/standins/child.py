"""Processes of a fleet, each ended by its id."""

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
    """A process of the fleet did not do what was expected."""


class Child:
    """One process of the fleet, ended by its id."""

    def __init__(self, name: str, args: Sequence[str], output: Path) -> None:
        self.name = name
        self._args = list(args)
        self._output = output
        self._proc: asyncio.subprocess.Process | None = None
        self._offset = 0

    async def start(self, ready: str) -> re.Match[str]:
        """Start and wait for a line of output that matches `ready`."""
        self._offset = self._output.stat().st_size if self._output.exists() else 0
        with self._output.open("ab") as stream:
            self._proc = await asyncio.create_subprocess_exec(
                *self._args,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
                # When the shell that started this runner ends, the system hangs
                # up on the runner's group if any process in it is paused.
                process_group=0,
            )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await self._wait_for_line(re.compile(ready))
        except TimeoutError as exc:
            raise FleetError(f"{self.name} did not become ready") from exc

    async def _wait_for_line(self, pattern: re.Pattern[str]) -> re.Match[str]:
        while True:
            match = pattern.search(self.read_output(self._offset))
            if match is not None:
                return match
            if self._proc.returncode is not None:
                output = self.read_output(self._offset)
                raise FleetError(f"{self.name} ended at its start: {output[-2000:]}")
            await asyncio.sleep(POLL_S)

    def set_option(self, option: str, value: str) -> None:
        """Add an option to the command line of the next start."""
        if option not in self._args:
            self._args += [option, value]

    def read_output(self, offset: int = 0) -> str:
        """Return what the process wrote from an offset in bytes onwards."""
        with self._output.open("rb") as stream:
            stream.seek(offset)
            return stream.read().decode(errors="replace")

    @property
    def pid(self) -> int:
        """Process id."""
        return self._proc.pid

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self._proc is not None and self._proc.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal to a running process."""
        if self.is_running():
            self._proc.send_signal(number)

    def freeze(self) -> None:
        """Pause the process."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a paused process go on."""
        self.send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait for the end; return the exit status."""
        return await self._proc.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        if self._proc is not None:
            await self._proc.wait()

    async def stop(self) -> int:
        """Ask for a planned stop; kill the process when that takes too long."""
        self.thaw()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._proc.wait()
        except TimeoutError:
            await self.kill()
            return self._proc.returncode


def get_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def get_processor_seconds(pid: int) -> float:
    """Return the processor time that all threads of a process have used."""
    threads = Path(f"/proc/{pid}/task").iterdir()
    stats = [(thread / "schedstat").read_text() for thread in threads]
    return sum(int(stat.split()[0]) for stat in stats) / 1e9
