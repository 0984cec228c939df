"""A request while this entry serves it."""

from __future__ import annotations

from marigold.core.schema.generated.deployment import Route

# What callers of streams bear without an event: the longest of these, as the
# platform's pages state for its callers.
STREAM_PATIENCE_S = 2.0
STREAM_PATIENCE_TARGETS = 4.0
STREAM_PATIENCE_GAPS = 8.0


def get_patience(route: Route) -> float:
    """Return the seconds after which the caller of a stream leaves."""
    return max(
        STREAM_PATIENCE_S,
        STREAM_PATIENCE_TARGETS * route.target_latency,
        STREAM_PATIENCE_GAPS * route.maximum_gap,
    )


class Ticket:
    """A request, its terms and how far it has come.

    Times are seconds of the monotonic clock. `ends_at` is when a final answer is
    due; `start_by` is when the caller of a stream will have left without a first
    event. `sends` counts runners that the request was sent to, `tried` names them.
    """

    __slots__ = (
        "arrived_at",
        "ends_at",
        "id",
        "is_started",
        "model",
        "organisation",
        "precedence",
        "prompt_tokens",
        "route",
        "sends",
        "sent_at",
        "service",
        "start_by",
        "tried",
    )

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
    ) -> None:
        self.id = id
        self.service = service
        self.route = route
        self.arrived_at = arrived_at
        limit = route.timeout if deadline is None else min(route.timeout, deadline)
        self.ends_at = arrived_at + limit
        patience = get_patience(route) if route.is_stream else limit
        self.start_by = arrived_at + min(patience, limit)
        self.organisation = organisation
        self.precedence = route.precedence if precedence is None else precedence
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.is_started = False
        self.sends = 0
        self.sent_at = 0.0
        self.tried: set[str] = set()

    @property
    def target_at(self) -> float:
        """When the answer or its first event is due for full worth."""
        return self.arrived_at + self.route.target_latency

    def may_repeat(self) -> bool:
        """Tell whether another runner may be tried after one may have run it."""
        return self.route.is_idempotent and self.sends < self.route.maximum_attempts
