"""Stand-in for a model engine.

It answers chat completions with tokens derived from the version and the last
message, so that a caller can verify that an answer is complete and its own:

    expected = make_tokens("2", "how thick a base?", 8)
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
from typing import Any

from aiohttp import web

from marigold.standins.faults import EngineFaults, add_fault_routes
from marigold.standins.journal import Journal

CRASH_MARKER = "CRASH-THE-ENGINE"
DEFAULT_TOKENS = 16


def make_tokens(version: str, prompt: str, count: int) -> list[str]:
    """Return the tokens of the answer to a prompt."""
    digest = hashlib.sha256(f"{version}\0{prompt}".encode()).hexdigest()[:8]
    return [f"{version}-{digest}-{index} " for index in range(count)]


class Engine:
    """A model engine with loaded versions and a concurrency limit.

    `over_limit` counts the requests that started above the limit.
    """

    def __init__(
        self,
        model: str,
        versions: list[str],
        limit: int,
        token_seconds: float,
        journal: Journal,
    ) -> None:
        self._journal = journal
        self._model = model
        self._limit = limit
        self._token_seconds = token_seconds
        self._chunks: dict[tuple[str, int], bytes] = {}
        self._fence = 0
        self._running = 0
        self._faults = EngineFaults()
        self.versions = list(versions)
        self.executions: list[dict[str, Any]] = []
        self.over_limit = 0

    def make_app(self) -> web.Application:
        """Return the web application of the engine."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        add_fault_routes(app, self._faults)
        chunk = "/weights/{version}/chunks/{index}"
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_get("/load", self.show_load)
        app.router.add_post("/orders", self.handle_order)
        app.router.add_put(chunk, self.put_chunk)
        app.router.add_get(chunk, self.get_chunk)
        app.router.add_get("/executions", self.show_executions)
        return app

    async def show_load(self, req: web.Request) -> web.Response:
        """Return the load and the loaded versions."""
        load = {
            "model": self._model,
            "versions": self.versions,
            "running": self._running,
            "limit": self._limit,
            "fence": self._fence,
        }
        return web.json_response(load)

    async def show_executions(self, req: web.Request) -> web.Response:
        """Return the requests that were executed."""
        answer = {"executions": self.executions, "over_limit": self.over_limit}
        return web.json_response(answer)

    async def complete(self, req: web.Request) -> web.StreamResponse:
        """Answer a chat completion."""
        body = await req.json()
        version = req.headers.get("X-Model-Version", "")
        if version not in self.versions:
            return web.json_response({"error": "version not loaded"}, status=409)
        prompt = str(body["messages"][-1]["content"])
        request = req.headers.get("X-Request-Id", "")
        record = {"request": request, "version": version, "body": prompt}
        self.executions.append(record)
        self._journal.append(record)
        if CRASH_MARKER in prompt:
            os._exit(1)
        count = int(body.get("max_tokens", DEFAULT_TOKENS))
        tokens = make_tokens(version, prompt, count)
        self._running += 1
        if self._running > self._limit:
            self.over_limit += 1
        try:
            if body.get("stream"):
                return await self._stream(req, tokens)
            return await self._answer(tokens)
        finally:
            self._running -= 1

    async def _wait_for_token(self) -> None:
        while self._faults.stall:
            await asyncio.sleep(0.05)
        seconds = self._token_seconds * self._faults.slowdown
        if seconds:
            await asyncio.sleep(seconds)

    async def _answer(self, tokens: list[str]) -> web.Response:
        for _ in tokens:
            await self._wait_for_token()
        message = {"role": "assistant", "content": "".join(tokens)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        answer = {"object": "chat.completion", "choices": [choice]}
        return web.json_response(answer)

    async def _stream(self, req: web.Request, tokens: list[str]) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(req)
        for index, token in enumerate(tokens):
            await self._wait_for_token()
            if self._faults.cut_after and index >= self._faults.cut_after:
                req.transport.abort()
                return resp
            choice = {"index": 0, "delta": {"content": token}}
            event = {"object": "chat.completion.chunk", "choices": [choice]}
            await resp.write(f"data: {json.dumps(event)}\n\n".encode())
        await resp.write(b"data: [DONE]\n\n")
        await resp.write_eof()
        return resp

    async def put_chunk(self, req: web.Request) -> web.Response:
        """Store a chunk of a version that is to be loaded."""
        key = (req.match_info["version"], int(req.match_info["index"]))
        self._chunks[key] = await req.read()
        return web.Response()

    async def get_chunk(self, req: web.Request) -> web.Response:
        """Return a stored chunk."""
        key = (req.match_info["version"], int(req.match_info["index"]))
        if key not in self._chunks:
            raise web.HTTPNotFound
        return web.Response(body=self._chunks[key])

    async def handle_order(self, req: web.Request) -> web.Response:
        """Load or unload a version; an old fencing token is refused with 409.

        With the `ignore_fences` switch on, any token is accepted.
        """
        order = await req.json()
        if order["fence"] < self._fence and not self._faults.ignore_fences:
            return web.json_response({"error": "old fence"}, status=409)
        self._fence = max(self._fence, order["fence"])
        if order["operation"] == "unload":
            return self._unload(order["version"])
        return await self._load(order["version"], order["chunks"], order["digest"])

    def _unload(self, version: str) -> web.Response:
        if version in self.versions:
            self.versions.remove(version)
        for key in [key for key in self._chunks if key[0] == version]:
            del self._chunks[key]
        return web.json_response({"state": "unloaded"})

    async def _load(self, version: str, chunks: int, digest: str) -> web.Response:
        if self._faults.false_loaded:
            return web.json_response({"state": "loaded"})
        await asyncio.sleep(self._faults.load_seconds)
        whole = hashlib.sha256()
        for index in range(chunks):
            whole.update(self._chunks.get((version, index), b""))
        if whole.hexdigest() != digest:
            return web.json_response({"error": "wrong digest"}, status=422)
        if version not in self.versions:
            self.versions.append(version)
        return web.json_response({"state": "loaded"})
