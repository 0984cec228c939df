"""Scheduling on the hub: grants places to the requests of its cell."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    PermitAsk,
    PermitGrant,
    PlaceAsk,
    PlaceBegun,
    PlaceEnd,
    PlaceGrant,
    PlaceQueued,
    PlaceRefusal,
    RateNotice,
    RunnerLeaving,
)
from marigold.entry.hub.places import RemotePlace
from marigold.entry.rates.runner_rates import RunnerRates
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.health import UNREACHABLE_WEIGHT
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.scheduler import MISDIRECTED_BACKOFF_S, RequestScheduler
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)


# Outcomes of a request for which the runner has sent something.
ANSWERED_OUTCOMES = frozenset({"done", "misdirected", "full", "leaving"})

Place = RunnerView | RemotePlace


class PendingPlacement:
    """Placement that a process requested, until its place is released."""

    __slots__ = ("ask_id", "fut", "place", "req")

    def __init__(
        self,
        ask_id: int,
        req: PlacementRequest,
        fut: asyncio.Future[Place] | None = None,
    ) -> None:
        self.ask_id = ask_id
        self.req = req
        self.fut = fut
        self.place: Place | None = None


class PlacementDispatcher:
    """Handles the placements of all processes that are attached to a hub.

    `directory` holds the runners of the cell, and `regions` maps each data centre to
    its region.
    """

    def __init__(
        self,
        scheduler: RequestScheduler,
        directory: RunnerDirectory,
        regions: Mapping[str, str],
        monotonic: Callable[[], float],
        rng: random.Random,
        rates: RunnerRates,
    ) -> None:
        self._rates = rates
        self._scheduler = scheduler
        self._directory = directory
        self._regions = regions
        self._monotonic = monotonic
        self._rng = rng

    def handle(
        self, channel: Channel, placements: dict[int, PendingPlacement], message: Any
    ) -> None:
        """Handle a message from a process, whose placements are given by `ask_id`."""
        match message:
            case PlaceAsk():
                self._submit(channel, placements, message)
            case PlaceBegun():
                self._mark_started(placements.get(message.ask))
            case PlaceEnd():
                placement = placements.pop(message.ask, None)
                if placement is not None:
                    self._finish(placement, message.outcome, message.hold)
            case RunnerLeaving():
                self._mark_leaving(message)
            case PermitAsk():
                channel.put(PermitGrant(ask=message.ask, count=self._permit(message)))
            case RateNotice():
                view = self._find(message.runner, message.started)
                if view is not None:
                    self._rates.record_limit(view, message.rate)

    def release_all(self, placements: dict[int, PendingPlacement]) -> None:
        """Release the places of a process that has detached.

        Its requests may still run; the reports of the companions count them.
        """
        for placement in list(placements.values()):
            self._finish(placement, "unused", 0.0)
        placements.clear()

    def _submit(
        self,
        channel: Channel,
        placements: dict[int, PendingPlacement],
        message: PlaceAsk,
    ) -> None:
        req = self._make_request(channel, message)
        placement = placements[message.ask] = PendingPlacement(message.ask, req)
        if message.spilled:
            placement.place = self._scheduler.acquire_now(req)
            self._answer_spilled(channel, placements, placement)
            return
        placement.fut = self._scheduler.submit(req)
        if not placement.fut.done():
            channel.put(PlaceQueued(ask=placement.ask_id))
        placement.fut.add_done_callback(
            lambda fut: self._resolve(channel, placements, placement)
        )

    def _make_request(self, channel: Channel, message: PlaceAsk) -> PlacementRequest:
        now = self._monotonic()
        return PlacementRequest(
            message.request,
            message.service,
            now - message.waited,
            now + message.target_in,
            now + message.start_in,
            message.precedence,
            message.idempotent,
            message.model,
            message.prompt,
            message.tried,
            channel.peer.process,
            message.centre,
            self._regions.get(message.centre, ""),
            None if message.regions is None else frozenset(message.regions),
            message.forwarded,
            message.answer,
            now + message.end_in if message.end_in > 0 else None,
            message.organisation,
        )

    def _answer_spilled(
        self,
        channel: Channel,
        placements: dict[int, PendingPlacement],
        placement: PendingPlacement,
    ) -> None:
        if placement.place is not None:
            self._grant(channel, placement, placement.place)
            return
        del placements[placement.ask_id]
        channel.put(PlaceRefusal(ask=placement.ask_id, reason="no free place"))

    def _resolve(
        self,
        channel: Channel,
        placements: dict[int, PendingPlacement],
        placement: PendingPlacement,
    ) -> None:
        fut = placement.fut
        if fut is None or fut.cancelled():
            return
        exc = fut.exception()
        if exc is None:
            placement.place = place = fut.result()
            if placement.ask_id not in placements:
                self._finish(placement, "unused", 0.0)
            else:
                self._grant(channel, placement, place)
            return
        placements.pop(placement.ask_id, None)
        retry_after = exc.retry_after if isinstance(exc, NotServedError) else None
        channel.put(
            PlaceRefusal(
                ask=placement.ask_id, reason=str(exc), retry_after=retry_after or 0.0
            )
        )

    def _grant(
        self, channel: Channel, placement: PendingPlacement, place: Place
    ) -> None:
        now = self._monotonic()
        if isinstance(place, RunnerView):
            version = place.get_version(placement.req.model) or 0
            runner, started = place.id, place.runner.started_ms
            silence = place.get_silence(now)
        else:
            runner, started, version = place.runner, place.started, place.version
            silence = None
        log.routine(
            "place_granted",
            request=placement.req.id,
            runner=runner,
            entry=channel.peer.process,
            version=version,
            waited=now - placement.req.arrived_at,
            left=placement.req.start_deadline - now,
            silence=silence,
        )
        channel.put(
            PlaceGrant(
                ask=placement.ask_id, runner=runner, started=started, version=version
            )
        )

    def _mark_started(self, placement: PendingPlacement | None) -> None:
        if placement is None or placement.req.is_started:
            return
        placement.req.is_started = True
        if isinstance(placement.place, RemotePlace):
            placement.place.mark_started()
        elif placement.place is not None:
            placement.place.record_start(placement.req, self._monotonic())
            self._scheduler.start_waiting(placement.req.service, placement.place)

    def _finish(
        self, placement: PendingPlacement, outcome: str, backoff: float
    ) -> None:
        place = placement.place
        if isinstance(place, RemotePlace):
            place.release(outcome, backoff)
        elif place is not None:
            self._record_outcome(place, outcome, backoff)
            if outcome in ("unused", "failed"):
                place.record_missing_start(placement.req, self._monotonic())
            self._scheduler.release(placement.req, place)
        elif placement.fut is not None:
            self._scheduler.cancel_request(placement.req, placement.fut)

    def _record_outcome(self, view: RunnerView, outcome: str, backoff: float) -> None:
        now = self._monotonic()
        if outcome in ANSWERED_OUTCOMES:
            view.record_progress(now)
        match outcome:
            case "done":
                view.health.record_success(now)
            case "failed":
                view.health.record_failure(now)
            case "unreachable":
                view.health.record_failure(now, UNREACHABLE_WEIGHT)
            case "misdirected":
                self._scheduler.block(view, MISDIRECTED_BACKOFF_S)
            case "full" if backoff > 0:
                self._scheduler.block(view, backoff)
            case "full":
                self._scheduler.block(view)
            case "leaving":
                view.is_leaving = True
        if outcome not in ("done", "unused"):
            log.event("runner_trouble", runner=view.id, outcome=outcome, hold=backoff)

    def _find(self, runner: str, started: int) -> RunnerView | None:
        """Return the view of an incarnation of a runner, None if it is not known."""
        view = self._directory.find(runner)
        if view is None or view.runner.started_ms != started:
            return None
        return view

    def _permit(self, message: PermitAsk) -> int:
        """Return how many of the requests that wait for a runner may be sent now."""
        view = self._find(message.runner, message.started)
        if view is None:
            return 0
        now = self._monotonic()
        count = 0
        while count < message.count and self._rates.may_start(view, now):
            self._rates.record_start(view, now)
            count += 1
        log.routine("permit_granted", runner=view.id, asked=message.count, count=count)
        return count

    def _mark_leaving(self, message: RunnerLeaving) -> None:
        view = self._find(message.runner, message.started)
        if view is not None and not view.is_leaving:
            view.is_leaving = True
            log.event("runner_leaving", runner=view.id, source="entry")
