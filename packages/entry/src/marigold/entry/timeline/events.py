"""Events of several logs in causal order."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import merge
from pathlib import Path

from marigold.core.exceptions import UserError
from marigold.core.logs import LogLine, parse_lines

REQUEST_FIELD = "request"
ATTEMPT_FIELD = "attempt"
CUSTOMER_FIELD = "customer"
TARGET_FIELD = "target"


class LogFileError(UserError):
    """A log file cannot be read."""


def _read_log(path: Path) -> list[LogLine]:
    try:
        with path.open(encoding="utf-8", errors="replace") as stream:
            lines = list(parse_lines(stream))
    except OSError as exc:
        raise LogFileError(f"{path}: {exc.strerror}") from exc
    lines.sort(key=_get_sort_key)
    return lines


def _get_sort_key(line: LogLine) -> tuple[int, str]:
    return line.clock, line.process


def read_events(paths: Iterable[Path]) -> list[LogLine]:
    """Return the events of all files, sorted by hybrid clock.

    The hybrid clock orders each cause before its effects. Events without a causal
    relation are ordered by wall clock, then by process. Raise `LogFileError` when a
    file cannot be read.
    """
    return list(merge(*(_read_log(path) for path in paths), key=_get_sort_key))


class EventFilter:
    """Filter whose conditions an event must all match; an empty one matches any event.

    `request` also matches events of the request's attempts. `customer` matches events
    of all its requests. `host` is the name of a process and matches events logged by
    that process or with that process as their target.
    """

    __slots__ = ("customer", "host", "kind", "request")

    def __init__(
        self, request: str = "", customer: str = "", host: str = "", kind: str = ""
    ) -> None:
        self.request = request
        self.customer = customer
        self.host = host
        self.kind = kind

    def apply(self, events: list[LogLine]) -> list[LogLine]:
        """Return the events that match."""
        customer_requests = self._find_customer_requests(events)
        return [event for event in events if self._matches(event, customer_requests)]

    def _find_customer_requests(self, events: list[LogLine]) -> set[str]:
        if not self.customer:
            return set()
        return {
            event.fields[REQUEST_FIELD]
            for event in events
            if event.fields.get(CUSTOMER_FIELD) == self.customer
            and REQUEST_FIELD in event.fields
        }

    def _matches(self, event: LogLine, customer_requests: set[str]) -> bool:
        fields = event.fields
        request = (
            fields.get(REQUEST_FIELD)
            or fields.get(ATTEMPT_FIELD, "").rpartition(".")[0]
        )
        if self.request and request != self.request:
            return False
        if self.kind and event.event != self.kind:
            return False
        if self.host and self.host not in (event.process, fields.get(TARGET_FIELD)):
            return False
        belongs_to_customer = (
            fields.get(CUSTOMER_FIELD) == self.customer or request in customer_requests
        )
        return not self.customer or belongs_to_customer
