"""Records of started, finished and void attempts."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Literal

from marigold.core.links.link import Link
from marigold.core.schema.generated.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    RefuseAttempt,
    StartAttempt,
)

RETAINED_ANSWER_BYTES = 64 * 1024 * 1024
WINDOW_BYTES = 256 * 1024
CLAIMED_ANSWER_BYTES = 1024 * 1024
MAXIMUM_TOMBSTONES = 200_000

AttemptState = Literal["unseen", "void", "started", "done", "forgotten"]


class AttemptRecord:
    """A started attempt and its answer so far.

    `link` is the link that the answer is sent over, None after it was lost. Parts
    that the entry has acknowledged are dropped, so that a running attempt buffers
    little more than a window. The answer to a claimed request is kept completely up
    to `CLAIMED_ANSWER_BYTES`, because another entry may fetch all of it.
    """

    __slots__ = (
        "_window_opened",
        "acknowledged",
        "chunks",
        "delivery_task",
        "end",
        "fetch_count",
        "finished_at",
        "first_sequence",
        "has_begun",
        "head",
        "is_abandoned",
        "is_ending",
        "link",
        "orphan_timer",
        "refusal",
        "size",
        "start",
        "stop_outcome",
        "task",
        "unacknowledged_bytes",
    )

    def __init__(self, start: StartAttempt, link: Link) -> None:
        self.start = start
        self.link: Link | None = link
        self.head: AnswerHead | None = None
        self.chunks: list[AnswerChunk] = []
        self.first_sequence = 0
        self.acknowledged = 0
        self.size = 0
        self.unacknowledged_bytes = 0
        self.fetch_count = 0
        self.end: AnswerEnd | None = None
        self.refusal: RefuseAttempt | None = None
        self.finished_at = 0.0
        self.task: asyncio.Task[None] | None = None
        self.delivery_task: asyncio.Task[None] | None = None
        self.orphan_timer: asyncio.TimerHandle | None = None
        self.has_begun = False
        self.is_ending = False
        self.is_abandoned = False
        self.stop_outcome: Literal["", "cancelled", "stopped"] = ""
        self._window_opened = asyncio.Event()

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next part of the answer."""
        return self.first_sequence + len(self.chunks)

    def is_done(self) -> bool:
        """Return whether the answer is complete or has failed."""
        return self.end is not None

    def is_attached(self) -> bool:
        """Return whether the answer is sent over a link, or is about to be."""
        return self.link is not None or self.delivery_task is not None

    async def wait_for_window(self) -> None:
        """Wait until less than a window of the answer is unacknowledged."""
        while self.unacknowledged_bytes >= WINDOW_BYTES and not self.is_abandoned:
            self._window_opened.clear()
            await self._window_opened.wait()

    def append(self, data: bytes) -> AnswerChunk:
        """Add a part of the answer."""
        chunk = AnswerChunk(
            attempt=self.start.attempt, sequence=self.next_sequence, data=data
        )
        self.chunks.append(chunk)
        self.size += len(data)
        self.unacknowledged_bytes += len(data)
        if self.is_abandoned:
            self.acknowledge(self.next_sequence)
        return chunk

    def get_chunk(self, sequence: int) -> AnswerChunk:
        """Return a part that is still buffered."""
        return self.chunks[sequence - self.first_sequence]

    def acknowledge(self, sequence: int) -> None:
        """Record that the entry has received the parts below a sequence number."""
        until = min(sequence, self.next_sequence)
        while self.acknowledged < until:
            self.unacknowledged_bytes -= len(self.get_chunk(self.acknowledged).data)
            self.acknowledged += 1
        self._window_opened.set()
        if not self.start.claim or self.size > CLAIMED_ANSWER_BYTES:
            self._drop_acknowledged()

    def _drop_acknowledged(self) -> None:
        count = self.acknowledged - self.first_sequence
        if count <= 0:
            return
        self.size -= sum(len(chunk.data) for chunk in self.chunks[:count])
        del self.chunks[:count]
        self.first_sequence = self.acknowledged

    def abandon(self) -> None:
        """Let the attempt finish although no entry reads its answer."""
        self.is_abandoned = True
        self.acknowledge(self.next_sequence)


class AttemptTable:
    """Attempts of one incarnation, with tombstones of void and dropped ones.

    Finished answers are kept for `answer_retention` seconds. Tombstones of dropped
    answers and of void attempts are kept for `void_retention` seconds.

    `horizon` is the highest creation reading among the expired tombstones. An attempt
    created at or before it may have had a tombstone, so its state is "forgotten" and
    it never starts. The states are therefore correct however late a message arrives;
    the retention times and the maximum number of tombstones only affect how often a
    state is "forgotten".
    """

    __slots__ = (
        "_answer_retention",
        "_finished",
        "_finished_bytes",
        "_forgotten",
        "_monotonic",
        "_records",
        "_void",
        "_void_retention",
        "horizon",
    )

    def __init__(
        self,
        answer_retention: float,
        void_retention: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._answer_retention = answer_retention
        self._void_retention = void_retention
        self._monotonic = monotonic
        self._records: dict[str, AttemptRecord] = {}
        self._finished: OrderedDict[str, int] = OrderedDict()
        self._finished_bytes = 0
        self._void: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._forgotten: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.horizon = -1

    def get(self, attempt: str) -> AttemptRecord | None:
        """Return the record of a started attempt."""
        return self._records.get(attempt)

    def get_state(self, attempt: str, created: int) -> AttemptState:
        """Return the state of an attempt that was created at a clock reading."""
        record = self._records.get(attempt)
        if record is not None:
            return "done" if record.is_done() else "started"
        if attempt in self._void:
            return "void"
        if attempt in self._forgotten or created <= self.horizon:
            return "forgotten"
        return "unseen"

    def count_running(self, version: str) -> int:
        """Return the number of attempts on a version that have not ended."""
        records = self._records.values()
        return sum(
            record.start.version == version and not record.is_done()
            for record in records
        )

    def add(self, record: AttemptRecord) -> None:
        """Add the record of an attempt that starts now."""
        self._records[record.start.attempt] = record

    def remove(self, record: AttemptRecord) -> None:
        """Remove an attempt that was not executed.

        It needs no tombstone, as a StartAttempt is sent once.
        """
        del self._records[record.start.attempt]

    def mark_void(self, attempt: str, created: int) -> None:
        """Add a tombstone that keeps an attempt from starting."""
        self._void[attempt] = (self._monotonic() + self._void_retention, created)
        self.expire()

    def mark_finished(self, record: AttemptRecord) -> None:
        """Record the end of an attempt and drop old answers."""
        record.finished_at = self._monotonic()
        self._finished[record.start.attempt] = record.size
        self._finished_bytes += record.size
        self.expire()

    def expire(self) -> None:
        """Drop answers and tombstones past their retention or maximum number."""
        now = self._monotonic()
        while self._finished:
            attempt = next(iter(self._finished))
            age = now - self._records[attempt].finished_at
            is_over_limit = self._finished_bytes > RETAINED_ANSWER_BYTES
            if age < self._answer_retention and not is_over_limit:
                break
            self._drop_answer(attempt, now)
        for tombstones in (self._void, self._forgotten):
            while tombstones and self._is_expired(tombstones, now):
                _, (_, created) = tombstones.popitem(last=False)
                self.horizon = max(self.horizon, created)

    def _drop_answer(self, attempt: str, now: float) -> None:
        self._finished_bytes -= self._finished.pop(attempt)
        created = self._records.pop(attempt).start.created
        self._forgotten[attempt] = (now + self._void_retention, created)

    def _is_expired(
        self, tombstones: OrderedDict[str, tuple[float, int]], now: float
    ) -> bool:
        until, _ = next(iter(tombstones.values()))
        return until <= now or len(tombstones) > MAXIMUM_TOMBSTONES
