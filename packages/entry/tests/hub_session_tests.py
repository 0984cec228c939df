from __future__ import annotations

import asyncio
import random
import unittest
from functools import partial
from unittest import mock

from hub_fakes import make_identity, make_member

from marigold.core.links.channels import LocalChannel
from marigold.core.platform.part_codecs import ItemCodec
from marigold.core.platform.replication import (
    CacheSubscriber,
    CacheSubscribers,
    Publisher,
)
from marigold.core.platform.version_follower import VersionFollower
from marigold.core.schema.generated.deployment import WantedVersion
from marigold.core.schema.generated.messages import Ages, AskAges, FollowBelief
from marigold.entry.hub.session import HubSession
from marigold.standins.virtual_time import get_time, run_virtual

MODEL = "assistant"
# The boot time of the hub, less that of the entry.
SKEW_S = 5000.0


class DelayedStateTests(unittest.TestCase):
    """Time of a version in the state that an entry gets when it attaches to a hub.

    Guards against requests that began on old weights: an entry that was suspended
    while it attached to another hub counted the bound from the end of the suspension.
    """

    codec = ItemCodec(WantedVersion, has_valid_from=True)

    def read_hub_clock(self):
        return get_time() + SKEW_S

    def make_versions(self, clock):
        return VersionFollower(None, 2.0, 1.0, random.Random(1), clock)

    async def serve(self, channel, versions, delay):
        """Answer like a hub; the state reaches the entry after a delay."""
        publisher = Publisher("versions", versions, self.codec, self.read_hub_clock)
        async for message in channel:
            match message:
                case AskAges():
                    answer = Ages(sent=message.sent, ages=[], at=self.read_hub_clock())
                    channel.put(answer)
                case FollowBelief():
                    changes = []
                    publisher.follow(changes.append, message)
                    await asyncio.sleep(delay)
                    for change in changes:
                        channel.put(change)

    async def attach(self, named_before, delay):
        """Return the time of version 2 at the entry, and when it was named."""
        await asyncio.sleep(100.0)
        hub = self.make_versions(self.read_hub_clock)
        named_at = get_time() - named_before
        for version in (1, 2):
            items = {MODEL: WantedVersion(model=MODEL, version=version)}
            changed_at = named_at + SKEW_S if version == 2 else None
            hub.replace_all(items, version, "store", changed_at=changed_at)
        hub.confirm(2, self.read_hub_clock())
        own = self.make_versions(get_time)
        subscriber = CacheSubscriber("versions", own, self.codec, clock=get_time)
        near, far = (LocalChannel(make_identity(name)) for name in ("h1", "own"))
        near.connect(far)
        serving = asyncio.create_task(self.serve(far, hub, delay))
        session = HubSession(make_member("h1"), near, [subscriber])
        session.start()
        await session.has_answered.wait()
        session.follow()
        await asyncio.sleep(delay + 1.0)
        session.close()
        serving.cancel()
        return own.valid_from[MODEL], named_at

    def test_state_that_arrives_late_keeps_its_times(self):
        with (
            mock.patch("marigold.entry.hub.session.get_boottime", get_time),
            mock.patch(
                "marigold.entry.hub.session.CacheSubscribers",
                partial(CacheSubscribers, clock=get_time),
            ),
        ):
            found, named_at = run_virtual(self.attach(named_before=0.5, delay=1.2))
        self.assertAlmostEqual(found, named_at, delta=0.01)
