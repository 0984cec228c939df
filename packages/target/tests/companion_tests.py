from __future__ import annotations

import asyncio
import unittest

from marigold.core.exceptions import PlatformUnreachableError, WeightsNotFoundError
from marigold.core.platform.adapter import RunnerDriver
from marigold.core.platform.weights import compute_digest
from marigold.core.rollout.planner import PlanHost
from marigold.core.schema.generated.deployment import HeldModel, Runner, RunnerReport
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.copies import VersionCopies
from marigold.target.companion.goals import VersionGoals
from marigold.target.companion.keeper import WeightKeeper
from marigold.target.companion.loads import LoadReporter
from marigold.target.companion.metrics import CompanionMetrics
from marigold.target.companion.neighbours import Neighbours
from marigold.target.companion.sharing import SharePlanner
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.switching import LAST_ORDER_S, LEAD_S, SwitchTurns
from marigold.target.weights.download import Download
from marigold.target.weights.exceptions import EngineOrderError

BOUND_S = 8.0
COPY_S = 5.4
CHUNKS = 12


def make_manifest(version):
    data = [b"%d-%d" % (version, index) for index in range(CHUNKS)]
    digests = [compute_digest(item) for item in data]
    return data, Manifest(
        model="m",
        version=str(version),
        size=4 * CHUNKS,
        chunk_size=4,
        chunks=digests,
        digest=f"whole-{version}",
    )


class FakeDriver(RunnerDriver):
    def __init__(self):
        self.staged = {}
        self.orders = []
        self.held = []
        self.is_down = False
        self.started_ms = 1

    def _check(self):
        if self.is_down:
            raise PlatformUnreachableError("down")

    async def get_report(self):
        self._check()
        return RunnerReport(
            held=self.held,
            is_busy=False,
            sequence=len(self.orders),
            running=0,
            waiting=0,
            started_ms=self.started_ms,
        )

    async def put_chunk(self, model, index, data):
        self._check()
        self.staged[index] = data

    async def get_chunk(self, model, index):
        self._check()
        return self.staged.get(index)

    async def load(self, model, version, sequence):
        self._check()
        self.orders.append((version, sequence, dict(self.staged)))
        self.held = [HeldModel(model=model, version=version)]


class FakeSource:
    def __init__(self, *versions):
        self.versions = set(versions)

    async def get_manifest(self, model, version):
        version = version or max(self.versions)
        if version not in self.versions:
            raise WeightsNotFoundError(f"{version} is gone")
        return make_manifest(version)[1]


class FakeExchange:
    """An exchange whose chunks come when a test says so."""

    def __init__(self):
        self.downloads = {}

    def start(self, manifest, order):
        import random

        download = Download(manifest, order, random.Random(1))
        self.downloads[int(manifest.version)] = download
        return download

    def change(self, download, order):
        download.order = order

    def add_held(self, download, index):
        download.add_held(index)

    async def drop(self, digest):
        pass


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


class StagedEngineTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.engine = StagedEngine(self.driver, "m")
        self.data, self.manifest = make_manifest(2)

    async def fill(self):
        for index, data in enumerate(self.data):
            await self.engine.put_chunk("2", index, data)

    async def test_chunk_that_turned_bad_is_staged_again_before_the_load(self):
        self.engine.staged_version = "2"
        await self.fill()
        self.driver.staged[5] = b"rot"
        await self.engine.load(self.manifest, 0)
        self.assertEqual(self.driver.orders, [(2, 0, dict(enumerate(self.data)))])

    async def test_chunk_of_the_next_version_waits_for_the_order_to_load(self):
        """Found in himal-briq quiet-1: tokens from chunks of two versions."""
        await self.fill()
        self.engine.staged_version = "2"
        put = self.driver.put_chunk

        async def put_slowly(model, index, data):
            await asyncio.sleep(0.001)
            await put(model, index, data)

        self.driver.put_chunk = put_slowly
        loading = asyncio.create_task(self.engine.load(self.manifest, 0))
        await asyncio.sleep(0.003)
        self.engine.staged_version = "3"
        await self.engine.put_chunk("3", 0, b"next")
        await loading
        self.assertEqual(self.driver.orders[0][2], dict(enumerate(self.data)))

    async def test_chunks_of_a_later_version_are_not_staged_yet(self):
        self.engine.staged_version = "1"
        await self.fill()
        self.assertEqual(self.driver.staged, {})

    async def test_restarted_process_recovers_what_fits_the_manifest(self):
        self.driver.staged = dict(enumerate(self.data))
        self.driver.staged[3] = b"rot"
        self.assertEqual(await self.engine.recover(self.manifest), CHUNKS - 1)
        self.assertNotIn(3, self.engine.get_held("2"))

    async def test_runner_that_is_away_is_asked_again(self):
        self.driver.is_down = True
        self.assertIsNone(await self.engine.recover(self.manifest))

    async def test_chunk_that_is_not_held_is_not_passed_on(self):
        with self.assertRaises(EngineOrderError):
            await self.engine.get_chunk("2", 0)


class KeeperTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.driver = FakeDriver()
        self.source = FakeSource(1, 2)
        self.exchange = FakeExchange()
        self.engine = StagedEngine(self.driver, "m")
        self.goals = VersionGoals(BOUND_S, COPY_S)
        self.loads = LoadReporter()
        turns = SwitchTurns()
        neighbours = Neighbours(
            "10.0.0.1:7", "gyor-a", {"gyor-a": "west"}, self.get_runners
        )
        self.planner = SharePlanner("west")
        self.copies = VersionCopies(
            "m",
            self.source,
            self.engine,
            self.exchange,
            self.goals,
            turns,
            neighbours,
            self.planner,
            lambda: self.now,
        )
        self.keeper = WeightKeeper(
            "m",
            self.driver,
            self.source,
            self.engine,
            self.copies,
            self.goals,
            turns,
            neighbours,
            self.loads,
            CompanionMetrics(),
            COPY_S,
            lambda: self.now,
        )

    def get_runners(self):
        runner = Runner(
            id="i1",
            service="s",
            address="10.0.0.1:80",
            data_centre="gyor-a",
            slots=4,
            is_draining=False,
            held=self.driver.held,
        )
        return {"10.0.0.1:7": runner}

    async def bring(self, version):
        data, _ = make_manifest(version)
        for index, item in enumerate(data):
            await self.engine.put_chunk(str(version), index, item)
            self.exchange.add_held(self.exchange.downloads[version], index)

    async def look(self, seconds=0.0):
        self.now += seconds
        await self.keeper._look()

    async def test_empty_runner_is_loaded_as_soon_as_the_copy_is_whole(self):
        self.goals.note(2, self.now)
        await self.look()
        self.assertEqual(self.driver.orders, [])
        await self.bring(2)
        await self.look(0.1)
        (order,) = self.driver.orders
        self.assertEqual(order[:2], (2, 0))
        self.assertEqual(order[2], dict(enumerate(make_manifest(2)[0])))

    async def test_version_that_the_origin_no_longer_lists_holds_up_nothing(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.source.versions = {2, 3}
        self.goals.note(1, 0.0)
        self.goals.note(3, self.now)
        await self.look()
        await self.bring(3)
        await self.look(BOUND_S)
        self.assertEqual([order[0] for order in self.driver.orders], [3])

    async def test_wanted_version_that_is_gone_makes_way_for_the_next(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.source.versions = {3, 4}
        self.goals.note(2, self.now - 2 * BOUND_S)
        self.goals.note(3, self.now)
        await self.look()
        await self.look()
        await self.bring(3)
        await self.look(BOUND_S)
        self.assertEqual([order[0] for order in self.driver.orders], [3])

    async def test_origin_that_is_away_holds_up_no_report(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.goals.note(2, self.now)

        async def fail(model, version):
            raise PlatformUnreachableError("away")

        self.source.get_manifest = fail
        await self.look()
        self.assertIsNotNone(self.keeper.report)

    async def test_runner_that_crashed_is_loaded_from_memory(self):
        self.goals.note(2, self.now)
        await self.look()
        await self.bring(2)
        await self.look(0.1)
        self.driver.held, self.driver.started_ms = [], 2
        await self.look(0.1)
        self.assertEqual(len(self.driver.orders), 2)

    async def test_next_version_is_staged_only_after_this_one_is_loaded(self):
        """Found in himal-briq quiet-1: tokens from chunks of two versions."""
        self.driver.held = [HeldModel(model="m", version=1)]
        self.source.versions = {1, 2, 3}
        self.goals.note(1, 0.0)
        self.goals.note(2, self.now)
        await self.look()
        await self.bring(2)
        self.goals.note(3, self.now + 7.0)
        await self.look(0.1)
        await self.bring(3)
        self.assertEqual(self.driver.staged, dict(enumerate(make_manifest(2)[0])))

    async def test_order_that_was_accepted_is_not_repeated(self):
        self.goals.note(2, self.now)
        await self.look()
        await self.bring(2)
        await self.look(0.1)
        await self.look(0.1)
        self.assertEqual(len(self.driver.orders), 1)

    async def test_copy_begun_late_outside_the_origins_region_has_its_chunks(self):
        """The share of the origin was dropped once the origin was free to help."""
        self.planner.origin_region = "central"
        self.goals.note(2, self.now)
        await self.look(20.0)
        order = self.exchange.downloads[2].order
        self.assertEqual(sorted(order.origin_chunks), list(range(CHUNKS)))

    async def test_runner_that_holds_a_newer_version_is_not_paused_for_an_older(self):
        self.driver.held = [HeldModel(model="m", version=3)]
        self.source.versions = {3}
        self.goals.note(3, self.now)
        await self.look()
        self.keeper._pausing = 2
        await self.look()
        self.assertIsNone(self.keeper._pausing)

    async def test_report_does_not_wait_for_the_origin_to_name_a_version(self):
        async def fail(model, version):
            raise PlatformUnreachableError("away")

        self.source.get_manifest = fail
        await self.look(5.0)
        self.assertIsNotNone(self.keeper.report)

    async def test_where_nobody_names_a_version_the_origin_is_asked(self):
        await self.look()
        self.assertIsNone(self.goals.get_newest())
        await self.look(5.0)
        self.assertEqual(self.goals.get_newest(), 2)

    async def test_paused_runner_goes_on_where_its_copy_stalls(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.goals.note(1, 0.0)
        self.goals.note(2, self.now)
        await self.look()
        self.keeper._pausing = 2
        await self.look(20.0)
        self.assertIsNone(self.keeper._pausing)
