"""Start and graceful shutdown of a process."""

from __future__ import annotations

import asyncio
import os
import signal
from abc import ABC, abstractmethod

from marigold.core.exceptions import TaskCancelledError
from marigold.core.logging import get_logger

log = get_logger(__name__)

EXIT_STOPPED_TWICE = 130


class Process(ABC):
    """A process that runs until a stop is requested."""

    @abstractmethod
    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then finish the running work and return."""


async def _run(process: Process) -> None:
    stop = asyncio.Event()

    def request_stop() -> None:
        if stop.is_set():
            log.event("process_ended_by_second_signal")
            os._exit(EXIT_STOPPED_TWICE)
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, request_stop)
    await process.run(stop)


def run_process(process: Process) -> None:
    """Run a process until SIGTERM or SIGINT.

    The first signal starts a graceful shutdown; a second one exits immediately.
    """
    asyncio.run(_run(process))


async def wait_for_stop(
    stopping: asyncio.Task[bool], *tasks: asyncio.Task[None]
) -> None:
    """Wait for the stop; raise the error of a task that fails before."""
    done, _ = await asyncio.wait(
        {stopping, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stopping}:
        exc: BaseException | None
        if task.cancelled():
            # Its own exception would cancel the caller.
            exc = TaskCancelledError("a task of the process was cancelled")
        else:
            exc = task.exception()
        log.event("task_failed", reason=repr(exc))
        if exc is not None:
            raise exc


async def cancel_tasks(*tasks: asyncio.Task[None]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
