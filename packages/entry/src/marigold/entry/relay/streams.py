"""Parsing of server-sent events from the bytes of an answer."""

from __future__ import annotations

import re

from marigold.core.exceptions import MarigoldError
from marigold.core.numbers import parse_number

# Maximum size of one event.
MAXIMUM_EVENT_BYTES = 1 << 20
# Fields of a comment have an empty name.
COMMENT = re.compile(rb":.*")
FIELD = re.compile(rb"(?:[a-z]+(?:-[a-z]+)*)?:.*|data")


class StreamOrderError(MarigoldError):
    """An event is malformed or too large, or does not follow the previous one."""


class Event:
    """The id of one event and its bytes, including the closing blank line."""

    __slots__ = ("data", "id")

    def __init__(self, data: bytes, id: int | None) -> None:
        self.data = data
        self.id = id


def _read_id(data: bytes) -> int | None:
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return parse_number(value.strip().decode("latin-1"))
    return None


def _is_event(event: Event) -> bool:
    """Return whether a block is an event with an id or consists of comments.

    Other text, such as the head of an error response, contains lines that are no
    fields, or has no id.
    """
    ending = b"\r\n" if event.data.endswith(b"\r\n") else b"\n"
    if event.data.count(b"\n") != event.data.count(ending):
        return False
    pattern = COMMENT if event.id is None else FIELD
    return all(pattern.fullmatch(line) for line in event.data.splitlines() if line)


class EventSplitter:
    """Splits bytes into complete events; a partial event is buffered.

    Example: `splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")` returns the first event.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether a partial event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that are complete.

        Raise `StreamOrderError` when one is larger than `MAXIMUM_EVENT_BYTES`.
        """
        buffer = self._buffer + data
        events = []
        while True:
            end = _find_end(buffer)
            if end < 0:
                break
            part, buffer = buffer[:end], buffer[end:]
            events.append(Event(part, _read_id(part)))
        if len(buffer) > MAXIMUM_EVENT_BYTES:
            raise StreamOrderError("an event is too large")
        self._buffer = buffer
        return events


def _find_end(buffer: bytes) -> int:
    """Return the index after the first blank line, or -1."""
    found = [
        buffer.find(blank) + len(blank)
        for blank in (b"\n\n", b"\r\n\r\n")
        if blank in buffer
    ]
    return min(found, default=-1)


class EventSequence:
    """Checks that events are well-formed and consecutive, over several answers."""

    __slots__ = ("_last",)

    def __init__(self, last: int | None) -> None:
        self._last = last

    @property
    def last(self) -> int | None:
        """Id of the last event, or None."""
        return self._last

    def check(self, event: Event) -> None:
        """Check the next event.

        Raise `StreamOrderError` when it is malformed, or when one before it is missing.
        """
        if not _is_event(event):
            raise StreamOrderError(f"no event: {event.data[:40]!r}")
        if event.id is None:
            return
        if self._last is not None and event.id != self._last + 1:
            raise StreamOrderError(f"event {event.id} follows {self._last}")
        self._last = event.id
