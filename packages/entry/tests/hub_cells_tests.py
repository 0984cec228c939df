from __future__ import annotations

import random
import unittest

from hub_fakes import REGIONS, make_member, make_members

from marigold.entry.hub.cells import CELL_ENTRIES, SINGLE_CELL, CellMap

CENTRES = tuple(REGIONS)


class CellTests(unittest.TestCase):
    def test_small_deployment_is_one_cell(self):
        cells = CellMap(make_members(7, CENTRES), REGIONS)
        self.assertEqual(cells.get_cells(), [SINGLE_CELL])
        self.assertEqual(len(cells.get_hub_order(SINGLE_CELL)), 7)

    def test_each_data_centre_of_a_large_deployment_is_a_cell(self):
        members = make_members(CELL_ENTRIES * len(CENTRES), CENTRES)
        cells = CellMap(members, REGIONS)
        self.assertEqual(cells.get_cells(), sorted(CENTRES))
        for cell in CENTRES:
            self.assertEqual(len(cells.get_hub_order(cell)), CELL_ENTRIES)

    def test_data_centre_without_entries_belongs_to_another_cell(self):
        members = make_members(CELL_ENTRIES * 3, ("bp-a", "debr-a"))
        cells = CellMap(members, REGIONS)
        self.assertEqual(cells.get_cell("gyor-a"), "bp-a")

    def test_hub_order_is_the_same_everywhere_and_begins_with_the_largest(self):
        members = make_members(30)
        members.append(make_member("large", capacity=2.0))
        orders = []
        for seed in range(5):
            random.Random(seed).shuffle(members)
            cells = CellMap(members, {"gyor-a": "west"})
            orders.append([item.process for item in cells.get_hub_order(SINGLE_CELL)])
        self.assertEqual(orders[0][0], "large")
        self.assertTrue(all(order == orders[0] for order in orders))

    def test_load_of_a_hub_depends_on_its_data_centre_only(self):
        """Entries of a hub at 99, 300 and 732 hosts, and with 21 data centres."""
        sizes = []
        for entries, centres in ((99, 5), (176, 5), (430, 5), (730, 21)):
            names = tuple(f"dc{number}" for number in range(centres))
            cells = CellMap(make_members(entries, names), dict.fromkeys(names, "r"))
            sizes.append(max(len(cells.get_hub_order(name)) for name in names))
        self.assertEqual(sizes, [20, 36, 86, 35])
