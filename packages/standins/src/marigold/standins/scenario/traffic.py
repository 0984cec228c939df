"""Traffic of callers, in which every answer is checked against its request."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from typing import Any, Literal

from aiohttp import ClientConnectorError, ClientError, ClientTimeout

from marigold.standins.engine import make_tokens
from marigold.standins.fleet import Fleet, Host

Verdict = Literal["whole", "refused", "unknown", "cut", "dropped", "wrong", "untyped"]

CALLER_TIMEOUT_S = 60.0
BALANCER_DELAY_S = 0.05
DONE_EVENT = "data: [DONE]\n\n"
ERROR_EVENT = "event: error\n"


class Outcome:
    """The outcome of a request.

    `executed` is the field of the error that the caller got, empty for a whole
    answer. `seconds` includes the retries.
    """

    __slots__ = ("entry", "executed", "kind", "marker", "seconds", "verdict")

    def __init__(self, marker: str) -> None:
        self.marker = marker
        self.verdict: Verdict = "dropped"
        self.kind = ""
        self.executed = ""
        self.entry = ""
        self.seconds = 0.0


class TrafficOptions:
    """Options of a stream of requests.

    `rate` is in requests a second. A request is retried up to `repeats` times after
    an answer that is not whole. With `keyed` it has an idempotency key. With `same`
    all prompts are equal.
    """

    __slots__ = (
        "customer",
        "entries",
        "keyed",
        "method",
        "path",
        "prompt",
        "rate",
        "repeats",
        "same",
        "service",
        "stream",
        "tokens",
    )

    def __init__(
        self,
        service: str,
        customer: str = "kavics-bt",
        rate: float = 40.0,
        path: str = "/orders",
        method: str = "POST",
        stream: bool = False,
        tokens: int = 8,
        keyed: bool = False,
        repeats: int = 0,
        entries: list[str] | None = None,
        prompt: str = "",
        same: bool = False,
    ) -> None:
        self.service = service
        self.customer = customer
        self.rate = rate
        self.path = path
        self.method = method
        self.stream = stream
        self.tokens = tokens
        self.keyed = keyed
        self.repeats = repeats
        self.entries = entries
        self.prompt = prompt
        self.same = same


class Traffic:
    """Sends requests at random intervals until `finish` is called."""

    def __init__(
        self, fleet: Fleet, name: str, options: TrafficOptions, seed: int
    ) -> None:
        self._fleet = fleet
        self._options = options
        self._rng = random.Random(f"{seed}/{name}")
        self._requests: set[asyncio.Task[None]] = set()
        self._sender: asyncio.Task[None] | None = None
        self._answered = asyncio.Condition()
        self._is_model = any(
            target.service == options.service and target.kind == "model"
            for target in fleet.targets
        )
        self.name = name
        self.service = options.service
        self.outcomes: list[Outcome] = []

    def start(self) -> None:
        """Start to send."""
        self._sender = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._send(f"{self.name}-{number}"))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            await asyncio.sleep(self._rng.expovariate(self._options.rate))

    async def finish(self) -> None:
        """Stop sending and wait for the remaining answers."""
        self._sender.cancel()
        await asyncio.gather(*self._requests)

    async def wait_for_answers(self, count: int) -> None:
        """Wait until `count` more requests were answered."""
        wanted = len(self.outcomes) + count
        async with self._answered:
            await self._answered.wait_for(lambda: len(self.outcomes) >= wanted)

    def count(self) -> Counter[Verdict]:
        """Return the number of outcomes by verdict."""
        return Counter(outcome.verdict for outcome in self.outcomes)

    async def _send(self, marker: str) -> None:
        outcome = Outcome(marker)
        started = time.monotonic()
        for _ in range(self._options.repeats + 1):
            await self._attempt(outcome)
            if outcome.verdict == "whole":
                break
            await asyncio.sleep(BALANCER_DELAY_S)
        outcome.seconds = time.monotonic() - started
        async with self._answered:
            self.outcomes.append(outcome)
            self._answered.notify_all()

    def _get_entries(self) -> list[Host]:
        names = self._options.entries
        entries = [
            entry
            for entry in self._fleet.entries
            if entry.child.is_running() and (names is None or entry.name in names)
        ]
        self._rng.shuffle(entries)
        return entries

    async def _attempt(self, outcome: Outcome) -> None:
        # An entry that refuses the connection did not receive the request, so it
        # is safe to try the next one, as a load balancer does.
        for entry in self._get_entries():
            outcome.entry = entry.name
            try:
                await self._call(entry, outcome)
            except ClientConnectorError:
                continue
            except (ClientError, TimeoutError):
                outcome.verdict = "dropped"
            return
        outcome.verdict = "refused"
        outcome.kind = "no_entry"
        outcome.executed = "no"

    async def _call(self, entry: Host, outcome: Outcome) -> None:
        options = self._options
        headers = {"Authorization": f"Bearer {options.customer}-key"}
        if options.keyed:
            headers["Idempotency-Key"] = outcome.marker
        method, path, body = self._make_request(outcome.marker)
        async with self._fleet.session.request(
            method,
            entry.url + path,
            json=body,
            headers=headers,
            timeout=ClientTimeout(total=CALLER_TIMEOUT_S),
        ) as resp:
            text = await resp.text()
            self._classify(outcome, resp.status, text)

    def _make_request(self, marker: str) -> tuple[str, str, Any]:
        options = self._options
        if not self._is_model:
            path = f"/services/{options.service}{options.path}"
            return options.method, path, {"marker": marker}
        chat = {
            "model": options.service,
            "messages": [{"role": "user", "content": self._make_prompt(marker)}],
            "stream": options.stream,
            "max_tokens": options.tokens,
        }
        return "POST", "/v1/chat/completions", chat

    def _make_prompt(self, marker: str) -> str:
        suffix = "" if self._options.same else marker
        return f"{self._options.prompt} {suffix}".strip()

    def _classify(self, outcome: Outcome, status: int, text: str) -> None:
        if status == 200 and ERROR_EVENT in text:
            outcome.verdict = "cut"
            self._parse_error(outcome, text.rsplit("data: ", 1)[1])
        elif status == 200:
            is_whole = self._matches_request(outcome.marker, text)
            outcome.verdict = "whole" if is_whole else "wrong"
            outcome.executed = ""
        elif self._parse_error(outcome, text):
            is_refused = outcome.executed == "no"
            outcome.verdict = "refused" if is_refused else "unknown"
        else:
            outcome.verdict = "untyped"

    def _parse_error(self, outcome: Outcome, text: str) -> bool:
        try:
            error = json.loads(text)["error"]
            outcome.kind = error["type"]
            outcome.executed = error["executed"]
        except (ValueError, KeyError, TypeError):
            return False
        return True

    def _matches_request(self, marker: str, text: str) -> bool:
        if not self._is_model:
            return json.loads(json.loads(text)["echo"])["marker"] == marker
        content = self._get_content(text)
        version = content.split("-", 1)[0]
        prompt = self._make_prompt(marker)
        return content == "".join(make_tokens(version, prompt, self._options.tokens))

    def _get_content(self, text: str) -> str:
        if not self._options.stream:
            return json.loads(text)["choices"][0]["message"]["content"]
        if not text.endswith(DONE_EVENT):
            return ""
        events = text.removesuffix(DONE_EVENT).strip().split("\n\n")
        choices = [json.loads(event[len("data: ") :])["choices"][0] for event in events]
        return "".join(choice["delta"]["content"] for choice in choices)
