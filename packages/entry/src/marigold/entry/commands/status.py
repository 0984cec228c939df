"""`marigold-entry status`."""

from __future__ import annotations

import click

from marigold.entry.commands.client import AdministrationClient


def show_status(client: AdministrationClient) -> None:
    """Print the state of one entry and of its targets."""
    status = client.get("/admin/v1/status").get_json()
    click.echo(f"entry        {status['process']} in {status['data_centre']}")
    click.echo(f"generation   {status['generation']}")
    click.echo(f"running      {status['running']}")
    click.echo(f"entries      {' '.join(status['entries']) or '-'}")
    click.echo(f"shares       {'agreed' if status['shares_agreed'] else 'waiting'}")
    for target in status["targets"]:
        state = "leaving" if target["leaving"] else "open"
        state = state if target["open"] else "closed"
        load = f"{target['outstanding']}/{target['limit']}"
        versions = ",".join(target["versions"]) or "-"
        row = f"{target['host']:<16} {target['service']:<12} {state:<8}"
        click.echo(f"target       {row} {load:<7} {versions}")
