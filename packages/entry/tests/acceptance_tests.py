from __future__ import annotations

import asyncio
import hashlib
import json
import unittest
from unittest import mock

from fake_objects import FakeObjects

from marigold.core.exceptions import PlatformUnreachableError
from marigold.entry.lists import acceptance
from marigold.entry.lists.acceptance import Edit, ListAcceptor
from marigold.entry.lists.exceptions import RevisionConflictError
from marigold.entry.lists.follower import ListFollower
from marigold.entry.lists.store import ACCEPTED, EDITED, ListStore


def make_plans(*names, plan="basic", rate=1):
    rows = ["customers:"]
    for name in names:
        key = hashlib.sha256(name.encode()).hexdigest()
        rows.append(f"  {name}: {{plan: {plan}, keys: [{key}], rate: {rate}}}")
    return "\n".join(rows) + "\n"


def make_allowances(*plans, version="1"):
    model = f"{{name: m, version: '{version}'}}"
    rows = [f"  {plan}: {{precedence: 1, models: [{model}]}}" for plan in plans]
    return "\n".join(["plans:", *rows]) + "\n"


PLANS = make_plans("alma")
ALLOWANCES = make_allowances("basic")


class Node:
    """The store, follower and acceptor of the lists at one entry process."""

    def __init__(self, objects):
        self.store = ListStore(objects)
        self.follower = ListFollower()
        self.acceptor = ListAcceptor(
            self.store, self.follower.get_state, self.follower.apply_state
        )

    async def change(self, **edits):
        made = {name: Edit(*edit) for name, edit in edits.items()}
        return await self.acceptor.change(made)

    async def refresh(self):
        record = (await self.store.get_accepted()).record
        state = await self.store.load_state(record, self.follower.state)
        await self.follower.apply_state(state)

    async def get_names(self):
        await self.refresh()
        return set(self.follower.current.customers)


class AcceptanceTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch.object(acceptance, "RETRY_S", 0.001))
        self.enterContext(mock.patch.object(acceptance, "CHANGE_TIMEOUT_S", 1.0))
        self.objects = FakeObjects()
        self.first, self.second = Node(self.objects), Node(self.objects)
        result = await self.first.change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
        self.assertEqual(result.ok.generation, 1)


class ConcurrentEditTests(AcceptanceTestCase):
    async def test_one_of_two_operators_wins_and_the_other_gets_its_version(self):
        results = await asyncio.gather(
            self.first.change(plans=(make_plans("barack"), 1)),
            self.second.change(plans=(make_plans("cseresznye"), 1)),
            return_exceptions=True,
        )
        lost = [item for item in results if isinstance(item, RevisionConflictError)]
        self.assertEqual([exc.revision for exc in lost], [2])
        self.assertTrue(lost[0].is_certain)
        winner = "cseresznye" if results[0] is lost[0] else "barack"
        self.assertEqual(await self.first.get_names(), {winner})

    async def test_concurrent_edits_of_different_lists_both_take_effect(self):
        results = await asyncio.gather(
            self.first.change(plans=(make_plans("barack"), 1)),
            self.second.change(allowances=(make_allowances("basic", "large"), 1)),
        )
        self.assertTrue(all(result.is_ok() for result in results))
        await self.first.refresh()
        self.assertEqual(set(self.first.follower.current.plans), {"basic", "large"})
        self.assertEqual(set(self.first.follower.current.customers), {"barack"})

    async def test_edit_without_changes_creates_no_generation(self):
        result = await self.first.change(plans=(PLANS, None))
        self.assertEqual((result.ok.generation, result.ok.revisions), (1, {"plans": 1}))

    async def test_pair_made_invalid_by_a_concurrent_edit_is_refused(self):
        other = make_plans("barack", plan="large")
        await self.first.change(allowances=(make_allowances("basic", "large"), 1))

        async def remove_plan(name):
            self.objects.before_write = None
            await self.second.change(allowances=(ALLOWANCES, 2))

        self.objects.before_write = remove_plan
        result = await self.first.change(plans=(other, 1))
        self.assertIn("no plan 'large'", result.error[0].expected)
        self.assertEqual(await self.first.get_names(), {"alma"})


class AdvanceTests(AcceptanceTestCase):
    async def write_edit(self, plans):
        edited = await self.first.store.get_edited()
        edited.pair.plans = await self.first.store.make_edited_list(plans, 2)
        await self.first.store.put_edited(edited.pair, edited.version)

    async def test_two_entries_that_advance_concurrently_create_one_generation(self):
        await self.write_edit(make_plans("barack"))
        results = await asyncio.gather(
            self.first.acceptor.advance(), self.second.acceptor.advance()
        )
        self.assertEqual([result.ok for result in results], [2, 2])

    async def test_edit_of_a_dead_process_is_accepted_by_another(self):
        await self.write_edit(make_plans("barack"))
        self.assertEqual((await self.second.acceptor.advance()).ok, 2)
        self.assertEqual(await self.first.get_names(), {"barack"})

    async def test_slow_entry_does_not_replace_a_newer_pair(self):
        await self.write_edit(make_plans("barack"))

        async def overtake(name):
            self.objects.before_write = None
            await self.second.change(plans=(make_plans("cseresznye"), 2))

        self.objects.before_write = overtake
        result = await self.first.acceptor.advance()
        self.assertEqual(await self.first.get_names(), {"cseresznye"})
        self.assertEqual(result.ok, self.first.follower.state.generation)

    async def test_previous_version_of_a_model_is_the_fallback(self):
        await self.first.change(allowances=(make_allowances("basic", version="2"), 1))
        self.assertEqual(self.first.follower.current.fallback, {"m": ["1"]})

    async def test_versions_that_may_still_serve_are_kept_as_fallbacks(self):
        for revision, version in enumerate(("2", "3"), start=1):
            allowances = make_allowances("basic", version=version)
            await self.first.change(allowances=(allowances, revision))
        self.assertEqual(self.first.follower.current.fallback, {"m": ["2", "1"]})


class LostResponseTests(AcceptanceTestCase):
    async def test_change_succeeds_when_responses_to_its_writes_are_lost(self):
        for revision, lost in enumerate(
            ({EDITED}, {ACCEPTED}, {EDITED, ACCEPTED}), start=1
        ):
            with self.subTest(lost):
                self.objects.lost_answers = set(lost)
                edit = (make_plans(f"customer-{revision}"), revision)
                result = await self.first.change(plans=edit)
                self.assertEqual(result.ok.revisions, {"plans": revision + 1})
                self.assertEqual(result.ok.generation, revision + 1)

    async def test_edit_overwritten_before_it_is_read_back_raises_an_uncertain_conflict(
        self,
    ):
        self.objects.lost_answers = {EDITED}
        pending = asyncio.create_task(
            self.first.change(plans=(make_plans("barack"), 1))
        )
        while self.objects.lost_answers:
            await asyncio.sleep(0)
        self.objects.outage = True
        edited = json.loads(self.objects.objects[EDITED][1])
        edited["plans"] = {"revision": 3, "text": make_plans("cseresznye")}
        await self.objects.put(EDITED, json.dumps(edited).encode())
        self.objects.outage = False
        with self.assertRaises(RevisionConflictError) as caught:
            await pending
        self.assertFalse(caught.exception.is_certain)


class OutageTests(AcceptanceTestCase):
    async def test_change_is_retried_during_a_short_outage(self):
        self.objects.outage = True
        pending = asyncio.create_task(
            self.first.change(plans=(make_plans("barack"), 1))
        )
        while self.objects.calls < 50:
            await asyncio.sleep(0.001)
        self.objects.outage = False
        self.assertEqual((await pending).ok.generation, 2)

    async def test_long_outage_raises_an_error_and_the_lists_stay(self):
        self.objects.outage = True
        with (
            mock.patch.object(acceptance, "CHANGE_TIMEOUT_S", 0.01),
            self.assertRaises(PlatformUnreachableError),
        ):
            await self.first.change(plans=(make_plans("barack"), 1))
        self.assertEqual(set(self.first.follower.current.customers), {"alma"})

    async def test_outage_after_any_write_leaves_no_half_of_a_pair(self):
        new = (make_plans("barack", plan="large"), make_allowances("large"))
        for writes in range(1, 6):
            with self.subTest(writes=writes):
                objects = FakeObjects()
                node, other = Node(objects), Node(objects)
                await node.change(plans=(PLANS, 0), allowances=(ALLOWANCES, 0))
                objects.writes_until_outage = writes
                with mock.patch.object(acceptance, "CHANGE_TIMEOUT_S", 0.01):
                    try:
                        await node.change(plans=(new[0], 1), allowances=(new[1], 1))
                    except PlatformUnreachableError:
                        pass
                objects.outage, objects.writes_until_outage = False, None
                self.assertTrue((await other.acceptor.advance()).is_ok())
                await other.refresh()
                lists = other.follower.current
                pair = (set(lists.customers), set(lists.plans))
                self.assertEqual(pair, ({"barack"}, {"large"}))


class DirectEditTests(AcceptanceTestCase):
    async def test_invalid_edit_in_the_store_is_reported_and_can_be_replaced(self):
        for data in (
            b"no record",
            b'{"plans": {"revision": 9, "text": "x"}, "allowances": {"revision": 9}}',
        ):
            with self.subTest(data):
                await self.objects.put(EDITED, data)
                result = await self.second.acceptor.advance()
                self.assertTrue(result.is_error())
                self.assertEqual(self.second.acceptor.faults, result.error)
                self.assertIn("alma", await self.second.get_names())
                edited = (await self.second.store.get_edited()).pair
                result = await self.second.change(
                    plans=(make_plans("alma", "barack"), edited.plans.revision),
                    allowances=(ALLOWANCES, edited.allowances.revision),
                )
                self.assertTrue(result.is_ok())
                self.assertEqual(self.second.acceptor.faults, [])


class LargeListTests(AcceptanceTestCase):
    async def test_list_larger_than_a_stored_value_is_accepted(self):
        plans = make_plans(*(f"customer-{number}" for number in range(9_000)))
        self.assertGreater(len(plans), 1_000_000)
        self.assertTrue((await self.first.change(plans=(plans, 1))).is_ok())
        edited = await self.second.store.get_edited()
        self.assertEqual(await self.second.store.load_text(edited.pair.plans), plans)
        self.assertEqual(len(await self.second.get_names()), 9_000)
        before = self.objects.calls
        await self.second.change(allowances=(make_allowances("basic", "x"), 1))
        self.assertLess(self.objects.calls - before, 20)


class GarbageCollectionTests(AcceptanceTestCase):
    async def get_data_names(self):
        return set(await self.objects.list("list-data"))

    async def test_stored_data_is_bounded(self):
        with mock.patch.object(acceptance, "GENERATIONS_PER_COLLECTION", 4):
            for revision in range(1, 40):
                plans = make_plans("alma", rate=revision + 1)
                await self.first.change(plans=(plans, revision))
        self.assertLess(len(await self.get_data_names()), 10)
        self.assertEqual(await self.second.get_names(), {"alma"})

    async def test_collection_keeps_the_long_text_of_a_concurrent_edit(self):
        text = PLANS + "#" * 300_000
        await self.first.change(plans=(text, 1))
        await self.first.change(plans=(PLANS, 2))

        async def collect(name):
            if name == EDITED:
                self.objects.before_write = None
                await self.second.store.collect_garbage()

        self.objects.before_write = collect
        await self.first.change(plans=(text, 3))
        edited = (await self.second.store.get_edited()).pair.plans
        self.assertEqual(await self.second.store.load_text(edited), text)

    async def test_collection_keeps_the_data_of_a_concurrent_write(self):
        text = make_plans("alma", rate=2)
        await self.first.change(plans=(text, 1))
        await self.first.change(plans=(PLANS, 2))

        async def collect(name):
            if name == ACCEPTED:
                self.objects.before_write = None
                await self.second.store.collect_garbage()

        self.objects.before_write = collect
        await self.first.change(plans=(text, 3))
        self.assertEqual(await Node(self.objects).get_names(), {"alma"})
