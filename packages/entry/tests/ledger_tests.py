from __future__ import annotations

import unittest

from hypothesis import given, seed, settings, strategies as st
from shares_base import HOLD_S, LEASE_S, LIMITS, RUN_S, Network

from marigold.entry.admission.agreement import compute_homes
from marigold.entry.admission.loans import divide
from marigold.entry.admission.resources import Limit

A, B = "slots/a", "slots/b"
TOTAL = LIMITS[A].units
NAMES = ("e1", "e2", "e3")


class ShareLedgerTests(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        for number, name in enumerate(NAMES):
            self.network.add(name, offset=number * 1000.0)
        self.network.set_members(*NAMES)
        self.network.exchange()
        self.network.advance(3)

    def count(self, name, resource=A):
        entry = self.network.entries[name]
        return entry.ledger.count_units(resource, self.network.now + entry.offset)

    def saturate(self, name, resource=A, seconds=0.5, waiting=99):
        entry = self.network.entries[name]
        entry.want(resource, waiting, self.network.now)
        while entry.start(resource, self.network.now, self.network.now + seconds):
            pass

    def test_units_sum_to_the_limit(self):
        self.assertEqual(sum(self.count(name) for name in NAMES), TOTAL)
        self.assertEqual(sum(self.count(name, B) for name in NAMES), 1)

    def test_one_entry_gets_all_units_within_a_round_trip(self):
        self.saturate("e1")
        self.network.exchange()
        self.assertEqual(self.count("e1"), TOTAL)

    def test_unneeded_units_are_returned(self):
        self.saturate("e1", seconds=1.0, waiting=TOTAL)
        self.network.exchange()
        self.network.entries["e1"].want(A, 0, self.network.now)
        self.network.advance(4)
        self.saturate("e2")
        self.network.exchange()
        self.assertEqual(self.count("e2"), TOTAL)

    def test_demand_at_two_entries_divides_the_units(self):
        for _ in range(20):
            self.saturate("e1")
            self.saturate("e2")
            self.network.advance(0.5)
        for name in ("e1", "e2"):
            self.assertGreaterEqual(self.count(name), TOTAL // 2)

    def test_single_unit_rotates_among_entries(self):
        started = dict.fromkeys(NAMES, 0)
        for _ in range(80):
            for name in NAMES:
                entry = self.network.entries[name]
                entry.want(B, 50 if name == "e1" else 1, self.network.now)
                end = self.network.now + 0.25
                started[name] += entry.start(B, self.network.now, end)
            self.assertLessEqual(self.network.count_in_use(B), 1)
            self.network.advance(0.5)
        self.assertGreater(min(started.values()), 4)

    def test_joining_entry_has_no_units_before_agreement(self):
        joining = self.network.add("e4", offset=50.0)
        joining.ledger.agreement.set_members([*NAMES, "e4"], self.network.now + 50.0)
        self.network.advance(3)
        self.assertEqual(self.count("e4"), 0)
        self.network.set_members(*NAMES, "e4")
        self.network.advance(2)
        own = compute_homes(A, TOTAL, (*NAMES, "e4")).count("e4")
        self.assertEqual(self.count("e4"), own)

    def test_partitioned_entry_keeps_own_and_loses_borrowed_units(self):
        own = self.count("e1")
        self.saturate("e1", seconds=0.5)
        self.network.exchange()
        self.assertGreater(self.count("e1"), own)
        self.network.partitioned = {"e1"}
        self.network.advance(LEASE_S + 0.5)
        self.assertEqual(self.count("e1"), own)
        self.saturate("e2")
        self.network.advance(RUN_S + 2)
        self.saturate("e2", seconds=1)
        self.assertEqual(self.count("e2"), TOTAL - own)

    def test_partitioned_entries_divide_their_own_units(self):
        # The unreachable entry is home to most units, so that an equal share of the
        # whole limit is more than all units of the others.
        homes = compute_homes(A, TOTAL, NAMES)
        unreachable = max(NAMES, key=homes.count)
        first, second = sorted(set(NAMES) - {unreachable}, key=homes.count)
        self.network.partitioned = {unreachable}
        self.network.advance(LEASE_S + RUN_S)
        self.saturate(first, waiting=99)
        self.network.exchange()
        self.assertEqual(self.count(first), TOTAL - homes.count(unreachable))
        for _ in range(10):
            self.saturate(first, waiting=99)
            self.saturate(second, waiting=99)
            self.network.advance(0.5)
        fair = (TOTAL - homes.count(unreachable)) // 2
        self.assertGreaterEqual(self.count(first), fair)
        self.assertGreaterEqual(self.count(second), fair)

    def test_units_of_dead_entry_are_reclaimed_after_its_removal(self):
        self.saturate("e1", seconds=RUN_S)
        self.network.exchange()
        self.saturate("e1", seconds=RUN_S)
        del self.network.entries["e1"]
        self.network.set_members("e2", "e3")
        self.network.advance(HOLD_S + 1)
        self.assertEqual(self.count("e2") + self.count("e3"), TOTAL)

    def test_entry_that_left_does_not_delay_agreement(self):
        self.network.entries["e1"].ledger.leave()
        self.network.advance(1)
        del self.network.entries["e1"]
        self.network.set_members("e2", "e3")
        self.network.advance(2)
        self.assertEqual(self.count("e2") + self.count("e3"), TOTAL)

    def test_lowered_limit_is_enforced(self):
        self.saturate("e1")
        self.network.exchange()
        self.addCleanup(LIMITS.__setitem__, A, LIMITS[A])
        LIMITS[A] = Limit(2, RUN_S)
        for entry in self.network.entries.values():
            entry.ledger.refresh_limits()
        self.network.advance(5)
        self.assertEqual(sum(self.count(name) for name in NAMES), 2)


class RandomFaultsTests(unittest.TestCase):
    @seed(4)
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 10**6), st.floats(0, 0.4), st.floats(0, 2.5))
    def test_units_in_use_never_exceed_the_limit(self, number, loss, delay):
        simulation = FaultSimulation(number, loss, delay)
        for _ in range(400):
            simulation.step()
            for resource, limit in LIMITS.items():
                in_use = simulation.network.count_in_use(resource)
                self.assertLessEqual(in_use, limit.units, resource)


class FaultSimulation:
    """Entries that start, crash, restart, leave and are partitioned at random.

    The host list still contains a crashed entry for some time, and entries read
    changes of the list late.
    """

    def __init__(self, number, loss, delay):
        self.network = Network(number, loss, delay)
        self.rng = self.network.rng
        self.list = [f"e{index}" for index in range(self.rng.randint(1, 4))]
        self.dead = {}
        self.last = len(self.list)
        for name in self.list:
            self.start(name)

    def start(self, name):
        self.network.add(name, offset=self.rng.uniform(0, 1000))

    def step(self):
        network, rng = self.network, self.rng
        if rng.random() < 0.03:
            self.change()
        for name, at in list(self.dead.items()):
            if at <= network.now:
                del self.dead[name]
                self.list.remove(name)
        for entry in network.entries.values():
            if rng.random() < 0.2:
                now = network.now + entry.offset
                entry.ledger.agreement.set_members(self.list, now)
            for resource in LIMITS:
                if rng.random() < 0.3:
                    entry.want(resource, rng.randint(0, 8), network.now)
                end = network.now + rng.uniform(0, RUN_S)
                while entry.start(resource, network.now, end):
                    pass
        network.advance(0.25, step=0.25)

    def change(self):
        network, rng = self.network, self.rng
        action = rng.choice(["kill", "restart", "join", "cut", "heal", "leave"])
        names = sorted(network.entries)
        if action == "join" and len(names) < 5:
            self.last += 1
            self.list.append(f"e{self.last}")
            self.start(f"e{self.last}")
        elif action in ("kill", "restart") and names:
            name = rng.choice(names)
            del network.entries[name]
            if action == "restart":
                self.start(name)
            else:
                self.dead[name] = network.now + rng.uniform(0, 5)
        elif action == "leave" and names:
            network.entries[rng.choice(names)].ledger.leave()
        elif action in ("cut", "heal"):
            count = rng.randint(0, len(names)) if action == "cut" else 0
            network.partitioned = set(rng.sample(names, count))


class DivideTests(unittest.TestCase):
    @seed(4)
    @settings(deadline=None)
    @given(st.integers(0, 50), st.lists(st.integers(0, 20), min_size=1, max_size=8))
    def test_total_is_bounded_and_division_is_max_min_fair(self, units, wants):
        claims = [(str(index), want) for index, want in enumerate(wants)]
        shares = divide(units, claims)
        self.assertEqual(sum(shares.values()), min(units, sum(wants)))
        for name, want in claims:
            self.assertLessEqual(shares[name], want)
            smaller = min(want, min(shares.values()))
            self.assertGreaterEqual(shares[name], smaller)
