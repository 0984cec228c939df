from __future__ import annotations

import asyncio
import contextlib
import random
import unittest

from marigold.core.exceptions import HistoryLostError
from marigold.core.platform.adapter import Feed, Listing
from marigold.core.platform.feeds import FeedFollower
from marigold.standins.virtual_time import get_time, run_virtual

WAIT_S = 2.0
CALL_TIMEOUT_S = 0.05


class OutdatedListingTests(unittest.TestCase):
    """Listings that are older than what is known are asked for with a backoff."""

    def test_outdated_listings_are_not_asked_for_without_a_pause(self):
        calls = []

        class OutdatedFeed(Feed):
            name = "things"

            async def read(self):
                calls.append(get_time())
                await asyncio.sleep(0.004)
                return Listing({}, 5)

            async def watch(self, revision, wait):
                raise HistoryLostError("gone")

        async def follow():
            follower = FeedFollower(
                OutdatedFeed(), WAIT_S, CALL_TIMEOUT_S, random.Random(1), get_time
            )
            follower.replace_all({"a": 1}, 9, "hub")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(follower.run(), 3.0)
            self.assertEqual(follower.items, {"a": 1})

        run_virtual(follow())
        self.assertLess(len(calls), 20)
