from __future__ import annotations

import random
import unittest

from companion_fakes import CHUNKS, make_manifest

from marigold.core.rollout.planner import PlanHost
from marigold.core.schema.generated.messages import LoadOrder
from marigold.target.companion.fetch_planner import (
    DIALLED_HOLDERS,
    FULL_MESH_HOSTS,
    FetchPlanner,
)
from marigold.target.weights.download import Download
from marigold.target.weights.origin_fallback import StaggeredFallback

STEP_S = 1.0


def make_download():
    order = LoadOrder(
        order="m@2", fence=0, operation="load", model="m", version="2", manifest=b""
    )
    return Download(make_manifest(2)[1], order, random.Random(1))


class StaggeredFallbackTests(unittest.TestCase):
    """Hosts must not all request the same missing chunks from the origin.

    Found in alapko-marigold-large quiet-1: 31,000 connections to the origin.
    """

    hosts = tuple(f"10.0.0.{number}:7700" for number in range(24))

    def choose(self, lateness):
        """Return the number of hosts that request each chunk."""
        asking = dict.fromkeys(range(CHUNKS), 0)
        for own in self.hosts:
            policy = StaggeredFallback(
                own, lambda version: self.hosts, lambda version: lateness, STEP_S
            )
            for index in policy.choose_chunks(make_download(), 1):
                asking[index] += 1
        return asking

    def test_nothing_is_requested_before_the_download_is_late(self):
        self.assertEqual(set(self.choose(-0.1).values()), {0})

    def test_each_chunk_is_requested_by_one_host_of_a_region_at_first(self):
        self.assertEqual(set(self.choose(0.0).values()), {1})

    def test_other_hosts_follow_at_doubling_intervals(self):
        self.assertEqual(set(self.choose(1.0).values()), {2})
        self.assertEqual(set(self.choose(2.9).values()), {2})
        self.assertEqual(set(self.choose(3.0).values()), {3})
        self.assertEqual(set(self.choose(7.0).values()), {4})


class LinkCountTests(unittest.TestCase):
    """The number of a host's links does not grow with its region."""

    def plan(self, count, holding):
        hosts = [
            PlanHost(f"h{number}", "west", f"10.0.{number}.1:1")
            for number in range(count)
        ]
        others = [
            PlanHost(f"o{number}", "west", f"10.1.{number}.1:1")
            for number in range(holding)
        ]
        planner = FetchPlanner("west")
        return [planner.plan(host, hosts, others, 96, "m/2") for host in hosts]

    def test_links_are_bounded(self):
        for count in (24, 114, 570):
            with self.subTest(count):
                plans = self.plan(count, count)
                most = max(len(plan.sources) for plan in plans)
                self.assertLessEqual(most, 4 + DIALLED_HOLDERS)

    def test_links_connect_all_hosts(self):
        for count in (2, FULL_MESH_HOSTS, FULL_MESH_HOSTS + 1, 24, 114):
            with self.subTest(count):
                plans = self.plan(count, 1)
                links = {
                    f"10.0.{number}.1:1": set(plan.sources)
                    for number, plan in enumerate(plans)
                }
                reached, new = set(), {"10.0.0.1:1"}
                while new:
                    reached |= new
                    near = {item for host in new for item in links.get(host, ())}
                    near |= {host for host in links if links[host] & new}
                    new = near - reached - {"10.1.0.1:1"}
                self.assertEqual(len(reached), count)
