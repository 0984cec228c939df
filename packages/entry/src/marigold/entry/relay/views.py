"""What a process knows of a runner: its listing, load and health.

An entry has views of its own, and the hub of its cell has others, which know of
all requests that the hub placed. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from marigold.core.platform.adapter import LoadNote
from marigold.core.schema.generated.deployment import Runner
from marigold.core.schema.generated.messages import RunnerLoad
from marigold.entry.relay.health import RunnerHealth
from marigold.entry.relay.requests import PlacementRequest

# Seconds for which a load note counts in full, and after which not at all; a
# request lives for about a second.
LOAD_FRESH_S = 0.5
LOAD_LIFETIME_S = 2.0
# Seconds without any byte from a runner that owes some, after which it counts as
# silent: several passes of its engine at its slowest.
SILENCE_S = 0.9


class RunnerView:
    """One incarnation of a runner as this process sees it.

    `others` is what the runner held for others when it last told, and
    `others_waiting` the part of it that had not started. `region` is that of its data
    centre. `pace` is how many times slower than its cost model the engine says it is.
    """

    __slots__ = (
        "_load_at",
        "_other_load",
        "_other_waiting",
        "_last_used_at",
        "blocked_until",
        "delisted_at",
        "health",
        "last_byte_at",
        "is_leaving",
        "is_paused",
        "pace",
        "region",
        "runner",
        "in_flight",
        "version_seen",
    )

    def __init__(self, runner: Runner, region: str = "") -> None:
        self.runner = runner
        self.region = region
        self.health = RunnerHealth()
        self.in_flight: dict[PlacementRequest, float] = {}
        self.last_byte_at = 0.0
        self.delisted_at: float | None = None
        self.blocked_until = 0.0
        self.is_leaving = False
        self.is_paused = False
        self.pace = 1.0
        self.version_seen: int | None = None
        self._other_load = 0
        self._other_waiting = 0
        self._load_at = -LOAD_LIFETIME_S
        self._last_used_at: dict[str, float] = {}

    @property
    def id(self) -> str:
        """Name of the incarnation."""
        return self.runner.id

    def is_open(self, now: float) -> bool:
        """Tell whether the runner may get new requests at all."""
        if self.is_paused or self.is_leaving or self.runner.is_draining:
            return False
        return self.blocked_until <= now and not self.is_delisted(now)

    def may_start(self, now: float) -> bool:
        """Tell whether the runner starts requests while it is not full."""
        has_weights = self.version_seen is not None or bool(self.runner.held)
        return self.is_open(now) and (has_weights or not self.runner.is_engine)

    def is_delisted(self, now: float) -> bool:
        """Tell whether the runner is no longer listed."""
        return self.delisted_at is not None and now >= self.delisted_at

    def start(self, req: PlacementRequest, now: float) -> None:
        """Count a request that is sent to the runner."""
        if not self.in_flight:
            self.last_byte_at = now
        self.in_flight[req] = now
        self._last_used_at[req.entry] = now

    def finish(self, req: PlacementRequest) -> None:
        """Count a request no more."""
        self.in_flight.pop(req, None)

    def get_last_used_at(self, entry: str) -> float:
        """Return when an entry was last sent here; it may have a connection still."""
        return self._last_used_at.get(entry, 0.0)

    def record_progress(self, now: float) -> None:
        """Take in bytes of any answer."""
        self.last_byte_at = now

    def update_load(self, note: LoadNote, now: float) -> None:
        """Take in the load that the runner tells."""
        own = len(self.in_flight)
        own_waiting = sum(not req.is_started for req in self.in_flight)
        self._other_load = max(note.running + note.waiting - own, 0)
        self._other_waiting = max(note.waiting - own_waiting, 0)
        self._load_at = now

    def apply_report(self, load: RunnerLoad, now: float) -> None:
        """Take in what the companion of the runner reports."""
        self.is_paused = load.paused
        self.pace = max(load.pace, 1.0)
        if load.version:
            self.version_seen = load.version
        self.record_progress(now)
        self.update_load(LoadNote(load.running, load.waiting, self.runner.slots), now)

    def _get_load_weight(self, now: float) -> float:
        age = now - self._load_at - LOAD_FRESH_S
        return min(max(1.0 - age / (LOAD_LIFETIME_S - LOAD_FRESH_S), 0.0), 1.0)

    def get_load(self, now: float) -> float:
        """Return the estimated requests that the runner holds."""
        return len(self.in_flight) + self._other_load * self._get_load_weight(now)

    def get_prefill_backlog(self, now: float, usual_prompt: int) -> float:
        """Return the estimated prompt tokens that are still to be read."""
        own = sum(req.prompt_tokens for req in self.in_flight if not req.is_started)
        others = self._other_waiting * self._get_load_weight(now)
        return own + others * usual_prompt

    def count_pending_prefills(self, now: float) -> float:
        """Return the estimated requests that wait there for their first token."""
        own = sum(not req.is_started for req in self.in_flight)
        return own + self._other_waiting * self._get_load_weight(now)

    def get_version(self, model: str) -> int | None:
        """Return the version of a model that the runner is known to hold."""
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

    def is_silent(self, now: float) -> bool:
        """Tell whether the runner owes bytes and sends none."""
        if not self.in_flight:
            return False
        oldest = next(iter(self.in_flight.values()))
        return now - max(oldest, self.last_byte_at) > SILENCE_S
