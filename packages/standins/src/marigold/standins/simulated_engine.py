"""A simulated model engine with continuous batching and chunked prefill.

It follows the cost model of `EngineModel`, on the clock of the running event loop:

    engine = SimulatedEngine(cost_model)
    job = engine.submit(prompt_tokens=900, answer_tokens=120, priority=1)
    await job.first_token.wait()
"""

from __future__ import annotations

import asyncio

from marigold.core.schema.generated.deployment import EngineModel
from marigold.standins.virtual_time import get_time

# Requests that an engine queues beyond its slots before it refuses more.
QUEUE_LENGTH = 32


# The virtual clock may not advance by less, in seconds.
SHORTEST_WAIT_S = 1e-6


class EngineFullError(Exception):
    """The queue is full; the request was not executed."""


class Job:
    """A request at an engine.

    `first_token` is set with its first token, `done` with its last. `arrived_at` is
    when the engine reads it, which is later than its submission while the engine is
    suspended. `longest_gap` is the longest time between two of its tokens.
    """

    __slots__ = (
        "_prompt_tokens",
        "_token_at",
        "answer_tokens",
        "arrived_at",
        "done",
        "first_token",
        "generated",
        "is_cancelled",
        "longest_gap",
        "priority",
        "prompt_tokens_left",
    )

    def __init__(
        self, prompt_tokens: int, answer_tokens: int, priority: int, now: float
    ) -> None:
        self._prompt_tokens = prompt_tokens
        self._token_at: float | None = None
        self.longest_gap = 0.0
        self.prompt_tokens_left = prompt_tokens
        self.answer_tokens = answer_tokens
        self.priority = priority
        self.arrived_at = now
        self.generated = 0
        self.is_cancelled = False
        self.first_token = asyncio.Event()
        self.done = asyncio.Event()

    @property
    def context_tokens(self) -> int:
        """Tokens that the engine holds for it."""
        return self._prompt_tokens - self.prompt_tokens_left + self.generated

    @property
    def held_tokens(self) -> int:
        """Tokens that the engine holds for it at its end."""
        return self._prompt_tokens + self.answer_tokens

    def record_token(self, now: float) -> None:
        """Record that a part of the answer is sent."""
        if self._token_at is not None:
            self.longest_gap = max(self.longest_gap, now - self._token_at)
        self._token_at = now


class SimulatedEngine:
    """An engine that processes its queue while `run` is active."""

    def __init__(self, model: EngineModel) -> None:
        self._model = model
        self._waiting: list[Job] = []
        self._running: list[Job] = []
        self._arrived = asyncio.Event()
        self._suspended_until = 0.0
        self.on_change = lambda: None

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot in the batch."""
        return len(self._waiting)

    def submit(self, prompt_tokens: int, answer_tokens: int, priority: int) -> Job:
        """Queue a request; raise `EngineFullError`."""
        if len(self._waiting) >= QUEUE_LENGTH:
            raise EngineFullError
        arrived_at = max(get_time(), self._suspended_until)
        job = Job(prompt_tokens, answer_tokens, priority, arrived_at)
        self._waiting.append(job)
        self._arrived.set()
        return job

    def suspend(self, seconds: float) -> None:
        """Suspend the engine, which reads and computes nothing for some seconds."""
        self._suspended_until = get_time() + seconds

    @property
    def is_suspended(self) -> bool:
        """Return whether the engine reads and computes nothing."""
        return get_time() < self._suspended_until

    async def run(self) -> None:
        """Process requests until cancelled."""
        while True:
            await self._wait_resumed()
            self._admit()
            if not self._running:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            await asyncio.sleep(self._run_pass())
            await self._wait_resumed()
            self._finish_pass()

    async def _wait_resumed(self) -> None:
        while self.is_suspended:
            left = self._suspended_until - get_time()
            await asyncio.sleep(max(left, SHORTEST_WAIT_S))

    def _admit(self) -> None:
        self._waiting = [job for job in self._waiting if not job.is_cancelled]
        self._running = [job for job in self._running if not job.is_cancelled]
        self._waiting.sort(key=lambda job: (job.priority, job.arrived_at))
        free_slots = self._model.slots - len(self._running)
        self._running += self._waiting[:free_slots]
        self._waiting = self._waiting[free_slots:]

    def _run_pass(self) -> float:
        """Advance all requests by one pass and return its duration in seconds."""
        model = self._model
        seconds = 0.0
        for _ in range(model.steps_per_pass):
            decoding = sum(not job.prompt_tokens_left for job in self._running)
            seconds += model.step + model.step_per_request * decoding
            if model.step_per_context_token:
                context = sum(job.context_tokens for job in self._running)
                seconds += model.step_per_context_token * context
            seconds += self._prefill()
            for job in self._running:
                if not job.prompt_tokens_left:
                    job.generated += 1
            if not decoding:
                break
        return seconds

    def _prefill(self) -> float:
        left = self._model.prompt_chunk
        pairs = 0.0
        for job in self._running:
            tokens = min(job.prompt_tokens_left, left)
            pairs += tokens * (job.context_tokens + tokens / 2)
            job.prompt_tokens_left -= tokens
            left -= tokens
        read = (self._model.prompt_chunk - left) / self._model.prompt_rate
        return read + pairs * self._model.pair_cost

    def _finish_pass(self) -> None:
        for job in list(self._running):
            if job.generated:
                job.first_token.set()
                job.record_token(get_time())
            if job.generated >= job.answer_tokens:
                job.done.set()
                self._running.remove(job)
        self.on_change()
