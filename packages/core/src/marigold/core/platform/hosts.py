"""Client of the platform's host list, which may be out of date."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import ClientSession, ClientTimeout
from cattrs import Converter
from cattrs.errors import BaseValidationError

from marigold.core.connections import CALL_ERRORS, read_whole
from marigold.core.exceptions import PlatformUnreachableError
from marigold.core.schema.generated.records import HostRecord
from marigold.core.schema.generated.settings import Platform

_CONVERTER = Converter()


def load_hosts(data: Any) -> list[HostRecord]:
    """Return records from decoded JSON; raise `PlatformUnreachableError`."""
    try:
        return _CONVERTER.structure(data, list[HostRecord])
    except (BaseValidationError, TypeError, ValueError) as exc:
        raise PlatformUnreachableError(f"host list: malformed: {exc!r}") from exc


def dump_hosts(hosts: list[HostRecord]) -> list[dict[str, Any]]:
    """Return records in a form that can be encoded as JSON."""
    return _CONVERTER.unstructure(hosts)


async def get_hosts(session: ClientSession, cfg: Platform) -> list[HostRecord]:
    """Return the host list; raise `PlatformUnreachableError`."""
    url = f"{cfg.url}/hosts"
    try:
        async with session.get(url, timeout=ClientTimeout(total=cfg.timeout)) as resp:
            if resp.status != 200:
                raise PlatformUnreachableError(f"host list: status {resp.status}")
            return load_hosts(json.loads(await read_whole(resp)))
    except (*CALL_ERRORS, ValueError) as exc:
        raise PlatformUnreachableError(f"host list: {exc!r}") from exc
