"""Shares suspects among the entries of a data centre.

Losses, refusals and clearances are sent to every linked entry of the data centre.
One entry, selected by rendezvous hashing, issues the permits, so that a suspect
runs at most once at a time in the whole data centre. No suspect runs while that
entry is unreachable.
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
BROADCAST_TIMEOUT_S = 0.2


class SuspectCoordinator:
    """Quarantine of this entry, replicated to its peers, and permits for suspects."""

    def __init__(self, process: str, data_centre: str, peers: EntryPeers) -> None:
        self._process = process
        self._data_centre = data_centre
        self._peers = peers
        self._quarantine = SuspectQuarantine()
        self._permits = PermitTable()
        self._pending_permits: dict[str, asyncio.Future[bool]] = {}
        self._sends: set[asyncio.Task[None]] = set()
        peers.on_open(self._send_state)
        peers.subscribe(Suspects, self._on_suspects)
        peers.subscribe(SuspectRequest, self._on_request)
        peers.subscribe(SuspectAnswer, self._on_answer)
        peers.subscribe(SuspectEnd, self._on_end)

    def get_verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may run."""
        return self._quarantine.get_verdict(fingerprint, time.monotonic())

    def get_loss_age(self, fingerprint: str) -> float:
        """Return the seconds since a request with the fingerprint lost a target."""
        return time.monotonic() - self._quarantine.get_lost_at(fingerprint)

    async def report_loss(
        self, fingerprint: str, host: str, is_crash: bool, was_alone: bool
    ) -> None:
        """Record the loss of a target that ran a request and broadcast it."""
        now = time.monotonic()
        self._quarantine.add_loss(fingerprint, host, is_crash, was_alone, now)
        verdict = self._quarantine.get_verdict(fingerprint, now)
        if verdict == "refused":
            message = Suspects(refused=[fingerprint])
        else:
            message = Suspects(suspects={fingerprint: [host] if is_crash else []})
        await self._broadcast(message)

    async def report_clear(self, fingerprint: str) -> None:
        """Record that a suspect completed in isolation and broadcast it."""
        self._quarantine.clear(fingerprint)
        await self._broadcast(Suspects(cleared=[fingerprint]))

    async def _broadcast(self, message: Suspects) -> None:
        # A peer that does not read from its link must not delay the request.
        sends = {
            self._send_in_background(name, message)
            for name in self._peers.get_local_names()
        }
        if sends:
            await asyncio.wait(sends, timeout=BROADCAST_TIMEOUT_S)

    def _send_in_background(self, process: str, message: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(self._peers.send(process, message))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)
        return task

    def _get_permit_issuer(self) -> str:
        names = [self._process, *self._peers.get_local_names()]
        return rank_hosts(PERMIT_KEY, names)[0]

    async def request_permit(
        self, fingerprint: str, request: str, host: str, seconds: float
    ) -> bool:
        """Request a permit; return whether it was granted."""
        issuer = self._get_permit_issuer()
        if issuer == self._process:
            now = time.monotonic()
            return self._permits.grant(fingerprint, request, host, seconds, now)
        fut = self._pending_permits[request] = (
            asyncio.get_running_loop().create_future()
        )
        message = SuspectRequest(
            fingerprint=fingerprint, request=request, host=host, seconds=seconds
        )
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                return await self._peers.send(issuer, message) and await fut
        except TimeoutError:
            self.release_permit(fingerprint, request)
            return False
        finally:
            del self._pending_permits[request]

    def release_permit(self, fingerprint: str, request: str) -> None:
        """Release a permit at every local entry, as any may have issued it."""
        self._permits.release(fingerprint, request)
        message = SuspectEnd(fingerprint=fingerprint, request=request)
        for name in self._peers.get_local_names():
            self._send_in_background(name, message)

    async def _send_state(self, link: Link) -> None:
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
        for fingerprint, crashed_hosts in message.suspects.items():
            self._quarantine.mark_suspect(fingerprint, crashed_hosts, now)
        for fingerprint in message.refused:
            self._quarantine.mark_refused(fingerprint, now)
        for fingerprint in message.cleared:
            self._quarantine.clear(fingerprint)

    async def _on_request(self, link: Link, message: SuspectRequest) -> None:
        now = time.monotonic()
        verdict = self._quarantine.get_verdict(message.fingerprint, now)
        granted = verdict != "refused" and self._permits.grant(
            message.fingerprint, message.request, message.host, message.seconds, now
        )
        await link.send(SuspectAnswer(request=message.request, granted=granted))

    async def _on_answer(self, link: Link, message: SuspectAnswer) -> None:
        fut = self._pending_permits.get(message.request)
        if fut is not None and not fut.done():
            fut.set_result(message.granted)

    async def _on_end(self, link: Link, message: SuspectEnd) -> None:
        self._permits.release(message.fingerprint, message.request)
