"""Replication of suspects through hubs, within a cell and between cells."""

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
from marigold.entry.suspicion.batching import UpdateBatcher, make_full_update
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import AnswerCallback, TrialQueue

log = get_logger(__name__)


class _ForwardedTrial:
    """Trial that was forwarded to the hub of another cell."""

    __slots__ = ("answer", "ask_id", "owner")

    def __init__(self, ask_id: int, owner: Channel, answer: AnswerCallback) -> None:
        self.ask_id = ask_id
        self.owner = owner
        self.answer = answer


class SuspectExchange:
    """Relays updates between entries and hubs, and grants trials of suspects.

    Updates from an entry of the own cell go to all its entries and to the hubs of other
    cells. Updates from such a hub go to the own entries only. `find_owner` returns the
    channel to the hub that decides on a request, or None if this one does.
    """

    def __init__(
        self,
        table: SuspectTable,
        trials: TrialQueue,
        find_owner: Callable[[str], Channel | None] = lambda fingerprint: None,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._trials = trials
        self._find_owner = find_owner
        self._ask_ids = itertools.count(1)
        self._forwarded: dict[int, _ForwardedTrial] = {}
        self._monotonic = monotonic
        self._entries: set[Channel] = set()
        self._neighbours: set[Channel] = set()
        self._tokens: dict[Channel, dict[int, Hashable]] = {}
        self._to_entries = UpdateBatcher(
            table, partial(self._send, self._entries), monotonic
        )
        self._to_neighbours = UpdateBatcher(
            table, partial(self._send, self._neighbours), monotonic
        )

    def join(self, channel: Channel, is_neighbour: bool) -> None:
        """Add a process and send it all cases."""
        (self._neighbours if is_neighbour else self._entries).add(channel)
        for update in make_full_update(self._table, self._monotonic()):
            channel.put(update)

    def leave(self, channel: Channel) -> None:
        """Remove a process and end its trials as inconclusive."""
        self._entries.discard(channel)
        self._neighbours.discard(channel)
        for ask in list(self._tokens.get(channel, {})):
            self._end_trial(channel, ask, is_inconclusive=True)
        self._tokens.pop(channel, None)

    def handle(self, channel: Channel, message: Any) -> None:
        """Handle a message from a process."""
        match message:
            case SuspectNews():
                self.handle_update(message, is_own_cell=channel not in self._neighbours)
            case TrialAsk():
                self._start_trial(channel, message)
            case TrialEnd():
                self._end_trial(channel, message.ask, message.doubtful)

    def _start_trial(self, channel: Channel, message: TrialAsk) -> None:
        """Request a trial in the own cell, or forward it to the hub of another one.

        One cell decides on each request, as long as its hub can be reached.
        """
        case = message.case
        is_own_cell = channel not in self._neighbours
        if self._table.merge(case, self._monotonic()):
            self.publish(case.fingerprint, is_own_cell)
        owner = self._find_owner(case.fingerprint) if is_own_cell else None
        answer = partial(self._answer, channel, message.ask)
        token: Hashable = (id(channel), message.ask)
        if owner is not None:
            token = _ForwardedTrial(next(self._ask_ids), owner, answer)
            self._forwarded[token.ask_id] = token
            owner.put(TrialAsk(ask=token.ask_id, case=case))
        self._tokens.setdefault(channel, {})[message.ask] = token
        if owner is None:
            self._trials.request(case.fingerprint, token, answer)

    def _end_trial(self, channel: Channel, ask: int, is_inconclusive: bool) -> None:
        token = self._tokens.get(channel, {}).pop(ask, None)
        if isinstance(token, _ForwardedTrial):
            self._forwarded.pop(token.ask_id, None)
            token.owner.put(TrialEnd(ask=token.ask_id, doubtful=is_inconclusive))
        elif token is not None:
            self._trials.end(token, is_inconclusive)

    def handle_answer(self, message: TrialAnswer) -> None:
        """Forward the answer of another cell's hub to the process that asked."""
        forwarded = self._forwarded.get(message.ask)
        if forwarded is not None:
            forwarded.answer(message.allowed, message.ends)

    def handle_update(self, update: SuspectNews, is_own_cell: bool) -> None:
        """Apply an update; `is_own_cell` is set if an entry of the cell sent it."""
        now = self._monotonic()
        changed = [
            case.fingerprint for case in update.cases if self._table.merge(case, now)
        ]
        changed += [name for name in update.cleared if self._table.clear(name)]
        for fingerprint in changed:
            self.publish(fingerprint, is_own_cell)

    def publish(self, fingerprint: str, is_own_cell: bool) -> None:
        """Send a request's case to entries and, with `is_own_cell`, to other hubs."""
        self._to_entries.add(fingerprint)
        if is_own_cell:
            self._to_neighbours.add(fingerprint)

    @staticmethod
    def _answer(channel: Channel, ask: int, is_allowed: bool, crashes: int) -> None:
        channel.put(TrialAnswer(ask=ask, allowed=is_allowed, ends=crashes))

    @staticmethod
    def _send(channels: set[Channel], update: SuspectNews) -> None:
        for channel in channels:
            channel.put(update)
