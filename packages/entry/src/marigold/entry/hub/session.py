"""Session of an entry with a hub: received state, replies and liveness."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Any

from marigold.core.boottime import get_boottime
from marigold.core.links.channels import Channel
from marigold.core.platform.replication import CacheSubscriber, CacheSubscribers
from marigold.core.schema.generated.deployment import Member
from marigold.core.schema.generated.messages import (
    Ages,
    AskAges,
    BeliefChange,
    PermitGrant,
    PlaceEnd,
    PlaceGrant,
    PlaceQueued,
    PlaceRefusal,
    RepeatAnswer,
    SuspectNews,
    TrialAnswer,
)

# Timeout in seconds of a request for the ages of the hub's state, and the shorter one
# after another message stayed unanswered. A busy hub answers several times sooner.
AGES_TIMEOUT_S = 1.0
UNANSWERED_TIMEOUT_S = 0.35
# Kind of state whose age decides whether a hub is fresh.
CONFIGURATION = "configuration"


class HubSession:
    """Session with one hub, from `start` to `close`.

    With `is_own_hub`, the hub runs in this process. It serves its own entry until the
    process ends, and therefore does not count as leaving while it shuts down.
    """

    def __init__(
        self,
        member: Member,
        channel: Channel,
        subscribers: Sequence[CacheSubscriber[Any]],
        is_own_hub: bool = False,
        on_suspect_update: Callable[[SuspectNews], None] = lambda update: None,
    ) -> None:
        self.member = member
        self._on_suspect_update = on_suspect_update
        self.channel = channel
        self._subscribers = CacheSubscribers(subscribers)
        self._replies: dict[int, asyncio.Queue[Any]] = {}
        self._requested_at: float | None = None
        self._timeout = AGES_TIMEOUT_S
        self._confirmed_at: float | None = None
        self._listening: asyncio.Task[None] | None = None
        self._is_followed = False
        self._is_own_hub = is_own_hub
        self.is_leaving = False
        # When the hub first reported that it cannot reach the store.
        self.store_lost_at: float | None = None
        self._store_lost = asyncio.Event()
        self.has_answered = asyncio.Event()

    def start(self) -> None:
        """Start to receive messages, and request the ages of the hub's state."""
        self._listening = asyncio.create_task(self._listen())
        self.request_ages({})

    def follow(self) -> None:
        """Apply the hub's state from now on."""
        self._is_followed = True
        self._subscribers.request_all(self.channel)
        self.request_ages({})

    def close(self) -> None:
        """End the session; pending requests get no reply."""
        if self._listening is not None:
            self._listening.cancel()
        self.channel.close()

    @property
    def is_alive(self) -> bool:
        """Return whether the hub answers and is not leaving."""
        is_listening = self._listening is not None and not self._listening.done()
        return is_listening and not self.is_leaving and not self.is_silent()

    def get_age(self) -> float:
        """Return the seconds since the store confirmed the hub's configuration.

        A hub of an earlier era than this process gets no younger, as what it sends is
        ignored.
        """
        if self._confirmed_at is None:
            return math.inf
        return get_boottime() - self._confirmed_at

    async def wait_closed(self, seconds: float) -> None:
        """Wait until the channel closes, the hub loses the store, or time runs out."""
        if self._listening is None:
            return
        store_lost = asyncio.create_task(self._store_lost.wait())
        try:
            await asyncio.wait(
                {self._listening, store_lost},
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            store_lost.cancel()
            self._store_lost.clear()

    def request_ages(self, requests: dict[str, int]) -> None:
        """Request the ages of the hub's state, and report callers' requests."""
        now = get_boottime()
        if self._requested_at is None:
            self._requested_at = now
            self._timeout = AGES_TIMEOUT_S
        self.channel.put(AskAges(sent=now, requests=requests))

    def report_unanswered(self) -> None:
        """Check the hub with a shorter timeout, after a message stayed unanswered."""
        if self._requested_at is None:
            self.request_ages({})
            self._timeout = UNANSWERED_TIMEOUT_S

    def is_silent(self) -> bool:
        """Return whether the hub has not answered within its timeout."""
        if self._requested_at is None:
            return False
        return get_boottime() - self._requested_at > self._timeout

    async def _listen(self) -> None:
        try:
            async for message in self.channel:
                self._handle(message)
        finally:
            for queue in self._replies.values():
                queue.put_nowait(None)
            self.channel.close()

    def _handle(self, message: Any) -> None:
        match message:
            case BeliefChange() if self._is_followed:
                self._subscribers.apply(self.channel, message)
            case Ages():
                self._handle_ages(message)
            case SuspectNews():
                self._on_suspect_update(message)
            case (
                PlaceGrant()
                | PlaceQueued()
                | PlaceRefusal()
                | RepeatAnswer()
                | PermitGrant()
                | TrialAnswer()
            ):
                queue = self._replies.get(message.ask)
                if queue is not None:
                    queue.put_nowait(message)
                elif isinstance(message, PlaceGrant):
                    # The requester has gone, or was scheduled without the hub.
                    self.channel.put(PlaceEnd(ask=message.ask, outcome="unused"))

    def _handle_ages(self, message: Ages) -> None:
        self.is_leaving = message.leaving and not self._is_own_hub
        if not message.away:
            self.store_lost_at = None
        elif self.store_lost_at is None:
            self.store_lost_at = get_boottime()
            self._store_lost.set()
        if not message.sent:
            return
        self._requested_at = None
        for age in message.ages:
            if age.kind == CONFIGURATION and not self._subscribers.is_ahead(age):
                self._confirmed_at = message.sent - age.age
        # Known before the first state comes, which may be delayed like any change.
        self._subscribers.record_clock(message)
        if self._is_followed:
            self._subscribers.apply_ages(self.channel, message)
        self.has_answered.set()

    def open_replies(self, ask_id: int) -> asyncio.Queue[Any]:
        """Return the queue of replies to a request; None means that no more come."""
        queue = self._replies[ask_id] = asyncio.Queue()
        return queue

    def close_replies(self, ask_id: int) -> None:
        """Discard further replies to a request."""
        self._replies.pop(ask_id, None)
