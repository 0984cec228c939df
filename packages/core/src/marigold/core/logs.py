"""Parser of the key=value lines that `marigold.core.logging` writes."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

_PAIR = re.compile(r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|[^ "]*)(?: |$)')
_ESCAPE = re.compile(r"\\(.)")
_ESCAPED = {"n": "\n", "r": "\r", "t": "\t"}


@dataclass(slots=True)
class LogLine:
    """An event of a process; `clock` is a reading of its hybrid clock."""

    clock: int
    process: str
    data_centre: str
    event: str
    fields: dict[str, str] = field(default_factory=dict)


def _unescape(match: re.Match[str]) -> str:
    return _ESCAPED.get(match[1], match[1])


def _parse_value(text: str) -> str:
    if text.startswith('"'):
        return _ESCAPE.sub(_unescape, text[1:-1])
    return text


def _parse_pairs(line: str) -> dict[str, str] | None:
    pairs: dict[str, str] = {}
    position = 0
    while position < len(line):
        match = _PAIR.match(line, position)
        if match is None:
            return None
        pairs[match[1]] = _parse_value(match[2])
        position = match.end()
    return pairs


def parse_line(line: str) -> LogLine | None:
    """Return the event of a line, or None if the line contains no event.

    Tracebacks and lines that were cut off when the process was killed contain none:

        line = parse_line("clock=7 process=a data_centre=b event=started port=1")
        assert line.fields == {"port": "1"}
    """
    # A log collector may prefix each line with its own time and the host.
    start = max(line.find("clock="), 0)
    pairs = _parse_pairs(line[start:].rstrip("\r\n"))
    if not pairs or not pairs.get("clock", "").isdecimal():
        return None
    try:
        clock = int(pairs.pop("clock"))
        process = pairs.pop("process")
        data_centre = pairs.pop("data_centre")
        event = pairs.pop("event")
    except KeyError:
        return None
    return LogLine(clock, process, data_centre, event, pairs)


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of lines and skip other output."""
    for line in lines:
        parsed = parse_line(line)
        if parsed is not None:
            yield parsed
