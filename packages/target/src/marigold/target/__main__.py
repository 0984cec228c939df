"""Command line of marigold-target.

Each command imports its own module, so that a process loads only the code it runs.
"""

from __future__ import annotations

import click

import marigold.core.boottime  # noqa: F401  (records when the process started to load)
from marigold.core.commands import OVERRIDES, SETTINGS, UserErrorGroup


@click.group(cls=UserErrorGroup)
def main() -> None:
    """Serve requests and weights on one target host.

    Example: marigold-target run target.yaml --set engine.limit=8
    """


@main.command()
@SETTINGS
@OVERRIDES
def run(settings: str, overrides: tuple[str, ...]) -> None:
    """Run the target until SIGTERM.

    Example: marigold-target run target.yaml
    """
    from marigold.target.commands.run import run_target

    run_target(settings, overrides)


@main.command()
@SETTINGS
@OVERRIDES
def companion(settings: str, overrides: tuple[str, ...]) -> None:
    """Deliver new weights to the platform's runner on this host until SIGTERM.

    Example: marigold-target companion companion.yaml
    """
    from marigold.target.commands.companion import run_companion

    run_companion(settings, overrides)


@main.command()
@SETTINGS
@OVERRIDES
def check(settings: str, overrides: tuple[str, ...]) -> None:
    """Check a settings file and print every fault.

    Example: marigold-target check target.yaml
    """
    from marigold.target.commands.check import check_settings

    check_settings(settings, overrides)


if __name__ == "__main__":
    main()
