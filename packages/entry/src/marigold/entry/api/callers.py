"""HTTP interface for callers: chat completions and plain services."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from marigold.core.logging import get_logger
from marigold.core.schema.generated.settings import EntrySettings
from marigold.entry.api.responses import (
    REQUEST_ID_HEADER,
    make_error_event,
    make_error_response,
)
from marigold.entry.api.stopping import StopLimit
from marigold.entry.claims.dispatcher import IdempotentDispatcher
from marigold.entry.exceptions import (
    AnswerError,
    MalformedRequestError,
    NoCapacityError,
    NotAllowedError,
    StoppingError,
    TimeoutPassedError,
    TooLargeError,
    UnauthorizedError,
    UnreachableError,
)
from marigold.entry.lists.compiled import CustomerPlan
from marigold.entry.lists.follower import ListFollower
from marigold.entry.memory.budget import (
    BodyGivenUpError,
    BodyHold,
    BudgetExceededError,
    MemoryBudget,
)
from marigold.entry.memory.reading import BodyReader, OversizedBodyError
from marigold.entry.metrics import EntryMetrics
from marigold.entry.routing.dispatcher import StreamedAnswer
from marigold.entry.routing.requests import Answer, Request, compute_affinity

log = get_logger(__name__)

CHAT_PATH = "/v1/chat/completions"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
FORWARDED_HEADERS = ("Accept", "Content-Type", "Accept-Language")
BEARER = "Bearer "
RETRY_AFTER_S = 1.0


def _get_bearer_key(req: web.Request) -> str:
    header = req.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise UnauthorizedError("the Authorization header must hold a bearer key")
    return header[len(BEARER) :].strip()


def _make_refusal() -> StoppingError:
    return StoppingError("this entry is stopping", RETRY_AFTER_S)


def _make_end() -> TimeoutPassedError:
    return TimeoutPassedError("this entry stopped before the answer was whole")


def _matches_pattern(path: str, pattern: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def _parse_chat(body: bytes) -> dict[str, Any]:
    try:
        chat = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise MalformedRequestError("the body is no valid JSON") from exc
    if not isinstance(chat, dict):
        raise MalformedRequestError("the body must be a JSON object")
    if not isinstance(chat.get("model"), str):
        raise MalformedRequestError("model must be a string")
    if not isinstance(chat.get("messages"), list) or not chat["messages"]:
        raise MalformedRequestError("messages must be a list with an item or more")
    return chat


class CallerApi:
    """Handlers for callers.

    `running` counts requests until they fail or their answers have been sent.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        follower: ListFollower,
        dispatcher: IdempotentDispatcher,
        metrics: EntryMetrics,
        id_prefix: str,
    ) -> None:
        self._cfg = cfg
        self._follower = follower
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._id_prefix = id_prefix
        self._request_count = 0
        self._limit = StopLimit()
        self._bodies = BodyReader(MemoryBudget(cfg.memory_mb, time.monotonic))
        self._bodies.budget.on_reject = metrics.bodies_rejected.add
        self.running = 0
        self.is_stopping = False

    def end_running(self) -> None:
        """Answer all running requests with an error, as the stop is over."""
        self._limit.end()

    def add_routes(self, app: web.Application) -> None:
        """Register the routes for callers."""
        app.router.add_post(CHAT_PATH, self.complete_chat)
        app.router.add_route("*", "/services/{name}/{path:.*}", self.call_service)

    async def complete_chat(self, http_req: web.Request) -> web.StreamResponse:
        """Handle a chat completion request."""
        return await self._handle(http_req, self._make_chat_request)

    async def call_service(self, http_req: web.Request) -> web.StreamResponse:
        """Handle a request to a plain service."""
        return await self._handle(http_req, self._make_service_request)

    def _make_request_id(self) -> str:
        self._request_count += 1
        return f"{self._id_prefix}-{self._request_count}"

    async def _handle(
        self, http_req: web.Request, make_request: Any
    ) -> web.StreamResponse:
        request_id = self._make_request_id()
        customer = "unknown"
        self.running += 1
        try:
            plan = self._authenticate(http_req)
            customer = plan.name
            with self._bodies.open_hold(http_req) as hold:
                body = await self._read_body(http_req, hold)
                req = make_request(request_id, plan, http_req, body)
                log.event("request_received", request=req.id, customer=customer)
                resp = await self._dispatch(http_req, req)
                if isinstance(resp, web.Response):
                    self._bodies.budget.add_answer(hold, len(resp.body))
                # Sent before `running` is decremented, so that a planned stop waits
                # until the caller has received the answer.
                await self._send_response(http_req, resp)
        except AnswerError as exc:
            log.event(
                "request_failed",
                request=request_id,
                customer=customer,
                kind=exc.kind,
                executed=exc.executed,
            )
            resp = make_error_response(exc, request_id)
            self._close_connection_if_stopping(resp)
        finally:
            self.running -= 1
        self._metrics.answers.add(customer, str(resp.status))
        return resp

    def _close_connection_if_stopping(self, resp: web.StreamResponse) -> None:
        """Announce the end of the connection if this entry is stopping.

        Otherwise the caller could send its next request on a connection that is
        about to be closed.
        """
        if self.is_stopping:
            resp.force_close()

    async def _send_response(
        self, http_req: web.Request, resp: web.StreamResponse
    ) -> None:
        self._close_connection_if_stopping(resp)
        request_id = resp.headers[REQUEST_ID_HEADER]
        try:
            async with asyncio.timeout(self._cfg.limits.request_timeout):
                await resp.prepare(http_req)
                await resp.write_eof()
        except ConnectionResetError:
            log.event("caller_disconnected", request=request_id)
        except TimeoutError:
            # The memory budget counts the answer until its caller has read it.
            log.event("answer_not_read", request=request_id)
            if http_req.transport is not None:
                http_req.transport.abort()

    def _authenticate(self, http_req: web.Request) -> CustomerPlan:
        if self.is_stopping:
            raise _make_refusal()
        lists = self._follower.current
        if lists.generation == 0:
            raise UnreachableError("this entry has no lists yet", RETRY_AFTER_S)
        customer = lists.find_customer(_get_bearer_key(http_req))
        if customer is None:
            raise UnauthorizedError("the key is unknown")
        return customer

    async def _read_body(self, http_req: web.Request, hold: BodyHold) -> bytes:
        limit = self._cfg.limits.body_bytes
        try:
            async with self._limit.limit(_make_refusal()):
                return await self._bodies.read(http_req, hold, limit)
        except OversizedBodyError as exc:
            raise TooLargeError(f"the body exceeds {limit} bytes") from exc
        except RequestPayloadError as exc:
            raise MalformedRequestError("the body cannot be read") from exc
        except (BodyGivenUpError, BudgetExceededError) as exc:
            raise NoCapacityError(str(exc), RETRY_AFTER_S) from exc

    def _make_chat_request(
        self, request_id: str, plan: CustomerPlan, http_req: web.Request, body: bytes
    ) -> Request:
        chat = _parse_chat(body)
        model = chat["model"]
        allowance = plan.get_model(model)
        if allowance is None:
            raise NotAllowedError(f"plan {plan.plan} does not include model {model}")
        versions = [allowance.version]
        fallback = self._follower.current.fallback.get(model, ())
        versions += [item for item in fallback if item not in versions]
        return Request(
            id=request_id,
            customer=plan,
            service=model,
            method="POST",
            path=CHAT_PATH,
            headers=self._get_forwarded_headers(http_req),
            body=body,
            timeout=self._cfg.limits.request_timeout,
            versions=versions,
            is_streamed=chat.get("stream") is True,
            is_idempotent=True,
            affinity=compute_affinity(model, chat["messages"]),
        )

    def _make_service_request(
        self, request_id: str, plan: CustomerPlan, http_req: web.Request, body: bytes
    ) -> Request:
        name = http_req.match_info["name"]
        allowance = plan.get_service(name)
        if allowance is None:
            raise NotAllowedError(f"plan {plan.plan} does not include service {name}")
        # The path stays percent-encoded: decoding "?" or "/" would change its meaning.
        path = "/" + http_req.rel_url.raw_path.split("/", 3)[3]
        patterns = allowance.idempotent_paths
        is_idempotent = http_req.method in IDEMPOTENT_METHODS or any(
            _matches_pattern(path, pattern) for pattern in patterns
        )
        query = f"?{http_req.query_string}" if http_req.query_string else ""
        return Request(
            id=request_id,
            customer=plan,
            service=name,
            method=http_req.method,
            path=path + query,
            headers=self._get_forwarded_headers(http_req),
            body=body,
            timeout=self._cfg.limits.request_timeout,
            is_idempotent=is_idempotent,
            idempotency_key=http_req.headers.get("Idempotency-Key", ""),
        )

    def _get_forwarded_headers(self, http_req: web.Request) -> dict[str, str]:
        headers = http_req.headers
        return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}

    async def _dispatch(
        self, http_req: web.Request, req: Request
    ) -> web.StreamResponse:
        try:
            async with self._limit.limit(_make_end()):
                answer = await self._dispatcher.run(req)
            if isinstance(answer, Answer):
                resp = self._make_response(req, answer)
            else:
                resp = await self._stream(http_req, req, answer)
        finally:
            self._dispatcher.finish(req)
        log.event("request_answered", request=req.id, status=resp.status)
        return resp

    def _make_response(self, req: Request, answer: Answer) -> web.Response:
        headers = {**answer.headers, REQUEST_ID_HEADER: req.id}
        return web.Response(status=answer.status, headers=headers, body=answer.body)

    async def _stream(
        self, http_req: web.Request, req: Request, answer: StreamedAnswer
    ) -> web.StreamResponse:
        headers = {**answer.head.headers, REQUEST_ID_HEADER: req.id}
        resp = web.StreamResponse(status=answer.head.status, headers=headers)
        token_gap = self._metrics.token_gap
        customer = req.customer.name
        try:
            await resp.prepare(http_req)
            last_part_at = time.monotonic()
            async with self._limit.limit(_make_end()):
                async for part in answer:
                    await resp.write(part)
                    now = time.monotonic()
                    token_gap.record(now - last_part_at, customer)
                    last_part_at = now
        except TimeoutPassedError as exc:
            await answer.cancel()
            await resp.write(make_error_event(exc, req.id))
        except AnswerError as exc:
            log.event("stream_failed", request=req.id, reason=exc)
            await resp.write(make_error_event(exc, req.id))
        except BaseException:
            await answer.cancel()
            raise
        await resp.write_eof()
        return resp
