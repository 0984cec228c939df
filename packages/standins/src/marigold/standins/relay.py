"""A minimal HTTP proxy, the baseline for measurements of the entry and the target."""

from __future__ import annotations

from collections.abc import AsyncIterator

from aiohttp import ClientSession, TCPConnector, web


def make_relay(url: str) -> web.Application:
    """Return an application that forwards every request to `url`."""

    async def keep_session(app: web.Application) -> AsyncIterator[None]:
        app["session"] = ClientSession(connector=TCPConnector(limit=0))
        yield
        await app["session"].close()

    async def relay(req: web.Request) -> web.StreamResponse:
        body = await req.read()
        headers = {"Content-Type": req.headers.get("Content-Type", "")}
        headers["X-Model-Version"] = req.headers.get("X-Model-Version", "")
        async with req.app["session"].request(
            req.method, url + req.path_qs, data=body, headers=headers
        ) as answer:
            resp = web.StreamResponse(status=answer.status)
            resp.content_type = answer.content_type
            await resp.prepare(req)
            while part := await answer.content.readany():
                await resp.write(part)
            await resp.write_eof()
            return resp

    app = web.Application()
    app.cleanup_ctx.append(keep_session)
    app.router.add_route("*", "/{path:.*}", relay)
    return app
