"""`marigold-target companion`."""

from __future__ import annotations

from collections.abc import Sequence

from marigold.core.lifecycle import run_process
from marigold.core.schema.generated.settings import CompanionSettings
from marigold.core.settings import load_settings


def run_companion(path: str, overrides: Sequence[str]) -> None:
    """Run a companion; raise `DocumentError` when the settings have faults."""
    from marigold.target.companion.process import CompanionProcess

    run_process(CompanionProcess(load_settings(path, CompanionSettings, overrides)))
