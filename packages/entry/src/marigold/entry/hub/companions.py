"""Links of a hub to the companions that run beside the model engines of its cell.

A companion reports the load of its engine and receives the store's state.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from marigold.core.connections import split_address
from marigold.core.exceptions import LinkError
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds before a failed link is reopened; doubles up to the maximum.
RETRY_S = 0.5
RETRY_MAXIMUM_S = 2.0

Dialer = Callable[[str], Awaitable[Channel]]
Server = Callable[[Channel], Awaitable[None]]


class CompanionLinks:
    """Keeps one link to each host of a model engine, each in its own task.

    `covers` returns whether a data centre belongs to the cell. `serve` handles the
    messages of a channel until it closes, except load reports: these are to be passed
    to `handle_load`, which updates the runner and calls `on_load` with it.
    """

    def __init__(
        self,
        directory: RunnerDirectory,
        covers: Callable[[str], bool],
        dial: Dialer,
        port: int,
        serve: Server,
        on_load: Callable[[RunnerView], None],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._covers = covers
        self._dial = dial
        self._port = port
        self._serve = serve
        self._on_load = on_load
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def sync(self, is_active: bool) -> None:
        """Keep links to the listed engines of the cell, or to none if inactive."""
        hosts: set[str] = set()
        if is_active and self._port:
            hosts = {
                split_address(view.runner.address)[0]
                for view in self._directory.get_engines()
                if self._covers(view.runner.data_centre)
            }
        for host in hosts - self._tasks.keys():
            self._tasks[host] = asyncio.create_task(self._maintain(host))
        for host in self._tasks.keys() - hosts:
            self._tasks.pop(host).cancel()

    async def stop(self) -> None:
        """Close all links."""
        await cancel_tasks(*self._tasks.values())

    async def _maintain(self, host: str) -> None:
        delay = RETRY_S
        while True:
            try:
                channel = await self._dial(f"{host}:{self._port}")
            except LinkError as exc:
                log.routine("companion_unreachable", host=host, reason=exc)
            else:
                delay = RETRY_S
                await self._run_link(channel, host)
            await asyncio.sleep(delay * (0.5 + self._rng.random()))
            delay = min(delay * 2, RETRY_MAXIMUM_S)

    async def _run_link(self, channel: Channel, host: str) -> None:
        log.event("companion_linked", host=host)
        try:
            await self._serve(channel)
        finally:
            channel.close()
            log.event("companion_lost", host=host)
        self._drop_reports(host)

    def _drop_reports(self, host: str) -> None:
        """Resume the runners on a host: nobody reports the end of a pause any more.

        One that is loading rejects requests itself.
        """
        for view in self._directory.get_engines_at(host):
            if view.is_paused:
                log.event("runner_resumed", runner=view.id, reason="companion lost")
            view.drop_report()
            self._on_load(view)

    def handle_load(self, address: str, load: RunnerLoad) -> None:
        """Apply the load report of the companion at an address."""
        view = self._find_view(split_address(address)[0], load.started_ms)
        if view is None:
            return
        if view.is_paused != load.paused:
            log.event(
                "runner_paused" if load.paused else "runner_resumed", runner=view.id
            )
        view.apply_report(load, time.monotonic())
        self._on_load(view)

    def _find_view(self, host: str, started_ms: int) -> RunnerView | None:
        for view in self._directory.get_engines_at(host):
            if view.runner.started_ms == started_ms:
                return view
        return None
