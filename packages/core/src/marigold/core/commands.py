"""Command-line helpers shared by both programs."""

from __future__ import annotations

import gc
from typing import Any

import click

from marigold.core.exceptions import UserError

# Allocations between two collections. Long-lived objects are frozen after start-up, so
# that the collector skips them; a high threshold keeps its pauses rare.
GC_THRESHOLD = 20_000

SETTINGS = click.argument("settings", type=click.Path(dir_okay=False))
OVERRIDES = click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="KEY=VALUE",
    help="Replace one setting, as in --set limits.queue_length=50.",
)


class UserErrorGroup(click.Group):
    """Command group that prints a `UserError` and exits with status 2."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except UserError as exc:
            click.echo(str(exc), err=True)
            ctx.exit(2)


def tune_garbage_collector() -> None:
    """Exclude the objects that exist now from garbage collection."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
