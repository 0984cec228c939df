"""Requests as the scheduler and an entry see them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from marigold.core.schema.generated.deployment import Route

if TYPE_CHECKING:
    from marigold.core.connections import ReusableProtocol

# Seconds after which callers of streams leave when no event comes: the longest of a
# constant, a multiple of the latency target and one of the maximum gap, as the
# platform documents for its callers.
STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_TARGETS = 4.0
STREAM_TIMEOUT_GAPS = 8.0


def get_stream_timeout(route: Route) -> float:
    """Return the seconds without an event after which a stream's caller leaves."""
    return max(
        STREAM_TIMEOUT_S,
        STREAM_TIMEOUT_TARGETS * route.target_latency,
        STREAM_TIMEOUT_GAPS * route.maximum_gap,
    )


def get_time_limit(route: Route, timeout: float | None) -> float:
    """Return the seconds for a whole answer; `timeout` is what the caller allows."""
    return route.timeout if timeout is None else min(route.timeout, timeout)


class PlacementRequest:
    """A request to be placed, at its entry or at the hub of its cell.

    Times are seconds of the monotonic clock of the process that holds it. An answer or
    first event after `soft_deadline` misses the latency target; without one by
    `start_deadline`, the caller leaves. `entry` is the entry's process name,
    `data_centre` and `region` are where it runs. `tried` holds the ids of runners that
    the request was sent to before. `regions` are those whose runners may serve it, None
    for all. `answer_tokens` is the most that the answer may have, 0 if that is not
    stated. A request `is_forwarded` if it waits here for the hub of another cell.
    `end_deadline` is when the whole answer is due, None where sizes do not decide.
    `organisation` is that of the caller, empty if requests are not counted by it.
    """

    __slots__ = (
        "answer_tokens",
        "arrived_at",
        "data_centre",
        "end_deadline",
        "entry",
        "id",
        "is_forwarded",
        "is_idempotent",
        "is_started",
        "model",
        "organisation",
        "precedence",
        "prompt_tokens",
        "region",
        "regions",
        "service",
        "soft_deadline",
        "start_deadline",
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
        regions: frozenset[str] | None = None,
        is_forwarded: bool = False,
        answer_tokens: int = 0,
        end_deadline: float | None = None,
        organisation: str = "",
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
        self.regions = regions
        self.is_forwarded = is_forwarded
        self.answer_tokens = answer_tokens
        self.end_deadline = end_deadline
        self.organisation = organisation
        self.is_started = False


class RequestContext(PlacementRequest):
    """A request at its entry, with its route, deadline and progress.

    `timeout` is the seconds that the caller allows, None if it states none. The whole
    answer is due at `deadline`, a time. `sends` counts the attempts that were sent to a
    runner. The last one was sent at `sent_at`, to the runner with the id `sent_to` and
    weights of `sent_version`, 0 if it is not known. `refused_on` holds, by runner, the
    connection on which the request was last refused. `count_answer` is called with the
    size of an answer that is held until the caller has read it.
    """

    __slots__ = (
        "count_answer",
        "deadline",
        "refused_on",
        "route",
        "sends",
        "sent_at",
        "sent_to",
        "sent_version",
    )

    def __init__(
        self,
        id: str,
        service: str,
        route: Route,
        arrived_at: float,
        timeout: float | None,
        organisation: str = "",
        precedence: int | None = None,
        model: str = "",
        prompt_tokens: int = 0,
        data_centre: str = "",
        region: str = "",
        regions: frozenset[str] | None = None,
        answer_tokens: int = 0,
    ) -> None:
        limit = get_time_limit(route, timeout)
        stream_timeout = get_stream_timeout(route) if route.is_stream else limit
        super().__init__(
            id,
            service,
            arrived_at,
            arrived_at + route.target_latency,
            arrived_at + min(stream_timeout, limit),
            route.precedence if precedence is None else precedence,
            route.is_idempotent,
            model,
            prompt_tokens,
            data_centre=data_centre,
            region=region,
            regions=regions,
            answer_tokens=answer_tokens,
            organisation=organisation,
        )
        self.route = route
        self.deadline = arrived_at + limit
        self.count_answer: Callable[[int], None] = lambda size: None
        self.refused_on: dict[str, ReusableProtocol] = {}
        self.sends = 0
        self.sent_at = 0.0
        self.sent_to = ""
        self.sent_version = 0

    def extend_patience(self, seconds: float) -> None:
        """Let the caller leave later by some seconds, but not after the deadline."""
        self.start_deadline = min(self.start_deadline + seconds, self.deadline)

    def may_retry(self) -> bool:
        """Return whether the request may be retried after it may have run."""
        return self.route.is_idempotent and self.sends < self.route.maximum_attempts
