"""Scheduling on the hub: grants places to the requests of its cell."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import (
    PlaceAsk,
    PlaceBegun,
    PlaceEnd,
    PlaceGrant,
    PlaceQueued,
    PlaceRefusal,
    RunnerLeaving,
)
from marigold.entry.hub.places import RemotePlace
from marigold.entry.relay.directory import RunnerDirectory
from marigold.entry.relay.exceptions import NotServedError
from marigold.entry.relay.health import UNREACHABLE_WEIGHT
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.scheduler import MISDIRECTED_BACKOFF_S, RequestScheduler
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)


Place = RunnerView | RemotePlace


class PendingPlacement:
    """Placement that a process requested, until its place is released."""

    __slots__ = ("demand", "fut", "number", "place")

    def __init__(
        self,
        number: int,
        demand: PlacementRequest,
        fut: asyncio.Future[Place] | None = None,
    ) -> None:
        self.number = number
        self.demand = demand
        self.fut = fut
        self.place: Place | None = None


class Dispatcher:
    """Handles the placements of all processes that are attached to a hub.

    `directory` holds the runners of the cell, and `regions` maps each data centre to
    its region.
    """

    def __init__(
        self,
        desk: RequestScheduler,
        directory: RunnerDirectory,
        regions: Mapping[str, str],
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._desk = desk
        self._directory = directory
        self._regions = regions
        self._monotonic = monotonic
        self._rng = rng

    def handle(
        self, channel: Channel, asks: dict[int, PendingPlacement], message: Any
    ) -> None:
        """Handle a message from a process; `asks` are its placements by number."""
        match message:
            case PlaceAsk():
                self._submit(channel, asks, message)
            case PlaceBegun():
                self._mark_started(asks.get(message.ask))
            case PlaceEnd():
                ask = asks.pop(message.ask, None)
                if ask is not None:
                    self._finish(ask, message.outcome, message.hold)
            case RunnerLeaving():
                self._mark_leaving(message)

    def release_all(self, asks: dict[int, PendingPlacement]) -> None:
        """Release the places of a process that has detached.

        Its requests may still run; the companions' reports count them.
        """
        for ask in list(asks.values()):
            self._finish(ask, "unused", 0.0)
        asks.clear()

    def _submit(
        self, channel: Channel, asks: dict[int, PendingPlacement], message: PlaceAsk
    ) -> None:
        demand = self._make_demand(channel, message)
        ask = asks[message.ask] = PendingPlacement(message.ask, demand)
        if message.spilled:
            ask.place = self._desk.acquire_now(demand)
            self._answer_spilled(channel, asks, ask)
            return
        ask.fut = self._desk.submit(demand)
        if not ask.fut.done():
            channel.put(PlaceQueued(ask=ask.number))
        ask.fut.add_done_callback(lambda fut: self._resolve(channel, asks, ask))

    def _make_demand(self, channel: Channel, message: PlaceAsk) -> PlacementRequest:
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
        )

    def _answer_spilled(
        self, channel: Channel, asks: dict[int, PendingPlacement], ask: PendingPlacement
    ) -> None:
        if ask.place is not None:
            self._grant(channel, ask, ask.place)
            return
        del asks[ask.number]
        channel.put(PlaceRefusal(ask=ask.number, reason="no free place"))

    def _resolve(
        self, channel: Channel, asks: dict[int, PendingPlacement], ask: PendingPlacement
    ) -> None:
        fut = ask.fut
        if fut is None or fut.cancelled():
            return
        exc = fut.exception()
        if exc is None:
            ask.place = place = fut.result()
            if ask.number not in asks:
                self._finish(ask, "unused", 0.0)
            else:
                self._grant(channel, ask, place)
            return
        asks.pop(ask.number, None)
        retry_after = exc.retry_after if isinstance(exc, NotServedError) else None
        channel.put(
            PlaceRefusal(
                ask=ask.number, reason=str(exc), retry_after=retry_after or 0.0
            )
        )

    def _grant(self, channel: Channel, ask: PendingPlacement, place: Place) -> None:
        if isinstance(place, RunnerView):
            version = place.get_version(ask.demand.model) or 0
            runner, started = place.id, place.runner.started_ms
        else:
            runner, started, version = place.runner, place.started, place.version
        log.routine(
            "place_granted",
            request=ask.demand.id,
            runner=runner,
            entry=channel.peer.process,
            version=version,
            waited=self._monotonic() - ask.demand.arrived_at,
        )
        channel.put(
            PlaceGrant(ask=ask.number, runner=runner, started=started, version=version)
        )

    def _mark_started(self, ask: PendingPlacement | None) -> None:
        if ask is None or ask.demand.is_started:
            return
        ask.demand.is_started = True
        if isinstance(ask.place, RemotePlace):
            ask.place.mark_started()
        elif ask.place is not None:
            ask.place.record_progress(self._monotonic())
            self._desk.start_waiting(ask.demand.service, ask.place)

    def _finish(self, ask: PendingPlacement, outcome: str, hold: float) -> None:
        place = ask.place
        if isinstance(place, RemotePlace):
            place.release(outcome, hold)
        elif place is not None:
            self._record_outcome(place, outcome, hold)
            self._desk.release(ask.demand, place)
        elif ask.fut is not None:
            self._desk.cancel_request(ask.demand, ask.fut)

    def _record_outcome(self, view: RunnerView, outcome: str, hold: float) -> None:
        now = self._monotonic()
        match outcome:
            case "done":
                view.record_progress(now)
                view.health.record_success(now)
            case "failed":
                view.health.record_failure(now)
            case "unreachable":
                view.health.record_failure(now, UNREACHABLE_WEIGHT)
            case "misdirected":
                self._desk.block(view, MISDIRECTED_BACKOFF_S)
            case "full" if hold > 0:
                self._desk.block(view, hold)
            case "full":
                self._desk.block(view)
            case "leaving":
                view.is_leaving = True
        if outcome not in ("done", "unused"):
            log.event("runner_trouble", runner=view.id, outcome=outcome, hold=hold)

    def _mark_leaving(self, message: RunnerLeaving) -> None:
        view = self._directory.find(message.runner)
        if view is None or view.runner.started_ms != message.started:
            return
        if not view.is_leaving:
            view.is_leaving = True
            log.event("runner_leaving", runner=view.id, source="entry")
