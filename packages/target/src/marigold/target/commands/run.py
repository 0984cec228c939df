"""`marigold-target run`."""

from __future__ import annotations

from collections.abc import Sequence

from marigold.core.lifecycle import run_process
from marigold.core.schema.generated.settings import TargetSettings
from marigold.core.settings import load_settings
from marigold.target.process import TargetProcess


def run_target(path: str, overrides: Sequence[str]) -> None:
    """Run a target; raise `DocumentError` when the settings have faults."""
    run_process(TargetProcess(load_settings(path, TargetSettings, overrides)))
