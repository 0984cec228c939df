"""Random sequences of messages, link losses and pauses at one gate."""

from __future__ import annotations

import asyncio
import random
import unittest

from gate_fakes import (
    INCARNATION,
    FakeDriver,
    FakeLink,
    FakeResponse,
    make_gate,
    make_settings,
    make_start,
)

from marigold.core.schema.generated.messages import (
    AnswerTaken,
    CancelAttempt,
    FetchAttempt,
    RefuseAttempt,
    VoidAnswer,
    VoidAttempt,
)

SEEDS = range(60)
ATTEMPTS = 12
STEPS = 80
RETENTION_S = 10.0
PAUSES_S = (1.0, 5.0, 60.0)
MAXIMUM_YIELDS = 6


class RandomRun:
    """One seeded run of random steps."""

    def __init__(self, seed, kind):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.driver = FakeDriver()
        options = {"answer_retention": RETENTION_S, "void_retention": RETENTION_S}
        self.gate = make_gate(self.driver, make_settings(kind, limit=4, **options))
        self.gate._table._monotonic = lambda: self.now
        self.unsent = [f"r.{number}" for number in range(ATTEMPTS)]
        self.links = []
        self.tasks = []
        self.all_links = []
        self.answered = set()

    def open_link(self):
        link = FakeLink(f"entry-{len(self.all_links)}")
        self.links.append(link)
        self.all_links.append(link)
        self.tasks.append(asyncio.create_task(self.gate.serve(link)))
        return link

    def pick_attempt(self):
        number = self.rng.randrange(ATTEMPTS)
        return f"r.{number}", number + 1

    def send_message(self, link):
        attempt, created = self.pick_attempt()
        options = {"attempt": attempt, "incarnation": INCARNATION}
        link.put(
            self.rng.choice(
                [
                    VoidAttempt(created=created, **options),
                    FetchAttempt(sequence=0, **options),
                    CancelAttempt(attempt=attempt),
                    AnswerTaken(attempt=attempt, sequence=1),
                ]
            )
        )

    def start(self, link):
        if self.unsent:
            attempt = self.unsent.pop(self.rng.randrange(len(self.unsent)))
            link.put(make_start(attempt, created=int(attempt[2:]) + 1))

    def finish(self, link):
        for attempt in sorted(set(self.driver.runs) - self.answered):
            is_waiting = not self.driver.answers[attempt].done()
            if is_waiting and self.rng.random() < 0.5:
                self.answered.add(attempt)
                resp = FakeResponse()
                resp.write(b"x", b"")
                self.driver.answer(attempt, resp)

    def close_link(self, link):
        link.close()
        self.links.remove(link)

    def pause(self, link):
        self.now += self.rng.choice(PAUSES_S)
        self.gate._table.expire()

    async def run(self):
        steps = [self.send_message] * 4 + [self.start] * 3 + [self.finish] * 2
        steps += [self.close_link, self.pause]
        for _ in range(STEPS):
            link = self.rng.choice(self.links) if self.links else self.open_link()
            if self.rng.random() < 0.2:
                self.open_link()
            self.rng.choice(steps)(link)
            for _ in range(self.rng.randrange(MAXIMUM_YIELDS)):
                await asyncio.sleep(0)
        last = self.open_link()
        while self.unsent:
            self.start(last)
        for link in self.links:
            link.close()
        await asyncio.gather(*self.tasks)

    def get_denied(self):
        """Return the attempts that were reported as never executed."""
        return {
            message.attempt
            for link in self.all_links
            for message in link.sent
            if isinstance(message, RefuseAttempt)
            or (isinstance(message, VoidAnswer) and message.state == "void")
        }


class RandomSequenceTests(unittest.IsolatedAsyncioTestCase):
    async def check(self, kind):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = RandomRun(seed, kind)
                await run.run()
                runs = run.driver.runs
                self.assertEqual(len(runs), len(set(runs)))
                self.assertEqual(run.get_denied() & set(runs), set())
                async with asyncio.timeout(5):
                    await run.gate._runner.stop_all()
                self.assertEqual(run.gate.running, 0)

    async def test_service_attempts_run_at_most_once_and_are_never_reported_unexecuted(
        self,
    ):
        await self.check("service")

    async def test_model_attempts_run_at_most_once_and_are_never_reported_unexecuted(
        self,
    ):
        await self.check("model")
