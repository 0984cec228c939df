"""Drivers of the back ends: model engines and plain services."""

from __future__ import annotations

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import urlsplit

from aiohttp import (
    ClientConnectorError,
    ClientHandlerType,
    ClientOSError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ServerDisconnectedError,
)

from marigold.core.connections import CALL_ERRORS, make_connector, read_whole
from marigold.core.exceptions import MarigoldError
from marigold.core.schema.generated.messages import StartAttempt
from marigold.core.schema.generated.settings import EngineSettings

VERSION_HEADER = "X-Model-Version"
REQUEST_ID_HEADER = "X-Request-Id"
STATUS_VERSION_NOT_LOADED = 409
LISTENING_TIMEOUT_S = 0.5
# A process that exits closes its connections before its listening socket.
LISTENING_PROBES = 3
LISTENING_PROBE_INTERVAL_S = 0.05
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "upgrade",
    }
)


class BackEndError(MarigoldError):
    """The back end failed during an attempt, which may have been executed."""


class BackEndUnreachableError(MarigoldError):
    """The back end accepted no connection, so the attempt was not executed."""


class VersionNotLoadedError(MarigoldError):
    """The engine refused the attempt because it has not loaded the version."""


async def _send_once(req: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    # The client library retries GET, PUT and DELETE when the connection breaks.
    # Only the entry may decide to retry an attempt.
    try:
        return await handler(req)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as exc:
        raise BackEndError(f"{req.url}: {exc!r}") from exc


def make_session() -> ClientSession:
    """Return the HTTP client for a back end.

    Each call uses a new connection. A service could close a reused one while a call is
    sent, and then it is unknown whether the call was executed. An answer names no call,
    so on a reused connection a late copy of an earlier one would be taken for it.
    Bodies are not decompressed and no default headers are added, so that the back end
    is offered only what the caller accepts.
    """
    return ClientSession(
        connector=make_connector(0.0),
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type", "User-Agent"),
        timeout=ClientTimeout(total=None),
        middlewares=(_send_once,),
    )


class Driver(ABC):
    """Client of a back end."""

    def __init__(self, session: ClientSession, cfg: EngineSettings) -> None:
        self._session = session
        self._cfg = cfg

    @abstractmethod
    async def get_versions(self) -> list[str]:
        """Return the versions that the back end confirms as loaded.

        Raise `BackEndUnreachableError`.
        """

    @abstractmethod
    def _make_headers(self, start: StartAttempt) -> dict[str, str]: ...

    def _check_answer(self, resp: ClientResponse) -> None:
        return

    async def is_listening(self) -> bool:
        """Return whether the back end still accepts connections after a short while.

        A back end that is slow to accept them counts as listening.
        """
        for _ in range(LISTENING_PROBES):
            if not await self._accepts_connection():
                return False
            await asyncio.sleep(LISTENING_PROBE_INTERVAL_S)
        return True

    async def _accepts_connection(self) -> bool:
        url = urlsplit(self._cfg.url)
        port = url.port or (443 if url.scheme == "https" else 80)
        try:
            async with asyncio.timeout(LISTENING_TIMEOUT_S):
                _, writer = await asyncio.open_connection(url.hostname, port)
        except TimeoutError:
            return True
        except OSError:
            return False
        writer.close()
        return True

    @asynccontextmanager
    async def run(self, start: StartAttempt) -> AsyncIterator[ClientResponse]:
        """Execute an attempt; the answer's body has to be read inside the context.

        The caller sets a timeout. Raise `BackEndUnreachableError` or
        `VersionNotLoadedError` if the attempt was not executed, `BackEndError` if
        that is unknown.
        """
        try:
            async with self._session.request(
                start.method,
                self._cfg.url + start.path,
                data=start.body or None,
                headers=self._make_headers(start),
                allow_redirects=False,
            ) as resp:
                self._check_answer(resp)
                yield resp
        except ClientConnectorError as exc:
            raise BackEndUnreachableError(f"{self._cfg.url}: {exc!r}") from exc
        except TimeoutError:
            raise
        except CALL_ERRORS as exc:
            raise BackEndError(f"{self._cfg.url}: {exc!r}") from exc


class ServiceDriver(Driver):
    """Driver of a plain service."""

    async def get_versions(self) -> list[str]:
        """Return no versions: a plain service has none."""
        return []

    def _make_headers(self, start: StartAttempt) -> dict[str, str]:
        return {**start.headers, REQUEST_ID_HEADER: start.request}


class EngineDriver(Driver):
    """Driver of a model engine."""

    async def get_versions(self) -> list[str]:
        """Return the versions that the engine reports."""
        return list((await self.get_load())["versions"])

    async def get_load(self) -> dict[str, Any]:
        """Return the engine's load report; raise `BackEndUnreachableError`."""
        timeout = ClientTimeout(total=self._cfg.timeout)
        url = f"{self._cfg.url}/load"
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                return json.loads(await read_whole(resp))
        except (BackEndError, *CALL_ERRORS, ValueError) as exc:
            raise BackEndUnreachableError(f"{url}: {exc!r}") from exc

    def _make_headers(self, start: StartAttempt) -> dict[str, str]:
        return {
            **start.headers,
            VERSION_HEADER: start.version,
            REQUEST_ID_HEADER: start.request,
        }

    def _check_answer(self, resp: ClientResponse) -> None:
        if resp.status == STATUS_VERSION_NOT_LOADED:
            raise VersionNotLoadedError(self._cfg.url)


def make_driver(session: ClientSession, cfg: EngineSettings) -> Driver:
    """Return the driver for the kind of back end."""
    cls = EngineDriver if cfg.kind == "model" else ServiceDriver
    return cls(session, cfg)


def get_answer_headers(resp: ClientResponse) -> dict[str, str]:
    """Return the headers that are forwarded to the caller."""
    items = resp.headers.items()
    return {
        name: value for name, value in items if name.lower() not in HOP_BY_HOP_HEADERS
    }
