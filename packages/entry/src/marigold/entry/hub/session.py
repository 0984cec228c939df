"""One attachment of an entry to a hub: what it says, and what it is asked."""

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
    PlaceEnd,
    PlaceGrant,
    PlaceQueued,
    PlaceRefusal,
    RepeatAnswer,
    SuspectNews,
    TrialAnswer,
)

# Seconds that a hub may take to tell the age of its beliefs, and where a request for
# a place stayed unanswered before; some times what a busy hub takes.
AGES_TIMEOUT_S = 1.0
DOUBT_TIMEOUT_S = 0.35
# The kind whose age tells how fresh a hub is.
CONFIGURATION = "configuration"


class HubSession:
    """One attachment to a hub; `start` begins to listen, `close` ends it.

    An entry's own hub, `is_own`, serves it to the end, also when it is leaving.
    """

    def __init__(
        self,
        member: Member,
        channel: Channel,
        receivers: Sequence[CacheSubscriber[Any]],
        is_own: bool = False,
        take_news: Callable[[SuspectNews], None] = lambda news: None,
    ) -> None:
        self.member = member
        self._take_news = take_news
        self.channel = channel
        self._receivers = CacheSubscribers(receivers)
        self._answers: dict[int, asyncio.Queue[Any]] = {}
        self._asked_at: float | None = None
        self._limit = AGES_TIMEOUT_S
        self._confirmed_at: float | None = None
        self._listening: asyncio.Task[None] | None = None
        self._is_followed = False
        self._is_own = is_own
        self.is_leaving = False
        # Since when the hub has told that the store does not answer it.
        self.away_at: float | None = None
        self._heard_away = asyncio.Event()
        self.is_answered = asyncio.Event()

    def start(self) -> None:
        """Listen, and ask how old the hub's beliefs are."""
        self._listening = asyncio.create_task(self._listen())
        self.ask_ages({})

    def follow(self) -> None:
        """Take over the hub's beliefs from now on."""
        self._is_followed = True
        self._receivers.request_all(self.channel)
        self.ask_ages({})

    def close(self) -> None:
        """End the session; open questions get no answer."""
        if self._listening is not None:
            self._listening.cancel()
        self.channel.close()

    @property
    def is_alive(self) -> bool:
        """Tell whether the hub answers and means to go on."""
        is_listening = self._listening is not None and not self._listening.done()
        return is_listening and not self.is_leaving and not self.is_silent()

    def get_age(self) -> float:
        """Return the seconds since the store vouched for the hub's configuration."""
        if self._confirmed_at is None:
            return math.inf
        return get_boottime() - self._confirmed_at

    async def wait_ended(self, seconds: float) -> None:
        """Wait some time, or until the channel closes or the hub loses the store."""
        if self._listening is None:
            return
        hearing = asyncio.create_task(self._heard_away.wait())
        try:
            await asyncio.wait(
                {self._listening, hearing},
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            hearing.cancel()
            self._heard_away.clear()

    def ask_ages(self, requests: dict[str, int]) -> None:
        """Ask how old the beliefs are, and tell how many requests came."""
        now = get_boottime()
        if self._asked_at is None:
            self._asked_at = now
            self._limit = AGES_TIMEOUT_S
        self.channel.put(AskAges(sent=now, requests=requests))

    def doubt(self) -> None:
        """Take in that a question stayed unanswered."""
        if self._asked_at is None:
            self.ask_ages({})
            self._limit = DOUBT_TIMEOUT_S

    def is_silent(self) -> bool:
        """Tell whether the hub owes an answer for too long."""
        if self._asked_at is None:
            return False
        return get_boottime() - self._asked_at > self._limit

    async def _listen(self) -> None:
        try:
            async for message in self.channel:
                self._take(message)
        finally:
            for queue in self._answers.values():
                queue.put_nowait(None)
            self.channel.close()

    def _take(self, message: Any) -> None:
        match message:
            case BeliefChange() if self._is_followed:
                self._receivers.apply(self.channel, message)
            case Ages():
                self._take_ages(message)
            case SuspectNews():
                self._take_news(message)
            case (
                PlaceGrant()
                | PlaceQueued()
                | PlaceRefusal()
                | RepeatAnswer()
                | TrialAnswer()
            ):
                queue = self._answers.get(message.ask)
                if queue is not None:
                    queue.put_nowait(message)
                elif isinstance(message, PlaceGrant):
                    # Whoever asked has left or goes on without the hub.
                    self.channel.put(PlaceEnd(ask=message.ask, outcome="unused"))

    def _take_ages(self, message: Ages) -> None:
        self.is_leaving = message.leaving and not self._is_own
        if not message.away:
            self.away_at = None
        elif self.away_at is None:
            self.away_at = get_boottime()
            self._heard_away.set()
        if not message.sent:
            return
        self._asked_at = None
        for age in message.ages:
            if age.kind == CONFIGURATION:
                self._confirmed_at = message.sent - age.age
        if self._is_followed:
            self._receivers.apply_ages(message)
        self.is_answered.set()

    def open_answers(self, number: int) -> asyncio.Queue[Any]:
        """Return the queue of answers to a question; None in it ends it."""
        queue = self._answers[number] = asyncio.Queue()
        return queue

    def close_answers(self, number: int) -> None:
        """Take no more answers to a question."""
        self._answers.pop(number, None)
