"""Requests for places on runners, and places granted by the hub of another cell."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from marigold.core.schema.generated.messages import PlaceAsk, PlaceBegun, PlaceEnd
from marigold.entry.relay.requests import PlacementRequest


def make_place_ask(
    ask_id: int,
    req: PlacementRequest,
    now: float,
    is_spilled: bool = False,
    is_forwarded: bool = False,
) -> PlaceAsk:
    """Return the message that requests a place; its times are seconds after `now`."""
    return PlaceAsk(
        ask=ask_id,
        request=req.id,
        service=req.service,
        precedence=req.precedence,
        target_in=req.soft_deadline - now,
        start_in=req.start_deadline - now,
        waited=now - req.arrived_at,
        centre=req.data_centre,
        idempotent=req.is_idempotent,
        model=req.model,
        prompt=req.prompt_tokens,
        answer=req.answer_tokens,
        end_in=0.0 if req.end_deadline is None else max(req.end_deadline - now, 0.001),
        tried=sorted(req.tried),
        spilled=is_spilled,
        forwarded=is_forwarded,
        organisation=req.organisation,
        regions=None if req.regions is None else sorted(req.regions),
    )


class RemotePlace:
    """Place on a runner that another hub granted; `put` sends to that hub."""

    __slots__ = ("_ask", "_put", "runner", "started", "version")

    def __init__(
        self,
        ask: int,
        runner: str,
        started: int,
        version: int,
        put: Callable[[Any], None],
    ) -> None:
        self._ask = ask
        self._put = put
        self.runner = runner
        self.started = started
        self.version = version

    def mark_started(self) -> None:
        """Report that the response has started."""
        self._put(PlaceBegun(ask=self._ask))

    def release(self, outcome: str, backoff: float) -> None:
        """Release the place and report the outcome."""
        self._put(PlaceEnd(ask=self._ask, outcome=outcome, hold=backoff))
