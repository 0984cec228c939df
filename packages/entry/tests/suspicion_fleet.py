"""Simulation of entries, runners and requests with shared parts, without any I/O.

fleet = SimulatedFleet(seed=1, deadly_parts={"d": 0.0})
fleet.run()
fleet.count_late_sends("d")

Each entry has its own table; updates reach the others with a delay, and trials are
granted by one queue.
"""

from __future__ import annotations

import heapq
import itertools
import random

from marigold.entry.suspicion.parts import make_part_key
from marigold.entry.suspicion.suspects import SuspectTable
from marigold.entry.suspicion.trials import TrialQueue

ENTRIES = 4
RUNNERS = 8
SLOTS = 16
DURATION_S = 40.0
RATE_PER_S = 25.0
# Seconds until other processes know of a change, and until a crash is noticed.
EXCHANGE_S = 0.03
DETECTION_S = 0.01
RESTART_S = 3.0
TRIAL_WAIT_S = 1.0
START_S = (0.02, 0.3)
EXECUTION_S = (0.3, 3.0)
ATTEMPTS = 2
STABILITY_S = 3.0
# Crashes by one part after which the platform limits sends.
CRASHES = 5
FIRST_PARTS = ("f0", "f1", "f2")
DOCUMENTS = 30
# Share of requests that are harmless and have the companion of the deadly parts.
BESIDE_SHARE = 0.03
DEADLY_FROM_S = 4.0


class SimulatedRunner:
    __slots__ = ("incarnation", "is_up", "name", "requests", "version")

    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.is_up = True
        self.version = 1
        self.requests = []


class SimulatedRequest:
    """A request with its parts in the order of the prompt."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "entry",
        "is_served",
        "keys",
        "parts",
        "priors",
        "runner",
        "sent_at",
        "tokens",
        "version",
    )

    def __init__(self, number, entry, parts, now):
        self.entry = entry
        self.parts = parts
        self.keys = [f"r{number}"] + [make_part_key("m", item) for item in parts[::-1]]
        self.arrived_at = now
        self.attempts = 0
        self.is_served = False
        self.priors = {}
        self.tokens = []
        self.runner = None
        self.sent_at = 0.0
        self.version = 0


class SimulatedFleet:
    """`deadly_parts` maps parts to the share of requests with them.

    `rack_crashes` is the number of crashes of several runners at once. Parts in
    `deadly_versions` are deadly on that version of the weights only; `update_at` is
    when runners begin to switch to version 2, one each second. Deadly parts are the
    first of a prompt if `is_first`, and come with the part "beside" if `has_companion`.
    """

    def __init__(
        self,
        seed,
        deadly_parts,
        rack_crashes=0,
        deadly_versions=None,
        update_at=None,
        is_first=False,
        has_companion=False,
        is_known=False,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.deadly_parts = deadly_parts
        self.deadly_versions = deadly_versions or {}
        self.is_first = is_first
        self.has_companion = has_companion
        self.is_known = is_known
        self.tables = [SuspectTable() for _ in range(ENTRIES + 1)]
        self.trials = TrialQueue(self.tables[0], lambda: self.now)
        self.runners = [SimulatedRunner(f"i{n}") for n in range(RUNNERS)]
        self.requests = []
        self.sends = {part: [] for part in deadly_parts}
        self.crashes = {part: [] for part in deadly_parts}
        self.crash_times = []
        self.refused_at = {}
        self._events = []
        self._numbers = itertools.count()
        self._schedule_all(rack_crashes, update_at)

    def _schedule_all(self, rack_crashes, update_at):
        at = 0.0
        while at < DURATION_S:
            self._at(at, self._arrive)
            at += self.rng.expovariate(RATE_PER_S)
        for _ in range(rack_crashes):
            self._at(self.rng.uniform(2.0, DURATION_S - 12), self._crash_rack)
        if update_at is not None:
            for number, runner in enumerate(self.runners):
                self._at(update_at + number, self._update, runner)

    def _at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._numbers), call, args))

    def run(self):
        while self._events:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def _is_deadly(self, part, runner):
        version = self.deadly_versions.get(part)
        return (
            part in self.deadly_parts
            and self.now >= DEADLY_FROM_S
            and version in (None, runner.version)
        )

    def _arrive(self):
        roll = self.rng.random()
        if roll > 1.0 - BESIDE_SHARE and self.has_companion:
            document = "beside"
        else:
            document = self._choose_document()
        parts = [self.rng.choice(FIRST_PARTS), document]
        for part, share in self.deadly_parts.items():
            if 0 <= roll < share and (self.now >= DEADLY_FROM_S or self.is_known):
                if self.is_first:
                    parts = [part, "beside" if self.has_companion else document]
                else:
                    parts = [parts[0], "beside", part][not self.has_companion :]
                    parts = parts if self.has_companion else ["f0", part]
            roll -= share
        entry = self.rng.randint(1, ENTRIES)
        req = SimulatedRequest(len(self.requests), entry, parts, self.now)
        self.requests.append(req)
        self._admit(req, self.now + TRIAL_WAIT_S)

    def _choose_document(self):
        return f"d{min(int(self.rng.expovariate(0.15)), DOCUMENTS)}"

    def _admit(self, req, wait_until):
        table = self.tables[req.entry]
        verdicts = {key: table.get_verdict(key, self.now) for key in req.keys}
        for key, verdict in verdicts.items():
            if verdict == "refused":
                self.refused_at.setdefault(key, []).append(self.now)
                return
        suspects = sorted(key for key in verdicts if verdicts[key] == "suspect")
        self._ask(req, suspects, wait_until)

    def _ask(self, req, suspects, wait_until):
        if not suspects:
            self._send(req)
            return
        key = suspects[0]
        case = self.tables[req.entry].describe(key, self.now)
        if case is not None:
            self.tables[0].merge(case, self.now)
        token = next(self._numbers)
        is_answered = []

        def answer(is_allowed, crashes):
            if is_answered:
                return
            is_answered.append(True)
            if not is_allowed:
                self._end(req)
                return
            req.tokens.append(token)
            req.priors[key] = max(crashes, req.priors.get(key, 0))
            self._at(self.now, self._ask, req, suspects[1:], wait_until)

        def give_up():
            if not is_answered:
                is_answered.append(True)
                self.trials.end(token)
                self._end(req)

        self.trials.request(key, token, answer)
        if not is_answered:
            self._at(wait_until, give_up)

    def _end(self, req):
        tokens, req.tokens = req.tokens, []
        for token in tokens:
            self.trials.end(token)

    def _send(self, req):
        table = self.tables[req.entry]
        if any(table.get_verdict(key, self.now) == "refused" for key in req.keys):
            self._end(req)
            return
        for key in req.keys:
            case = table.find(key, self.now)
            if case is not None:
                req.priors[key] = max(case.crashes, req.priors.get(key, 0))
        free = [r for r in self.runners if r.is_up and len(r.requests) < SLOTS]
        if not free:
            self._end(req)
            return
        runner = min(free, key=lambda r: (len(r.requests), self.rng.random()))
        req.runner, req.sent_at, req.version = runner, self.now, runner.version
        req.attempts += 1
        runner.requests.append(req)
        for part in req.parts:
            if self._is_deadly(part, runner):
                self.sends[part].append(self.now)
        start = self.now + self.rng.uniform(*START_S)
        self._at(start, self._start, req, runner, runner.incarnation)

    def _start(self, req, runner, incarnation):
        if runner.incarnation != incarnation:
            return
        deadly = [part for part in req.parts if self._is_deadly(part, runner)]
        if deadly:
            self.crashes[deadly[0]].append(self.now)
            self._crash(runner)
            return
        table = self.tables[req.entry]
        changed = [key for key in req.keys[1:] if table.record_start(key, self.now)]
        self._publish(req.entry, changed)
        end = self.now + self.rng.uniform(*EXECUTION_S)
        self._at(end, self._answer, req, runner, incarnation)

    def _answer(self, req, runner, incarnation):
        if runner.incarnation != incarnation:
            return
        runner.requests.remove(req)
        req.is_served = True
        table = self.tables[req.entry]
        changed = [
            key
            for key in req.keys[1:]
            if table.record_answer(key, req.version, req.sent_at, self.now)
        ]
        if table.clear(req.keys[0]):
            changed.append(req.keys[0])
        self._publish(req.entry, changed)
        self._end(req)

    def _crash(self, runner):
        self.crash_times.append(self.now)
        name = f"{runner.name}/{runner.incarnation}"
        lost, runner.requests = runner.requests, []
        runner.incarnation += 1
        runner.is_up = False
        self._at(self.now + RESTART_S, self._restart, runner)
        for req in lost:
            self._at(self.now + DETECTION_S, self._record, req, name)

    def _restart(self, runner):
        runner.is_up = True

    def _record(self, req, name):
        changed = self.tables[req.entry].record_crashes(
            req.keys, name, req.priors, req.version, req.sent_at, self.now
        )
        self._publish(req.entry, changed, 0.0)
        self._publish(req.entry, changed)
        self._end(req)
        if req.attempts < ATTEMPTS:
            self._admit(req, self.now + TRIAL_WAIT_S)

    def _publish(self, sender, keys, delay=EXCHANGE_S):
        """Send changes to the queue of trials at once, or to all others later."""
        for key in keys:
            case = self.tables[sender].describe(key, self.now)
            others = [0] if not delay else range(len(self.tables))
            for number in others:
                if number == sender:
                    continue
                if delay:
                    at = self.now + delay
                    self._at(at, self._receive, number, key, case)
                else:
                    self._receive(number, key, case)

    def _receive(self, number, key, case):
        table = self.tables[number]
        if case is None:
            table.clear(key)
            return
        table.merge(case, self.now)
        known = table.find(key, self.now)
        if known is not None and known.is_proven and not case.proven:
            self._publish(number, [key])

    def _crash_rack(self):
        for runner in self.rng.sample(self.runners, self.rng.randint(1, 5)):
            if runner.is_up:
                self._crash(runner)

    def _update(self, runner):
        runner.version = 2

    def count_late_sends(self, part):
        """Count sends later than the stability window after the fifth crash."""
        crashes = self.crashes[part]
        if len(crashes) < CRASHES:
            return 0
        limit = crashes[CRASHES - 1] + STABILITY_S
        return sum(at > limit for at in self.sends[part])

    def get_served_share(self, start, end):
        """Return the share of harmless requests of a time that were served."""
        sound = [
            req.is_served
            for req in self.requests
            if start <= req.arrived_at < end
            and not any(part in self.deadly_parts for part in req.parts)
        ]
        return sum(sound) / max(len(sound), 1)

    def get_refusals(self, parts, start):
        """Return the times from `start` on at which a part was refused."""
        return [
            at
            for part in parts
            for at in self.refused_at.get(make_part_key("m", part), [])
            if at >= start
        ]
