from __future__ import annotations

import asyncio
import contextlib
import math
import random
import unittest

from marigold.core.exceptions import (
    HistoryLostError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.platform.adapter import Changes, Feed, Listing
from marigold.core.platform.feeds import (
    RECONNECT_WAIT_S,
    UNAVAILABLE_AFTER_S,
    FeedFollower,
)
from marigold.core.platform.object_cache import ObjectCache
from marigold.standins.virtual_time import get_time, run_virtual

WAIT_S = 2.0
CALL_TIMEOUT_S = 0.05


class ScriptedFeed(Feed):
    """Returns scripted responses, each after a time of the fake clock."""

    name = "things"

    def __init__(self, clock, *answers):
        self._clock = clock
        self._answers = list(answers)
        self.calls = []
        self.waits = []

    async def read(self):
        return await self._get_next("read")

    async def watch(self, revision, wait):
        self.waits.append(wait)
        return await self._get_next(revision)

    async def _get_next(self, call):
        self.calls.append(call)
        if not self._answers:
            await asyncio.Event().wait()
        seconds, answer = self._answers.pop(0)
        self._clock.now += seconds
        if isinstance(answer, Exception):
            raise answer
        return answer


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class FeedFollowerTestCase(unittest.IsolatedAsyncioTestCase):
    async def follow(self, *answers, get_earliest_arrival=None):
        self.clock = Clock()
        self.feed = ScriptedFeed(self.clock, *answers)
        self.follower = FeedFollower(
            self.feed,
            WAIT_S,
            5.0,
            random.Random(1),
            self.clock,
            get_earliest_arrival=get_earliest_arrival,
        )
        self.published = []
        self.follower.subscribe(lambda: self.published.append(self.follower.items))
        task = asyncio.create_task(self.follower.run())
        async with asyncio.timeout(5.0):
            while len(self.feed.calls) <= len(answers):
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


class UnexpectedErrorTests(FeedFollowerTestCase):
    """What one change or one subscriber raises does not end the follower."""

    async def test_unexpected_exception_leads_to_a_new_listing(self):
        for error in (KeyError("x"), RecursionError("x"), PlatformError("not JSON")):
            with self.subTest(repr(error)):
                await self.follow(
                    (0.0, Listing({"a": 1}, 7)),
                    (0.1, error),
                    (0.1, Listing({"b": 2}, 9)),
                )
                self.assertEqual(self.feed.calls, ["read", 7, "read", 9])
                self.assertEqual(self.follower.items, {"b": 2})

    async def test_listing_may_take_longer_than_one_call(self):
        class LongFeed(ScriptedFeed):
            async def read(self):
                for _ in range(3):
                    await asyncio.sleep(CALL_TIMEOUT_S * 0.9)
                return await super().read()

        feed = LongFeed(Clock(), (0.0, Listing({"a": 1}, 7)))
        follower = FeedFollower(feed, WAIT_S, CALL_TIMEOUT_S, random.Random(1))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(CALL_TIMEOUT_S * 4)
        task.cancel()
        self.assertEqual(follower.items, {"a": 1})

    async def test_unreachable_store_leads_to_no_listing(self):
        error = PlatformUnreachableError("away")
        await self.follow((0.0, Listing({"a": 1}, 7)), (0.1, error))
        self.assertEqual(self.feed.calls, ["read", 7, 7])

    def test_failing_subscriber_does_not_keep_others_from_a_change(self):
        cache = ObjectCache("things", Clock())
        published = []
        cache.subscribe(lambda: int("x"))
        cache.subscribe(lambda: published.append(dict(cache.items)))
        cache.replace_all({"a": 1}, 7, "store")
        cache.apply_changes({"b": 2}, 8, "store")
        self.assertEqual(published, [{"a": 1}, {"a": 1, "b": 2}])


class FeedFollowerTests(FeedFollowerTestCase):
    async def test_listing_confirms_the_time_of_its_request(self):
        await self.follow((0.5, Listing({"a": 1}, 7)))
        self.assertEqual(self.follower.items, {"a": 1})
        self.assertEqual(self.follower.get_age(), 0.5)

    async def test_watch_without_changes_confirms_the_end_of_its_wait(self):
        await self.follow((0.1, Listing({}, 7)), (WAIT_S + 1.0, Changes({}, 7)))
        self.assertAlmostEqual(self.follower.get_age(), 1.0)

    async def test_changes_only_confirm_the_time_of_the_request(self):
        changes = Changes({"a": 2}, 8)
        await self.follow((0.1, Listing({"a": 1}, 7)), (1.5, changes))
        self.assertEqual(self.follower.items, {"a": 2})
        self.assertAlmostEqual(self.follower.get_age(), 1.5)

    async def test_age_increases_while_the_store_is_unavailable(self):
        error = PlatformUnreachableError("away")
        await self.follow((0.0, Listing({"a": 1}, 7)), (1.0, error), (3.0, error))
        self.assertEqual(self.follower.get_age(), 4.0)
        self.assertEqual(self.follower.items, {"a": 1})

    async def test_recovery_of_the_store_is_recorded(self):
        error = PlatformUnreachableError("away")
        await self.follow(
            (0.0, Listing({}, 7)), (1.0, error), (WAIT_S, Changes({"a": 1}, 8))
        )
        self.assertEqual(self.follower.recovered_at, self.clock.now)

    async def test_watches_are_short_until_the_store_responds_again(self):
        """Guards against a watch that hung for 11 s after the store had recovered."""
        error = PlatformUnreachableError("away")
        await self.follow((0.0, Listing({}, 7)), (1.0, error), (0.5, Changes({}, 7)))
        self.assertEqual(self.feed.waits, [WAIT_S, RECONNECT_WAIT_S, WAIT_S])

    async def test_removed_objects_are_dropped(self):
        await self.follow(
            (0.0, Listing({"a": 1, "b": 2}, 7)), (0.1, Changes({"a": None}, 8))
        )
        self.assertEqual(self.follower.items, {"b": 2})

    async def test_lost_history_leads_to_a_new_listing(self):
        await self.follow(
            (0.0, Listing({"a": 1}, 7)),
            (0.1, HistoryLostError("gone")),
            (0.1, Listing({"b": 1}, 9)),
        )
        self.assertEqual(self.feed.calls, ["read", 7, "read", 9])
        self.assertEqual(self.follower.items, {"b": 1})

    async def test_older_listing_does_not_replace_newer_items(self):
        await self.follow(
            (0.0, Listing({"a": 1}, 7)),
            (0.1, Changes({"a": 2}, 9)),
            (0.1, HistoryLostError("gone")),
            (0.1, Listing({"a": 1}, 8)),
        )
        self.assertEqual(self.follower.items, {"a": 2})


class LateAnswerTests(unittest.IsolatedAsyncioTestCase):
    """An answer of the store that is older than the cache changes no item.

    Guards against a removed item that came back, or a new one that was removed: a
    process that tries the store itself still gets changes from its hub.
    """

    async def watch_beside_hub(self, changes, items, revision):
        """Return the cache after a hub replaced its items during a watch."""
        feed = ScriptedFeed(Clock(), (0.0, Listing({"a": 1}, 7)), (0.0, changes))
        follower = FeedFollower(feed, WAIT_S, 5.0, random.Random(1))
        answer = feed.watch

        async def watch(known, wait):
            if len(feed.calls) == 1:
                follower.replace_all(items, revision, "hub")
            return await answer(known, wait)

        feed.watch = watch
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(5.0):
            while len(feed.calls) < 3:
                await asyncio.sleep(0.01)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return follower

    async def test_removed_item_does_not_come_back(self):
        cache = await self.watch_beside_hub(Changes({"b": 2}, 8), {"a": 1}, 9)
        self.assertEqual((cache.items, cache.revision), ({"a": 1}, 9))

    async def test_new_item_is_not_removed(self):
        cache = await self.watch_beside_hub(Changes({"a": None}, 8), {"a": 1}, 9)
        self.assertEqual((cache.items, cache.revision), ({"a": 1}, 9))

    async def test_newer_answer_is_applied(self):
        changes = Changes({"a": None, "b": 2}, 9)
        cache = await self.watch_beside_hub(changes, {"a": 1, "b": 1}, 8)
        self.assertEqual((cache.items, cache.revision), ({"b": 2}, 9))


class ChangeTimeTests(FeedFollowerTestCase):
    """Earliest possible time of a change made while the store was not being watched.

    Guards against the failure of cesnja-najem trouble-3: a version that was named in an
    outage of 8 s was dated before the outage, so every request was refused for 3 s.
    """

    async def follow_after_failures(self, *failures):
        """Return the age of a change that follows failed calls of some seconds each."""
        error = PlatformUnreachableError("away")
        await self.follow(
            (0.1, Listing({"a": 1}, 7)),
            *((seconds, error) for seconds in failures),
            (0.5, Changes({"a": 2}, 8)),
        )
        return self.clock.now - self.follower.valid_from["a"]

    async def test_change_during_an_outage_is_dated_at_its_end(self):
        self.assertAlmostEqual(
            await self.follow_after_failures(2.0, 0.6, 0.6, 0.6), 1.1
        )

    async def test_change_after_one_failed_call_is_dated_before_it(self):
        self.assertAlmostEqual(await self.follow_after_failures(2.0), 2.6)

    async def test_change_after_a_short_outage_is_dated_before_it(self):
        self.assertAlmostEqual(await self.follow_after_failures(2.0, 0.3, 0.3), 3.2)

    async def test_change_in_lost_history_is_dated_before_the_loss(self):
        """Guards against a version that counted from the listing that showed it."""
        await self.follow(
            (0.1, Listing({"a": 1}, 7)),
            (WAIT_S, Changes({}, 7)),
            (1.0, HistoryLostError("gone")),
            (0.5, Listing({"a": 2}, 9)),
        )
        age = self.clock.now - self.follower.valid_from["a"]
        self.assertAlmostEqual(age, 1.5)

    async def test_suspended_process_records_no_outage(self):
        age = await self.follow_after_failures(9.0, 0.3, 9.0, 0.3)
        self.assertAlmostEqual(age, 19.2)


class InterruptedOutageTests(unittest.TestCase):
    """Time of a change after failed calls between which the store was not tried.

    Guards against a version that was dated at the second of two failed calls, though
    the store had accepted it between them.
    """

    def setUp(self):
        self.offset = 0.0

    def read_clock(self):
        return get_time() + self.offset

    def run_follower(self, script, *answers):
        """Run a script with a follower; return the age of the change that it got."""

        async def main():
            feed = TimedFeed((0.0, Listing({"a": 1}, 7)), *answers)
            follower = FeedFollower(
                feed, WAIT_S, 1.0, random.Random(1), self.read_clock
            )
            await script(follower)
            return self.read_clock() - follower.valid_from["a"]

        return run_virtual(main())

    async def run_for(self, follower, seconds):
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def test_outage_does_not_last_while_another_process_follows_the_store(self):
        error = PlatformUnreachableError("away")

        async def script(follower):
            await self.run_for(follower, 3.0)
            await asyncio.sleep(20.0)
            follower.confirm(7, self.read_clock())
            await asyncio.sleep(3.0)
            await self.run_for(follower, 2.0)

        answers = [(0.0, error)] * 8 + [(0.0, Changes({"a": 2}, 8))]
        age = self.run_follower(script, *answers)
        self.assertAlmostEqual(age, 5.0)

    def test_outage_does_not_last_through_a_suspension_between_two_calls(self):
        error = PlatformUnreachableError("away")

        async def script(follower):
            task = asyncio.create_task(self.run_for(follower, 3.0))
            await asyncio.sleep(0.5)
            self.offset = 20.0
            await task

        answers = [(0.0, error)] * 4 + [(0.0, Changes({"a": 2}, 8))]
        age = self.run_follower(script, *answers)
        self.assertGreater(age, 20.0)


class StalledFollowerTests(FeedFollowerTestCase):
    """Time of a change that the process may have handled late.

    Guards against requests that began on old weights: the hub was suspended while a
    version was named, and counted its bound from the end of the suspension.
    """

    async def follow_stalled(self, first_wait, arrived_before):
        await self.follow(
            (0.1, Listing({"a": 1}, 7)),
            (first_wait, Changes({}, 7)),
            (1.5, Changes({"a": 2}, 8)),
            get_earliest_arrival=lambda: self.clock.now - arrived_before,
        )
        return self.clock.now - self.follower.valid_from["a"]

    async def test_change_during_a_stall_is_dated_at_its_start(self):
        self.assertAlmostEqual(await self.follow_stalled(WAIT_S, 1.2), 1.2)

    async def test_change_is_not_dated_before_the_last_response_of_the_store(self):
        self.assertAlmostEqual(await self.follow_stalled(WAIT_S, 9.0), 1.5)

    async def test_change_after_a_response_that_was_handled_late_may_be_older(self):
        self.assertAlmostEqual(await self.follow_stalled(WAIT_S + 4.0, 5.4), 5.4)


class AvailabilityTests(unittest.TestCase):
    """When the store counts as unavailable to a process.

    The followers of a hub leave it while the store is unavailable to it.
    """

    def run_follower(self, *answers, seconds=10.0):
        """Return each change of the availability with its time since the first call.

        An answer is a pair: the seconds that it takes and its content.
        """
        changes = []

        async def main():
            feed = TimedFeed(*answers)
            follower = FeedFollower(feed, WAIT_S, 5.0, random.Random(1), get_time)
            follower.on_availability_change = lambda: changes.append(
                (follower.is_unavailable, round(get_time() - started_at, 3))
            )
            started_at = get_time()
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(seconds)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run_virtual(main())
        return changes

    def test_failing_store_becomes_unavailable_soon(self):
        error = PlatformUnreachableError("away")
        failures = [(0.01, error)] * 40
        (is_unavailable, at), *_ = self.run_follower((0.1, Listing({}, 7)), *failures)
        self.assertTrue(is_unavailable)
        self.assertLess(at, 0.1 + 2 * UNAVAILABLE_AFTER_S)

    def test_silent_store_becomes_unavailable_after_its_wait(self):
        (is_unavailable, at), *_ = self.run_follower((0.1, Listing({}, 7)))
        self.assertTrue(is_unavailable)
        self.assertAlmostEqual(at, 0.1 + WAIT_S + UNAVAILABLE_AFTER_S, places=2)

    def test_single_failure_keeps_the_store_available(self):
        error = PlatformUnreachableError("away")
        found = [(WAIT_S, Changes({}, 7))] * 5
        self.assertEqual(
            self.run_follower((0.1, Listing({}, 7)), (0.01, error), *found), []
        )

    def test_first_answer_makes_the_store_available(self):
        error = PlatformUnreachableError("away")
        failures = [(0.3, error)] * 5
        found = [(WAIT_S, Changes({}, 7))] * 9
        changes = self.run_follower((0.1, Listing({}, 7)), *failures, *found)
        self.assertEqual(
            [is_unavailable for is_unavailable, _ in changes], [True, False]
        )


class TimedFeed(Feed):
    """Returns answers after virtual delays; does not respond after the last one."""

    name = "things"

    def __init__(self, *answers):
        self._answers = list(answers)

    async def read(self):
        return await self._get_next()

    async def watch(self, revision, wait):
        return await self._get_next(wait)

    async def _get_next(self, longest=math.inf):
        if not self._answers:
            await asyncio.Event().wait()
        seconds, answer = self._answers.pop(0)
        await asyncio.sleep(min(seconds, longest))
        if isinstance(answer, Exception):
            raise answer
        return answer
