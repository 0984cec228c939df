"""HTTP interface for operators: lists and status."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from aiohttp import web
from expression import Result

from marigold.core.documents import Fault
from marigold.core.exceptions import PlatformError
from marigold.core.logging import get_logger
from marigold.core.numbers import parse_number
from marigold.entry.api.responses import make_error_body, make_error_response
from marigold.entry.exceptions import (
    AnswerError,
    ListConflictError,
    ListFaultsError,
    MalformedRequestError,
    TooLargeError,
    UnauthorizedError,
    UnknownNameError,
    UnreachableError,
)
from marigold.entry.lists.acceptance import Edit, ListAcceptor
from marigold.entry.lists.checking import NAMES
from marigold.entry.lists.exceptions import RevisionConflictError
from marigold.entry.lists.store import ListStore

log = get_logger(__name__)

BEARER = "Bearer "


def _format_faults(faults: list[Fault]) -> list[dict[str, Any]]:
    return [
        {
            "list": fault.file,
            "line": fault.line,
            "key": fault.key,
            "expected": fault.expected,
        }
        for fault in faults
    ]


def _get_expected_version(req: web.Request) -> int | None:
    tag = req.headers.get("If-Match", "").strip('"')
    if not tag:
        return None
    version = parse_number(tag)
    if version is None:
        raise MalformedRequestError("If-Match must hold a version")
    return version


class AdministrationApi:
    """Handlers for operators. Every request must carry the administration key."""

    def __init__(
        self,
        digest: str,
        lists_bytes: int,
        store: ListStore,
        acceptor: ListAcceptor,
        get_status: Callable[[], dict[str, Any]],
    ) -> None:
        self._digest = digest
        self._lists_bytes = lists_bytes
        self._store = store
        self._acceptor = acceptor
        self._get_status = get_status

    def add_routes(self, app: web.Application) -> None:
        """Register the routes for operators."""
        app.router.add_get("/admin/v1/lists/{name}", self.get_list)
        app.router.add_put("/admin/v1/lists/{name}", self.put_list)
        app.router.add_post("/admin/v1/lists", self.put_both_lists)
        app.router.add_get("/admin/v1/status", self.get_status)

    def _authorize(self, req: web.Request) -> None:
        header = req.headers.get("Authorization", "")
        key = header[len(BEARER) :].strip() if header.startswith(BEARER) else ""
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._digest):
            raise UnauthorizedError("the administration key is missing or wrong")

    def _get_list_name(self, req: web.Request) -> str:
        name = req.match_info["name"]
        if name not in NAMES:
            raise UnknownNameError(f"the lists are {', '.join(NAMES)}")
        return name

    async def get_status(self, req: web.Request) -> web.Response:
        """Return the state of this entry."""
        return await self._handle(req, self._respond_with_status)

    async def get_list(self, req: web.Request) -> web.Response:
        """Return the list as it was last edited, with its version as the ETag."""
        return await self._handle(req, self._respond_with_list)

    async def put_list(self, req: web.Request) -> web.Response:
        """Validate one edited list against the current other one and accept it."""
        return await self._handle(req, self._update_list)

    async def put_both_lists(self, req: web.Request) -> web.Response:
        """Validate both edited lists together and accept them."""
        return await self._handle(req, self._update_both_lists)

    async def _handle(self, req: web.Request, handler: Any) -> web.Response:
        try:
            self._authorize(req)
            return await handler(req)
        except _ListFaultsFoundError as exc:
            body = {**make_error_body(exc, ""), "faults": _format_faults(exc.faults)}
            return web.json_response(body, status=exc.status)
        except AnswerError as exc:
            return make_error_response(exc, "")
        except RevisionConflictError as exc:
            return _make_conflict_response(exc)
        except PlatformError as exc:
            error = UnreachableError(f"the object API gave no answer: {exc}", 1.0)
            error.executed = "unknown" if req.method != "GET" else "no"
            return make_error_response(error, "")

    async def _respond_with_status(self, req: web.Request) -> web.Response:
        return web.json_response(self._get_status())

    async def _respond_with_list(self, req: web.Request) -> web.Response:
        name = self._get_list_name(req)
        edited = (await self._store.get_edited()).get_list(name)
        text = await self._store.load_text(edited)
        headers = {"ETag": f'"{edited.revision}"', "Content-Type": "application/yaml"}
        return web.Response(body=text.encode(), headers=headers)

    async def _read_body(self, req: web.Request) -> bytes:
        body = await req.read()
        if len(body) > self._lists_bytes:
            raise TooLargeError(f"a list has at most {self._lists_bytes} bytes")
        return body

    def _decode(self, text: bytes) -> str:
        try:
            return text.decode()
        except UnicodeDecodeError as exc:
            raise MalformedRequestError("a list is UTF-8 text") from exc

    async def _update_list(self, req: web.Request) -> web.Response:
        name = self._get_list_name(req)
        text = self._decode(await self._read_body(req))
        return await self._update({name: Edit(text, _get_expected_version(req))})

    async def _update_both_lists(self, req: web.Request) -> web.Response:
        try:
            body = await req.json()
            edits = {
                name: Edit(str(body[name]), int(body["versions"][name]))
                for name in NAMES
            }
        except (
            KeyError,
            OverflowError,
            RecursionError,
            TypeError,
            ValueError,
        ) as exc:
            message = "the body must hold plans, allowances and versions"
            raise MalformedRequestError(message) from exc
        return await self._update(edits)

    async def _update(self, edits: dict[str, Edit]) -> web.Response:
        match await self._acceptor.change(edits):
            case Result(tag="error", error=faults):
                raise _ListFaultsFoundError(faults)
            case Result(ok=change):
                revisions = change.revisions
        body = {"generation": change.generation, "versions": revisions}
        headers = {}
        if len(revisions) == 1:
            headers["ETag"] = f'"{next(iter(revisions.values()))}"'
        return web.json_response(body, headers=headers)


def _make_conflict_response(exc: RevisionConflictError) -> web.Response:
    message = f"{exc.name}: version {exc.revision} is in force"
    error = ListConflictError(message, executed="no" if exc.is_certain else "unknown")
    resp = make_error_response(error, "")
    resp.headers["ETag"] = f'"{exc.revision}"'
    return resp


class _ListFaultsFoundError(ListFaultsError):
    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults
