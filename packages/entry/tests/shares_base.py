"""Entries that lend each other units over a simulated network."""

from __future__ import annotations

import random

from marigold.core.schema.generated.messages import Demand
from marigold.entry.admission.agreement import Agreement
from marigold.entry.admission.ledger import RECLAIM_MARGIN_S, ShareLedger
from marigold.entry.admission.resources import Limit

LEASE_S = 3.0
RUN_S = 8.0
TICK_S = 0.001
HOLD_S = LEASE_S + RUN_S + RECLAIM_MARGIN_S
LIMITS = {"slots/a": Limit(7, RUN_S), "slots/b": Limit(1, RUN_S)}


class Entry:
    """Ledger of an entry, with the end times of the requests on its units."""

    def __init__(self, name, incarnation, offset=0.0):
        self.name = name
        self.incarnation = incarnation
        self.offset = offset
        agreement = Agreement(name, incarnation, HOLD_S)
        self.ledger = ShareLedger(agreement, LIMITS.get, LEASE_S)
        self.ends = {resource: [] for resource in LIMITS}
        self.waiting = dict.fromkeys(LIMITS, 0)

    def want(self, resource, waiting, now):
        self.waiting[resource] = waiting
        need = waiting + len(self.ends[resource])
        self.ledger.set_need(resource, need, now + self.offset)

    def start(self, resource, now, end):
        if not self.waiting[resource]:
            return False
        if not self.ledger.take(resource, now + self.offset):
            return False
        self.ends[resource].append(end)
        self.want(resource, self.waiting[resource] - 1, now)
        return True

    def end(self, resource, now):
        over = [end for end in self.ends[resource] if end <= now]
        for end in over:
            self.ends[resource].remove(end)
            self.ledger.release(resource, now + self.offset)
        self.want(resource, self.waiting[resource], now)


class Network:
    """Delivers demands and grants, with loss, delay and partitions."""

    def __init__(self, seed=0, loss=0.0, delay=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay = delay
        self.now = 0.0
        self.entries = {}
        self.partitioned = set()
        self._messages = []

    def add(self, name, offset=0.0):
        entry = Entry(name, int(self.now * 1000) + 1, offset)
        entry.ledger.set_link_source(lambda: self.get_linked(entry))
        self.entries[name] = entry
        return entry

    def set_members(self, *names):
        for entry in self.entries.values():
            entry.ledger.agreement.set_members(names, self.now + entry.offset)

    def count_in_use(self, resource):
        return sum(len(entry.ends[resource]) for entry in self.entries.values())

    def _is_partitioned(self, one, other):
        return (one in self.partitioned) != (other in self.partitioned)

    def get_linked(self, entry):
        peers = entry.ledger.agreement.get_peers()
        return [peer for peer in peers if not self._is_partitioned(entry.name, peer)]

    def _send(self, sender, receiver, message):
        if message is None or self._is_partitioned(sender.name, receiver):
            return
        if self.rng.random() >= self.loss:
            at = self.now + self.rng.uniform(0, self.delay)
            self._messages.append((at, sender, receiver, message))

    def exchange(self):
        """Send the demands of every entry and deliver the messages that are due."""
        self.now += TICK_S
        for entry in self.entries.values():
            now = self.now + entry.offset
            entry.ledger.step(now)
            for peer in entry.ledger.agreement.get_peers():
                self._send(entry, peer, entry.ledger.make_demand(peer, now))
        self.deliver()

    def deliver(self):
        due = [item for item in self._messages if item[0] <= self.now]
        while due:
            self._messages = [item for item in self._messages if item not in due]
            for _, sender, receiver, message in sorted(due, key=lambda i: i[0]):
                self._take(sender, receiver, message)
            due = [item for item in self._messages if item[0] <= self.now]

    def _take(self, sender, receiver, message):
        entry = self.entries.get(receiver)
        if entry is None:
            return
        now = self.now + entry.offset
        peer, incarnation = sender.name, sender.incarnation
        if isinstance(message, Demand):
            grant = entry.ledger.apply_demand(peer, incarnation, message, now)
            self._send(entry, peer, grant)
            for other in entry.ledger.find_starved_peers(message.needs, now) - {peer}:
                self._send(entry, other, entry.ledger.make_grant(other, now))
            return
        change = entry.ledger.apply_grant(peer, incarnation, message, now)
        if change.has_shrunk:
            self.now += TICK_S
            demand = entry.ledger.make_demand(peer, now + TICK_S)
            self._send(entry, peer, demand)

    def advance(self, seconds, step=0.5):
        for _ in range(round(seconds / step)):
            self.now += step
            for entry in self.entries.values():
                for resource in LIMITS:
                    entry.end(resource, self.now)
            self.exchange()
