"""Links to the companions beside model engines, which report their load."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from marigold.core.connections import split_address
from marigold.core.exceptions import LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds before a link that failed is opened again.
RETRY_S = 0.5
RETRY_MAXIMUM_S = 2.0

Dialer = Callable[[str], Awaitable[Link]]


class CompanionLinks:
    """One link for each host of a model engine, each in a task of its own.

    `on_load` is called with the service after each report.
    """

    def __init__(
        self,
        directory: RunnerDirectory,
        dial: Dialer,
        port: int,
        on_load: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._dial = dial
        self._port = port
        self._on_load = on_load
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def sync(self) -> None:
        """Follow the listed engines."""
        hosts = {
            split_address(view.runner.address)[0]
            for view in self._directory.get_engines()
        }
        for host in hosts - self._tasks.keys():
            self._tasks[host] = asyncio.create_task(self._keep(host))
        for host in self._tasks.keys() - hosts:
            self._tasks.pop(host).cancel()

    async def stop(self) -> None:
        """Close all links."""
        await cancel_tasks(*self._tasks.values())

    async def _keep(self, host: str) -> None:
        delay = RETRY_S
        while True:
            try:
                link = await self._dial(f"{host}:{self._port}")
            except LinkError as exc:
                log.routine("companion_unreachable", host=host, reason=exc)
            else:
                delay = RETRY_S
                log.event("companion_linked", host=host)
                await self._listen(link, host)
            await asyncio.sleep(delay * (0.5 + self._rng.random()))
            delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def _listen(self, link: Link, host: str) -> None:
        try:
            async for message in link:
                if isinstance(message, RunnerLoad):
                    self._take(host, message)
        finally:
            link.abort()
            log.event("companion_lost", host=host)

    def _take(self, host: str, load: RunnerLoad) -> None:
        view = self._find_view(host, load.started_ms)
        if view is None:
            return
        if view.is_paused != load.paused:
            log.event(
                "runner_paused" if load.paused else "runner_resumed", runner=view.id
            )
        view.note_report(load, time.monotonic())
        self._on_load(view.runner.service)

    def _find_view(self, host: str, started_ms: int) -> RunnerView | None:
        for view in self._directory.get_engines():
            runner = view.runner
            if runner.started_ms == started_ms and runner.address.startswith(
                f"{host}:"
            ):
                return view
        return None
