from __future__ import annotations

import asyncio

from marigold.core.links.channels import LocalChannel
from marigold.core.links.identity import Identity
from marigold.core.schema.generated.deployment import Member

REGIONS = {"gyor-a": "west", "bp-a": "central", "debr-a": "east"}


def make_member(name, data_centre="gyor-a", capacity=1.0):
    return Member(
        process=name,
        address=f"{name}:7700",
        data_centre=data_centre,
        capacity=capacity,
    )


def make_members(count, data_centres=("gyor-a",)):
    return [
        make_member(f"e{number}", data_centres[number % len(data_centres)])
        for number in range(count)
    ]


def make_identity(name, data_centre="gyor-a", role="entry"):
    return Identity(name, role, data_centre, 1)


def make_channels(near="hub", far="entry"):
    """Return two connected channels: one to `near` for `far`, and its other end."""
    first = LocalChannel(make_identity(near))
    second = LocalChannel(make_identity(far))
    first.connect(second)
    return first, second


class RecordingChannel:
    """A channel that records sent messages."""

    def __init__(self, name="entry", data_centre="gyor-a", role="entry"):
        self.peer = make_identity(name, data_centre, role)
        self.sent = []
        self.is_closed = False

    def put(self, message):
        self.sent.append(message)

    def close(self):
        self.is_closed = True


async def settle(times=10):
    for _ in range(times):
        await asyncio.sleep(0)
