"""Updates of a companion's caches from a linked hub or from the platform's store.

The hub of the cell opens the link. A companion without a hub for some seconds watches
the store itself, so that weights are distributed even if no entry runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from marigold.core.boottime import get_boottime
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.platform.feeds import FeedFollower
from marigold.core.platform.replication import CacheSubscriber, CacheSubscribers
from marigold.core.schema.generated.messages import (
    Ages,
    AskAges,
    BeliefChange,
    ManifestAnswer,
    ManifestAsk,
)

log = get_logger(__name__)

# Seconds without a hub after which the store is watched; entries of a new deployment
# find each other in about two.
STORE_FALLBACK_DELAY_S = 4.0
CHECK_INTERVAL_S = 0.5
# Seconds between requests for the age of the hub's data.
AGES_INTERVAL_S = 2.0


class CacheUpdater:
    """Keeps caches up to date from the newest hub, or from the store without one.

    `followers` pairs the follower of each feed with the subscriber that applies the
    hub's changes to the same cache.
    """

    def __init__(
        self, followers: Sequence[tuple[FeedFollower[Any], CacheSubscriber[Any]]]
    ) -> None:
        self._followers = [follower for follower, _ in followers]
        self._subscribers = CacheSubscribers(item for _, item in followers)
        self._hubs: list[Channel] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._hub_lost_at = get_boottime()
        self._manifests: list[tuple[ManifestAsk, asyncio.Future[ManifestAnswer]]] = []

    @property
    def has_hub(self) -> bool:
        """Return whether a hub has a link to this process."""
        return bool(self._hubs)

    async def request_manifest(self, req: ManifestAsk) -> ManifestAnswer:
        """Return the hub's answer; callers need a timeout, as it may never arrive."""
        fut: asyncio.Future[ManifestAnswer] = asyncio.Future()
        item = (req, fut)
        self._manifests.append(item)
        self._hubs[-1].put(req)
        try:
            return await fut
        finally:
            self._manifests.remove(item)

    def _resolve_manifest(self, answer: ManifestAnswer) -> None:
        for req, fut in self._manifests:
            is_match = (answer.model, answer.version) == (req.model, req.version)
            if is_match and not fut.done():
                fut.set_result(answer)

    async def run(self) -> None:
        """Request ages from the hub, or watch the store, until cancelled."""
        asked_at = 0.0
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                now = get_boottime()
                if self._hubs and now - asked_at >= AGES_INTERVAL_S:
                    asked_at = now
                    self._hubs[-1].put(AskAges(sent=now))
                is_store_needed = (
                    not self._hubs and now - self._hub_lost_at >= STORE_FALLBACK_DELAY_S
                )
                self._set_watching(
                    is_store_needed or (bool(self._tasks) and not self._hubs)
                )
        finally:
            await cancel_tasks(*self._tasks)

    def _set_watching(self, is_watching: bool) -> None:
        if is_watching == bool(self._tasks):
            return
        log.event("store_watched" if is_watching else "store_unwatched")
        if is_watching:
            self._tasks = [asyncio.create_task(item.run()) for item in self._followers]
            return
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def attach(self, hub: Channel) -> None:
        """Subscribe to a hub; the newest hub is the current one."""
        self._hubs.append(hub)
        log.event("hub_attached", hub=hub.peer.process)
        self._subscribe(hub)

    def detach(self, hub: Channel) -> None:
        """Remove a lost hub and fall back to the previous one, if any."""
        was_current = hub is self._hubs[-1]
        self._hubs.remove(hub)
        log.event("hub_lost", hub=hub.peer.process)
        if not self._hubs:
            self._hub_lost_at = get_boottime()
        elif was_current:
            self._subscribe(self._hubs[-1])

    def _subscribe(self, hub: Channel) -> None:
        self._subscribers.forget_clock()
        self._subscribers.request_all(hub)
        hub.put(AskAges(sent=get_boottime()))

    def handle_message(self, hub: Channel, message: Any) -> None:
        """Process a message of the current hub; ignore those of other hubs."""
        if not self._hubs or hub is not self._hubs[-1]:
            return
        match message:
            case BeliefChange():
                self._subscribers.apply(hub, message)
            case ManifestAnswer():
                self._resolve_manifest(message)
            case Ages():
                self._subscribers.apply_ages(hub, message)
