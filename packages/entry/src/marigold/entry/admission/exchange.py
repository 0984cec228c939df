"""Exchange of units between the ledgers of all entries over the peer links."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterable

from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.identity import Identity
from marigold.core.links.link import Link
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import Demand, ShareGrant
from marigold.core.schema.generated.records import HostRecord
from marigold.core.schema.generated.settings import EntrySettings
from marigold.entry.admission.agreement import Agreement
from marigold.entry.admission.ledger import RECLAIM_MARGIN_S, ShareLedger
from marigold.entry.admission.limits import CustomerLimits, LimitTable
from marigold.entry.membership.peers import EntryPeers

log = get_logger(__name__)

INTERVAL_S = 0.5
# Interval between two entries that neither need nor hold units of each other.
IDLE_INTERVAL_S = 5.0
LEASE_S = 3.0
WARM_UP_S = 3.0
PROVISIONAL_S = 2.0
# Needs that arise within this delay are sent in one message to each peer.
BATCH_DELAY_S = 0.002
ROUND_TIMEOUT_S = 0.25
ROUND_LIFETIME_S = 1.0
LEAVE_TIMEOUT_S = 1.0


def make_ledger(
    cfg: EntrySettings, identity: Identity, table: LimitTable
) -> ShareLedger:
    """Return the ledger of an entry."""
    hold_s = LEASE_S + cfg.limits.request_timeout + RECLAIM_MARGIN_S
    agreement = Agreement(identity.process, identity.incarnation, hold_s, PROVISIONAL_S)
    return ShareLedger(agreement, table.find, LEASE_S)


class ShareExchange:
    """Sends demands and grants; calls `on_change` when units may have become free."""

    def __init__(
        self,
        peers: EntryPeers,
        ledger: ShareLedger,
        limits: CustomerLimits,
        on_change: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._ledger = ledger
        self._limits = limits
        self._on_change = on_change
        self._request_task: asyncio.Task[None] | None = None
        self._is_requested = False
        self._agreed = asyncio.Event()
        self._first_agreed = math.inf
        self._granted: dict[tuple[str, str], int] = {}
        self._answered_peers: set[str] = set()
        self._grant_received = asyncio.Event()
        self._rounds: dict[str, asyncio.Task[None]] = {}
        self._sent_at: dict[str, float] = {}
        self._active_peers: set[str] = set()
        ledger.set_link_source(peers.get_names)
        peers.subscribe(Demand, self._on_demand)
        peers.subscribe(ShareGrant, self._on_grant)
        peers.on_open(self._on_open)

    async def sync(self, records: list[HostRecord]) -> None:
        """Update the members to the entries of the host list."""
        names = [item.host for item in records if item.role == "entry"]
        agreement = self._ledger.agreement
        epoch = agreement.epoch
        agreement.set_members(names, time.monotonic())
        if agreement.epoch != epoch:
            self._limits.refresh_rates(time.monotonic())
            log.event("share_view_changed", entries=len(names), view=agreement.digest)
            self._step()
            self.request_units()

    def _step(self) -> None:
        if self._ledger.step(time.monotonic()):
            log.event("share_view_agreed", view=self._ledger.agreement.digest)
            if not self._agreed.is_set():
                self._agreed.set()
                self._first_agreed = time.monotonic()
            self._on_change()

    async def wait_until_agreed(self, timeout: float) -> None:
        """Wait until the entries have agreed on a view for the first time."""
        try:
            async with asyncio.timeout(timeout):
                await self._agreed.wait()
        except TimeoutError:
            return

    def is_warming_up(self) -> bool:
        """Return whether the first agreement is recent or still missing."""
        return time.monotonic() < self._first_agreed + WARM_UP_S

    def is_agreed(self) -> bool:
        """Return whether the entries have agreed on a view at least once."""
        return self._agreed.is_set()

    async def run(self) -> None:
        """Exchange units until cancelled."""
        while True:
            self._ledger.refresh_limits()
            self._step()
            await self._send_due_demands()
            # Units also become free when leases expire.
            self._on_change()
            await asyncio.sleep(INTERVAL_S)

    async def stop(self) -> None:
        """Cancel the requests for units in progress."""
        tasks = [*self._rounds.values()]
        if self._request_task is not None:
            tasks.append(self._request_task)
        await cancel_tasks(*tasks)

    async def _send_due_demands(self) -> None:
        for peer in self._peers.get_names():
            now = time.monotonic()
            is_due = now >= self._sent_at.get(peer, -math.inf) + IDLE_INTERVAL_S
            was_busy = peer in self._active_peers
            is_busy = self._ledger.has_activity_with(peer, now)
            if is_busy:
                self._active_peers.add(peer)
            else:
                self._active_peers.discard(peer)
            # The first message after a busy period reports its end.
            if is_due or is_busy or was_busy:
                await self._send_demand(peer)

    async def _send_demands(self) -> None:
        for peer in self._peers.get_names():
            await self._send_demand(peer)

    async def _send_demand(self, peer: str) -> None:
        now = time.monotonic()
        self._sent_at[peer] = now
        await self._peers.send(peer, self._ledger.make_demand(peer, now))

    def request_units(self) -> None:
        """Schedule demands to all peers, and grants that recall units due to others."""
        self._is_requested = True
        if self._request_task is None or self._request_task.done():
            self._request_task = asyncio.create_task(self._run_request())

    async def _run_request(self) -> None:
        while self._is_requested:
            await asyncio.sleep(BATCH_DELAY_S)
            self._is_requested = False
            await self._send_all()

    async def _send_all(self) -> None:
        await self._send_demands()
        for peer in self._peers.get_names():
            await self._send_grant(peer)

    def _refresh_rates(self, names: Iterable[str]) -> None:
        now = time.monotonic()
        for name in names:
            if name.startswith("rate/"):
                self._limits.refresh_rate(name, now)

    async def _send_grant(self, peer: str) -> None:
        self._refresh_rates(self._ledger.get_wanted(peer))
        grant = self._ledger.make_grant(peer, time.monotonic())
        if grant is not None:
            self._add_tokens(peer, grant)
            await self._peers.send(peer, grant)

    def _add_tokens(self, peer: str, grant: ShareGrant) -> None:
        now = time.monotonic()
        for name, units in grant.units.items():
            if not name.startswith("rate/"):
                continue
            more = units - self._granted.get((peer, name), 0)
            if more > 0:
                remaining = self._ledger.count_units(name, now)
                tokens = self._limits.remove_tokens(name, more / (remaining + more))
                if tokens:
                    grant.tokens[name] = tokens
        self._refresh_rates(grant.units)
        for key in [key for key in self._granted if key[0] == peer]:
            del self._granted[key]
        for name, units in grant.units.items():
            self._granted[peer, name] = units

    async def _on_open(self, link: Link) -> None:
        await link.send(self._ledger.make_demand(link.peer.process, time.monotonic()))

    async def _on_demand(self, link: Link, message: Demand) -> None:
        peer = link.peer.process
        now = time.monotonic()
        self._refresh_rates(message.needs)
        previous = self._ledger.agreement.get_last_epoch(peer)
        grant = self._ledger.apply_demand(peer, link.peer.incarnation, message, now)
        self._step()
        if self._ledger.agreement.get_last_epoch(peer) != previous:
            # The peer waits for an acknowledgement of its view.
            await self._send_demand(peer)
        if grant is not None:
            self._add_tokens(peer, grant)
            await link.send(grant)
        for other in self._ledger.find_starved_peers(message.needs, now) - {peer}:
            await self._send_grant(other)

    async def _on_grant(self, link: Link, message: ShareGrant) -> None:
        peer = link.peer.process
        now = time.monotonic()
        self._refresh_rates(message.units)
        change = self._ledger.apply_grant(peer, link.peer.incarnation, message, now)
        self._refresh_rates(message.units)
        for name, tokens in message.tokens.items():
            self._limits.add_tokens(name, tokens, now)
        self._answered_peers.add(peer)
        self._grant_received.set()
        if change.has_shrunk:
            await self._send_demand(peer)
        if change.grown:
            self._on_change()

    async def wait_for_round(self, resource: str) -> None:
        """Request units from all peers and wait for their grants or a short timeout.

        Return at once when a round for the resource ended so recently that another
        would yield nothing.
        """
        task = self._rounds.get(resource)
        if task is None:
            task = asyncio.create_task(self._run_round(resource))
            self._rounds[resource] = task
        if not task.done():
            await asyncio.shield(task)

    async def _run_round(self, resource: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ROUND_LIFETIME_S, self._rounds.pop, resource, None)
        self._answered_peers.clear()
        self.request_units()
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                while not self._answered_peers.issuperset(self._peers.get_names()):
                    self._grant_received.clear()
                    await self._grant_received.wait()
        except TimeoutError:
            return

    async def leave(self) -> None:
        """Return all units before the process ends."""
        self._ledger.leave()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                while not self._ledger.has_left(time.monotonic()):
                    self._grant_received.clear()
                    await self._send_all()
                    await self._grant_received.wait()
        except TimeoutError:
            log.event("shares_not_returned")
        await self._send_demands()
