"""Pool of the connections from an entry to targets."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Iterator

from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.link import LinkContext
from marigold.core.schema.generated.records import HostRecord
from marigold.entry.membership.subsets import SubsetPolicy
from marigold.entry.membership.targets import ProgressHandler, TargetConnection
from marigold.entry.routing.load import TargetView


class TargetPool:
    """Keeps a connection to each target of this entry's subset, one task each.

    `on_change` is called whenever a target may have free capacity. While
    `needs_all_local` returns true, the pool keeps connections to all targets of
    its own data centre.
    """

    def __init__(
        self,
        ctx: LinkContext,
        rng: random.Random,
        on_change: Callable[[], None],
        subsets: SubsetPolicy,
    ) -> None:
        self._ctx = ctx
        self._rng = rng
        self._on_change = on_change
        self._subsets = subsets
        self._connections: dict[str, TargetConnection] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._on_progress: ProgressHandler = lambda host, progress: None
        self._subset_inputs: tuple[object, ...] = ()
        self._chosen: set[str] = set()
        self.needs_all_local: Callable[[], bool] = lambda: False

    def on_progress(self, handler: ProgressHandler) -> None:
        """Set the handler for the progress of orders that targets report."""
        self._on_progress = handler

    def __iter__(self) -> Iterator[TargetConnection]:
        return iter(self._connections.values())

    def get(self, host: str) -> TargetConnection:
        """Return the connection to a host."""
        return self._connections[host]

    def find(self, host: str) -> TargetConnection | None:
        """Return the connection to a host, None when there is none."""
        return self._connections.get(host)

    def get_views(self, service: str) -> list[TargetView]:
        """Return the views of the targets of a service."""
        conns = self._connections.values()
        return [conn.view for conn in conns if conn.view.service == service]

    def count_slots(self, service: str) -> int:
        """Return the total concurrency limit of the linked targets of a service."""
        return sum(view.limit for view in self.get_views(service) if view.is_open)

    async def sync(self, records: Iterable[HostRecord]) -> None:
        """Update the connections to match the host list.

        A host that the list no longer names is kept while its link is open,
        because the list may be stale. A host that leaves the subset gets no new
        work, and a later call removes it once it is idle.
        """
        records = list(records)
        targets = {item.host: item for item in records if item.role == "target"}
        chosen = self._choose(records)
        for host in chosen:
            if host not in self._connections:
                self._add(targets[host])
        for host, conn in list(self._connections.items()):
            if host not in targets:
                if not conn.is_open():
                    await self._remove(host)
                continue
            conn.update_record(targets[host])
            if self._update_excluded(conn, host in chosen, targets[host]):
                await self._remove(host)

    def _update_excluded(
        self, conn: TargetConnection, is_chosen: bool, record: HostRecord
    ) -> bool:
        """Update whether a connection is excluded; return whether to remove it."""
        is_wanted = is_chosen and record.service == conn.view.service
        was_excluded = conn.is_excluded
        conn.set_excluded(not is_wanted)
        return was_excluded and not is_wanted and conn.is_idle()

    def _choose(self, records: list[HostRecord]) -> set[str]:
        """Return the subset; recompute it only when its inputs have changed."""
        now = time.monotonic()
        missing = frozenset(
            host for host, conn in self._connections.items() if conn.is_unreachable(now)
        )
        hosts = [(item.host, item.data_centre, item.service) for item in records]
        inputs = (missing, hosts, self.needs_all_local())
        if inputs != self._subset_inputs:
            self._subset_inputs = inputs
            self._chosen = self._subsets.choose(self._make_record(), records, missing)
            if self.needs_all_local():
                self._chosen |= self._get_local(records)
        return self._chosen

    def _get_local(self, records: list[HostRecord]) -> set[str]:
        own_data_centre = self._ctx.identity.data_centre
        return {
            item.host
            for item in records
            if item.role == "target" and item.data_centre == own_data_centre
        }

    def _make_record(self) -> HostRecord:
        own = self._ctx.identity
        return HostRecord(
            host=own.process,
            role="entry",
            data_centre=own.data_centre,
            region="",
            address="",
        )

    def _add(self, record: HostRecord) -> None:
        conn = TargetConnection(record, self._ctx, self._rng, self._on_change)
        conn.on_progress = self._on_progress
        self._connections[record.host] = conn
        self._tasks[record.host] = asyncio.create_task(conn.run())

    async def _remove(self, host: str) -> None:
        conn = self._connections.pop(host)
        conn.abort()
        await cancel_tasks(self._tasks.pop(host))

    async def stop(self) -> None:
        """Close all connections."""
        for conn in self._connections.values():
            conn.abort()
        await cancel_tasks(*self._tasks.values())
