from __future__ import annotations

import unittest

from marigold.entry.admission.agreement import Agreement

VIEW = ("entry-1", "entry-2")
HOLD_S = 100.0


class ProvisionalTests(unittest.TestCase):
    def make(self):
        agreement = Agreement("entry-1", 1, HOLD_S, provisional_s=2.0)
        agreement.set_members(VIEW, 10.0)
        return agreement

    def test_entry_partitioned_at_start_uses_home_units_after_timeout(self):
        agreement = self.make()
        self.assertFalse(agreement.step(11.9))
        self.assertEqual(agreement.views, [])
        self.assertTrue(agreement.step(12.0))
        self.assertEqual(agreement.views, [VIEW])

    def test_later_views_require_agreement(self):
        agreement = self.make()
        agreement.step(12.0)
        agreement.set_members((*VIEW, "entry-3"), 13.0)
        self.assertFalse(agreement.step(99.0))
        self.assertEqual(len(agreement.views), 2)

    def test_new_view_restarts_provisional_timeout(self):
        agreement = self.make()
        agreement.set_members((*VIEW, "entry-3"), 11.5)
        self.assertFalse(agreement.step(13.0))
