"""Structured logs: one line of key=value pairs per event.

Modules take their logger at import time and log typed events:

    log = get_logger(__name__)
    log.event("attempt_started", request=req.id, attempt=attempt)

`configure_logging` attaches one output to eliot. Each line starts with the
reading of the hybrid clock, the process and its data centre.
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
# Characters of a library's message that are written.
LIBRARY_CHARACTERS = 200
# Bytes of lines kept for a reader that is slow: some seconds of a busy process.
PENDING_BYTES = 256 * 1024


class EventLogger:
    """Logger of one module."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name

    def event(self, kind: str, /, **fields: Any) -> None:
        """Log one event; field values are written with `str`."""
        log_message(message_type=kind, logger=self.name, **fields)

    def routine(self, kind: str, /, **fields: Any) -> None:
        """Log an event of the usual course, which a busy process may leave out."""
        if routine_event_limiter.allow(kind):
            log_message(message_type=kind, logger=self.name, **fields)


class RoutineEventLimiter:
    """Bound on routine events a second; what is left out is counted by kind.

    `per_second` is 0 for no bound.
    """

    __slots__ = ("_count", "_left_out", "_monotonic", "_second", "per_second")

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._monotonic = monotonic
        self._second = 0
        self._count = 0
        self._left_out: Counter[str] = Counter()
        self.per_second = 0

    def allow(self, kind: str) -> bool:
        """Tell whether an event may be written now, and count it."""
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
        self._left_out[kind] += 1
        return False

    def _report(self) -> None:
        if self._left_out:
            left_out, self._left_out = self._left_out, Counter()
            log_message(message_type="events_left_out", **left_out)


routine_event_limiter = RoutineEventLimiter()


class BoundedWriter:
    """Text stream over a descriptor that never blocks.

    Lines that the reader does not take are kept up to `maximum_bytes`; further
    ones are dropped, and a line tells how many once there is room.
    """

    __slots__ = ("_dropped", "_fd", "_maximum", "_pending")

    def __init__(self, fd: int, maximum_bytes: int = PENDING_BYTES) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._maximum = maximum_bytes
        self._pending = bytearray()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Take one line, or count it as dropped."""
        if len(self._pending) + len(text) > self._maximum:
            self._dropped += 1
            return
        if self._dropped:
            self._pending += f"event=lines_dropped count={self._dropped}\n".encode()
            self._dropped = 0
        self._pending += text.encode("utf-8", "replace")

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._fd, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody left to tell.
                self._pending.clear()
                return
            del self._pending[:written]

    def close(self) -> None:
        """Write what the reader still takes."""
        self.flush()


def get_logger(name: str) -> EventLogger:
    """Return the logger of a module."""
    return EventLogger(name)


def format_value(value: Any) -> str:
    """Return a value as text, quoted where it holds spaces or quotes."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and _QUOTED.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


class LogOutput:
    """Destination that writes events of one process as key=value lines."""

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
        """Write one eliot message."""
        pairs = [f"clock={self._clock.now()}", self._prefix]
        pairs.append(f"event={format_value(message.get('message_type', 'message'))}")
        for key, value in message.items():
            if key not in _HIDDEN:
                pairs.append(f"{key}={format_value(value)}")
        self._stream.write(" ".join(pairs) + "\n")
        self._stream.flush()

    def close(self) -> None:
        """Stop writing events and close a log file."""
        remove_destination(self)
        if self._stream is not sys.stderr:
            self._stream.close()


class LibraryHandler(logging.Handler):
    """Writes what libraries log as events, within the bound of routine ones.

    Without it, Python writes a traceback to standard error for each request that a
    library cannot parse, and a reader that is slow would hold up the process.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record without its traceback."""
        exc = record.exc_info[1] if record.exc_info else None
        _library_log.routine(
            "library_warning",
            library=record.name,
            level=record.levelname,
            message=record.getMessage()[:LIBRARY_CHARACTERS],
            reason=repr(exc)[:LIBRARY_CHARACTERS],
        )


_library_log = EventLogger("libraries")


def _take_over_libraries() -> None:
    logging.getLogger().handlers = [LibraryHandler(logging.WARNING)]


def configure_logging(
    process: str, data_centre: str, clock: HybridClock, path: str = ""
) -> LogOutput:
    """Write the events of this process to a file, or to standard error."""
    stream = Path(path).open("a", encoding="utf-8") if path else sys.stderr
    output = LogOutput(process, data_centre, clock, stream)
    add_destinations(output)
    _take_over_libraries()
    return output


def configure_bounded_logging(
    process: str, data_centre: str, clock: HybridClock, lines: int
) -> LogOutput:
    """Write events to standard output, without blocking.

    At most `lines` routine events a second are written.
    """
    routine_event_limiter.per_second = lines
    output = LogOutput(process, data_centre, clock, BoundedWriter(sys.stdout.fileno()))
    add_destinations(output)
    _take_over_libraries()
    return output
