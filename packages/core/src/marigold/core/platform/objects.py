"""Client of the platform's object API.

An object has a name, a value of up to a megabyte and a version that increases with
each write. Writes are conditional:

    version = await objects.create("lists/plans", b"...")
    version = await objects.update("lists/plans", b"...", version)
"""

from __future__ import annotations

from typing import Any

from aiohttp import ClientResponse, ClientSession, ClientTimeout

from marigold.core.connections import CALL_ERRORS, is_framed, read_whole
from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.numbers import parse_number
from marigold.core.schema.generated.settings import Platform

MAXIMUM_VALUE_BYTES = 1_000_000


class StoredObject:
    """Value of an object and its version."""

    __slots__ = ("data", "name", "version")

    def __init__(self, name: str, data: bytes, version: int) -> None:
        self.name = name
        self.data = data
        self.version = version


def _get_version(resp: ClientResponse) -> int:
    return parse_number(resp.headers.get("ETag", "").strip('"')) or 0


class ObjectClient:
    """Client of the object API.

    Each call raises `PlatformUnreachableError` if there is no response within
    `Platform.timeout` seconds; a write may then have taken effect.
    """

    __slots__ = ("_cfg", "_session", "calls")

    def __init__(self, session: ClientSession, cfg: Platform) -> None:
        self._session = session
        self._cfg = cfg
        self.calls = 0

    def _get_url(self, name: str) -> str:
        return f"{self._cfg.url}/objects/{name}"

    async def _call(
        self, method: str, name: str, timeout: float = 0.0, **options: Any
    ) -> tuple[int, int, bytes]:
        self.calls += 1
        limit = ClientTimeout(total=timeout or self._cfg.timeout)
        url = self._get_url(name)
        try:
            async with self._session.request(
                method, url, timeout=limit, **options
            ) as resp:
                # A value that ends with its connection may be part of one.
                if (
                    method == "GET"
                    and resp.status < 300
                    and not is_framed(resp, method)
                ):
                    raise PlatformUnreachableError(f"{name}: no length and no chunks")
                return resp.status, _get_version(resp), await read_whole(resp)
        except CALL_ERRORS as exc:
            raise PlatformUnreachableError(f"{method} {name}: {exc!r}") from exc

    def _check(self, name: str, status: int, version: int) -> None:
        if status == 404:
            raise ObjectNotFoundError(f"no object {name}")
        if status == 412:
            raise ObjectConflictError(name, version)
        if status >= 500:
            raise PlatformUnreachableError(f"{name}: status {status}")
        if status >= 400:
            raise PlatformError(f"{name}: status {status}")

    async def get(self, name: str) -> StoredObject:
        """Return an object; raise `ObjectNotFoundError`."""
        status, version, data = await self._call("GET", name)
        self._check(name, status, version)
        return StoredObject(name, data, version)

    async def watch(self, name: str, after: int) -> StoredObject | None:
        """Wait for a version greater than `after`; return None on a timeout.

        An object that does not exist has version 0.
        """
        wait = self._cfg.watch_wait
        query = {"after": str(after), "wait": str(wait)}
        timeout = wait + self._cfg.timeout
        status, version, data = await self._call("GET", name, timeout, params=query)
        if status == 304:
            return None
        self._check(name, status, version)
        return StoredObject(name, data, version)

    async def create(self, name: str, data: bytes) -> int:
        """Create an object; raise `ObjectConflictError` if it exists."""
        headers = {"If-None-Match": "*"}
        status, version, _ = await self._call("PUT", name, data=data, headers=headers)
        self._check(name, status, version)
        return version

    async def update(self, name: str, data: bytes, version: int) -> int:
        """Replace a version of an object; version 0 creates it.

        Raise `ObjectConflictError` if the current version is another one.
        """
        if version == 0:
            return await self.create(name, data)
        headers = {"If-Match": f'"{version}"'}
        status, after, _ = await self._call("PUT", name, data=data, headers=headers)
        self._check(name, status, after)
        return after

    async def delete(self, name: str, version: int) -> None:
        """Delete an object that has the given version.

        Raise `ObjectConflictError` or `ObjectNotFoundError`.
        """
        headers = {"If-Match": f'"{version}"'}
        status, after, _ = await self._call("DELETE", name, headers=headers)
        self._check(name, status, after)

    async def list(self, prefix: str) -> dict[str, int]:
        """Return the versions of the objects under a prefix, by name."""
        from json import loads

        status, version, data = await self._call("GET", f"{prefix}/")
        self._check(prefix, status, version)
        return {item["name"]: item["version"] for item in loads(data)}
