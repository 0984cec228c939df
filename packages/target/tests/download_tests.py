from __future__ import annotations

import asyncio
import random
import unittest

from companion_fakes import CHUNKS, make_manifest

from marigold.core.schema.generated.messages import LoadOrder
from marigold.target.weights.download import Download, SourceOffer
from marigold.target.weights.fetching import ChunkFetcher
from marigold.target.weights.pacing import RatePacer


class OverdueChunkTests(unittest.TestCase):
    """The last chunks of a copy hang on a host that stands still.

    Found in alapko-marigold-large trouble-2: copies lacked one chunk for 4 s.
    """

    def setUp(self):
        order = LoadOrder(
            order="m@2", fence=0, operation="load", model="m", version="2", manifest=b""
        )
        self.download = Download(make_manifest(2)[1], order, random.Random(1))
        self.frozen = self.add_offer()
        self.other = self.add_offer()
        self.origin = self.add_offer(allowed=range(CHUNKS))

    def add_offer(self, allowed=None):
        offer = SourceOffer(allowed)
        self.download.add_offer(offer)
        self.download.add_available(offer, range(CHUNKS))
        return offer

    def hold_all_but(self, *missing):
        for index in set(range(CHUNKS)) - set(missing):
            self.download.add_held(index)

    def test_overdue_chunk_is_asked_of_one_other_source(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.assertIsNone(self.download.pick_chunk(self.other))
        self.download.mark_overdue(0)
        self.assertEqual(self.download.pick_chunk(self.other), 0)
        self.download.begin_fetch(0)
        self.assertIsNone(self.download.pick_chunk(self.origin))

    def test_origin_may_be_that_source_although_a_peer_holds_the_chunk(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.assertEqual(self.download.pick_chunk(self.origin), 0)

    def test_nothing_is_asked_twice_while_other_chunks_are_left(self):
        self.hold_all_but(0, 1)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.assertEqual(self.download.pick_chunk(self.other), 1)
        self.assertIsNone(self.download.pick_chunk(self.origin))

    def test_chunk_that_was_overdue_and_failed_may_come_from_the_origin(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.download.record_refusal(0)
        self.download.end_fetch(0)
        self.assertEqual(self.download.pick_chunk(self.origin), 0)

    def test_chunk_that_came_is_no_longer_on_its_way(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.download.add_held(0)
        self.download.end_fetch(0)
        self.assertFalse(self.download.in_flight)
        self.assertIsNone(self.download.pick_chunk(self.other))


class PaceTests(unittest.IsolatedAsyncioTestCase):
    """A host's own part of a copy among what it takes from others.

    Found in alapko-marigold-large trouble-2: a host that began late brought its 24
    chunks of the origin at a seventh of its link, and all others waited for them.
    """

    async def is_delayed(self, allowed):
        order = LoadOrder(
            order="m@2", fence=0, operation="load", model="m", version="2", manifest=b""
        )
        download = Download(make_manifest(2)[1], order, random.Random(1))
        pacer = RatePacer(1.0, lambda: False, lambda: 0.0)
        pacer.reserve(1000)
        fetcher = ChunkFetcher(
            None, 6, lambda download, index: None, random.Random(1), pacer=pacer
        )
        try:
            async with asyncio.timeout(0.05):
                await fetcher._wait_for_bandwidth(download, SourceOffer(allowed), 0)
        except TimeoutError:
            return True
        return pacer.reserve(0) <= 1000

    async def test_what_others_have_waits_for_the_pace(self):
        self.assertTrue(await self.is_delayed(None))

    async def test_what_only_this_host_brings_goes_first_and_counts(self):
        self.assertFalse(await self.is_delayed({0}))
