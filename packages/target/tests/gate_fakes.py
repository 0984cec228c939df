"""Fakes of links and back ends for the tests of the gate."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

from multidict import CIMultiDict

from marigold.core.exceptions import LinkClosedError
from marigold.core.links.identity import Identity
from marigold.core.schema.generated.messages import StartAttempt
from marigold.core.schema.generated.settings import (
    Address,
    EngineSettings,
    Platform,
    TargetSettings,
)
from marigold.target.gate.gate import Gate

INCARNATION = 7


class FakeLink:
    """A link that records sent messages; clear `free` to block sending."""

    def __init__(self, process="entry-1"):
        self.peer = Identity(process, "entry", "gyor-a", 1)
        self.sent = []
        self.is_closed = False
        self.free = asyncio.Event()
        self.free.set()
        self._inbox = asyncio.Queue()
        self._changed = asyncio.Event()

    async def send(self, message):
        if self.is_closed:
            raise LinkClosedError("closed")
        await self.free.wait()
        if self.is_closed:
            raise LinkClosedError("closed")
        self.sent.append(message)
        self._changed.set()

    def put(self, *messages):
        for message in messages:
            self._inbox.put_nowait(message)

    def close(self):
        self.is_closed = True
        self.free.set()
        self._inbox.put_nowait(None)

    async def __aiter__(self):
        while (message := await self._inbox.get()) is not None:
            yield message

    def get(self, cls):
        return [message for message in self.sent if isinstance(message, cls)]

    async def wait_for(self, cls, count=1):
        async with asyncio.timeout(5):
            while len(self.get(cls)) < count:
                self._changed.clear()
                await self._changed.wait()
        return self.get(cls)[count - 1]


class FakeContent:
    def __init__(self):
        self._parts = asyncio.Queue()

    async def readany(self):
        part = await self._parts.get()
        if isinstance(part, Exception):
            raise part
        return part


class FakeResponse:
    """A response that the test writes in parts; `b""` ends it."""

    def __init__(self, status=200, headers=None):
        self.status = status
        self.headers = CIMultiDict(headers or {"Transfer-Encoding": "chunked"})
        self.content = FakeContent()

    def write(self, *parts):
        for part in parts:
            self.content._parts.put_nowait(part)


class FakeDriver:
    """A back end whose answers the test sets; `runs` are the started attempts."""

    def __init__(self):
        self.runs = []
        self.answers = {}
        self.cancelled = []
        self.begun = asyncio.Event()
        self.listens = True

    async def is_listening(self):
        return self.listens

    async def wait_for_run(self, attempt):
        async with asyncio.timeout(5):
            while attempt not in self.runs:
                self.begun.clear()
                await self.begun.wait()

    def answer(self, attempt, resp):
        self.answers.setdefault(
            attempt, asyncio.get_running_loop().create_future()
        ).set_result(resp)

    @asynccontextmanager
    async def run(self, start):
        self.runs.append(start.attempt)
        self.begun.set()
        fut = self.answers.setdefault(
            start.attempt, asyncio.get_running_loop().create_future()
        )
        try:
            resp = await fut
            if isinstance(resp, Exception):
                raise resp
            yield resp
        except asyncio.CancelledError:
            self.cancelled.append(start.attempt)
            raise


def make_settings(kind="service", limit=2, **options):
    return TargetSettings(
        process="t-1",
        data_centre="gyor-a",
        region="hu-west",
        peers=Address(host="127.0.0.1", port=0),
        platform=Platform(url="http://127.0.0.1:1"),
        link_secret="secret-of-the-tests",
        engine=EngineSettings(
            url="http://127.0.0.1:1", service="booking", kind=kind, limit=limit
        ),
        **options,
    )


def make_gate(driver=None, cfg=None):
    return Gate(cfg or make_settings(), INCARNATION, driver or FakeDriver())


def make_start(attempt="r.1", **options):
    fields = {
        "attempt": attempt,
        "request": "r",
        "incarnation": INCARNATION,
        "customer": "c",
        "service": "booking",
        "method": "POST",
        "path": "/new",
        "headers": {},
        "body": b"{}",
        **options,
    }
    return StartAttempt(**fields)
