"""`marigold-entry lists`."""

from __future__ import annotations

import difflib
from pathlib import Path

import click

from marigold.core.documents import DocumentError, Fault
from marigold.entry.commands.client import AdministrationClient
from marigold.entry.lists.checking import NAMES, check_pair

LISTS_PATH = "/admin/v1/lists"


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError([Fault(path, 0, "(file)", str(exc))]) from exc


def check_lists(plans: str, allowances: str) -> None:
    """Check both lists; raise `DocumentError` with every fault."""
    checked = check_pair(_read_file(plans), _read_file(allowances), plans, allowances)
    if checked.is_error():
        raise DocumentError(checked.error)
    for warning in checked.ok.warnings:
        click.echo(f"warning: {warning}", err=True)
    click.echo(f"{plans}, {allowances}: no faults")


def apply_lists(
    plans: str,
    allowances: str,
    client: AdministrationClient,
    versions: dict[str, int | None],
) -> None:
    """Check both lists and submit them for acceptance.

    `versions` holds the version that each list is based on. None stands for the
    version that was edited last.
    """
    check_lists(plans, allowances)
    texts = dict(zip(NAMES, (_read_file(plans), _read_file(allowances)), strict=True))
    for name, version in versions.items():
        if version is None:
            versions[name] = client.get(f"{LISTS_PATH}/{name}").version
    resp = client.post(LISTS_PATH, {**texts, "versions": versions}).get_json()
    click.echo(f"generation {resp['generation']} is accepted")


def diff_lists(plans: str, allowances: str, client: AdministrationClient) -> None:
    """Print the differences between the files and the lists as edited last."""
    for name, path in zip(NAMES, (plans, allowances), strict=True):
        current_lines = client.get(f"{LISTS_PATH}/{name}").body.splitlines(
            keepends=True
        )
        new_lines = _read_file(path).splitlines(keepends=True)
        diff_lines = difflib.unified_diff(
            current_lines, new_lines, f"{name} (edited last)", path
        )
        click.echo("".join(diff_lines), nl=False)


def show_list(name: str, client: AdministrationClient) -> None:
    """Print a list to standard output and its version to standard error."""
    resp = client.get(f"{LISTS_PATH}/{name}")
    click.echo(f"{name}: version {resp.version}", err=True)
    click.echo(resp.body, nl=False)
