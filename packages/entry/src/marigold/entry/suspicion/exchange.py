"""The hub's side: suspects of all entries of its cell, and of other cells."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable, Hashable
from functools import partial
from typing import Any

from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    SuspectNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from marigold.entry.suspicion.batching import UpdateBatcher, make_all_news
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import Answer, TrialQueue

log = get_logger(__name__)


class _Forwarded:
    """A question that the hub of another cell answers."""

    __slots__ = ("answer", "number", "owner")

    def __init__(self, number: int, owner: Channel, answer: Answer) -> None:
        self.number = number
        self.owner = owner
        self.answer = answer


class SuspectExchange:
    """Passes on what entries and other hubs tell, and answers who may try a suspect.

    What an entry of the own cell tells goes to all its entries and to the hubs of
    other cells; what such a hub tells goes to the own entries only. `find_owner`
    returns the channel to the hub that decides on a request, None for this one.
    """

    def __init__(
        self,
        book: SuspectTable,
        trials: TrialQueue,
        find_owner: Callable[[str], Channel | None] = lambda fingerprint: None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self._trials = trials
        self._find_owner = find_owner
        self._numbers = itertools.count(1)
        self._forwarded: dict[int, _Forwarded] = {}
        self._monotonic = monotonic
        self._entries: set[Channel] = set()
        self._neighbours: set[Channel] = set()
        self._tokens: dict[Channel, dict[int, Hashable]] = {}
        self._to_entries = UpdateBatcher(
            book, partial(self._send, self._entries), monotonic
        )
        self._to_neighbours = UpdateBatcher(
            book, partial(self._send, self._neighbours), monotonic
        )

    def join(self, channel: Channel, is_neighbour: bool) -> None:
        """Tell a process that came what is held against requests."""
        (self._neighbours if is_neighbour else self._entries).add(channel)
        for news in make_all_news(self._book, self._monotonic()):
            channel.put(news)

    def leave(self, channel: Channel) -> None:
        """Take back what a process that is gone had asked for."""
        self._entries.discard(channel)
        self._neighbours.discard(channel)
        for ask in list(self._tokens.get(channel, {})):
            self._end(channel, ask, is_inconclusive=True)
        self._tokens.pop(channel, None)

    def take(self, channel: Channel, message: Any) -> None:
        """Take in one message of a process."""
        match message:
            case SuspectNews():
                self.take_news(message, is_own=channel not in self._neighbours)
            case TrialAsk():
                self._ask(channel, message)
            case TrialEnd():
                self._end(channel, message.ask, message.doubtful)

    def _ask(self, channel: Channel, message: TrialAsk) -> None:
        """Answer for the own cell, or let the hub of another one do so.

        Each request has one cell that decides, as long as its hub can be reached.
        """
        case = message.case
        is_own = channel not in self._neighbours
        if self._book.merge(case, self._monotonic()):
            self.spread(case.fingerprint, is_own)
        owner = self._find_owner(case.fingerprint) if is_own else None
        answer = partial(self._answer, channel, message.ask)
        token: Hashable = (id(channel), message.ask)
        if owner is not None:
            token = _Forwarded(next(self._numbers), owner, answer)
            self._forwarded[token.number] = token
            owner.put(TrialAsk(ask=token.number, case=case))
        self._tokens.setdefault(channel, {})[message.ask] = token
        if owner is None:
            self._trials.ask(case.fingerprint, token, answer)

    def _end(self, channel: Channel, ask: int, is_inconclusive: bool) -> None:
        token = self._tokens.get(channel, {}).pop(ask, None)
        if isinstance(token, _Forwarded):
            self._forwarded.pop(token.number, None)
            token.owner.put(TrialEnd(ask=token.number, doubtful=is_inconclusive))
        elif token is not None:
            self._trials.end(token, is_inconclusive)

    def take_answer(self, message: TrialAnswer) -> None:
        """Pass on what the hub of another cell answers."""
        forwarded = self._forwarded.get(message.ask)
        if forwarded is not None:
            forwarded.answer(message.allowed, message.ends)

    def take_news(self, news: SuspectNews, is_own: bool) -> None:
        """Take in news; `is_own` tells that an entry of the own cell sent them."""
        now = self._monotonic()
        changed = [
            case.fingerprint for case in news.cases if self._book.merge(case, now)
        ]
        changed += [name for name in news.cleared if self._book.clear(name)]
        for fingerprint in changed:
            self.spread(fingerprint, is_own)

    def spread(self, fingerprint: str, is_own: bool) -> None:
        """Pass on what is now held against a request."""
        self._to_entries.note(fingerprint)
        if is_own:
            self._to_neighbours.note(fingerprint)

    @staticmethod
    def _answer(channel: Channel, ask: int, is_allowed: bool, ends: int) -> None:
        channel.put(TrialAnswer(ask=ask, allowed=is_allowed, ends=ends))

    @staticmethod
    def _send(channels: set[Channel], news: SuspectNews) -> None:
        for channel in channels:
            channel.put(news)
