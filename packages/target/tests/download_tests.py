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
    """A stalled host delays the last chunks of all other hosts.

    Found in alapko-marigold-large trouble-2: copies missed one chunk for 4 s.
    """

    def setUp(self):
        order = LoadOrder(
            order="m@2", fence=0, operation="load", model="m", version="2", manifest=b""
        )
        self.download = Download(make_manifest(2)[1], order, random.Random(1))
        self.stalled = self.add_offer()
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

    def test_overdue_chunk_is_requested_from_one_other_source(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.assertIsNone(self.download.pick_chunk(self.other))
        self.download.mark_overdue(0)
        self.assertEqual(self.download.pick_chunk(self.other), 0)
        self.download.begin_fetch(0)
        self.assertIsNone(self.download.pick_chunk(self.origin))

    def test_overdue_chunk_may_come_from_the_origin_although_a_peer_holds_it(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.assertEqual(self.download.pick_chunk(self.origin), 0)

    def test_no_chunk_is_requested_twice_while_others_are_missing(self):
        self.hold_all_but(0, 1)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.assertEqual(self.download.pick_chunk(self.other), 1)
        self.assertIsNone(self.download.pick_chunk(self.origin))

    def test_overdue_chunk_that_failed_may_come_from_the_origin(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.download.record_refusal(0)
        self.download.end_fetch(0)
        self.assertEqual(self.download.pick_chunk(self.origin), 0)

    def test_held_chunk_is_no_longer_in_flight(self):
        self.hold_all_but(0)
        self.download.begin_fetch(0)
        self.download.mark_overdue(0)
        self.download.add_held(0)
        self.download.end_fetch(0)
        self.assertFalse(self.download.in_flight)
        self.assertIsNone(self.download.pick_chunk(self.other))


class PacingTests(unittest.IsolatedAsyncioTestCase):
    """Pacing must not delay chunks that only this host fetches into its region.

    Found in alapko-marigold-large trouble-2: a host that started late fetched its 24
    chunks from the origin at a seventh of its link's rate, and all others waited.
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

    async def test_chunks_of_peers_wait_for_the_pacer(self):
        self.assertTrue(await self.is_delayed(None))

    async def test_chunks_that_only_this_host_fetches_do_not_wait_but_count(self):
        self.assertFalse(await self.is_delayed({0}))
