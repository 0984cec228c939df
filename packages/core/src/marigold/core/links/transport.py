"""Opening and accepting links over websockets."""

from __future__ import annotations

import asyncio
import secrets
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import InvalidHandshake, WebSocketException

from marigold.core.connections import split_address
from marigold.core.exceptions import (
    AddressError,
    LinkAuthError,
    LinkError,
    LinkMessageError,
)
from marigold.core.links.codec import decode, encode
from marigold.core.links.connection import (
    LinkClientConnection,
    LinkConnection,
    LinkServerConnection,
)
from marigold.core.links.identity import (
    NONCE_BYTES,
    Identity,
    compute_proof,
    is_proof_valid,
)
from marigold.core.links.link import Link, LinkContext, LinkHandler
from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import Hello, Proof, Welcome
from marigold.core.schema.generated.settings import Address, Tls

log = get_logger(__name__)

CLOSE_TIMEOUT_S = 0.5
WRITE_LIMIT_BYTES = 1 << 20

T = TypeVar("T")


def _make_tls_context(tls: Tls | None, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    # Peers are addressed by IP number, so host names cannot be checked; they are
    # authenticated by the certificate authority and the shared secret.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _get_options(ctx: LinkContext) -> dict[str, Any]:
    return {
        "compression": None,
        "max_size": ctx.cfg.maximum_message,
        "ping_interval": None,
        "close_timeout": CLOSE_TIMEOUT_S,
        "open_timeout": ctx.cfg.connect_timeout,
        "write_limit": WRITE_LIMIT_BYTES,
    }


async def _receive(conn: LinkConnection, ctx: LinkContext, cls: type[T]) -> T:
    frame = await conn.recv()
    if isinstance(frame, str):
        raise LinkMessageError("expected a binary frame")
    reading, message = decode(frame)
    if not isinstance(message, cls):
        raise LinkMessageError(f"expected {cls.__name__}")
    ctx.clock.observe(reading)
    return message


def _get_identity(message: Hello | Welcome) -> Identity:
    return Identity(
        message.process, message.role, message.data_centre, message.incarnation
    )


async def _authenticate_to_server(
    conn: LinkClientConnection, ctx: LinkContext
) -> Identity:
    own = ctx.identity
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        process=own.process,
        role=own.role,
        data_centre=own.data_centre,
        incarnation=own.incarnation,
        nonce=nonce,
    )
    await conn.send(encode(hello, ctx.clock.now()))
    welcome = await _receive(conn, ctx, Welcome)
    peer = _get_identity(welcome)
    if not is_proof_valid(welcome.proof, ctx.secret, nonce, peer):
        raise LinkAuthError(f"{peer.process} did not prove the secret")
    proof = Proof(proof=compute_proof(ctx.secret, welcome.nonce, own))
    await conn.send(encode(proof, ctx.clock.now()))
    return peer


async def _authenticate_client(
    conn: LinkServerConnection, ctx: LinkContext
) -> Identity:
    hello = await _receive(conn, ctx, Hello)
    peer = _get_identity(hello)
    own = ctx.identity
    nonce = secrets.token_bytes(NONCE_BYTES)
    welcome = Welcome(
        process=own.process,
        role=own.role,
        data_centre=own.data_centre,
        incarnation=own.incarnation,
        nonce=nonce,
        proof=compute_proof(ctx.secret, hello.nonce, own),
    )
    await conn.send(encode(welcome, ctx.clock.now()))
    answer = await _receive(conn, ctx, Proof)
    if not is_proof_valid(answer.proof, ctx.secret, nonce, peer):
        raise LinkAuthError(f"{peer.process} did not prove the secret")
    return peer


async def open_link(address: str, ctx: LinkContext) -> Link:
    """Open a link to ``IP:PORT`` within the connect timeout of the settings.

    Raise `LinkError` if the peer cannot be reached or fails to authenticate.
    """
    try:
        split_address(address)
    except AddressError as exc:
        raise LinkError(f"no link: {exc}") from exc
    tls = _make_tls_context(ctx.cfg.tls, ssl.Purpose.SERVER_AUTH)
    uri = f"{'wss' if tls else 'ws'}://{address}"
    conn: LinkClientConnection | None = None
    try:
        async with asyncio.timeout(ctx.cfg.connect_timeout):
            conn = await connect(
                uri,
                ssl=tls,
                proxy=None,
                create_connection=LinkClientConnection,
                **_get_options(ctx),
            )
            peer = await _authenticate_to_server(conn, ctx)
            return Link(conn, ctx, peer, address)
    except (
        OSError,
        TimeoutError,
        UnicodeError,
        InvalidHandshake,
        WebSocketException,
    ) as exc:
        _abort(conn)
        raise LinkError(f"no link to {address}: {exc!r}") from exc
    except BaseException:
        # Close the connection also if the task is cancelled during the handshake.
        _abort(conn)
        raise


def _abort(conn: LinkConnection | None) -> None:
    if conn is not None:
        conn.transport.abort()


@asynccontextmanager
async def serve_links(
    address: Address, ctx: LinkContext, handler: LinkHandler
) -> AsyncIterator[int]:
    """Accept links and run `handler` in a task for each; yield the bound port."""

    async def accept(conn: LinkServerConnection) -> None:
        remote = "{}:{}".format(*conn.remote_address[:2])
        try:
            async with asyncio.timeout(ctx.cfg.connect_timeout):
                peer = await _authenticate_client(conn, ctx)
        except (LinkError, WebSocketException, TimeoutError) as exc:
            log.event("link_rejected", remote=remote, reason=repr(exc))
            conn.transport.abort()
            return
        await handler(Link(conn, ctx, peer, remote))

    tls = _make_tls_context(ctx.cfg.tls, ssl.Purpose.CLIENT_AUTH)
    options = _get_options(ctx)
    options["create_connection"] = LinkServerConnection
    server: Server
    async with serve(accept, address.host, address.port, ssl=tls, **options) as server:
        yield server.sockets[0].getsockname()[1]
