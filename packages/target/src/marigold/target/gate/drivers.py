"""Drivers of the back ends: model engines and plain services."""

from __future__ import annotations

import asyncio
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
    TCPConnector,
)

from marigold.core.connections import CALL_ERRORS
from marigold.core.exceptions import MarigoldError
from marigold.core.schema.generated.messages import StartAttempt
from marigold.core.schema.generated.settings import EngineSettings

VERSION_HEADER = "X-Model-Version"
REQUEST_ID_HEADER = "X-Request-Id"
STATUS_VERSION_NOT_LOADED = 409
LISTENING_TIMEOUT_S = 0.5
# A process that ends closes its connections before its listening socket.
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
    """The back end failed while it ran an attempt."""


class BackEndUnreachableError(MarigoldError):
    """The back end took no connection, so the attempt was not started."""


class VersionNotLoadedError(MarigoldError):
    """The engine refused the attempt, as it does not hold the version."""


async def _send_once(req: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
    # The client library sends GET, PUT and DELETE again when the connection
    # breaks. Whether an attempt is repeated is the entry's decision.
    try:
        return await handler(req)
    except ClientConnectorError:
        raise
    except (ClientOSError, ServerDisconnectedError) as exc:
        raise BackEndError(f"{req.url}: {exc!r}") from exc


def make_session(cfg: EngineSettings) -> ClientSession:
    """Return the HTTP client for the back end of a kind.

    A plain service gets a new connection for each call: on a reused one, a
    close by the service and a call can cross, and then nobody can tell whether
    the call was run. Bodies pass as they are, so that nothing is offered to the
    back end that the caller did not ask for.
    """
    return ClientSession(
        connector=TCPConnector(limit=0, force_close=cfg.kind == "service"),
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type", "User-Agent"),
        timeout=ClientTimeout(total=None),
        middlewares=(_send_once,),
    )


class Driver(ABC):
    """How the gate talks to a back end."""

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
        """Tell whether the back end still takes connections after a short while.

        One that is slow to take them counts as listening.
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
        """Run an attempt; the answer's body is read inside the context.

        The caller bounds the time. Raise `BackEndUnreachableError` or
        `VersionNotLoadedError` when nothing was run, `BackEndError` when that is
        not known.
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
        """Return the engine's report; raise `BackEndUnreachableError`."""
        timeout = ClientTimeout(total=self._cfg.timeout)
        url = f"{self._cfg.url}/load"
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                return await resp.json()
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
    """Return the headers that go on to the caller."""
    items = resp.headers.items()
    return {
        name: value for name, value in items if name.lower() not in HOP_BY_HOP_HEADERS
    }
