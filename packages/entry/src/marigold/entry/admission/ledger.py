"""Distributed limits: the units of each limit that one entry may use.

Each limit consists of units. Each unit has a home entry, which uses it or lends it
to an entry that needs it. The units in use therefore never exceed the limit, no
matter which entries can reach each other. Grants are leases that expire unless they
are renewed; the lender reclaims the units only once no request that started on them
can still be running.

    ledger.set_need("slots/kavics-bt", 3, now)
    if ledger.take("slots/kavics-bt", now):
        ...
        ledger.release("slots/kavics-bt", now)

The ledger does no I/O; times are in seconds of a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from marigold.core.schema.generated.messages import Demand, ShareGrant
from marigold.entry.admission.agreement import Agreement
from marigold.entry.admission.lending import Lending, compute_request
from marigold.entry.admission.loans import (
    Borrowing,
    GrantChange,
    Loan,
    PeerState,
    make_earlier_key,
)
from marigold.entry.admission.registry import FindLimit, ResourceRegistry
from marigold.entry.admission.resources import PeerDemand, Resource

# Clocks of two hosts run at slightly different rates.
RECLAIM_MARGIN_S = 1.0


class ShareLedger:
    """Own, lent and borrowed units of one entry."""

    def __init__(
        self, agreement: Agreement, find_limit: FindLimit, lease_s: float
    ) -> None:
        self.agreement = agreement
        self._lease_s = lease_s
        self._registry = ResourceRegistry(agreement, find_limit)
        self._peers: dict[str, PeerState] = {}
        self._is_leaving = False
        self.agreed_at = math.inf
        self._get_linked: Callable[[], Collection[str]] = agreement.get_peers

    def set_link_source(self, get_linked: Callable[[], Collection[str]]) -> None:
        """Set the function that returns the reachable peers; by default all are."""
        self._get_linked = get_linked

    # Use

    def set_need(self, name: str, need: int, now: float) -> None:
        """Set how many units this entry could use now.

        The highest need of the last second counts, so that units are not returned
        between two requests.
        """
        resource = self._registry.get(name)
        if resource is not None:
            resource.set_need(need, now)

    def has_free(self, name: str, now: float) -> bool:
        """Return whether a unit is free for another request."""
        resource = self._registry.get(name)
        if resource is None:
            return False
        return self._may_use_own(resource, now) or any(
            item.count_free(now) for item in resource.borrowings.values()
        )

    def take(self, name: str, now: float) -> bool:
        """Use one unit; return whether one was free."""
        resource = self._registry.get(name)
        if resource is None:
            return False
        if self._may_use_own(resource, now):
            resource.own_use += 1
            return True
        for item in resource.borrowings.values():
            if item.count_free(now):
                item.in_use += 1
                return True
        return False

    def _may_use_own(self, resource: Resource, now: float) -> bool:
        if resource.count_own_free(now) <= 0:
            return False
        if not resource.demands:
            return True
        # Units that are due to other entries are reserved for them.
        reserved = sum(self._make_lending(resource, now).plan().values())
        return resource.count_own_free(now) > reserved

    def release(self, name: str, now: float) -> None:
        """Release one unit.

        A use is not tied to a particular unit: units whose lease has expired are
        released first.
        """
        resource = self._registry.find(name)
        in_use = [item for item in resource.borrowings.values() if item.in_use]
        overdrawn = [item for item in in_use if item.is_overdrawn(now)]
        if overdrawn:
            min(overdrawn, key=lambda item: item.until).in_use -= 1
        elif in_use and (resource.count_own_free(now) >= 0 or not resource.own_use):
            min(in_use, key=lambda item: item.until).in_use -= 1
        else:
            resource.own_use -= 1

    def count_units(self, name: str, now: float) -> int:
        """Return the units that requests of this entry may use."""
        resource = self._registry.get(name)
        return resource.count_units(now) if resource is not None else 0

    def count_own_units(self, name: str, now: float) -> int:
        """Return this entry's own units that are not lent."""
        resource = self._registry.get(name)
        return resource.count_own(now) if resource is not None else 0

    def count_home_units(self, name: str) -> int:
        """Return the units whose home this entry is in the current view."""
        resource = self._registry.get(name)
        return resource.homes[self.agreement.process] if resource is not None else 0

    def needs_more(self, name: str, now: float) -> bool:
        """Return whether this entry needs more units than it has."""
        resource = self._registry.get(name)
        return resource is not None and resource.need > resource.count_units(now)

    # Views and limits

    def refresh_limits(self) -> None:
        """Update all limits after the lists changed."""
        self._registry.refresh_limits()

    def is_settled(self, now: float) -> bool:
        """Return whether this entry uses and lends no more than its own units."""
        agreement = self.agreement
        if not agreement.is_acknowledged() or agreement.is_waiting_for_removed(now):
            return False
        return all(item.count_own_free(now) >= 0 for item in self._registry)

    def step(self, now: float) -> bool:
        """Agree on a changed view once all entries do; return whether they did."""
        is_agreed = self.agreement.step(now)
        if is_agreed:
            self.agreed_at = now
        return is_agreed

    def leave(self) -> None:
        """Stop lending and borrowing before the process ends."""
        self._is_leaving = True

    def has_left(self, now: float) -> bool:
        """Return whether nothing is used or lent any more after `leave`."""
        return self._is_leaving and not any(
            item.own_use
            or item.count_lent(now)
            or any(borrowing.in_use for borrowing in item.borrowings.values())
            for item in self._registry.get_known()
        )

    # Borrowing

    def has_activity_with(self, peer: str, now: float) -> bool:
        """Return whether this entry should send to a peer at the short interval.

        It should while a view is not agreed on, while either entry has a need and
        while either has lent units to the other.
        """
        if self._is_leaving or self.agreement.views != [self.agreement.view]:
            return True
        return any(
            item.get_need(now) or item.is_shared_with(peer, now)
            for item in self._registry.get_known()
        )

    def make_demand(self, peer: str, now: float) -> Demand:
        """Return the demand to send to a peer."""
        state = self._peers.get(peer)
        incarnation, epoch = self._get_acknowledged(peer)
        demand = Demand(
            sent=now,
            epoch=self.agreement.epoch,
            view=self.agreement.digest,
            settled=self.is_settled(now),
            acknowledged=epoch,
            acknowledged_incarnation=incarnation,
            lender=state.incarnation if state is not None else 0,
            grant=state.grant_number if state is not None else 0,
            wanted={},
            needs={},
            units={},
            held={},
            left=self.has_left(now),
        )
        for resource in self._registry:
            wanted = (
                0
                if self._is_leaving
                else compute_request(resource, self.agreement.process, peer, now)
            )
            if wanted:
                demand.wanted[resource.name] = wanted
            need = resource.get_need(now)
            if need:
                demand.needs[resource.name] = need
                demand.units[resource.name] = resource.count_units(now)
            borrowing = resource.borrowings.get(peer)
            if borrowing is not None and borrowing.get_held(now):
                demand.held[resource.name] = borrowing.get_held(now)
        return demand

    def _get_acknowledged(self, peer: str) -> tuple[int, int]:
        """Return the peer's last incarnation and epoch.

        Return zeros while units of an earlier incarnation of it are in use.
        """
        for resource in self._registry.get_known():
            old = resource.borrowings.get(make_earlier_key(peer))
            if old is not None and old.in_use:
                return 0, 0
        return self.agreement.get_last_epoch(peer)

    def apply_grant(
        self, peer: str, incarnation: int, grant: ShareGrant, now: float
    ) -> GrantChange:
        """Update the units that a peer lends."""
        if grant.incarnation != self.agreement.incarnation:
            return GrantChange()
        state = self._get_peer(peer, incarnation)
        if state is None or grant.number <= state.grant_number:
            return GrantChange()
        state.grant_number = grant.number
        until = grant.sent + grant.seconds
        change = GrantChange()
        for resource in self._registry:
            units = grant.units.get(resource.name, 0)
            borrowing = resource.borrowings.get(peer)
            if borrowing is None:
                if not units:
                    continue
                borrowing = resource.borrowings[peer] = Borrowing()
            before = borrowing.get_units(now)
            if units > before:
                change.grown.append(resource.name)
            change.has_shrunk |= units < before
            borrowing.units = units
            borrowing.until = until
        return change

    # Lending

    def apply_demand(
        self, peer: str, incarnation: int, demand: Demand, now: float
    ) -> ShareGrant | None:
        """Update the state of a peer from its demand; return the grant in reply."""
        state = self._get_peer(peer, incarnation)
        if state is None or demand.sent <= state.sent:
            return None
        state.sent = demand.sent
        self.agreement.record_statement(
            peer,
            incarnation,
            demand.epoch,
            demand.view,
            demand.settled,
            (demand.acknowledged_incarnation, demand.acknowledged),
            demand.left,
        )
        self._update_loans(peer, demand, now)
        return self.make_grant(peer, now)

    def _get_peer(self, name: str, incarnation: int) -> PeerState | None:
        state = self._peers.get(name)
        if state is not None and state.incarnation > incarnation:
            return None
        if state is None or state.incarnation < incarnation:
            if state is not None:
                self._drop_incarnation(name)
            state = self._peers[name] = PeerState(incarnation)
        return state

    def _drop_incarnation(self, name: str) -> None:
        for resource in self._registry.get_known():
            resource.demands.pop(name, None)
            # The earlier incarnation has ended, and so have all its requests.
            resource.loans.pop(name, None)
            borrowing = resource.borrowings.pop(name, None)
            if borrowing is not None and borrowing.in_use:
                old = resource.borrowings.setdefault(
                    make_earlier_key(name), Borrowing()
                )
                old.in_use += borrowing.in_use

    def _update_loans(self, peer: str, demand: Demand, now: float) -> None:
        # Units lent by an earlier incarnation of this entry are not its loans.
        is_mine = demand.lender == self.agreement.incarnation
        number = demand.grant if is_mine else 0
        for name in demand.held.keys() | demand.needs.keys():
            self._registry.get(name)
        for resource in self._registry.get_known():
            name = resource.name
            resource.demands.pop(peer, None)
            if name in demand.needs:
                resource.demands[peer] = PeerDemand(
                    demand.needs[name],
                    demand.units.get(name, 0),
                    demand.wanted.get(name, 0),
                    now + self._lease_s,
                )
            held = demand.held.get(name, 0) if is_mine else 0
            if held or peer in resource.loans:
                until = self._get_end(resource, now)
                loan = resource.loans.setdefault(peer, Loan())
                loan.acknowledge(number, held, until)

    def _get_end(self, resource: Resource, now: float) -> float:
        return now + self._lease_s + resource.limit.run_s + RECLAIM_MARGIN_S

    def make_grant(self, peer: str, now: float) -> ShareGrant | None:
        """Return the grant in reply to the last demand of a peer."""
        state = self._peers.get(peer)
        if state is None or state.sent == -math.inf:
            return None
        if peer not in self.agreement.view:
            return None
        state.last_grant += 1
        grant = ShareGrant(
            incarnation=state.incarnation,
            number=state.last_grant,
            sent=state.sent,
            seconds=self._lease_s,
            units={},
            tokens={},
        )
        for resource in self._registry:
            loan = resource.loans.get(peer)
            if loan is None and peer not in resource.demands:
                continue
            loan = loan or resource.loans.setdefault(peer, Loan())
            units = self._compute_grant(resource, loan, peer, now)
            loan.grant(state.last_grant, units, self._get_end(resource, now))
            if units:
                grant.units[resource.name] = units
            elif not loan.get_liability(now):
                del resource.loans[peer]
        return grant

    def _compute_grant(
        self, resource: Resource, loan: Loan, peer: str, now: float
    ) -> int:
        if self._is_leaving:
            return 0
        return self._make_lending(resource, now).compute_grant(loan, peer)

    def _make_lending(self, resource: Resource, now: float) -> Lending:
        return Lending(resource, self.agreement.process, self._get_linked(), now)

    def find_starved_peers(self, names: Iterable[str], now: float) -> set[str]:
        """Return the peers that are due more units of the named resources."""
        due: set[str] = set()
        for name in names:
            resource = self._registry.find(name)
            if resource is not None and resource.count_own_free(now) > 0:
                due.update(self._make_lending(resource, now).plan())
        return due

    def get_wanted(self, peer: str) -> list[str]:
        """Return the resources that a peer needs."""
        return [
            item.name for item in self._registry.get_known() if peer in item.demands
        ]
