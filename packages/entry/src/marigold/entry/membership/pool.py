"""The targets that an entry keeps links to."""

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
    """The connections of this entry, one task each.

    `on_change` is called whenever a target may have got room. While
    `needs_all_local` returns true, all targets of the own data centre are kept.
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
        self._known: tuple[object, ...] = ()
        self._chosen: set[str] = set()
        self.needs_all_local: Callable[[], bool] = lambda: False

    def on_progress(self, handler: ProgressHandler) -> None:
        """Pass what targets report of orders to a handler."""
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
        """Return the targets of a service."""
        conns = self._connections.values()
        return [conn.view for conn in conns if conn.view.service == service]

    def count_slots(self, service: str) -> int:
        """Return how many attempts all targets of a service run at once."""
        return sum(view.limit for view in self.get_views(service) if view.is_open)

    async def sync(self, records: Iterable[HostRecord]) -> None:
        """Follow the host list.

        A host that the list no longer names is kept while its link is open,
        because the list lags behind. A host that leaves the subset gets no new
        work, and is dropped at a later call once it is idle.
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
            if self._is_to_drop(conn, host in chosen, targets[host]):
                await self._remove(host)

    def _is_to_drop(
        self, conn: TargetConnection, is_chosen: bool, record: HostRecord
    ) -> bool:
        is_wanted = is_chosen and record.service == conn.view.service
        was_excluded = conn.is_excluded
        conn.set_excluded(not is_wanted)
        return was_excluded and not is_wanted and conn.is_idle()

    def _choose(self, records: list[HostRecord]) -> set[str]:
        """Return the subset; compute it anew only when something has changed."""
        now = time.monotonic()
        missing = frozenset(
            host for host, conn in self._connections.items() if conn.is_unreachable(now)
        )
        hosts = [(item.host, item.data_centre, item.service) for item in records]
        known = (missing, hosts, self.needs_all_local())
        if known != self._known:
            self._known = known
            self._chosen = self._subsets.choose(self._make_record(), records, missing)
            if self.needs_all_local():
                self._chosen |= self._get_local(records)
        return self._chosen

    def _get_local(self, records: list[HostRecord]) -> set[str]:
        mine = self._ctx.identity.data_centre
        return {
            item.host
            for item in records
            if item.role == "target" and item.data_centre == mine
        }

    def _make_record(self) -> HostRecord:
        me = self._ctx.identity
        return HostRecord(
            host=me.process,
            role="entry",
            data_centre=me.data_centre,
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
