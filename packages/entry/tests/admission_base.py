"""Customers, capacity checks and requests for the admission tests."""

from __future__ import annotations

import time

from marigold.core.schema.generated.lists import Customer, PlanAllowance
from marigold.entry.admission.agreement import Agreement
from marigold.entry.admission.ledger import ShareLedger
from marigold.entry.admission.limits import CustomerLimits, LimitTable
from marigold.entry.admission.policy import CapacityCheck, QueuedRequest
from marigold.entry.lists.compiled import CompiledLists, CustomerPlan
from marigold.entry.routing.requests import Request
from marigold.entry.routing.router import TargetView


def make_customer(name, plan="standard", precedence=1, capacity=1.0, **options):
    customer = Customer(plan=plan, keys=["0" * 64], **options)
    allowance = PlanAllowance(precedence=precedence, capacity=capacity)
    return CustomerPlan(name, customer, allowance)


def make_request(customer, number=0, versions=("1",), timeout=60.0):
    return Request(
        id=f"{customer.name}-{number}",
        customer=customer,
        service="assistant",
        method="POST",
        path="/",
        headers={},
        body=b"",
        timeout=timeout,
        versions=list(versions),
    )


def make_view(host, versions=("1",), limit=1):
    view = TargetView(host, "assistant", True)
    view.is_open = True
    view.last_message_at = time.monotonic()
    view.limit = limit
    view.versions = list(versions)
    return view


def make_limits(customers, views, entries=("e1",)):
    """Return the ledger and limits of an entry whose customers can change."""

    def get_lists():
        plans = {item.plan: item.allowance for item in customers.values()}
        return CompiledLists(1, customers, {}, plans)

    def count_slots(service):
        return sum(view.limit for view in views)

    table = LimitTable(get_lists, count_slots, 60.0)
    ledger = ShareLedger(Agreement(entries[0], 1, 60.0), table.find, 3.0)
    ledger.agreement.set_members(entries, 0.0)
    ledger.step(-1e9)
    return ledger, CustomerLimits(ledger, get_lists, -1e9)


class FakeCapacityCheck(CapacityCheck):
    """Capacity check that rejects the customers and versions in `closed`."""

    def __init__(self):
        self.closed = set()

    def has_capacity(self, queued):
        return self.closed.isdisjoint(queued.versions)

    def has_slot(self, customer):
        return customer.name not in self.closed


class Queue:
    """Policy under test, with numbered requests."""

    def __init__(self, policy):
        self.policy = policy
        self.check = FakeCapacityCheck()
        self.sequence = 0

    def add(self, customer, count=1, versions=("1",)):
        added = []
        for _ in range(count):
            self.sequence += 1
            name = f"{customer.name}-{self.sequence}"
            queued = QueuedRequest(name, customer, self.sequence, 0.0, versions)
            self.policy.add(queued)
            added.append(queued)
        return added

    def take(self, count):
        admitted = [self.policy.take_next(0.0, self.check) for _ in range(count)]
        return [item for item in admitted if item is not None]
