from __future__ import annotations

import random
import unittest
from collections import Counter

from marigold.entry.hub.spillover import (
    REPORT_LIFETIME_S,
    NeighbourLoad,
    choose_neighbour,
)


def make_neighbour(name, free, now=10.0):
    neighbour = NeighbourLoad(name)
    neighbour.update({"model": free}, now)
    return neighbour


class SpilloverTests(unittest.TestCase):
    def choose(self, *neighbours, now=10.0):
        return choose_neighbour(neighbours, "model", now, random.Random(1))

    def test_cell_without_free_places_is_not_chosen(self):
        self.assertIsNone(self.choose(make_neighbour("bp-a", 0)))
        self.assertIsNone(self.choose(make_neighbour("bp-a", 2)))

    def test_reserved_places_are_not_used_again_until_the_next_report(self):
        neighbour = make_neighbour("bp-a", 8)
        reserved = 0
        while self.choose(neighbour) is not None:
            neighbour.reserve("model")
            reserved += 1
        self.assertLess(reserved, 8)
        self.assertGreater(reserved, 3)
        neighbour.update({"model": 8}, 10.2)
        self.assertIs(self.choose(neighbour, now=10.2), neighbour)

    def test_expired_report_is_ignored(self):
        neighbour = make_neighbour("bp-a", 8)
        self.assertIsNone(self.choose(neighbour, now=10.1 + REPORT_LIFETIME_S))

    def test_refusal_excludes_a_cell_until_its_next_report(self):
        neighbour = make_neighbour("bp-a", 8)
        neighbour.mark_full("model")
        self.assertIsNone(self.choose(neighbour))

    def test_cells_with_more_free_places_are_chosen_more_often(self):
        rng = random.Random(1)
        chosen = Counter()
        for _ in range(300):
            full, empty = make_neighbour("full", 6), make_neighbour("empty", 60)
            chosen[choose_neighbour([full, empty], "model", 10.0, rng).name] += 1
        self.assertGreater(chosen["empty"], 5 * chosen["full"])
