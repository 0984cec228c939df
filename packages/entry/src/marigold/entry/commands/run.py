"""`marigold-entry run`."""

from __future__ import annotations

from collections.abc import Sequence

from marigold.core.lifecycle import run_process
from marigold.core.schema.generated.settings import EntrySettings
from marigold.core.settings import load_settings


def run_entry(path: str, overrides: Sequence[str]) -> None:
    """Run an entry; raise `DocumentError` when the settings have faults."""
    from marigold.entry.process import EntryProcess

    run_process(EntryProcess(load_settings(path, EntrySettings, overrides)))
