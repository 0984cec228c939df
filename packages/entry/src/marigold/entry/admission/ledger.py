"""Shares of the customers' limits, over all entries together.

Each limit is a number of units. Each unit has a home entry, which uses it or
lends it to the entry that asks for it; so the units in use never pass the limit,
whoever is seen or not. Grants run out when they are not renewed, and the lender
takes the units back only once no request that started on them can still run.

    ledger.set_need("slots/kavics-bt", 3, now)
    if ledger.take("slots/kavics-bt", now):
        ...
        ledger.release("slots/kavics-bt", now)

The ledger does no input or output; times are in seconds of a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from marigold.core.schema.generated.messages import Demand, ShareGrant
from marigold.entry.admission.agreement import Agreement
from marigold.entry.admission.lending import Lending, compute_want
from marigold.entry.admission.loans import (
    Borrowing,
    GrantChange,
    Loan,
    PeerState,
    make_old_name,
)
from marigold.entry.admission.registry import FindLimit, ResourceRegistry
from marigold.entry.admission.resources import Claim, Resource

# Clocks of two hosts run at slightly different speeds.
RECLAIM_MARGIN_S = 1.0


class ShareLedger:
    """One entry's account of its units, lent and borrowed ones."""

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

    def use_links(self, get_linked: Callable[[], Collection[str]]) -> None:
        """Ask a function which peers can be reached now; all can without one."""
        self._get_linked = get_linked

    # Use

    def set_need(self, name: str, need: int, now: float) -> None:
        """Say how many units this entry could use now.

        The highest need of the last second counts, so that units are not handed
        back between two requests.
        """
        resource = self._registry.get(name)
        if resource is not None:
            resource.set_need(need, now)

    def has_free(self, name: str, now: float) -> bool:
        """Tell whether a request may start."""
        resource = self._registry.get(name)
        if resource is None:
            return False
        return self._may_use_own(resource, now) or any(
            item.count_free(now) for item in resource.borrowings.values()
        )

    def take(self, name: str, now: float) -> bool:
        """Use one unit; tell whether there was a free one."""
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
        if not resource.claims:
            return True
        # What others should get is left to them.
        reserved = sum(self._make_lending(resource, now).plan().values())
        return resource.count_own_free(now) > reserved

    def release(self, name: str, now: float) -> None:
        """End the use of one unit.

        Uses are not told apart: units whose loan has run out go back first.
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
        """Return the units on which requests of this entry may run."""
        resource = self._registry.get(name)
        return resource.count_units(now) if resource is not None else 0

    def count_own_units(self, name: str, now: float) -> int:
        """Return this entry's own units that are not lent."""
        resource = self._registry.get(name)
        return resource.count_own(now) if resource is not None else 0

    def count_home_units(self, name: str) -> int:
        """Return the units whose home this entry is, agreed on or not."""
        resource = self._registry.get(name)
        return resource.homes[self.agreement.me] if resource is not None else 0

    def lacks(self, name: str, now: float) -> bool:
        """Tell whether this entry could use more units than it has."""
        resource = self._registry.get(name)
        return resource is not None and resource.need > resource.count_units(now)

    # Views and limits

    def refresh_limits(self) -> None:
        """Look all limits up again after the lists changed."""
        self._registry.refresh_limits()

    def is_settled(self, now: float) -> bool:
        """Tell whether this entry uses and lends no more than its own units."""
        agreement = self.agreement
        if not agreement.is_known() or agreement.is_waiting_for_removed(now):
            return False
        return all(item.count_own_free(now) >= 0 for item in self._registry)

    def step(self, now: float) -> bool:
        """Agree on a changed view when all do; tell whether that brought units."""
        is_agreed = self.agreement.step(now)
        if is_agreed:
            self.agreed_at = now
        return is_agreed

    def leave(self) -> None:
        """Lend and borrow nothing more, ahead of the end of the process."""
        self._is_leaving = True

    def has_left(self, now: float) -> bool:
        """Tell whether nothing is used or lent any more after `leave`."""
        return self._is_leaving and not any(
            item.own_use
            or item.count_lent(now)
            or any(borrowing.in_use for borrowing in item.borrowings.values())
            for item in self._registry.get_known()
        )

    # Borrowing

    def is_busy_with(self, peer: str, now: float) -> bool:
        """Tell whether a peer should hear of this entry often.

        It should while a view is not agreed on and while either has a need or
        has lent to the other.
        """
        if self._is_leaving or self.agreement.views != [self.agreement.view]:
            return True
        return any(
            item.get_need(now) or item.is_shared_with(peer, now)
            for item in self._registry.get_known()
        )

    def make_demand(self, peer: str, now: float) -> Demand:
        """Return the message that a peer gets at each interval."""
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
                else compute_want(resource, self.agreement.me, peer, now)
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
        """Return the peer's epoch, unless an earlier incarnation's units are used."""
        for resource in self._registry.get_known():
            old = resource.borrowings.get(make_old_name(peer))
            if old is not None and old.in_use:
                return 0, 0
        return self.agreement.get_seen(peer)

    def take_grant(
        self, peer: str, incarnation: int, grant: ShareGrant, now: float
    ) -> GrantChange:
        """Take in units that a peer lends."""
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

    def take_demand(
        self, peer: str, incarnation: int, demand: Demand, now: float
    ) -> ShareGrant | None:
        """Take in what a peer says and wants; return the grant for it."""
        state = self._get_peer(peer, incarnation)
        if state is None or demand.sent <= state.sent:
            return None
        state.sent = demand.sent
        self.agreement.take_statement(
            peer,
            incarnation,
            demand.epoch,
            demand.view,
            demand.settled,
            (demand.acknowledged_incarnation, demand.acknowledged),
            demand.left,
        )
        self._take_held(peer, demand, now)
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
            resource.claims.pop(name, None)
            # The earlier incarnation has ended, and all that it ran with it.
            resource.loans.pop(name, None)
            borrowing = resource.borrowings.pop(name, None)
            if borrowing is not None and borrowing.in_use:
                old = resource.borrowings.setdefault(make_old_name(name), Borrowing())
                old.in_use += borrowing.in_use

    def _take_held(self, peer: str, demand: Demand, now: float) -> None:
        # What an earlier incarnation lent is not a loan of this one.
        is_mine = demand.lender == self.agreement.incarnation
        number = demand.grant if is_mine else 0
        for name in demand.held.keys() | demand.needs.keys():
            self._registry.get(name)
        for resource in self._registry.get_known():
            name = resource.name
            resource.claims.pop(peer, None)
            if name in demand.needs:
                resource.claims[peer] = Claim(
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
        """Return a grant in answer to the last demand of a peer."""
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
            if loan is None and peer not in resource.claims:
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
        return Lending(resource, self.agreement.me, self._get_linked(), now)

    def find_due(self, names: Iterable[str], now: float) -> set[str]:
        """Return the peers that should get more of some resources now."""
        due: set[str] = set()
        for name in names:
            resource = self._registry.find(name)
            if resource is not None and resource.count_own_free(now) > 0:
                due.update(self._make_lending(resource, now).plan())
        return due

    def get_wanted(self, peer: str) -> list[str]:
        """Return the resources that a peer claims."""
        return [item.name for item in self._registry.get_known() if peer in item.claims]
