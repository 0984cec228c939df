"""Structured logs: one line of key=value pairs per event.

Modules create their logger at import time and log typed events:

    log = get_logger(__name__)
    log.event("attempt_started", request=req.id, attempt=attempt)

`configure_logging` adds an output to eliot. Each line starts with a reading of the
hybrid clock, the name of the process and its data centre.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TextIO

from eliot import add_destinations, log_message, remove_destination

from marigold.core.clock import HybridClock

_HIDDEN = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "logger"})
_QUOTED = frozenset(' "=\n\r\t\\')
# Length to which the messages of libraries are truncated.
LIBRARY_CHARACTERS = 200
# Buffer for a reader that is slow; it holds the lines of a few busy seconds.
PENDING_BYTES = 256 * 1024


class EventLogger:
    """Logger of one module."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name

    def event(self, kind: str, /, **fields: Any) -> None:
        """Log an event; field values are converted with `str`."""
        log_message(message_type=kind, logger=self.name, **fields)

    def routine(self, kind: str, /, **fields: Any) -> None:
        """Log a routine event, which is dropped above the rate limit."""
        if routine_event_limiter.allow(kind):
            log_message(message_type=kind, logger=self.name, **fields)


class RoutineEventLimiter:
    """Rate limit of routine log events; dropped events are counted by kind.

    `per_second` is the maximum number of events a second, 0 for no limit.
    """

    __slots__ = ("_count", "_dropped_by_kind", "_monotonic", "_second", "per_second")

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._monotonic = monotonic
        self._second = 0
        self._count = 0
        self._dropped_by_kind: Counter[str] = Counter()
        self.per_second = 0

    def allow(self, kind: str) -> bool:
        """Count an event and return whether it may be logged now."""
        if not self.per_second:
            return True
        second = int(self._monotonic())
        if second != self._second:
            self._second = second
            self._count = 0
            self._report()
        self._count += 1
        if self._count <= self.per_second:
            return True
        self._dropped_by_kind[kind] += 1
        return False

    def _report(self) -> None:
        if self._dropped_by_kind:
            dropped, self._dropped_by_kind = self._dropped_by_kind, Counter()
            log_message(message_type="events_left_out", **dropped)


routine_event_limiter = RoutineEventLimiter()


class BoundedWriter:
    """Text stream over a non-blocking file descriptor.

    Up to `maximum_bytes` are buffered while the reader is slow. Further lines are
    dropped and counted; a line with their number is written once there is room again.
    """

    __slots__ = ("_dropped", "_fd", "_maximum", "_pending")

    def __init__(self, fd: int, maximum_bytes: int = PENDING_BYTES) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._maximum = maximum_bytes
        self._pending = bytearray()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Buffer a line, or drop it when the buffer is full."""
        if len(self._pending) + len(text) > self._maximum:
            self._dropped += 1
            return
        if self._dropped:
            self._pending += f"event=lines_dropped count={self._dropped}\n".encode()
            self._dropped = 0
        self._pending += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; no output can be delivered.
                self._pending.clear()
                return
            del self._pending[:written]

    def close(self) -> None:
        """Flush the buffer as far as possible without blocking."""
        self.flush()


def get_logger(name: str) -> EventLogger:
    """Return the logger of a module."""
    return EventLogger(name)


def format_value(value: Any) -> str:
    """Return a value as text, quoted if it contains spaces or special characters."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and _QUOTED.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class LogOutput:
    """Eliot destination that writes the events of a process as key=value lines."""

    __slots__ = ("_clock", "_prefix", "_stream")

    def __init__(
        self,
        process: str,
        data_centre: str,
        clock: HybridClock,
        stream: TextIO | BoundedWriter,
    ) -> None:
        self._prefix = f"process={process} data_centre={data_centre}"
        self._clock = clock
        self._stream = stream

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write an eliot message as one line."""
        pairs = [f"clock={self._clock.now()}", self._prefix]
        pairs.append(f"event={format_value(message.get('message_type', 'message'))}")
        for key, value in message.items():
            if key not in _HIDDEN:
                pairs.append(f"{key}={format_value(value)}")
        self._stream.write(" ".join(pairs) + "\n")
        self._stream.flush()

    def close(self) -> None:
        """Remove the destination and close its stream, unless it is standard error."""
        remove_destination(self)
        if self._stream is not sys.stderr:
            self._stream.close()


class LibraryHandler(logging.Handler):
    """Handler that logs the records of libraries as routine events.

    Without it, Python writes a traceback to standard error for each request that a
    library cannot parse, and a slow reader of standard error would block the process.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record without its traceback."""
        exc = record.exc_info[1] if record.exc_info else None
        _library_log.routine(
            "library_warning",
            library=record.name,
            level=record.levelname,
            message=record.getMessage()[:LIBRARY_CHARACTERS],
            reason=repr(exc)[:LIBRARY_CHARACTERS],
        )


_library_log = EventLogger("libraries")


def _redirect_library_logs() -> None:
    logging.getLogger().handlers = [LibraryHandler(logging.WARNING)]


def configure_logging(
    process: str, data_centre: str, clock: HybridClock, path: str = ""
) -> LogOutput:
    """Write the events of this process to a file, or to standard error."""
    stream = Path(path).open("a", encoding="utf-8") if path else sys.stderr
    output = LogOutput(process, data_centre, clock, stream)
    add_destinations(output)
    _redirect_library_logs()
    return output


def configure_bounded_logging(
    process: str, data_centre: str, clock: HybridClock, lines: int
) -> LogOutput:
    """Write the events of this process to standard output, without blocking.

    At most `lines` routine events a second are written.
    """
    routine_event_limiter.per_second = lines
    output = LogOutput(process, data_centre, clock, BoundedWriter(sys.stdout.fileno()))
    add_destinations(output)
    _redirect_library_logs()
    return output
