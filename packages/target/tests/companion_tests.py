from __future__ import annotations

import asyncio
import itertools
import unittest
from math import inf

from companion_fakes import (
    BOUND_S,
    CHUNKS,
    COPY_S,
    FakeDriver,
    FakeExchange,
    FakeSource,
    make_manifest,
)

from marigold.core.exceptions import PlatformUnreachableError, WeightsNotFoundError
from marigold.core.schema.generated.deployment import HeldModel, Runner
from marigold.target.companion.copies import (
    FIRST_COPY_MARGIN_S,
    STALL_AFTER_S,
    VersionCopies,
)
from marigold.target.companion.fetch_planner import FetchPlanner
from marigold.target.companion.loads import LoadReporter
from marigold.target.companion.metrics import CompanionMetrics
from marigold.target.companion.peer_directory import PeerDirectory
from marigold.target.companion.reconciler import (
    DENIED_RETRY_S,
    NOT_SERVED_RETRY_S,
    WeightReconciler,
)
from marigold.target.companion.staging import StagedEngine
from marigold.target.companion.switch_stagger import SWITCH_MARGIN_S, SwitchStagger
from marigold.target.companion.version_schedule import VersionSchedule
from marigold.target.weights.download import SourceOffer
from marigold.target.weights.exceptions import EngineOrderError


class StagedEngineTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.driver = FakeDriver()
        self.engine = StagedEngine(self.driver, "m")
        self.data, self.manifest = make_manifest(2)

    async def fill(self):
        for index, data in enumerate(self.data):
            await self.engine.put_chunk("2", index, data)

    async def test_corrupt_staged_chunk_is_replaced_before_the_load(self):
        self.engine.staged_version = "2"
        await self.fill()
        self.driver.staged[5] = b"rot"
        await self.engine.load(self.manifest, 0)
        self.assertEqual(self.driver.orders, [(2, 0, dict(enumerate(self.data)))])

    async def test_chunk_of_the_next_version_is_staged_after_the_load_order(self):
        """Otherwise the runner loads chunks of two versions.

        Found in himal-briq quiet-1: tokens from chunks of two versions.
        """
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

    async def test_chunks_of_a_later_version_are_not_staged(self):
        self.engine.staged_version = "1"
        await self.fill()
        self.assertEqual(self.driver.staged, {})

    async def test_restarted_process_recovers_staged_chunks_that_match_the_manifest(
        self,
    ):
        self.driver.staged = dict(enumerate(self.data))
        self.driver.staged[3] = b"rot"
        self.assertEqual(await self.engine.recover(self.manifest), CHUNKS - 1)
        self.assertNotIn(3, self.engine.get_held("2"))

    async def test_recovery_from_an_unreachable_runner_can_be_repeated(self):
        self.driver.is_down = True
        self.assertIsNone(await self.engine.recover(self.manifest))

    async def test_chunk_that_is_not_held_cannot_be_read(self):
        with self.assertRaises(EngineOrderError):
            await self.engine.get_chunk("2", 0)


class ReconcilerTestCase(unittest.IsolatedAsyncioTestCase):
    origin_region = "west"
    addresses = ("10.0.0.1:7",)

    def setUp(self):
        self.now = 100.0
        self.driver = FakeDriver()
        self.source = FakeSource(1, 2)
        self.exchange = FakeExchange(lambda: self.now)
        self.engine = StagedEngine(self.driver, "m")
        self.schedule = VersionSchedule(BOUND_S, COPY_S)
        self.loads = LoadReporter()
        self.stagger = SwitchStagger()
        peers = PeerDirectory(
            "10.0.0.1:7",
            "gyor-a",
            {"gyor-a": "west"},
            self.get_runners,
            itertools.count().__next__,
        )
        self.planner = FetchPlanner(self.origin_region)
        self.copies = VersionCopies(
            "m",
            self.source,
            self.engine,
            self.exchange,
            self.schedule,
            self.stagger,
            peers,
            self.planner,
            lambda: self.now,
            CompanionMetrics().manifests_checked,
        )
        self.reconciler = WeightReconciler(
            "m",
            self.driver,
            self.source,
            self.engine,
            self.copies,
            self.schedule,
            self.stagger,
            peers,
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
        return dict.fromkeys(self.addresses, runner)

    async def complete_copy(self, version):
        data, _ = make_manifest(version)
        for index, item in enumerate(data):
            await self.engine.put_chunk(str(version), index, item)
            self.exchange.add_held(self.exchange.downloads[version], index)

    async def reconcile(self, seconds=0.0):
        self.now += seconds
        await self.reconciler._reconcile()


class ReconcilerTests(ReconcilerTestCase):
    async def test_empty_runner_loads_as_soon_as_the_copy_is_complete(self):
        self.schedule.add(2, self.now)
        await self.reconcile()
        self.assertEqual(self.driver.orders, [])
        await self.complete_copy(2)
        await self.reconcile(0.1)
        (order,) = self.driver.orders
        self.assertEqual(order[:2], (2, 0))
        self.assertEqual(order[2], dict(enumerate(make_manifest(2)[0])))

    async def test_held_version_without_a_manifest_does_not_delay_the_next(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.source.versions = {2, 3}
        self.schedule.add(1, 0.0)
        self.schedule.add(3, self.now)
        await self.reconcile()
        await self.complete_copy(3)
        await self.reconcile(BOUND_S)
        self.assertEqual([order[0] for order in self.driver.orders], [3])

    async def test_wanted_version_that_the_origin_dropped_is_skipped(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.source.versions = {3, 4}
        self.schedule.add(2, self.now - 2 * BOUND_S)
        self.schedule.add(3, self.now)
        await self.reconcile()
        await self.reconcile()
        await self.complete_copy(3)
        await self.reconcile(BOUND_S)
        self.assertEqual([order[0] for order in self.driver.orders], [3])

    def answer(self, *versions):
        """Let the origin's next answers name these versions, None for a denial."""
        answers = list(versions)
        get_manifest = self.source.get_manifest

        async def get_next(model, version, doubted=()):
            named = answers.pop(0) if answers else version
            if named is None:
                raise WeightsNotFoundError("denied")
            return await get_manifest(model, named, doubted)

        self.source.get_manifest = get_next

    async def test_newest_version_that_the_origin_denies_once_is_loaded(self):
        """Guards against runners without a version that operators named."""
        self.schedule.add(2, self.now, is_named=True)
        self.answer(None, 2, 2)
        await self.reconcile()
        await self.reconcile(DENIED_RETRY_S)
        await self.complete_copy(2)
        await self.reconcile(0.1)
        self.assertEqual([order[0] for order in self.driver.orders], [2])

    async def test_version_that_the_origin_replaced_meanwhile_is_given_up(self):
        self.source.versions = {3, 4}
        self.schedule.add(2, self.now, is_named=True)
        await self.reconcile()
        await self.reconcile(DENIED_RETRY_S)
        self.assertEqual(self.schedule.get_newest(), 4)

    async def test_version_that_only_a_wrong_entry_names_is_given_up(self):
        """Guards against an entry of another writer that holds up all versions."""
        self.schedule.add(99, self.now)
        await self.reconcile()
        await self.reconcile(5.0)
        self.assertEqual(self.schedule.get_newest(), 2)

    async def test_version_that_one_answer_of_the_origin_names_is_not_loaded(self):
        """Guards against a copy that waits for a version that does not exist."""
        self.source.versions = {2, 9}
        self.answer(9, 2, 2, 2)
        await self.reconcile(5.0)
        self.assertIsNone(self.schedule.get_newest())
        await self.reconcile(0.1)
        self.assertEqual(self.schedule.get_newest(), 2)

    async def deny_held_version(self):
        """Let the origin deny the version that the runner holds, to load and to serve.

        A companion that has just started does not know yet that its runner holds it.
        """
        self.driver.held = [HeldModel(model="m", version=2)]
        self.schedule.add(2, 0.0)
        self.answer(None, 2, 2, None)
        await self.reconcile()
        self.assertIsNone(self.copies.get(2))

    async def test_held_version_that_the_origin_denies_once_is_served_later(self):
        await self.deny_held_version()
        await self.reconcile(NOT_SERVED_RETRY_S)
        self.assertIsNotNone(self.copies.get(2))

    async def test_version_that_was_not_served_is_loaded_after_a_crash(self):
        """Guards against a load that waits for the next try to serve the version."""
        await self.deny_held_version()
        self.driver.held, self.driver.started_ms = [], 2
        await self.reconcile(DENIED_RETRY_S)
        self.assertIsNotNone(self.copies.get(2))

    async def test_report_is_read_while_the_origin_is_unreachable(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.schedule.add(2, self.now)

        async def fail(model, version):
            raise PlatformUnreachableError("unreachable")

        self.source.get_manifest = fail
        await self.reconcile()
        self.assertIsNotNone(self.reconciler.report)

    async def test_crashed_runner_is_loaded_from_memory(self):
        self.schedule.add(2, self.now)
        await self.reconcile()
        await self.complete_copy(2)
        await self.reconcile(0.1)
        self.driver.held, self.driver.started_ms = [], 2
        await self.reconcile(0.1)
        self.assertEqual(len(self.driver.orders), 2)

    async def test_next_version_is_staged_only_after_this_one_is_loaded(self):
        """Otherwise the runner loads chunks of two versions.

        Found in himal-briq quiet-1: tokens from chunks of two versions.
        """
        self.driver.held = [HeldModel(model="m", version=1)]
        self.source.versions = {1, 2, 3}
        self.schedule.add(1, 0.0)
        self.schedule.add(2, self.now)
        await self.reconcile()
        await self.complete_copy(2)
        self.schedule.add(3, self.now + 7.0)
        await self.reconcile(0.1)
        await self.complete_copy(3)
        self.assertEqual(self.driver.staged, dict(enumerate(make_manifest(2)[0])))

    async def test_accepted_load_order_is_not_repeated(self):
        self.schedule.add(2, self.now)
        await self.reconcile()
        await self.complete_copy(2)
        await self.reconcile(0.1)
        await self.reconcile(0.1)
        self.assertEqual(len(self.driver.orders), 1)

    async def test_copy_started_late_outside_the_origins_region_has_its_chunks(self):
        """Origin chunks were dropped from the plan once the first copy was sent."""
        self.planner.origin_region = "central"
        self.schedule.add(2, self.now)
        await self.reconcile(20.0)
        order = self.exchange.downloads[2].order
        self.assertEqual(sorted(order.origin_chunks), list(range(CHUNKS)))

    async def test_runner_with_a_newer_version_is_not_paused_for_an_older_one(self):
        self.driver.held = [HeldModel(model="m", version=3)]
        self.source.versions = {3}
        self.schedule.add(3, self.now)
        await self.reconcile()
        self.reconciler._paused_for = 2
        await self.reconcile()
        self.assertIsNone(self.reconciler._paused_for)

    async def test_report_is_read_while_the_origin_names_no_version(self):
        async def fail(model, version):
            raise PlatformUnreachableError("unreachable")

        self.source.get_manifest = fail
        await self.reconcile(5.0)
        self.assertIsNotNone(self.reconciler.report)

    async def test_origin_is_asked_if_no_version_is_named(self):
        await self.reconcile()
        self.assertIsNone(self.schedule.get_newest())
        await self.reconcile(5.0)
        self.assertEqual(self.schedule.get_newest(), 2)

    async def test_paused_runner_resumes_if_its_copy_is_far_from_complete(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.schedule.add(1, 0.0)
        self.schedule.add(2, self.now)
        await self.reconcile()
        self.reconciler._paused_for = 2
        await self.reconcile(20.0)
        self.assertIsNone(self.reconciler._paused_for)

    async def copy_all_but_one(self, *pauses):
        """Copy all chunks but the last one."""
        self.driver.held = [HeldModel(model="m", version=1)]
        self.schedule.add(1, 0.0)
        self.schedule.add(2, self.now)
        await self.reconcile()
        for index in range(CHUNKS - 1):
            self.now += COPY_S / CHUNKS
            self.exchange.downloads[2].add_held(index)
        for seconds in pauses:
            await self.reconcile(seconds)

    async def test_runner_does_not_pause_while_its_copy_is_stalled(self):
        """A pause would last until the last chunk arrives.

        Found in alapko-marigold-large trouble-2: all runners paused for 2.8 s.
        """
        await self.copy_all_but_one(STALL_AFTER_S)
        self.assertEqual(
            self.copies.estimate_remaining(self.exchange.downloads[2]), inf
        )
        self.assertIsNone(self.reconciler._paused_for)

    async def test_runners_with_late_copies_still_switch_one_after_another(self):
        """Switch times must be counted from the late end of the copies.

        Found in alapko-marigold-large trouble-2: all runners loaded within 0.6 s.
        """
        (own,) = self.addresses
        names = [f"10.0.0.{number}:7" for number in range(2, 9)]
        first = next(
            name for name in names if self.stagger.get_position(own, [name], 2)
        )
        self.addresses = (own, first)
        self.driver.held = [HeldModel(model="m", version=1)]
        self.schedule.add(2, self.now)
        await self.reconcile()
        self.now += BOUND_S - 1.0
        await self.complete_copy(2)
        await self.reconcile()
        self.assertIsNone(self.reconciler._paused_for)
        self.assertEqual(self.driver.orders, [])
        await self.reconcile(1.0 - SWITCH_MARGIN_S)
        self.assertEqual([order[0] for order in self.driver.orders], [2])

    async def test_paused_runner_resumes_when_its_copy_stalls(self):
        await self.copy_all_but_one()
        self.reconciler._paused_for = 2
        await self.reconcile(STALL_AFTER_S / 2)
        self.assertEqual(self.reconciler._paused_for, 2)
        await self.reconcile(STALL_AFTER_S / 2)
        self.assertIsNone(self.reconciler._paused_for)


class OriginRecoveryTests(ReconcilerTestCase):
    """A host outside the origin's region after an outage of the origin.

    Found in alapko-marigold-large scale-1: after the outage, five regions requested a
    copy each from the origin, and the first one was complete after ten seconds.
    """

    origin_region = "bp-a"

    def get_runners(self):
        runners = super().get_runners()
        for number in range(3):
            runners[f"10.1.0.{number}:7"] = Runner(
                id=f"far-{number}",
                service="s",
                address=f"10.1.0.{number}:80",
                data_centre="bp-a",
                slots=4,
                is_draining=False,
                held=[],
            )
        return runners

    async def start_copy(self):
        self.driver.held = [HeldModel(model="m", version=1)]
        self.schedule.add(1, 0.0)
        self.schedule.add(2, self.now)
        await self.reconcile()
        return self.exchange.downloads[2]

    def offer(self, download, count):
        offer = SourceOffer(range(CHUNKS))
        download.add_offer(offer)
        download.add_available(offer, range(count))

    async def test_origin_is_not_asked_for_more_before_it_has_sent_chunks(self):
        download = await self.start_copy()
        await self.reconcile(20.0)
        self.assertEqual(download.order.origin_chunks, [])

    async def test_origin_sends_more_after_the_time_for_its_first_copy(self):
        download = await self.start_copy()
        await self.reconcile(20.0)
        self.offer(download, CHUNKS // 2)
        await self.reconcile(0.1)
        self.assertEqual(download.order.origin_chunks, [])
        await self.reconcile(FIRST_COPY_MARGIN_S)
        self.assertEqual(sorted(download.order.origin_chunks), list(range(CHUNKS)))

    async def test_expected_time_starts_again_when_the_origin_fails(self):
        await self.start_copy()
        self.now += 20.0
        self.assertGreater(self.copies.get_delay("2"), 0.0)
        self.exchange.origin_failure_age = 0.1
        self.assertLess(self.copies.get_delay("2"), 0.0)
