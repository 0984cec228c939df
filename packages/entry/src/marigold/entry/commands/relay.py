"""`marigold-entry relay`."""

from __future__ import annotations

from collections.abc import Sequence

from marigold.core.lifecycle import run_process
from marigold.core.schema.generated.settings import RelaySettings
from marigold.core.settings import load_settings


def run_relay(path: str, overrides: Sequence[str]) -> None:
    """Run an entry in front of a platform's runners.

    Raise `DocumentError` when the settings have faults.
    """
    from marigold.entry.relay.process import RelayProcess

    run_process(RelayProcess(path, load_settings(path, RelaySettings, overrides)))
