from __future__ import annotations

import asyncio
import contextlib
import random
import unittest

from marigold.core.exceptions import HistoryLostError, PlatformUnreachableError
from marigold.core.platform.adapter import Changes, Feed, Listing
from marigold.core.platform.feeds import LOST_WAIT_S, FeedFollower

WAIT_S = 2.0


class ScriptedFeed(Feed):
    """Gives what a test scripted; each answer takes a time of the fake clock."""

    name = "things"

    def __init__(self, clock, *answers):
        self._clock = clock
        self._answers = list(answers)
        self.calls = []
        self.waits = []

    async def read(self):
        return await self._take("read")

    async def watch(self, revision, wait):
        self.waits.append(wait)
        return await self._take(revision)

    async def _take(self, call):
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


class FeedFollowerTests(unittest.IsolatedAsyncioTestCase):
    async def follow(self, *answers):
        self.clock = Clock()
        self.feed = ScriptedFeed(self.clock, *answers)
        self.follower = FeedFollower(
            self.feed, WAIT_S, 5.0, random.Random(1), self.clock
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

    async def test_listing_vouches_for_the_time_it_was_asked_for(self):
        await self.follow((0.5, Listing({"a": 1}, 7)))
        self.assertEqual(self.follower.items, {"a": 1})
        self.assertEqual(self.follower.get_age(), 0.5)

    async def test_watch_without_news_vouches_for_the_end_of_its_wait(self):
        await self.follow((0.1, Listing({}, 7)), (WAIT_S + 1.0, Changes({}, 7)))
        self.assertAlmostEqual(self.follower.get_age(), 1.0)

    async def test_news_vouch_for_the_time_of_the_call_only(self):
        changes = Changes({"a": 2}, 8)
        await self.follow((0.1, Listing({"a": 1}, 7)), (1.5, changes))
        self.assertEqual(self.follower.items, {"a": 2})
        self.assertAlmostEqual(self.follower.get_age(), 1.5)

    async def test_age_grows_while_the_store_is_away(self):
        away = PlatformUnreachableError("away")
        await self.follow((0.0, Listing({"a": 1}, 7)), (1.0, away), (3.0, away))
        self.assertEqual(self.follower.get_age(), 4.0)
        self.assertEqual(self.follower.items, {"a": 1})

    async def test_return_of_the_store_is_noted(self):
        away = PlatformUnreachableError("away")
        await self.follow(
            (0.0, Listing({}, 7)), (1.0, away), (WAIT_S, Changes({"a": 1}, 8))
        )
        self.assertEqual(self.follower.returned_at, self.clock.now)

    async def test_watches_are_short_until_the_store_has_answered_again(self):
        """Found in an incident: a watch hung on for 11 s after the store's return."""
        away = PlatformUnreachableError("away")
        await self.follow((0.0, Listing({}, 7)), (1.0, away), (0.5, Changes({}, 7)))
        self.assertEqual(self.feed.waits, [WAIT_S, LOST_WAIT_S, WAIT_S])

    async def test_removed_objects_are_dropped(self):
        await self.follow(
            (0.0, Listing({"a": 1, "b": 2}, 7)), (0.1, Changes({"a": None}, 8))
        )
        self.assertEqual(self.follower.items, {"b": 2})

    async def test_history_that_is_gone_is_read_anew(self):
        await self.follow(
            (0.0, Listing({"a": 1}, 7)),
            (0.1, HistoryLostError("gone")),
            (0.1, Listing({"b": 1}, 9)),
        )
        self.assertEqual(self.feed.calls, ["read", 7, "read", 9])
        self.assertEqual(self.follower.items, {"b": 1})

    async def test_listing_from_before_does_not_replace_newer_knowledge(self):
        await self.follow(
            (0.0, Listing({"a": 1}, 7)),
            (0.1, Changes({"a": 2}, 9)),
            (0.1, HistoryLostError("gone")),
            (0.1, Listing({"a": 1}, 8)),
        )
        self.assertEqual(self.follower.items, {"a": 2})
