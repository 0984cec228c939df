"""Fake targets, admission and peers for the routing tests."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

from marigold.core.exceptions import LinkClosedError
from marigold.core.schema.generated.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    RefuseAttempt,
    StartAttempt,
)
from marigold.core.schema.generated.settings import CallerLimits, Retries
from marigold.entry.admission.controller import Grant
from marigold.entry.exceptions import UnreachableError
from marigold.entry.metrics import EntryMetrics
from marigold.entry.routing.calls import CallConnection
from marigold.entry.routing.dispatcher import Dispatcher
from marigold.entry.routing.isolation import SuspectIsolation
from marigold.entry.routing.load import TargetView
from marigold.entry.routing.requests import Request
from marigold.entry.routing.retries import BudgetedRetry

BODY = b"100 mm"
EVENT_STREAM_HEADERS = {"Content-Type": "text/event-stream"}


def refuse(reason):
    return lambda attempt: [RefuseAttempt(attempt=attempt, reason=reason)]


def answer(outcome="done", chunks=1):
    def make(attempt):
        yield AnswerHead(attempt=attempt, status=200, headers=EVENT_STREAM_HEADERS)
        for sequence in range(chunks):
            yield AnswerChunk(attempt=attempt, sequence=sequence, data=BODY)
        yield AnswerEnd(
            attempt=attempt, outcome=outcome, chunks=chunks, running=0, limit=4
        )

    return make


class FakeTarget(CallConnection):
    """Answers each attempt with its next script and repeats the last one."""

    def __init__(self, host, *scripts):
        self.view = TargetView(host, "assistant", True)
        self.view.is_open = True
        self.view.limit = 16
        self.incarnation = 1
        self.started = []
        self._scripts = list(scripts)
        self._calls = {}

    def add(self, call):
        self._calls[call.start.attempt] = call
        self.view.outstanding += 1

    def remove(self, call):
        if self._calls.pop(call.start.attempt, None):
            self.view.outstanding -= 1

    async def send(self, message):
        if not isinstance(message, StartAttempt):
            raise LinkClosedError("closed")
        self.started.append(message)
        script = self._scripts[0]
        if len(self._scripts) > 1:
            self._scripts.pop(0)
        call = self._calls[message.attempt]
        for item in script(message.attempt):
            call.put(item)

    async def wait_open(self, timeout):
        return False

    def is_open(self):
        return True

    def is_leaving(self):
        return self.view.leaving

    def read_clock(self):
        return 1


class FakeAdmission:
    """Grants the first target with room; also serves as the target pool."""

    def __init__(self, targets):
        self.targets = targets

    def get(self, host):
        return next(target for target in self.targets if target.view.host == host)

    def get_views(self, service):
        return [target.view for target in self.targets]

    async def enter(self, req):
        return

    def leave(self, req):
        return

    def admit_waiting(self):
        return

    async def acquire(self, req, excluded):
        found = [view for view in self.get_views("") if view.host not in excluded]
        if not found:
            raise UnreachableError("no target", 1.0)
        while True:
            for view in found:
                if view.has_room(time.monotonic()):
                    view.outstanding += 1
                    return Grant(view, "1", 0.0)
            await asyncio.sleep(0.001)


class FakePeers:
    """Peers of an entry that is linked to no other."""

    def on_open(self, handler):
        return

    def subscribe(self, cls, handler):
        return

    def get_local_names(self):
        return []


def make_request(id="r1", body=b"how thick?", **options):
    return Request(
        id=id,
        customer=SimpleNamespace(name="kavics-bt", plan="base", precedence=1),
        service="assistant",
        method="POST",
        path="/",
        headers={},
        body=body,
        timeout=20.0,
        **options,
    )


def make_dispatcher(targets, coordinator):
    admission = FakeAdmission(targets)
    limits = CallerLimits()
    rng = random.Random(1)
    return Dispatcher(
        SimpleNamespace(limits=limits),
        admission,
        admission,
        BudgetedRetry(Retries(delay=0.0, budget_floor=100.0)),
        SuspectIsolation(limits, coordinator, admission, admission, rng),
        EntryMetrics(),
        rng,
    )
