"""`marigold-entry timeline`."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import click

from marigold.core.exceptions import UserError
from marigold.entry.timeline.events import EventFilter, read_events
from marigold.entry.timeline.rendering import HtmlRenderer, TextRenderer


def show_timeline(logs: Sequence[str], event_filter: EventFilter, html: str) -> None:
    """Print the events of several logs, or write them to the HTML file `html`.

    Raise `UserError` when a file cannot be read or written.
    """
    events = event_filter.apply(read_events([Path(log) for log in logs]))
    if not html:
        click.echo(TextRenderer().render(events), nl=False)
        return
    try:
        Path(html).write_text(HtmlRenderer().render(events), encoding="utf-8")
    except OSError as exc:
        raise UserError(f"{html}: {exc.strerror}") from exc
    click.echo(f"{len(events)} events in {html}")
