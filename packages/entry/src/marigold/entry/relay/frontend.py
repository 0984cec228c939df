"""HTTP front end for callers: checks of requests and error responses."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections.abc import Callable
from functools import partial

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from marigold.core.logging import get_logger
from marigold.core.platform.adapter import HeaderCodec, RequestHead
from marigold.entry.eligibility.rules import combine_regions
from marigold.entry.memory.budget import (
    BodyGivenUpError,
    BodyHold,
    BudgetExceededError,
)
from marigold.entry.memory.reading import BodyReader, OversizedBodyError
from marigold.entry.relay.catalogue import Catalogue, choose_service
from marigold.entry.relay.exceptions import (
    AnswerCutError,
    BodyTooLargeError,
    HeadTooLargeError,
    MalformedError,
    MemoryShortError,
    NoKeyError,
    NoRouteError,
    NotServedError,
    RelayError,
)
from marigold.entry.relay.forwarding import CallerRequest
from marigold.entry.relay.freshness import KeyFreshness
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.requests import RequestContext, get_time_limit
from marigold.entry.relay.serving import RequestServer, log_unexpected
from marigold.entry.relay.source import CatalogueSource

log = get_logger(__name__)

# Retry-After when the configuration of this entry is missing or too old; callers that
# retry reach another entry.
STALE_RETRY_S = 0.2
# Seconds after the start in which an entry still expects its first configuration, and
# for which a request waits for it. Reading it takes about 0.1 s, and callers leave when
# nothing is read for a third of their time, which is at least 0.5 s.
FIRST_CONFIGURATION_S = 1.5
FIRST_CONFIGURATION_WAIT_S = 0.35
# Seconds and fraction of a caller's time after which it leaves when nothing was read: a
# request that is still there has waited for less than either.
READ_TIMEOUT_S = 1.0
READ_TIMEOUT_FRACTION = 1 / 3


class CallerFrontend:
    """Answers callers' requests.

    `get_read_delay` returns the seconds for which input that is handled now may have
    waited, as this process did not run.
    """

    def __init__(
        self,
        source: CatalogueSource,
        freshness: KeyFreshness,
        server: RequestServer,
        header_codec: HeaderCodec,
        metrics: RelayMetrics,
        rng: random.Random,
        data_centre: str,
        region: str,
        get_read_delay: Callable[[], float],
        bodies: BodyReader,
    ) -> None:
        self._bodies = bodies
        bodies.budget.on_reject = metrics.bodies_rejected.add
        self._get_read_delay = get_read_delay
        self._data_centre = data_centre
        self._region = region
        self._source = source
        self._freshness = freshness
        self._server = server
        self._header_codec = header_codec
        self._metrics = metrics
        self._rng = rng
        self._startup_until = time.monotonic() + FIRST_CONFIGURATION_S
        self.running = 0
        self.is_stopping = False
        # When requests are refused from, in seconds of the monotonic clock.
        self.closes_at = math.inf
        # Set when the connections of callers are closed at the end of the process.
        self.is_shut_down = False

    def is_ready(self) -> bool:
        """Return whether the entry accepts new connections."""
        if self._source.catalogue is None or self.is_stopping:
            return False
        return self._freshness.may_use_key(self._source.get_age())

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrived_at = time.monotonic()
        head = self._header_codec.parse_request_head(http.headers)
        self.running += 1
        try:
            with self._bodies.open_hold(http) as hold:
                return await self._serve(http, head, arrived_at, hold)
        except AnswerCutError as exc:
            self._log_failure(head, arrived_at, exc)
            if http.transport is not None:
                http.transport.abort()
            # The connection is closed, so nothing more of the response is sent.
            return exc.response
        except RelayError as exc:
            self._log_failure(head, arrived_at, exc)
            return self._make_error(exc)
        finally:
            self.running -= 1

    async def _serve(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        arrived_at: float,
        hold: BodyHold,
    ) -> web.StreamResponse:
        ctx = None
        try:
            catalogue, ctx, req = await self._receive(http, head, arrived_at, hold)
            resp = await self._server.serve(
                http, head, ctx, req, lambda: self.is_stopping
            )
        except asyncio.CancelledError:
            self._log_cancelled(http, head, arrived_at, ctx)
            raise
        seconds = time.monotonic() - arrived_at
        self._metrics.requests.add(str(resp.status), "runner")
        self._metrics.total_time.record(seconds)
        log.routine(
            "request_answered",
            request=head.attempt,
            status=resp.status,
            configuration=catalogue.version,
            seconds=seconds,
            sends=ctx.sends,
            parts=",".join(head.prompt_parts),
        )
        return resp

    async def _receive(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        arrived_at: float,
        hold: BodyHold,
    ) -> tuple[Catalogue, RequestContext, CallerRequest]:
        try:
            catalogue = await self._get_catalogue(arrived_at)
            ctx, req = await self._accept(http, head, catalogue, arrived_at, hold)
        except RelayError:
            raise
        except Exception as exc:
            log_unexpected(head.attempt, exc)
            raise NotServedError("internal error", self._make_retry_after()) from exc
        return catalogue, ctx, req

    async def _accept(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        catalogue: Catalogue,
        arrived_at: float,
        hold: BodyHold,
    ) -> tuple[RequestContext, CallerRequest]:
        """Check a request and read all of it."""
        self._require_open()
        ctx = self._make_context(http, head, catalogue, arrived_at)
        ctx.count_answer = partial(self._bodies.budget.add_answer, hold)
        began_at = time.monotonic()
        try:
            async with self._server.limit_time():
                body = await self._read_body(http, catalogue, hold)
        except TimeoutError as exc:
            raise NotServedError("this entry is stopping", STALE_RETRY_S) from exc
        # Its caller waits for an answer from the end of the body on.
        ctx.extend_patience(time.monotonic() - began_at)
        # A body that took its time may leave too little of it to a runner.
        self._require_open()
        req = CallerRequest(
            http.method,
            http.raw_path,
            http.headers,
            body,
            http.host,
            ctx.organisation,
            head.prompt_parts,
            head.model,
        )
        return ctx, req

    async def _read_body(
        self, http: web.BaseRequest, catalogue: Catalogue, hold: BodyHold
    ) -> bytes:
        try:
            return await self._bodies.read(http, hold, catalogue.bounds.body_bytes)
        except OversizedBodyError as exc:
            raise BodyTooLargeError(str(exc)) from exc
        except RequestPayloadError as exc:
            raise MalformedError(f"the body cannot be read: {exc}") from exc
        except (BodyGivenUpError, BudgetExceededError) as exc:
            raise MemoryShortError(str(exc), self._make_retry_after()) from exc

    def _require_open(self) -> None:
        if time.monotonic() >= self.closes_at:
            raise NotServedError("this entry is stopping", STALE_RETRY_S)

    async def _get_catalogue(self, arrived_at: float) -> Catalogue:
        """Return the current catalogue; wait for the first one after the start.

        A caller that is refused instead may retry at an entry that has just started
        as well.
        """
        if not self._source.is_confirmed() and arrived_at < self._startup_until:
            await self._source.wait_confirmed(FIRST_CONFIGURATION_WAIT_S)
        catalogue = self._source.catalogue
        if catalogue is None:
            raise NotServedError("no configuration yet", self._make_retry_after())
        return catalogue

    def _make_context(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        catalogue: Catalogue,
        arrived_at: float,
    ) -> RequestContext:
        age = self._source.get_age()
        route = catalogue.find_route(http.host, http.path)
        if route is None:
            self._require_fresh(age, "no route is known")
            raise NoRouteError("no route matches host and path")
        precedence = None
        found = None
        organisation = ""
        if catalogue.requires_keys and not route.is_public:
            found = catalogue.find_organisation(head.key)
            if not self._freshness.may_use_key(age):
                raise NotServedError(
                    f"keys were confirmed {_format_age(age)} ago",
                    self._make_retry_after(),
                )
            if found is None:
                self._require_fresh(age, "the key is not known")
                raise NoKeyError("no organisation holds this key")
            precedence = found.precedence
            organisation = found.name
        _check_head(http, catalogue)
        limit = get_time_limit(route, head.deadline)
        return RequestContext(
            head.attempt,
            choose_service(route.services, self._rng),
            route,
            arrived_at - self._estimate_read_delay(limit),
            head.deadline,
            organisation,
            precedence,
            head.model,
            head.prompt_tokens,
            self._data_centre,
            self._region,
            combine_regions(route, found),
            head.answer_tokens,
        )

    def _estimate_read_delay(self, limit: float) -> float:
        """Return for how long a request that is read now may have waited.

        Its caller allows `limit` seconds, also while this process did not run.
        """
        longest = min(READ_TIMEOUT_S, READ_TIMEOUT_FRACTION * limit)
        return min(self._get_read_delay(), longest)

    def _require_fresh(self, age: float | None, reason: str) -> None:
        if not self._freshness.may_report_missing(age):
            raise NotServedError(
                f"{reason}, as of {_format_age(age)} ago", self._make_retry_after()
            )

    def _make_retry_after(self) -> float:
        return STALE_RETRY_S * (1.0 + self._rng.random())

    def _make_error(self, exc: RelayError) -> web.Response:
        self._metrics.requests.add(str(exc.status), "entry")
        self._metrics.refused.add(type(exc).__name__)
        error = {
            "type": type(exc).__name__,
            "message": str(exc),
            "executed": "no" if exc.is_not_executed else "unknown",
        }
        headers = {"Content-Type": "application/json"}
        if exc.retry_after is not None:
            headers["Retry-After"] = f"{exc.retry_after:.2f}"
        resp = web.Response(
            status=exc.status, headers=headers, body=json.dumps({"error": error})
        )
        # The rest of a body that is not read would be read and discarded otherwise.
        if self.is_stopping or isinstance(exc, MemoryShortError):
            resp.force_close()
        return resp

    def _log_failure(
        self, head: RequestHead, arrived_at: float, exc: RelayError
    ) -> None:
        catalogue = self._source.catalogue
        log.event(
            "request_failed",
            request=head.attempt,
            status="cut" if isinstance(exc, AnswerCutError) else exc.status,
            kind=type(exc).__name__,
            reason=exc,
            configuration=None if catalogue is None else catalogue.version,
            configuration_age=self._source.get_age(),
            seconds=time.monotonic() - arrived_at,
            retry_after=exc.retry_after,
        )

    def _log_cancelled(
        self,
        http: web.BaseRequest,
        head: RequestHead,
        arrived_at: float,
        ctx: RequestContext | None,
    ) -> None:
        """Log a request that ends without an answer.

        Callers leave as a matter of course; any other cause is a fault.
        """
        task = asyncio.current_task()
        is_abandoned = False
        if task is None or not task.cancelling():
            cause = "something it waited for was cancelled"
        elif http.transport is not None or self.is_shut_down:
            cause = "this process cancelled it"
        else:
            is_abandoned = True
            cause = "its caller left"
        write = log.routine if is_abandoned else log.event
        now = time.monotonic()
        write(
            "request_cancelled",
            request=head.attempt,
            cause=cause,
            seconds=now - arrived_at,
            sends=0 if ctx is None else ctx.sends,
            runner="" if ctx is None else ctx.sent_to,
            since_sent=now - ctx.sent_at if ctx is not None and ctx.sends else None,
            read_delay=self._get_read_delay(),
        )


def _format_age(age: float | None) -> str:
    return "never" if age is None else f"{age:.1f} s"


def _check_head(http: web.BaseRequest, catalogue: Catalogue) -> None:
    size = sum(len(name) + len(value) for name, value in http.raw_headers)
    if size > catalogue.bounds.header_bytes:
        raise HeadTooLargeError(f"the head has {size} bytes")
