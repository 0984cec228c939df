"""Client of the administration API for the subcommands."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from marigold.core.exceptions import UserError

CALL_TIMEOUT_S = 10.0


class AdministrationError(UserError):
    """The administration API refused a call or gave no answer."""


class AdministrationResponse:
    """Version and body of a response; the version is 0 if there is no ETag."""

    __slots__ = ("body", "version")

    def __init__(self, version: int, body: str) -> None:
        self.version = version
        self.body = body

    def get_json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class AdministrationClient:
    """Client of one entry; its calls raise `AdministrationError` on any failure."""

    def __init__(self, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key

    def get(self, path: str) -> AdministrationResponse:
        """Send a GET request to a path."""
        return asyncio.run(self._call("GET", path, None))

    def post(self, path: str, body: Any) -> AdministrationResponse:
        """Send a POST request with a JSON body to a path."""
        return asyncio.run(self._call("POST", path, body))

    async def _call(self, method: str, path: str, body: Any) -> AdministrationResponse:
        from aiohttp import ClientError, ClientSession, ClientTimeout

        from marigold.core.connections import make_connector, read_whole

        headers = {"Authorization": f"Bearer {self._key}"}
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                ClientSession(
                    connector=make_connector(0.0), timeout=timeout, headers=headers
                ) as session,
                session.request(method, self._url + path, json=body) as resp,
            ):
                text = (await read_whole(resp)).decode()
                if resp.status >= 400:
                    raise AdministrationError(_format_error(resp.status, text))
                etag = resp.headers.get("ETag", "").strip('"')
                return AdministrationResponse(int(etag) if etag.isdigit() else 0, text)
        except (ClientError, OSError, TimeoutError, ValueError) as exc:
            raise AdministrationError(f"{self._url}: {exc}") from exc


def _format_error(status: int, text: str) -> str:
    try:
        error = json.loads(text)["error"]
        return f"{error['type']}: {error['message']}"
    except (ValueError, KeyError, TypeError):
        return f"status {status}: {text[:200]}"
