"""Reading of JSON in which single objects may be unreadable.

A store sends the objects of several writers in one body. A value that the parser
refuses, such as one that is nested too deeply or a number with too many digits, must
not take the others with it.
"""

from __future__ import annotations

import json
import re
from json.decoder import JSONDecoder
from typing import Any

# A run of opening or of closing brackets, and what precedes it. Quantifiers are
# possessive, so that the time is linear in the length of the text.
BRACKETS = re.compile(
    r'(?:[^"\[\]{}]|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([\[{]++|[\]}]++)', re.DOTALL
)
SCALAR = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[^\s",\[\]{}]++', re.DOTALL)
SPACE = re.compile(r"[ \t\r\n]*+")
PARSE_ERRORS = (ValueError, RecursionError)


class Unreadable:
    """A value that cannot be parsed."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __repr__(self) -> str:
        return f"Unreadable({self.reason})"


def find_unreadable(value: Any) -> Unreadable | None:
    """Return what is unreadable in a value or in a field of it, None if nothing is."""
    fields = value.values() if isinstance(value, dict) else (value,)
    return next((item for item in fields if isinstance(item, Unreadable)), None)


def load_json(body: bytes, levels: int) -> Any:
    """Return the value of a body; raise `ValueError` if it is not JSON.

    Values that cannot be parsed are replaced by `Unreadable` where they are contained
    in the outer `levels` of objects and lists. Below these, they make the whole value
    unreadable that contains them.
    """
    try:
        return json.loads(body)
    except PARSE_ERRORS:
        return _LenientReader(body).read(levels)


class _LenientReader:
    """Parser that finds the end of values that it cannot parse."""

    def __init__(self, body: bytes) -> None:
        self._text = body.decode("utf-8", "surrogateescape")
        self._has_bad_bytes = not _is_encodable(self._text)
        self._decode = JSONDecoder().raw_decode

    def read(self, levels: int) -> Any:
        start = self._skip_space(0)
        value, end = self._read_parts(start, levels)
        if self._skip_space(end) != len(self._text):
            raise ValueError("there is more than one value")
        return value

    def _read(self, start: int, levels: int) -> tuple[Any, int]:
        """Return the value at a position and its end."""
        try:
            value, end = self._decode(self._text, start)
            if self._has_bad_bytes and not _is_encodable(self._text[start:end]):
                raise ValueError("the value is not UTF-8")
            return value, end
        except PARSE_ERRORS as exc:
            if levels and self._text[start : start + 1] in ("{", "["):
                return self._read_parts(start, levels)
            return Unreadable(str(exc)), self._find_end(start)

    def _read_parts(self, start: int, levels: int) -> tuple[Any, int]:
        """Return the object or list at a position, of which parts are unreadable."""
        if self._text[start : start + 1] == "[":
            return self._read_list(start, levels)
        return self._read_object(start, levels)

    def _read_list(self, start: int, levels: int) -> tuple[list[Any], int]:
        items: list[Any] = []
        at = self._skip_space(start + 1)
        if self._text[at : at + 1] == "]":
            return items, at + 1
        while True:
            value, at = self._read(at, levels - 1)
            items.append(value)
            has_more, at = self._read_separator(at, "]")
            if not has_more:
                return items, at

    def _read_object(self, start: int, levels: int) -> tuple[dict[str, Any], int]:
        self._require(start, "{")
        found: dict[str, Any] = {}
        at = self._skip_space(start + 1)
        if self._text[at : at + 1] == "}":
            return found, at + 1
        while True:
            self._require(at, '"')
            key, at = self._read(at, 0)
            at = self._skip_space(at)
            self._require(at, ":")
            value, at = self._read(self._skip_space(at + 1), levels - 1)
            if isinstance(key, str):
                found[key] = value
            has_more, at = self._read_separator(at, "}")
            if not has_more:
                return found, at

    def _read_separator(self, at: int, closing: str) -> tuple[bool, int]:
        """Return whether another item follows, and the position after the separator."""
        at = self._skip_space(at)
        if self._text[at : at + 1] == closing:
            return False, at + 1
        self._require(at, ",")
        return True, self._skip_space(at + 1)

    def _find_end(self, start: int) -> int:
        """Return the end of the value at a position, by its brackets or quotes only."""
        if self._text[start : start + 1] not in ("{", "["):
            match = SCALAR.match(self._text, start)
            if match is None:
                raise ValueError(f"expected a value at {start}")
            return match.end()
        depth, at = 0, start
        while match := BRACKETS.match(self._text, at):
            at = match.end()
            count = at - match.start(1)
            if self._text[at - 1] in "[{":
                depth += count
            elif depth > count:
                depth -= count
            else:
                return match.start(1) + depth
        raise ValueError(f"the value at {start} has no end")

    def _skip_space(self, at: int) -> int:
        match = SPACE.match(self._text, at)
        return at if match is None else match.end()

    def _require(self, at: int, text: str) -> None:
        if self._text[at : at + 1] != text:
            raise ValueError(f"expected {text} at {at}")


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
