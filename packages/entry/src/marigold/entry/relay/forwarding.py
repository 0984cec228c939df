"""Forwarding of requests to runners over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientOSError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    InvalidURL,
)
from aiohttp.connector import Connection
from yarl import URL

from marigold.core.connections import (
    CALL_ERRORS,
    ReusableProtocol,
    is_framed,
    make_connector,
)
from marigold.core.fingerprints import compute_fingerprint
from marigold.core.platform.adapter import HeaderCodec, ResponseHead, RunnerRequestHead
from marigold.entry.relay.exceptions import (
    BrokenAnswerError,
    ConnectionLostError,
    NotRunError,
    NotSentError,
)
from marigold.entry.relay.requests import RequestContext
from marigold.entry.relay.views import RunnerView
from marigold.entry.suspicion.parts import make_part_key

# Seconds to open a connection. A round trip between regions takes a few milliseconds,
# and a lost packet is retransmitted after one second.
CONNECT_TIMEOUT_S = 0.4
# Maximum bytes of one header line of a runner.
MAXIMUM_HEADER_BYTES = 65536
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
STATUS_MISDIRECTED = 421
STATUS_FAILURE = 400
STATUS_SUCCESS = 200
READ_BYTES = 65536


class CallerRequest:
    """The parts of a caller's request that are forwarded unchanged, and its sender."""

    __slots__ = (
        "_fingerprint",
        "_part_keys",
        "body",
        "headers",
        "host",
        "method",
        "model",
        "organisation",
        "path",
        "prompt_parts",
    )

    def __init__(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        host: str = "",
        organisation: str = "",
        prompt_parts: tuple[str, ...] = (),
        model: str = "",
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.host = host
        self.organisation = organisation
        self.prompt_parts = prompt_parts
        self.model = model
        self._fingerprint = ""
        self._part_keys: dict[str, str] | None = None

    def get_fingerprint(self) -> str:
        """Return a digest that equal requests of an organisation share."""
        if not self._fingerprint:
            parts = (self.organisation, self.method, self.host, self.path)
            self._fingerprint = compute_fingerprint(parts, self.body)
        return self._fingerprint

    def get_part_keys(self) -> Mapping[str, str]:
        """Return the ids of the shared parts of the prompt by key, the last one first.

        Fewer requests share the later parts than the earlier ones.
        """
        if self._part_keys is None:
            self._part_keys = {
                make_part_key(self.model, part): part
                for part in reversed(self.prompt_parts)
            }
        return self._part_keys

    def get_keys(self) -> list[str]:
        """Return all keys by which the request is suspected."""
        return [self.get_fingerprint(), *self.get_part_keys()]


class RunnerResponse(ClientResponse):
    """A response that keeps a reference to the protocol of its connection.

    Only the protocol knows how the connection ended. aiohttp drops the reference when
    the body has ended, which may be before the body is read.
    """

    protocol: ReusableProtocol

    async def start(self, connection: Connection) -> RunnerResponse:
        """Start reading the answer."""
        self.protocol = connection.protocol
        return await super().start(connection)


class RunnerAnswer:
    """An answer whose head has been received.

    Read it with `read`, and then call `finish`, or `abort` when it is incomplete.
    """

    __slots__ = ("_resp", "head", "headers", "is_framed", "status")

    def __init__(self, resp: RunnerResponse, head: ResponseHead) -> None:
        self._resp = resp
        self.head = head
        self.status = resp.status
        self.headers = resp.headers
        self.is_framed = is_framed(resp, resp.method)

    async def read(self) -> bytes:
        """Return the next bytes, or empty bytes at the end.

        Raise `BrokenAnswerError` when the answer ends before it is complete.
        """
        try:
            data = await self._resp.content.readany()
        except (*CALL_ERRORS, asyncio.IncompleteReadError) as exc:
            raise ConnectionLostError(f"broke off: {exc!r}") from exc
        if data or self.is_framed:
            return data
        # Without a length the answer ends with its connection. aiohttp does not
        # distinguish a connection that was closed from one that was reset, after which
        # the answer is incomplete.
        if isinstance(self._resp.protocol.exception(), ClientOSError):
            raise ConnectionLostError("the connection was reset")
        return data

    async def read_all(self, limit: int) -> bytes:
        """Return the whole body.

        Raise `BrokenAnswerError` when it breaks off or has more than `limit` bytes.
        """
        parts = []
        size = 0
        while part := await self.read():
            size += len(part)
            if size > limit:
                raise BrokenAnswerError(f"the body has more than {limit} bytes")
            parts.append(part)
        return b"".join(parts)

    def finish(self) -> None:
        """Release the connection for reuse, if the runner keeps it open."""
        self._resp.release()

    def abort(self) -> None:
        """Close the connection, so that the runner stops working on the request."""
        self._resp.close()


def make_runner_session(keepalive: float) -> ClientSession:
    """Return a session for a `Forwarder`; `keepalive` is in seconds."""
    session = ClientSession(
        connector=make_connector(keepalive),
        response_class=RunnerResponse,
        auto_decompress=False,
    )
    # aiohttp would retry some requests on reused connections by itself, but such a
    # request may have run; only `RequestExecution` decides on retries.
    session._retry_connection = False
    return session


def _ignore_limit(view: RunnerView, limit: float | None, sent_at: float) -> None:
    return


class Forwarder:
    """Sends requests to runners over the connections of `make_runner_session`.

    `on_leaving` is called with a runner that announces its stop, `on_limit` with the
    limit in each answer, and when its request was sent.
    """

    def __init__(
        self,
        session: ClientSession,
        header_codec: HeaderCodec,
        on_leaving: Callable[[RunnerView], None],
        on_limit: Callable[[RunnerView, float | None, float], None] = _ignore_limit,
    ) -> None:
        self._on_limit = on_limit
        self._session = session
        self._header_codec = header_codec
        self._on_leaving = on_leaving

    async def send(
        self,
        view: RunnerView,
        ctx: RequestContext,
        req: CallerRequest,
        runner_head: RunnerRequestHead,
    ) -> RunnerAnswer:
        """Send a request and return the answer when its head has been received.

        Raise `NotSentError`, `NotRunError` or `BrokenAnswerError`.
        """
        # Another attempt may be sent before this one is answered.
        sent_at = ctx.sent_at
        # A copy of the refusal that comes late would have the same id as the answer.
        refused_on = ctx.refused_on.pop(view.id, None)
        if refused_on is not None:
            refused_on.force_close()
        headers = self._header_codec.make_runner_headers(req.headers, runner_head)
        try:
            url = URL(f"http://{view.runner.address}{req.path}", encoded=True)
        except ValueError as exc:
            raise NotSentError(f"{view.id}: {exc!r}") from exc
        try:
            resp = await self._session.request(
                req.method,
                url,
                headers=headers,
                data=req.body or None,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
                max_line_size=MAXIMUM_HEADER_BYTES,
                max_field_size=MAXIMUM_HEADER_BYTES,
            )
        except (ClientConnectorError, ConnectionTimeoutError, InvalidURL) as exc:
            raise NotSentError(f"{view.id}: {exc!r}") from exc
        except (ClientError, OSError, ValueError) as exc:
            raise ConnectionLostError(f"{view.id}: {exc!r}") from exc
        try:
            head = self._header_codec.parse_response_head(resp.status, resp.headers)
        except Exception:
            resp.close()
            raise
        is_answer = _is_answer_to(ctx, resp, head)
        self._record_head(view, head, is_answer, sent_at)
        if not is_answer:
            resp.close()
            other = head.attempt or "no request"
            raise BrokenAnswerError(f"{view.id}: an answer to {other}")
        if head.is_not_executed:
            if head.version is not None:
                # It may hold newer weights than the runner list says.
                view.version_seen = head.version
            ctx.refused_on[view.id] = resp.protocol
            resp.release()
            raise NotRunError(
                f"{view.id}: status {resp.status}",
                resp.status,
                resp.status == STATUS_MISDIRECTED,
                head.retry_after,
            )
        return RunnerAnswer(resp, head)

    def _record_head(
        self, view: RunnerView, head: ResponseHead, is_answer: bool, sent_at: float
    ) -> None:
        if head.is_leaving:
            self._on_leaving(view)
        # The answer to an earlier request does not end a limit that was named since.
        if is_answer or head.rate_limit is not None:
            self._on_limit(view, head.rate_limit, sent_at)


def _is_answer_to(
    ctx: RequestContext, resp: RunnerResponse, head: ResponseHead
) -> bool:
    """Return whether an answer belongs to a request, not to an earlier one.

    An answer without an id only does if its connection has had no earlier request. A
    success must have the id.
    """
    if resp.status < STATUS_SUCCESS:
        return False
    if head.attempt:
        return head.attempt == ctx.id
    if resp.protocol.is_reused:
        return False
    return not ctx.id or resp.status >= STATUS_FAILURE
