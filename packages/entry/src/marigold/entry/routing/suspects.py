"""Keeps the entries of a data centre agreed on suspects.

Losses, refusals and clearances go to every linked entry of the data centre. One
of them, chosen by rendezvous hash, gives permits, so that a suspect runs once at
a time in the whole data centre. With that entry out of reach no suspect runs.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

from marigold.core.links.link import Link
from marigold.core.schema.generated.messages import (
    SuspectAnswer,
    SuspectEnd,
    SuspectRequest,
    Suspects,
)
from marigold.entry.membership.peers import EntryPeers
from marigold.entry.membership.rendezvous import rank_hosts
from marigold.entry.routing.quarantine import (
    PermitTable,
    SuspectQuarantine,
    Verdict,
)

PERMIT_KEY = "suspect-permits"
PERMIT_TIMEOUT_S = 0.5
SPREAD_TIMEOUT_S = 0.2


class SuspectCoordinator:
    """Suspects as this entry knows them, and permits to run them."""

    def __init__(self, process: str, data_centre: str, peers: EntryPeers) -> None:
        self._process = process
        self._data_centre = data_centre
        self._peers = peers
        self._quarantine = SuspectQuarantine()
        self._permits = PermitTable()
        self._asked: dict[str, asyncio.Future[bool]] = {}
        self._sends: set[asyncio.Task[None]] = set()
        peers.on_open(self._greet)
        peers.subscribe(Suspects, self._on_suspects)
        peers.subscribe(SuspectRequest, self._on_request)
        peers.subscribe(SuspectAnswer, self._on_answer)
        peers.subscribe(SuspectEnd, self._on_end)

    def get_verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may run."""
        return self._quarantine.get_verdict(fingerprint, time.monotonic())

    def get_quiet_time(self, fingerprint: str) -> float:
        """Return the seconds since the last loss under requests like this one."""
        return time.monotonic() - self._quarantine.get_lost_at(fingerprint)

    async def report_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool
    ) -> None:
        """Take in the loss of a target under a request and tell the others."""
        now = time.monotonic()
        self._quarantine.add_loss(fingerprint, host, is_crash, was_alone, now)
        verdict = self._quarantine.get_verdict(fingerprint, now)
        if verdict == "refused":
            message = Suspects(refused=[fingerprint])
        else:
            message = Suspects(suspects={fingerprint: [host] if is_crash else []})
        await self._spread(message)

    async def report_clear(self, fingerprint: str) -> None:
        """Take in that a suspect ran alone to its end and tell the others."""
        self._quarantine.clear(fingerprint)
        await self._spread(Suspects(cleared=[fingerprint]))

    async def _spread(self, message: Suspects) -> None:
        # A peer that takes nothing must not hold up the request.
        sends = {self._spawn(name, message) for name in self._peers.get_local_names()}
        if sends:
            await asyncio.wait(sends, timeout=SPREAD_TIMEOUT_S)

    def _spawn(self, process: str, message: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(self._peers.send(process, message))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)
        return task

    def _get_giver(self) -> str:
        names = [self._process, *self._peers.get_local_names()]
        return rank_hosts(PERMIT_KEY, names)[0]

    async def ask(
        self, fingerprint: str, request: str, host: str, seconds: float
    ) -> bool:
        """Ask for a permit; tell whether it was given."""
        giver = self._get_giver()
        if giver == self._process:
            now = time.monotonic()
            return self._permits.give(fingerprint, request, host, seconds, now)
        fut = self._asked[request] = asyncio.get_running_loop().create_future()
        message = SuspectRequest(
            fingerprint=fingerprint, request=request, host=host, seconds=seconds
        )
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                return await self._peers.send(giver, message) and await fut
        except TimeoutError:
            self.give_back(fingerprint, request)
            return False
        finally:
            del self._asked[request]

    def give_back(self, fingerprint: str, request: str) -> None:
        """Give a permit back, to whichever entry gave it."""
        self._permits.take_back(fingerprint, request)
        message = SuspectEnd(fingerprint=fingerprint, request=request)
        for name in self._peers.get_local_names():
            self._spawn(name, message)

    async def _greet(self, link: Link) -> None:
        now = time.monotonic()
        suspects = self._quarantine.get_suspects(now)
        refused = self._quarantine.get_refused(now)
        if self._is_local(link) and (suspects or refused):
            await link.send(Suspects(suspects=suspects, refused=refused))

    def _is_local(self, link: Link) -> bool:
        return link.peer.data_centre == self._data_centre

    async def _on_suspects(self, link: Link, message: Suspects) -> None:
        if not self._is_local(link):
            return
        now = time.monotonic()
        for fingerprint, crashed in message.suspects.items():
            self._quarantine.suspect(fingerprint, crashed, now)
        for fingerprint in message.refused:
            self._quarantine.refuse(fingerprint, now)
        for fingerprint in message.cleared:
            self._quarantine.clear(fingerprint)

    async def _on_request(self, link: Link, message: SuspectRequest) -> None:
        now = time.monotonic()
        verdict = self._quarantine.get_verdict(message.fingerprint, now)
        granted = verdict != "refused" and self._permits.give(
            message.fingerprint, message.request, message.host, message.seconds, now
        )
        await link.send(SuspectAnswer(request=message.request, granted=granted))

    async def _on_answer(self, link: Link, message: SuspectAnswer) -> None:
        fut = self._asked.get(message.request)
        if fut is not None and not fut.done():
            fut.set_result(message.granted)

    async def _on_end(self, link: Link, message: SuspectEnd) -> None:
        self._permits.take_back(message.fingerprint, message.request)
