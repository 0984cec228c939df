from __future__ import annotations

import random
import unittest

from companion_fakes import CHUNKS, make_corrupt_manifest, make_manifest
from companion_tests import ReconcilerTestCase

from marigold.core.platform.weights import compute_digest
from marigold.target.weights.manifest_evidence import (
    CONFIRMATIONS,
    MAXIMUM_DELAY_S,
    ManifestEvidence,
    Verdict,
)

FOUND = "f" * 64
INDEX = 5


class ManifestEvidenceTests(unittest.TestCase):
    def setUp(self):
        self.manifest = make_manifest(2)[1]
        self.evidence = ManifestEvidence(self.manifest)

    def find(self, *digests):
        for digest in digests:
            self.evidence.record_mismatch(INDEX, digest)

    def test_chunk_that_is_corrupt_in_other_ways_each_time_is_no_evidence(self):
        self.find("1", "2", "3", "1")
        self.assertFalse(self.evidence.should_ask(0.0))

    def test_chunk_with_the_same_bytes_again_is_evidence(self):
        self.find(FOUND, FOUND)
        self.assertTrue(self.evidence.should_ask(0.0))
        self.assertEqual(self.evidence.reasons, ["chunks"])

    def test_chunk_that_matches_later_is_evidence_no_more(self):
        self.find(FOUND, FOUND)
        self.evidence.record_match(INDEX)
        self.assertFalse(self.evidence.should_ask(0.0))

    def test_manifest_is_asked_for_at_increasing_intervals(self):
        self.find(FOUND, FOUND)
        asked, now = 0, 0.0
        while now < 60.0:
            if self.evidence.should_ask(now):
                self.evidence.record_ask(now)
                asked += 1
            now += 0.1
        self.assertLess(asked, 5 + 60.0 / MAXIMUM_DELAY_S)
        self.assertGreater(asked, 60.0 / MAXIMUM_DELAY_S)

    def test_evidence_is_dropped_after_confirmations(self):
        self.evidence.record_other("other")
        for _ in range(CONFIRMATIONS):
            self.assertTrue(self.evidence.should_ask(0.0))
            verdict = self.evidence.judge(self.manifest, ())
            self.assertIs(verdict, Verdict.CONFIRMED)
        self.assertFalse(self.evidence.should_ask(0.0))

    def test_answer_that_contradicts_a_held_chunk_is_rejected_once(self):
        """Guards against a sound manifest that a corrupt answer takes the place of."""
        answer = make_corrupt_manifest(2, INDEX)
        self.assertIs(self.evidence.judge(answer, {INDEX}), Verdict.REJECTED)
        self.assertIn(answer.digest, self.evidence.get_doubted())
        self.assertIs(self.evidence.judge(answer, {INDEX}), Verdict.REPLACED)

    def test_answer_that_contradicts_no_held_chunk_replaces_the_manifest(self):
        answer = make_corrupt_manifest(2, INDEX)
        self.assertIs(self.evidence.judge(answer, {INDEX + 1}), Verdict.REPLACED)


class CorruptManifestTests(ReconcilerTestCase):
    """Guards against a companion that keeps a corrupt manifest for a whole copy."""

    def setUp(self):
        super().setUp()
        self.schedule.add(2, self.now)

    async def receive(self, index):
        """Receive a chunk of version 2 as the fetcher does."""
        download = self.copies.get(2)
        data = make_manifest(2)[0][index]
        digest = compute_digest(data)
        if digest != download.manifest.chunks[index]:
            download.evidence.record_mismatch(index, digest)
            return
        await self.engine.put_chunk("2", index, data)
        self.exchange.add_held(download, index)

    async def receive_all(self):
        for index in range(CHUNKS):
            if index in self.copies.get(2).missing:
                await self.receive(index)

    async def test_version_is_loaded_with_the_next_manifest(self):
        self.source.corrupt = [make_corrupt_manifest(2, INDEX)]
        await self.reconcile()
        await self.receive_all()
        await self.receive(INDEX)
        await self.reconcile(0.1)
        self.assertEqual(self.copies.get(2).missing, {INDEX})
        await self.receive(INDEX)
        await self.reconcile(0.1)
        self.assertEqual([order[0] for order in self.driver.orders], [2])

    async def test_doubted_manifest_is_named_to_the_source(self):
        corrupt = make_corrupt_manifest(2, INDEX)
        self.source.corrupt = [corrupt]
        await self.reconcile()
        self.copies.get(2).evidence.record_other("other")
        await self.reconcile()
        self.assertEqual(self.source.doubted[-1], [corrupt.digest])

    async def test_copy_ends_after_any_series_of_corrupt_answers(self):
        """Guards against corrupt answers of which one stays when the fault has passed.

        Replays up to six corrupt answers among sound ones, in random orders.
        """
        for seed in range(50):
            with self.subTest(seed=seed):
                self.setUp()
                await self.replay(random.Random(seed))

    async def replay(self, rng):
        self.source.corrupt = [
            make_corrupt_manifest(2, rng.randrange(CHUNKS), rng.choice("abc") * 64)
            if rng.random() < 0.7
            else make_manifest(2)[1]
            for _ in range(6)
        ]
        await self.reconcile()
        for _ in range(300):
            if self.driver.orders:
                break
            await self.receive(rng.choice(sorted(self.copies.get(2).missing or {0})))
            await self.reconcile(0.1)
        self.assertEqual([order[0] for order in self.driver.orders], [2])
        self.assertEqual(self.driver.staged, dict(enumerate(make_manifest(2)[0])))
