"""`marigold-entry configuration`."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click
from aiohttp import ClientSession

from marigold.core.connections import make_connector
from marigold.core.exceptions import MarigoldError, UserError
from marigold.core.platform.adapter import Adapter, load_adapter
from marigold.core.schema.generated.deployment import Configuration
from marigold.core.schema.generated.settings import RelaySettings
from marigold.core.settings import load_settings
from marigold.entry.inspection.differences import (
    find_differences,
    find_version_faults,
)
from marigold.entry.inspection.findings import inspect_configuration
from marigold.entry.inspection.notes import Finding

KEEPALIVE_S = 1.0


class UnusableConfigurationError(UserError):
    """A configuration cannot be read, or not be compared."""


def check_configuration(
    settings: str,
    path: str,
    against: str | None,
    in_force: bool,
    overrides: Sequence[str],
) -> int:
    """Print what is wrong in a configuration, and how it differs from another one.

    Return the number of errors.
    """
    cfg = load_settings(settings, RelaySettings, overrides)
    adapter = load_adapter(cfg.platform)
    checked = adapter.check_configuration(_read_document(path))
    findings = [Finding(key, text) for key, text in checked.faults]
    findings += [Finding(key, text, is_error=False) for key, text in checked.notes]
    if checked.configuration is not None:
        findings += inspect_configuration(
            checked.configuration, cfg.regions, not checked.faults
        )
    current = _read_current(adapter, against, in_force)
    if current is not None and checked.configuration is not None:
        findings += find_version_faults(current, checked.configuration)
    for finding in findings:
        click.echo(finding)
    if current is not None and checked.faults:
        click.echo("differences are not shown while parts cannot be read")
    elif current is not None and checked.configuration is not None:
        for line in find_differences(current, checked.configuration):
            click.echo(f"difference: {line}")
    errors = sum(finding.is_error for finding in findings)
    click.echo(f"{path}: {errors} errors, {len(findings) - errors} warnings")
    return errors


def _read_document(path: str) -> Any:
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as exc:
        raise UnusableConfigurationError(f"{path}: {exc}") from exc


def _read_current(
    adapter: Adapter, against: str | None, in_force: bool
) -> Configuration | None:
    if against is not None:
        checked = adapter.check_configuration(_read_document(against))
        if checked.configuration is None or checked.faults:
            key, text = checked.faults[0]
            raise UnusableConfigurationError(f"{against}: {key}: {text}")
        return checked.configuration
    return asyncio.run(_fetch_current(adapter)) if in_force else None


async def _fetch_current(adapter: Adapter) -> Configuration:
    async with ClientSession(connector=make_connector(KEEPALIVE_S)) as session:
        try:
            listing = await adapter.make_configuration_feed(session).read()
        except MarigoldError as exc:
            raise UnusableConfigurationError(f"the version in force: {exc}") from exc
    if not listing.items:
        raise UnusableConfigurationError("no configuration is in force")
    return next(iter(listing.items.values()))
