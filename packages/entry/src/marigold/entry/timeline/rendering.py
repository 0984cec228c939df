"""Rendering of the timeline as text and HTML."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from html import escape
from importlib.resources import files
from string import Template

from marigold.core.clock import COUNTER_BITS, get_clock_ms
from marigold.core.logging import format_value
from marigold.core.logs import LogLine

COUNTER_MASK = (1 << COUNTER_BITS) - 1
COLOUR_COUNT = 8


def format_clock(reading: int) -> str:
    """Return a reading of the hybrid clock as a UTC time of day and a counter."""
    timestamp = datetime.fromtimestamp(get_clock_ms(reading) / 1000, UTC)
    time = timestamp.strftime("%H:%M:%S.%f")[:-3]
    return f"{time}+{reading & COUNTER_MASK}"


def format_fields(line: LogLine) -> str:
    """Return the fields of an event as key=value pairs."""
    pairs = (f"{key}={format_value(value)}" for key, value in line.fields.items())
    return " ".join(pairs)


class TimelineRenderer(ABC):
    """Output format of the timeline."""

    @abstractmethod
    def render(self, events: Sequence[LogLine]) -> str:
        """Return the events in this format."""


class TextRenderer(TimelineRenderer):
    """Renders one line of text per event."""

    def render(self, events: Sequence[LogLine]) -> str:
        """Return one line per event."""
        width = max((len(event.process) for event in events), default=0)
        return "".join(self._render_lines(events, width))

    def _render_lines(self, events: Sequence[LogLine], width: int) -> Iterator[str]:
        for event in events:
            yield (
                f"{format_clock(event.clock):<18} {event.process:<{width}} "
                f"{event.event} {format_fields(event)}".rstrip()
                + "\n"
            )


class HtmlRenderer(TimelineRenderer):
    """Renders a self-contained HTML page with a search box that filters its rows."""

    def render(self, events: Sequence[LogLine]) -> str:
        """Return the HTML text of the page."""
        data_centres = sorted({event.data_centre for event in events})
        colours = {
            data_centre: index % COLOUR_COUNT
            for index, data_centre in enumerate(data_centres)
        }
        rows = (self._render_row(event, colours) for event in events)
        path = files("marigold.entry.timeline").joinpath("page.html")
        page = Template(path.read_text(encoding="utf-8"))
        return page.substitute(count=len(events), rows="\n".join(rows))

    def _render_row(self, event: LogLine, colours: dict[str, int]) -> str:
        cells = (
            format_clock(event.clock),
            event.data_centre,
            event.process,
            event.event,
            format_fields(event),
        )
        body = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
        return f'<tr class="c{colours[event.data_centre]}">{body}</tr>'
