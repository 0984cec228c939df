"""Watches of an entry on the platform's store, and their timeouts."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import TypeVar

from aiohttp import ClientSession

from marigold.core.platform.adapter import Adapter, Feed
from marigold.core.platform.feeds import UNAVAILABLE_AFTER_S, FeedFollower
from marigold.core.platform.followers import (
    MemberFollower,
    RunnerFollower,
    VersionedFollower,
)
from marigold.core.platform.version_follower import VersionFollower
from marigold.core.schema.generated.settings import (
    Bounds,
    RelaySettings,
)
from marigold.entry.hub.client import REFERENCE_REVOCATION_S
from marigold.entry.hub.hub import Feeds

T = TypeVar("T")

# Seconds in which all entries switch to another hub after theirs reported that the
# store is unavailable: 0.67 for the steps through the order of hubs, and a store call.
HUB_FAILOVER_S = 0.75
# Minimum timeout in seconds of a configuration watch, as store calls are costly.
MINIMUM_CONFIGURATION_WAIT_S = 0.3
# Minimum timeout in seconds of a watch of evacuations.
MINIMUM_EVACUATION_WAIT_S = 0.3
# Seconds for which changes of the runner list are batched. A leaving runner must be
# known within two seconds.
RUNNER_BATCH_S = 0.3
# Timeout in seconds of the watch after a configuration change, whose end confirms it.
CONFIRMATION_WAIT_S = 0.3
# Seconds for which changes of the list of entries are batched, as many start at once.
MEMBER_BATCH_S = 0.5


def get_maximum_age(bounds: Bounds) -> float:
    """Return the maximum age of the configuration in seconds."""
    if not bounds.refuse_stale_keys:
        return REFERENCE_REVOCATION_S
    return bounds.revocation_ms / 1000


def compute_configuration_wait(usual: float, bounds: Bounds) -> float:
    """Return the timeout in seconds of a configuration watch.

    A silent store is only detected when the watch times out. A change made in the
    meantime still has to reach all entries in time through another hub.
    """
    wait = usual * min(get_maximum_age(bounds) / REFERENCE_REVOCATION_S, 1.0)
    longest = bounds.configuration_ms / 1000 - UNAVAILABLE_AFTER_S - HUB_FAILOVER_S
    return min(wait, max(longest, MINIMUM_CONFIGURATION_WAIT_S))


def compute_evacuation_wait(usual: float, timeout: float, bounds: Bounds) -> float:
    """Return the timeout in seconds of a watch of evacuations.

    A watch that a silent store never answers ends `timeout` seconds after it. An
    evacuation that began in the meantime still has to reach all entries in time.
    """
    longest = bounds.evacuation_ms / 1000 - timeout - HUB_FAILOVER_S
    return min(usual, max(longest, MINIMUM_EVACUATION_WAIT_S))


def make_feeds(
    cfg: RelaySettings,
    adapter: Adapter,
    store: ClientSession,
    rng: random.Random,
    get_earliest_arrival: Callable[[], float],
) -> Feeds:
    """Return the followers of the store's feeds that an entry uses."""
    access = cfg.platform
    wait = access.watch_wait

    def follow(
        feed: Feed[T],
        wait: float,
        batch_delay: float = 0.0,
        change_wait: float = math.inf,
        cls: type[FeedFollower[T]] = FeedFollower,
    ) -> FeedFollower[T]:
        return cls(
            feed,
            wait,
            access.call_timeout,
            rng,
            batch_delay=batch_delay,
            change_wait=change_wait,
            get_earliest_arrival=get_earliest_arrival,
        )

    return Feeds(
        follow(
            adapter.make_configuration_feed(store),
            compute_configuration_wait(access.configuration_wait, cfg.bounds),
            change_wait=CONFIRMATION_WAIT_S,
            cls=VersionedFollower,
        ),
        follow(
            adapter.make_runner_feed(store), wait, RUNNER_BATCH_S, cls=RunnerFollower
        ),
        follow(adapter.make_version_feed(store), wait, cls=VersionFollower),
        follow(
            adapter.make_member_feed(store), wait, MEMBER_BATCH_S, cls=MemberFollower
        ),
        follow(
            adapter.make_evacuation_feed(store),
            compute_evacuation_wait(wait, access.call_timeout, cfg.bounds),
        )
        if cfg.bounds.evacuation_ms
        else None,
    )
