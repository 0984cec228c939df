"""Command line of marigold-entry.

Each command imports its module when it runs, so that it loads no code of the others.
"""

from __future__ import annotations

import click

import marigold.core.boottime  # noqa: F401  (records when loading began)
from marigold.core.commands import OVERRIDES, SETTINGS, UserErrorGroup

_URL = click.option(
    "--url",
    envvar="MARIGOLD_URL",
    default="http://127.0.0.1:8080",
    show_default=True,
    help="Address of an entry's HTTP interface.",
)
_KEY = click.option(
    "--key",
    envvar="MARIGOLD_ADMIN_KEY",
    default="",
    help="Administration key.",
)
_PLANS = click.argument("plans", type=click.Path(dir_okay=False))
_ALLOWANCES = click.argument("allowances", type=click.Path(dir_okay=False))


@click.group(cls=UserErrorGroup)
def main() -> None:
    """Route callers' requests to targets as each customer's plan says.

    Example: marigold-entry run entry.yaml --set callers.port=8081
    """


@main.command()
@SETTINGS
@OVERRIDES
def run(settings: str, overrides: tuple[str, ...]) -> None:
    """Run the entry until SIGTERM.

    Example: marigold-entry run entry.yaml
    """
    from marigold.entry.commands.run import run_entry

    run_entry(settings, overrides)


@main.command()
@SETTINGS
@OVERRIDES
def relay(settings: str, overrides: tuple[str, ...]) -> None:
    """Run an entry in front of a platform's runners until SIGTERM.

    Example: marigold-entry relay relay.yaml
    """
    from marigold.entry.commands.relay import run_relay

    run_relay(settings, overrides)


@main.command()
@SETTINGS
@OVERRIDES
def check(settings: str, overrides: tuple[str, ...]) -> None:
    """Check a settings file and print every fault.

    Example: marigold-entry check entry.yaml
    """
    from marigold.entry.commands.check import check_settings

    check_settings(settings, overrides)


@main.command()
@_URL
@_KEY
def status(url: str, key: str) -> None:
    """Show lists, targets and entries as one entry sees them.

    Example: marigold-entry status --url http://127.0.0.1:8080
    """
    from marigold.entry.commands.client import AdministrationClient
    from marigold.entry.commands.status import show_status

    show_status(AdministrationClient(url, key))


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--request", default="", help="Only this request and its attempts.")
@click.option("--customer", default="", help="Only requests of this customer.")
@click.option("--host", default="", help="Only events at or about this host.")
@click.option("--kind", default="", help="Only events of this kind.")
@click.option(
    "--html", default="", help="Write a self-contained HTML page to this file."
)
def timeline(
    logs: tuple[str, ...], request: str, customer: str, host: str, kind: str, html: str
) -> None:
    """Merge logs of several processes into causal order.

    Example: marigold-entry timeline *.log --customer kavics-bt --html page.html
    """
    from marigold.entry.commands.timeline import show_timeline
    from marigold.entry.timeline.events import EventFilter

    show_timeline(logs, EventFilter(request, customer, host, kind), html)


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--verify", is_flag=True, help="Also verify the chains of records.")
@click.option(
    "--heads",
    default="",
    type=click.Path(dir_okay=False),
    help="JSON file of collected chain heads, to detect records missing at the end.",
)
def audit(logs: tuple[str, ...], verify: bool, heads: str) -> None:
    """Report what each customer was promised and received.

    Also prints every admission out of order and, with --verify, every record
    that was removed, moved, altered or duplicated. Exits with status 2 if there
    are any.

    Example: marigold-entry audit --verify entry-*.log
    """
    from marigold.entry.commands.audit import audit_logs

    audit_logs(logs, verify, heads)


@main.group()
def configuration() -> None:
    """Check the configuration of a platform before it is put into force."""


@configuration.command("check")
@SETTINGS
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--against",
    type=click.Path(dir_okay=False),
    help="Also show the differences from the configuration in this file.",
)
@click.option(
    "--in-force",
    is_flag=True,
    help="Also show the differences from the version in force in the platform's store.",
)
@OVERRIDES
def configuration_check(
    settings: str,
    file: str,
    against: str | None,
    in_force: bool,
    overrides: tuple[str, ...],
) -> None:
    """Print errors, entries that never match and limits that contradict each other.

    SETTINGS are those of an entry, which name the platform and the regions. Exits with
    status 1 if there are errors.

    Example: marigold-entry configuration check relay.yaml new.json --in-force
    """
    from marigold.entry.commands.configuration import check_configuration

    if check_configuration(settings, file, against, in_force, overrides):
        raise SystemExit(1)


@main.group()
def lists() -> None:
    """Check, compare, apply and show the two lists."""


@lists.command("check")
@_PLANS
@_ALLOWANCES
def lists_check(plans: str, allowances: str) -> None:
    """Check both lists as a pair and print every fault.

    Example: marigold-entry lists check plans.yaml allowances.yaml
    """
    from marigold.entry.commands.lists import check_lists

    check_lists(plans, allowances)


@lists.command("apply")
@_PLANS
@_ALLOWANCES
@click.option("--plans-version", type=int, help="Version the plans are based on.")
@click.option(
    "--allowances-version", type=int, help="Version the allowances are based on."
)
@_URL
@_KEY
def lists_apply(
    plans: str,
    allowances: str,
    plans_version: int | None,
    allowances_version: int | None,
    url: str,
    key: str,
) -> None:
    """Apply both lists, unless either was edited in the meantime.

    Example: marigold-entry lists apply plans.yaml allowances.yaml
    """
    from marigold.entry.commands.client import AdministrationClient
    from marigold.entry.commands.lists import apply_lists

    versions = {"plans": plans_version, "allowances": allowances_version}
    apply_lists(plans, allowances, AdministrationClient(url, key), versions)


@lists.command("diff")
@_PLANS
@_ALLOWANCES
@_URL
@_KEY
def lists_diff(plans: str, allowances: str, url: str, key: str) -> None:
    """Show how both files differ from the lists as edited last.

    Example: marigold-entry lists diff plans.yaml allowances.yaml
    """
    from marigold.entry.commands.client import AdministrationClient
    from marigold.entry.commands.lists import diff_lists

    diff_lists(plans, allowances, AdministrationClient(url, key))


@lists.command("show")
@click.argument("name", type=click.Choice(["plans", "allowances"]))
@_URL
@_KEY
def lists_show(name: str, url: str, key: str) -> None:
    """Print a list as edited last.

    Example: marigold-entry lists show plans
    """
    from marigold.entry.commands.client import AdministrationClient
    from marigold.entry.commands.lists import show_list

    show_list(name, AdministrationClient(url, key))


if __name__ == "__main__":
    main()
