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
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from marigold.core.connections import CALL_ERRORS, make_connector
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

# Seconds to open a connection. A round trip between regions takes a few milliseconds,
# and a lost packet is retransmitted after one second.
CONNECT_TIMEOUT_S = 0.4
# Maximum bytes of one header line of a runner.
MAXIMUM_HEADER_BYTES = 65536
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
STATUS_MISDIRECTED = 421
STATUS_FAILURE = 400
READ_BYTES = 65536


class CallerRequest:
    """The parts of a caller's request that are forwarded unchanged, and its sender."""

    __slots__ = (
        "_fingerprint",
        "body",
        "headers",
        "host",
        "method",
        "organisation",
        "path",
    )

    def __init__(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        host: str = "",
        organisation: str = "",
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.host = host
        self.organisation = organisation
        self._fingerprint = ""

    def get_fingerprint(self) -> str:
        """Return a digest that equal requests of an organisation share."""
        if not self._fingerprint:
            parts = (self.organisation, self.method, self.host, self.path)
            self._fingerprint = compute_fingerprint(parts, self.body)
        return self._fingerprint


class RunnerResponse(ClientResponse):
    """A response that keeps a reference to the protocol of its connection.

    Only the protocol knows how the connection ended. aiohttp drops the reference when
    the body has ended, which may be before the body is read.
    """

    protocol: ResponseHandler

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
        coding = resp.headers.get("Transfer-Encoding", "").lower()
        self.is_framed = "Content-Length" in resp.headers or "chunked" in coding

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


class Forwarder:
    """Sends requests to runners over the connections of `make_runner_session`.

    `on_leaving` is called with a runner that announces its stop.
    """

    def __init__(
        self,
        session: ClientSession,
        header_codec: HeaderCodec,
        on_leaving: Callable[[RunnerView], None],
    ) -> None:
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
        if head.is_leaving:
            self._on_leaving(view)
        if not _is_answer_to(ctx, resp.status, head):
            resp.close()
            other = head.attempt or "no request"
            raise BrokenAnswerError(f"{view.id}: an answer to {other}")
        if head.is_not_executed:
            if head.version is not None:
                # It may hold newer weights than the runner list says.
                view.version_seen = head.version
            resp.release()
            raise NotRunError(
                f"{view.id}: status {resp.status}",
                resp.status,
                resp.status == STATUS_MISDIRECTED,
                head.retry_after,
            )
        return RunnerAnswer(resp, head)


def _is_answer_to(ctx: RequestContext, status: int, head: ResponseHead) -> bool:
    """Return whether an answer belongs to a request, not to an earlier one.

    A failure may come without the id of its request, as it cannot be mistaken for a
    success.
    """
    if not ctx.id or head.attempt == ctx.id:
        return True
    return not head.attempt and status >= STATUS_FAILURE
