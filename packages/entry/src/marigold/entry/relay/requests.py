"""A request while this entry serves it."""

from __future__ import annotations

from collections.abc import Iterable

from marigold.core.schema.generated.deployment import Route

# What callers of streams bear without an event: the longest of these, as the
# platform's pages state for its callers.
STREAM_PATIENCE_S = 2.0
STREAM_PATIENCE_TARGETS = 4.0
STREAM_PATIENCE_GAPS = 8.0


def get_stream_timeout(route: Route) -> float:
    """Return the seconds after which the caller of a stream leaves."""
    return max(
        STREAM_PATIENCE_S,
        STREAM_PATIENCE_TARGETS * route.target_latency,
        STREAM_PATIENCE_GAPS * route.maximum_gap,
    )


class PlacementRequest:
    """A request as placement sees it, at its entry or at the hub of its cell.

    Times are seconds of the monotonic clock of the process that holds it.
    `target_at` is when its answer or first event is due for full worth, `start_by`
    when its caller will have left without a first event. `asker` names the entry,
    `data_centre` and `region` are the entry's. `tried` names runners that it was
    sent to before.
    """

    __slots__ = (
        "arrived_at",
        "entry",
        "data_centre",
        "id",
        "is_idempotent",
        "is_started",
        "model",
        "precedence",
        "prompt_tokens",
        "region",
        "service",
        "start_deadline",
        "soft_deadline",
        "tried",
    )

    def __init__(
        self,
        id: str,
        service: str,
        arrived_at: float,
        soft_deadline: float,
        start_deadline: float,
        precedence: int = 0,
        is_idempotent: bool = True,
        model: str = "",
        prompt_tokens: int = 0,
        tried: Iterable[str] = (),
        entry: str = "",
        data_centre: str = "",
        region: str = "",
    ) -> None:
        self.id = id
        self.service = service
        self.arrived_at = arrived_at
        self.soft_deadline = soft_deadline
        self.start_deadline = start_deadline
        self.precedence = precedence
        self.is_idempotent = is_idempotent
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.tried = set(tried)
        self.entry = entry
        self.data_centre = data_centre
        self.region = region
        self.is_started = False


class RequestContext(PlacementRequest):
    """A request at its entry, its terms and how far it has come.

    `ends_at` is when a final answer is due. `sends` counts runners that the request
    was sent to.
    """

    __slots__ = ("ends_at", "organisation", "route", "sends", "sent_at")

    def __init__(
        self,
        id: str,
        service: str,
        route: Route,
        arrived_at: float,
        deadline: float | None,
        organisation: str = "",
        precedence: int | None = None,
        model: str = "",
        prompt_tokens: int = 0,
        data_centre: str = "",
        region: str = "",
    ) -> None:
        limit = route.timeout if deadline is None else min(route.timeout, deadline)
        patience = get_stream_timeout(route) if route.is_stream else limit
        super().__init__(
            id,
            service,
            arrived_at,
            arrived_at + route.target_latency,
            arrived_at + min(patience, limit),
            route.precedence if precedence is None else precedence,
            route.is_idempotent,
            model,
            prompt_tokens,
            data_centre=data_centre,
            region=region,
        )
        self.route = route
        self.ends_at = arrived_at + limit
        self.organisation = organisation
        self.sends = 0
        self.sent_at = 0.0

    def may_retry(self) -> bool:
        """Tell whether another runner may be tried after one may have run it."""
        return self.route.is_idempotent and self.sends < self.route.maximum_attempts
