"""A process's view of a runner: its listing, load and health.

Each entry has its own views. The hub of a cell has others, which count all requests
that the hub placed. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math

from marigold.core.platform.adapter import LoadReport
from marigold.core.schema.generated.deployment import Runner
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.balancing.figures import AgedFigure
from marigold.entry.balancing.sizes_work import EngineWork
from marigold.entry.rates.state import RateState
from marigold.entry.relay.health import RunnerHealth
from marigold.entry.relay.requests import PlacementRequest
from marigold.entry.relay.start_delays import StartDelays

# Seconds for which a load report counts in full, and after which it is ignored. A
# request takes about a second.
LOAD_FRESH_S = 0.5
LOAD_LIFETIME_S = 2.0
# Seconds without a byte after which a runner with requests in flight counts as silent;
# several passes of the slowest engine.
SILENCE_S = 0.9
# A place that is given back sooner, in seconds, says nothing about the runner: the
# request was not sent, or there was no time to answer it.
GIVEN_BACK_S = 0.05


class RunnerView:
    """One incarnation of a runner as this process sees it.

    `region` is the region of its data centre. `slowdown` is the factor by which the
    engine reports to be slower than its cost model. `has_pace` is set once an answer
    stated how long work takes on the runner's host. `rate` is None until a limit of its
    requests per second is known, `work` until a request is placed there by its size.
    `durations` are the seconds that own requests took, `paces` what answers stated.
    `_other_load` is the number of
    requests of other processes in the last load report, `_other_waiting` how many of
    them had not started. `_abandoned_at` is since when the runner had been silent as a
    request there ended, None if it has sent something after that.
    """

    __slots__ = (
        "_abandoned_at",
        "_last_used_at",
        "_load_at",
        "_other_load",
        "_other_waiting",
        "_sign_at",
        "blocked_until",
        "delisted_at",
        "durations",
        "has_pace",
        "health",
        "in_flight",
        "is_leaving",
        "is_paused",
        "last_byte_at",
        "paces",
        "rate",
        "region",
        "reported_at",
        "runner",
        "slowdown",
        "start_delays",
        "version_seen",
        "work",
    )

    def __init__(self, runner: Runner, region: str = "") -> None:
        self.runner = runner
        self.region = region
        self.health = RunnerHealth()
        self.start_delays = StartDelays()
        self.in_flight: dict[PlacementRequest, float] = {}
        self.last_byte_at = 0.0
        self._sign_at = 0.0
        self._abandoned_at: float | None = None
        # When the companion of the runner last reported.
        self.reported_at = -math.inf
        self.delisted_at: float | None = None
        self.blocked_until = 0.0
        self.is_leaving = False
        self.is_paused = False
        self.slowdown = 1.0
        self.has_pace = False
        self.durations = AgedFigure()
        self.paces = AgedFigure()
        self.rate: RateState | None = None
        self.work: EngineWork | None = None
        self.version_seen: int | None = None
        self._other_load = 0
        self._other_waiting = 0
        self._load_at = -LOAD_LIFETIME_S
        self._last_used_at: dict[str, float] = {}

    @property
    def id(self) -> str:
        """Id of the runner, which its later incarnations share."""
        return self.runner.id

    def is_open(self, now: float) -> bool:
        """Return whether the runner accepts new requests."""
        if self.is_paused or self.is_leaving or self.runner.is_draining:
            return False
        return self.blocked_until <= now and not self.is_delisted(now)

    def may_start(self, now: float) -> bool:
        """Return whether the runner can start requests while it is not full."""
        has_weights = self.version_seen is not None or bool(self.runner.held)
        return self.is_open(now) and (has_weights or not self.runner.is_engine)

    def is_delisted(self, now: float) -> bool:
        """Return whether the runner has been removed from the list."""
        return self.delisted_at is not None and now >= self.delisted_at

    def start(self, req: PlacementRequest, now: float) -> None:
        """Add a request that is sent to the runner."""
        if not self.in_flight and self._abandoned_at is None:
            self.last_byte_at = now
        self.in_flight[req] = now
        self._last_used_at[req.entry] = now

    def finish(self, req: PlacementRequest) -> None:
        """Remove a request that has ended."""
        self.in_flight.pop(req, None)

    def record_unanswered(self, req: PlacementRequest, now: float) -> None:
        """Remember since when the runner has been silent, as a request ends.

        Otherwise a runner that is silent would get the next request as soon as the
        caller of the last one has left.
        """
        sent_at = self.in_flight.get(req)
        if sent_at is None or self._abandoned_at is not None:
            return
        silent_since = max(sent_at, self.last_byte_at, self._sign_at)
        if now - silent_since >= GIVEN_BACK_S:
            self._abandoned_at = silent_since

    def record_duration(self, req: PlacementRequest, now: float) -> None:
        """Record that a request in flight has been answered with success."""
        sent_at = self.in_flight.get(req)
        if sent_at is not None:
            self.durations.record(now - sent_at, now)

    def record_start(self, req: PlacementRequest, now: float) -> None:
        """Record that the answer to a request that is in flight has begun."""
        self.record_progress(now)
        sent_at = self.in_flight.get(req)
        if sent_at is not None:
            self.start_delays.record(now - sent_at, now)

    def record_missing_start(self, req: PlacementRequest, now: float) -> None:
        """Record that a request in flight ends before its answer has begun."""
        sent_at = self.in_flight.get(req)
        if sent_at is not None and not req.is_started:
            self.start_delays.record_minimum(now - sent_at, now)

    def get_last_used_at(self, entry: str) -> float:
        """Return when an entry last used the runner, and so had a connection."""
        return self._last_used_at.get(entry, 0.0)

    def record_progress(self, now: float) -> None:
        """Record that the runner sent data."""
        if self.is_unresponsive(now):
            # The starts that were missed say nothing about the runner from now on.
            self.start_delays.clear()
        self.last_byte_at = now
        self._abandoned_at = None

    def record_sign(self, now: float) -> None:
        """Record bytes that are no progress of an answer, but show a live host."""
        self._sign_at = now
        self._abandoned_at = None

    def update_load(self, report: LoadReport, now: float) -> None:
        """Update the load from a load report of the runner."""
        own = len(self.in_flight)
        own_waiting = sum(not req.is_started for req in self.in_flight)
        self._other_load = max(report.running + report.waiting - own, 0)
        self._other_waiting = max(report.waiting - own_waiting, 0)
        self._load_at = now
        if report.pace is not None:
            self.has_pace = True
            self.paces.record(report.pace, now)

    def apply_report(self, load: RunnerLoad, now: float) -> None:
        """Update the view from a report of the runner's companion."""
        self.reported_at = now
        self.is_paused = load.paused
        self.slowdown = max(load.pace, 1.0)
        if load.version:
            self.version_seen = load.version
        self.record_progress(now)
        self.update_load(LoadReport(load.running, load.waiting, self.runner.slots), now)

    def drop_report(self) -> None:
        """Forget what a report says for longer than the load: its pause and pace."""
        self.is_paused = False
        self.slowdown = 1.0

    def _get_load_weight(self, now: float) -> float:
        age = now - self._load_at - LOAD_FRESH_S
        return min(max(1.0 - age / (LOAD_LIFETIME_S - LOAD_FRESH_S), 0.0), 1.0)

    def get_load(self, now: float) -> float:
        """Return the estimated number of requests that the runner holds."""
        return len(self.in_flight) + self._other_load * self._get_load_weight(now)

    def get_prefill_backlog(self, now: float, usual_prompt: int) -> float:
        """Return the estimated prompt tokens that wait for prefill."""
        own = sum(req.prompt_tokens for req in self.in_flight if not req.is_started)
        other = self._other_waiting * self._get_load_weight(now)
        return own + other * usual_prompt

    def count_pending_prefills(self, now: float) -> float:
        """Return the estimated number of requests without a first token."""
        own = sum(not req.is_started for req in self.in_flight)
        return own + self._other_waiting * self._get_load_weight(now)

    def get_version(self, model: str) -> int | None:
        """Return the newest version of a model that the runner is known to hold."""
        listed = next(
            (
                item.version
                for item in self.runner.held
                if item.model == model and item.is_whole
            ),
            None,
        )
        if self.version_seen is None:
            return listed
        return max(listed or 0, self.version_seen)

    def get_silence(self, now: float) -> float:
        """Return the seconds for which the runner has left requests unanswered.

        Zero when it has none, or has just sent something. Requests that have ended
        unanswered count until the runner sends something.
        """
        oldest = next(iter(self.in_flight.values()), math.inf)
        if self._abandoned_at is not None:
            oldest = min(oldest, self._abandoned_at)
        return max(now - max(oldest, self.last_byte_at, self._sign_at), 0.0)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the runner may only be probed, as it has long been silent."""
        return self.get_silence(now) > SILENCE_S

    def is_silent(self, now: float) -> bool:
        """Return whether the runner has requests in flight and sends nothing."""
        if not self.in_flight:
            return False
        oldest = next(iter(self.in_flight.values()))
        return now - max(oldest, self.last_byte_at) > SILENCE_S
