from __future__ import annotations

import unittest

from companion_fakes import BOUND_S, COPY_S

from marigold.core.rollout.planner import PlanHost
from marigold.target.companion.goals import VersionGoals
from marigold.target.companion.sharing import SharePlanner
from marigold.target.companion.switching import LAST_ORDER_S, LEAD_S, SwitchTurns


class GoalTests(unittest.TestCase):
    def choose(self, goals, held, leads=False):
        chosen = goals.choose(held, lambda version: leads)
        return [goal.version for goal in chosen]

    def test_version_that_is_held_needs_nothing(self):
        goals = VersionGoals(BOUND_S, COPY_S)
        goals.note(1, 0.0)
        self.assertEqual(self.choose(goals, 1), [])

    def test_empty_runner_is_brought_to_the_newest(self):
        goals = VersionGoals(BOUND_S, COPY_S)
        goals.note(1, 0.0)
        goals.note(2, 20.0)
        self.assertEqual(self.choose(goals, None), [2])

    def test_version_that_is_overtaken_soon_is_left_out(self):
        goals = VersionGoals(BOUND_S, COPY_S)
        goals.note(2, 20.0)
        goals.note(3, 22.0)
        self.assertEqual(self.choose(goals, 1), [3])

    def test_some_lead_where_two_versions_do_not_fit(self):
        goals = VersionGoals(BOUND_S, COPY_S)
        goals.note(2, 20.0)
        goals.note(3, 24.0)
        self.assertEqual(self.choose(goals, 1), [2, 3])
        self.assertEqual(self.choose(goals, 1, leads=True), [3])

    def test_version_that_replaces_another_is_needed_when_that_one_was(self):
        """Found in alapko-marigold-large quiet-1: two seconds without weights."""
        goals = VersionGoals(13.4, COPY_S)
        goals.note(2, 20.0)
        goals.note(3, 24.0)
        goal = goals.choose(1, lambda version: True)[0]
        self.assertEqual(goal.due_at, 37.4)
        self.assertEqual(goals.get_needed_at(3, held=1), 33.4)

    def test_runner_with_the_version_in_between_has_until_the_newest_is_due(self):
        goals = VersionGoals(BOUND_S, COPY_S)
        goals.note(2, 20.0)
        goals.note(3, 24.0)
        self.assertEqual(goals.get_needed_at(3, held=1), 20.0 + BOUND_S)
        self.assertEqual(goals.get_needed_at(3, held=2), 24.0 + BOUND_S)
        self.assertEqual(goals.get_needed_at(3, held=None), 24.0 + BOUND_S)

    def test_versions_far_apart_are_both_brought(self):
        goals = VersionGoals(BOUND_S, COPY_S)
        goals.note(2, 20.0)
        goals.note(3, 29.0)
        self.assertEqual(self.choose(goals, 1, leads=True), [2, 3])


class SwitchTurnTests(unittest.TestCase):
    runners = tuple(f"10.0.0.{number}:7" for number in range(9))

    def test_turns_are_all_different_and_the_same_everywhere(self):
        turns = SwitchTurns()
        found = [turns.get_turn(item, self.runners, 2) for item in self.runners]
        self.assertEqual(sorted(found), list(range(9)))
        again = [turns.get_turn(item, self.runners[::-1], 2) for item in self.runners]
        self.assertEqual(found, again)

    def test_last_runner_switches_before_the_version_is_due(self):
        turns = SwitchTurns()
        starts = [turns.get_start(turn, 9, 106.0, 108.0) for turn in range(9)]
        self.assertEqual(starts[0], 106.0)
        self.assertLessEqual(starts[-1], 108.0 - LAST_ORDER_S + 1e-9)

    def test_copies_that_are_complete_too_late_switch_at_once(self):
        turns = SwitchTurns()
        self.assertEqual(turns.get_start(8, 9, 109.0, 108.0), 109.0)

    def test_first_runners_pause_before_their_copy_is_complete(self):
        turns = SwitchTurns()
        early = [turns.is_early(turn, 9, LEAD_S / 2) for turn in range(9)]
        self.assertEqual(early, [True] * 4 + [False] * 5)
        self.assertFalse(turns.is_early(0, 9, LEAD_S + 0.1))
        self.assertFalse(turns.is_early(0, 2, LEAD_S / 2))

    def test_no_runner_pauses_early_where_there_is_room_after_the_copies(self):
        turns = SwitchTurns()
        self.assertEqual(turns.get_lead(106.0, 114.5), 0.0)
        self.assertEqual(turns.get_lead(106.0, 107.0), LEAD_S)
        part = turns.get_lead(106.0, 113.0)
        self.assertTrue(0.0 < part < LEAD_S)

    def choose_leading(self, *regions):
        hosts = [make_host(number, item) for number, item in enumerate(regions)]
        leading = SwitchTurns().choose_leading(hosts, "central", 3)
        return [host for host in hosts if host.host in leading]

    def test_hosts_of_the_origin_lead_where_others_can_carry_the_load(self):
        leading = self.choose_leading("central", "east", "central", "west", "west")
        self.assertEqual({host.region for host in leading}, {"central"})
        self.assertEqual(len(leading), 2)

    def test_a_third_leads_where_the_origin_is_elsewhere(self):
        self.assertEqual(len(self.choose_leading(*["east"] * 9)), 3)
        self.assertEqual(len(self.choose_leading(*["central"] * 9)), 3)


def make_host(number, region):
    address = f"10.0.0.{number}:7"
    return PlanHost(address, region, address)


class SharePlannerTests(unittest.TestCase):
    def setUp(self):
        self.planner = SharePlanner("central")
        regions = ["central"] * 3 + ["east"] * 2
        self.hosts = [make_host(number, item) for number, item in enumerate(regions)]

    def plan_all(self, holding=()):
        return {
            host.host: self.planner.plan(host, self.hosts, holding, 96, "m/2")
            for host in self.hosts
        }

    def test_origin_sends_each_chunk_once_and_to_its_own_region(self):
        plans = self.plan_all()
        chunks = [item for plan in plans.values() for item in plan.origin_chunks]
        self.assertEqual(sorted(chunks), list(range(96)))
        for host in self.hosts:
            if host.region != "central":
                self.assertEqual(plans[host.host].origin_chunks, [])

    def test_each_chunk_enters_another_region_once(self):
        plans = self.plan_all()
        entering = [
            chunk
            for host in self.hosts
            if host.region == "east"
            for chunks in plans[host.host].remote.values()
            for chunk in chunks
        ]
        self.assertEqual(sorted(entering), list(range(96)))

    def test_joining_host_takes_the_version_from_hosts_of_its_region(self):
        holder = make_host(9, "east")
        plans = self.plan_all([holder])
        east = [plans[host.host] for host in self.hosts if host.region == "east"]
        for plan in east:
            self.assertIn(holder.address, plan.sources)
            self.assertEqual((plan.origin_chunks, plan.remote), ([], {}))

    def test_region_without_a_holder_takes_each_chunk_from_another_once(self):
        holder = make_host(9, "central")
        plans = self.plan_all([holder])
        entering = [
            chunk
            for host in self.hosts
            if host.region == "east"
            for chunk in plans[host.host].remote[holder.address]
        ]
        self.assertEqual(sorted(entering), list(range(96)))
