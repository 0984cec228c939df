"""`marigold-entry check`."""

from __future__ import annotations

from collections.abc import Sequence

import click

from marigold.core.schema.generated.settings import EntrySettings
from marigold.core.settings import load_settings


def check_settings(path: str, overrides: Sequence[str]) -> None:
    """Check a settings file; raise `DocumentError` that lists every fault."""
    load_settings(path, EntrySettings, overrides)
    click.echo(f"{path}: no faults")
