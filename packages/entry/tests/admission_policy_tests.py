from __future__ import annotations

import random
import unittest
from collections import Counter

from admission_base import Queue, make_customer

from marigold.entry.admission.baselines import ArrivalOrderAdmission
from marigold.entry.admission.fair import (
    MAXIMUM_BYPASSES,
    MAXIMUM_CREDIT,
    FairShareAdmission,
)


def count_by_customer(admitted):
    return Counter(item.customer.name for item in admitted)


class FairShareTests(unittest.TestCase):
    def setUp(self):
        self.queue = Queue(FairShareAdmission())

    def test_shares_follow_weights(self):
        for name, weight in (("a", 4), ("b", 2), ("c", 1)):
            self.queue.add(make_customer(name, weight=weight), 100)
        counts = count_by_customer(self.queue.take(70))
        self.assertEqual(counts, {"a": 40, "b": 20, "c": 10})

    def test_customer_gets_bounded_credit_for_idle_time(self):
        busy, late = make_customer("busy"), make_customer("late")
        self.queue.add(busy, 1200)
        self.queue.take(1000)
        self.queue.add(late, 200)
        credit = int(MAXIMUM_CREDIT)
        counts = count_by_customer(self.queue.take(100))
        # The credit is used first; after that both get equal shares.
        self.assertAlmostEqual(counts["late"], credit + (100 - credit) / 2, delta=1)

    def test_customer_that_uses_its_share_has_no_credit(self):
        first, second = make_customer("first"), make_customer("second")
        for _ in range(50):
            self.queue.add(first, 2)
            self.queue.add(second, 2)
            self.queue.take(4)
        self.queue.add(first, 50)
        self.queue.add(second, 50)
        counts = count_by_customer(self.queue.take(20))
        self.assertAlmostEqual(counts["first"], 10, delta=1)

    def test_lower_precedences_get_a_bounded_share(self):
        for precedence in range(3):
            customer = make_customer(str(precedence), precedence=precedence)
            self.queue.add(customer, 400)
        admitted = self.queue.take(320)
        counts = count_by_customer(admitted)
        self.assertGreaterEqual(counts["1"], 8)
        self.assertGreaterEqual(counts["2"], 8)
        self.assertGreaterEqual(counts["0"], 320 * MAXIMUM_BYPASSES // 16 - 2)
        for item in admitted:
            self.assertEqual(item.turn == "share", item.customer.precedence > 0)

    def test_removal_and_restore_keep_order_of_customer(self):
        requests = self.queue.add(make_customer("a"), 6)
        self.queue.policy.remove(requests[0])
        self.queue.policy.remove(requests[3])
        self.queue.policy.remove(requests[3])
        first = self.queue.take(1)[0]
        self.queue.policy.restore(first)
        expected = [requests[index] for index in (1, 2, 4, 5)]
        self.assertEqual(self.queue.take(9), expected)
        self.assertEqual(len(self.queue.policy), 0)

    def test_customer_without_slot_waits_until_unblocked(self):
        full, other = make_customer("full"), make_customer("other")
        waiting = self.queue.add(full, 1)[0]
        self.queue.add(other, 2)
        self.queue.check.closed.add("full")
        self.assertEqual(count_by_customer(self.queue.take(9)), {"other": 2})
        self.queue.check.closed.clear()
        self.queue.policy.unblock("full")
        self.assertEqual(self.queue.take(1), [waiting])
        self.assertGreater(waiting.holds, 0)

    def test_plan_without_capacity_blocks_no_other(self):
        stuck = make_customer("stuck", plan="large", precedence=0)
        held = self.queue.add(stuck, 5, versions=("2",))[0]
        free = self.queue.add(make_customer("free"), 5)
        self.queue.check.closed.add("2")
        self.assertEqual(self.queue.take(9), free)
        self.assertEqual({item.turn for item in free}, {"order"})
        self.queue.check.closed.clear()
        self.assertIs(self.queue.take(1)[0], held)
        self.assertGreater(held.holds, 0)

    def test_credit_of_reopened_plan_is_bounded(self):
        stuck = make_customer("stuck", plan="new")
        self.queue.add(stuck, 100, versions=("2",))
        self.queue.add(make_customer("free"), 300)
        self.queue.check.closed.add("2")
        self.queue.take(100)
        self.queue.check.closed.clear()
        credit = int(MAXIMUM_CREDIT)
        counts = count_by_customer(self.queue.take(100))
        self.assertAlmostEqual(counts["stuck"], credit + (100 - credit) / 2, delta=1)

    def test_random_operations_keep_count_and_order(self):
        rng = random.Random(4)
        customers = [
            make_customer(str(number), plan=str(number % 3), precedence=number % 3)
            for number in range(9)
        ]
        waiting, last = {}, {}
        for _ in range(5000):
            customer = rng.choice(customers)
            action = rng.random()
            if action < 0.4:
                for item in self.queue.add(customer, versions=(str(action < 0.1),)):
                    waiting[item.sequence] = item
            elif action < 0.5 and waiting:
                item = waiting.pop(rng.choice(list(waiting)))
                self.queue.policy.remove(item)
            elif action < 0.6:
                self.queue.check.closed ^= {customer.name}
                self.queue.policy.unblock(customer.name)
            else:
                for item in self.queue.take(1):
                    del waiting[item.sequence]
                    name = item.customer.name
                    self.assertGreater(item.sequence, last.get(name, 0))
                    last[name] = item.sequence
            self.assertEqual(len(self.queue.policy), len(waiting))
        self.queue.check.closed.clear()
        for customer in customers:
            self.queue.policy.unblock(customer.name)
        self.assertEqual(len(self.queue.take(len(waiting) + 1)), len(waiting))


class ArrivalOrderTests(unittest.TestCase):
    def test_admits_in_arrival_order_and_skips_blocked_customers(self):
        queue = Queue(ArrivalOrderAdmission())
        first = queue.add(make_customer("a"), 2)
        second = queue.add(make_customer("b"), 2)
        queue.check.closed.add("a")
        self.assertEqual(queue.take(1), second[:1])
        queue.check.closed.clear()
        self.assertEqual(queue.take(9), first + second[1:])
