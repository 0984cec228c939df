"""The interface for callers: chat completions and plain services."""

from __future__ import annotations

import json
import time
from typing import Any

from aiohttp import web

from marigold.core.logging import get_logger
from marigold.core.schema.generated.settings import EntrySettings
from marigold.entry.api.responses import (
    REQUEST_ID_HEADER,
    make_error_event,
    make_error_response,
)
from marigold.entry.claims.dispatcher import IdempotentDispatcher
from marigold.entry.exceptions import (
    AnswerError,
    MalformedRequestError,
    NotAllowedError,
    StoppingError,
    TooLargeError,
    UnauthorizedError,
    UnreachableError,
)
from marigold.entry.lists.compiled import CustomerPlan
from marigold.entry.lists.follower import ListFollower
from marigold.entry.metrics import EntryMetrics
from marigold.entry.routing.dispatcher import StreamedAnswer
from marigold.entry.routing.requests import Answer, Request, compute_affinity

log = get_logger(__name__)

CHAT_PATH = "/v1/chat/completions"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
PASSED_HEADERS = ("Accept", "Content-Type", "Accept-Language")
BEARER = "Bearer "
RETRY_AFTER_S = 1.0


def _get_key(req: web.Request) -> str:
    header = req.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise UnauthorizedError("the Authorization header must hold a bearer key")
    return header[len(BEARER) :].strip()


def _matches(path: str, pattern: str) -> bool:
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
    """Handlers for callers."""

    def __init__(
        self,
        cfg: EntrySettings,
        follower: ListFollower,
        runner: IdempotentDispatcher,
        metrics: EntryMetrics,
        id_prefix: str,
    ) -> None:
        self._cfg = cfg
        self._follower = follower
        self._runner = runner
        self._metrics = metrics
        self._id_prefix = id_prefix
        self._count = 0
        self.running = 0
        self.is_stopping = False

    def add_routes(self, app: web.Application) -> None:
        """Serve callers."""
        app.router.add_post(CHAT_PATH, self.complete_chat)
        app.router.add_route("*", "/services/{name}/{path:.*}", self.call_service)

    async def complete_chat(self, http: web.Request) -> web.StreamResponse:
        """Answer a chat completion."""
        return await self._answer(http, self._make_chat)

    async def call_service(self, http: web.Request) -> web.StreamResponse:
        """Answer a call of a plain service."""
        return await self._answer(http, self._make_call)

    def _make_id(self) -> str:
        self._count += 1
        return f"{self._id_prefix}-{self._count}"

    async def _answer(self, http: web.Request, make: Any) -> web.StreamResponse:
        request_id = self._make_id()
        customer = "unknown"
        self.running += 1
        try:
            plan = self._authenticate(http)
            customer = plan.name
            req = make(request_id, plan, http, await self._read_body(http))
            log.event("request_received", request=req.id, customer=customer)
            resp = await self._run(http, req)
        except AnswerError as exc:
            log.event(
                "request_failed",
                request=request_id,
                customer=customer,
                kind=exc.kind,
                executed=exc.executed,
            )
            resp = make_error_response(exc, request_id)
            self._end_connection(resp)
        else:
            # A planned stop waits until the caller has taken the answer.
            await self._write(http, resp)
        finally:
            self.running -= 1
        self._metrics.answers.add(customer, str(resp.status))
        return resp

    def _end_connection(self, resp: web.StreamResponse) -> None:
        """Let the caller go elsewhere once this entry stops.

        A connection that is kept would be closed under its next request.
        """
        if self.is_stopping:
            resp.force_close()

    async def _write(self, http: web.Request, resp: web.StreamResponse) -> None:
        self._end_connection(resp)
        try:
            await resp.prepare(http)
            await resp.write_eof()
        except ConnectionResetError:
            log.event("caller_gone", request=resp.headers[REQUEST_ID_HEADER])

    def _authenticate(self, http: web.Request) -> CustomerPlan:
        if self.is_stopping:
            raise StoppingError("this entry is stopping", RETRY_AFTER_S)
        lists = self._follower.current
        if lists.generation == 0:
            raise UnreachableError("this entry has no lists yet", RETRY_AFTER_S)
        customer = lists.find_customer(_get_key(http))
        if customer is None:
            raise UnauthorizedError("the key is unknown")
        return customer

    async def _read_body(self, http: web.Request) -> bytes:
        try:
            return await http.read()
        except web.HTTPRequestEntityTooLarge as exc:
            limit = self._cfg.limits.body_bytes
            raise TooLargeError(f"the body exceeds {limit} bytes") from exc

    def _make_chat(
        self, request_id: str, plan: CustomerPlan, http: web.Request, body: bytes
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
            headers=self._get_headers(http),
            body=body,
            timeout=self._cfg.limits.request_timeout,
            versions=versions,
            is_streamed=chat.get("stream") is True,
            is_idempotent=True,
            affinity=compute_affinity(model, chat["messages"]),
        )

    def _make_call(
        self, request_id: str, plan: CustomerPlan, http: web.Request, body: bytes
    ) -> Request:
        name = http.match_info["name"]
        allowance = plan.get_service(name)
        if allowance is None:
            raise NotAllowedError(f"plan {plan.plan} does not include service {name}")
        # As the caller wrote it: a decoded "?" or "/" would change its meaning.
        path = "/" + http.rel_url.raw_path.split("/", 3)[3]
        patterns = allowance.idempotent_paths
        is_idempotent = http.method in IDEMPOTENT_METHODS or any(
            _matches(path, pattern) for pattern in patterns
        )
        query = f"?{http.query_string}" if http.query_string else ""
        return Request(
            id=request_id,
            customer=plan,
            service=name,
            method=http.method,
            path=path + query,
            headers=self._get_headers(http),
            body=body,
            timeout=self._cfg.limits.request_timeout,
            is_idempotent=is_idempotent,
            idempotency_key=http.headers.get("Idempotency-Key", ""),
        )

    def _get_headers(self, http: web.Request) -> dict[str, str]:
        headers = http.headers
        return {name: headers[name] for name in PASSED_HEADERS if name in headers}

    async def _run(self, http: web.Request, req: Request) -> web.StreamResponse:
        try:
            answer = await self._runner.run(req)
            if isinstance(answer, Answer):
                resp = self._make_response(req, answer)
            else:
                resp = await self._stream(http, req, answer)
        finally:
            self._runner.finish(req)
        log.event("request_answered", request=req.id, status=resp.status)
        return resp

    def _make_response(self, req: Request, answer: Answer) -> web.Response:
        headers = {**answer.headers, REQUEST_ID_HEADER: req.id}
        return web.Response(status=answer.status, headers=headers, body=answer.body)

    async def _stream(
        self, http: web.Request, req: Request, answer: StreamedAnswer
    ) -> web.StreamResponse:
        headers = {**answer.head.headers, REQUEST_ID_HEADER: req.id}
        resp = web.StreamResponse(status=answer.head.status, headers=headers)
        histogram = self._metrics.token_gap
        customer = req.customer.name
        try:
            await resp.prepare(http)
            last = time.monotonic()
            async for part in answer:
                await resp.write(part)
                now = time.monotonic()
                histogram.record(now - last, customer)
                last = now
        except AnswerError as exc:
            log.event("stream_cut", request=req.id, reason=exc)
            await resp.write(make_error_event(exc, req.id))
        except BaseException:
            await answer.cancel()
            raise
        await resp.write_eof()
        return resp
