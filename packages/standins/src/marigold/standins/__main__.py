"""Command line that starts the stand-ins."""

from __future__ import annotations

import asyncio
import signal

import click
from aiohttp import web

from marigold.standins.engine import Engine
from marigold.standins.journal import Journal
from marigold.standins.platform import make_platform
from marigold.standins.relay import make_relay
from marigold.standins.service import Service

_JOURNAL = click.option(
    "--journal", default="", help="File in which executed requests are recorded."
)


async def _serve(app: web.Application, host: str, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0]
    click.echo(f"listening {bound[0]}:{bound[1]}")
    await stopped.wait()
    await runner.cleanup()


@click.group()
def main() -> None:
    """Run a stand-in for a system around marigoldfield."""


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
def platform(host: str, port: int) -> None:
    """Serve the object API, the host list and the weight origin."""
    asyncio.run(_serve(make_platform(), host, port))


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
@click.option("--model", required=True)
@click.option(
    "--version", "versions", multiple=True, help="Version loaded at start-up."
)
@click.option("--limit", default=16, show_default=True)
@click.option("--token-seconds", default=0.005, show_default=True)
@_JOURNAL
def engine(
    host: str,
    port: int,
    model: str,
    versions: tuple[str, ...],
    limit: int,
    token_seconds: float,
    journal: str,
) -> None:
    """Serve a model engine."""
    engine = Engine(model, list(versions), limit, token_seconds, Journal(journal))
    asyncio.run(_serve(engine.make_app(), host, port))


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
@click.option("--name", required=True)
@click.option("--seconds", default=0.005, show_default=True)
@_JOURNAL
def service(host: str, port: int, name: str, seconds: float, journal: str) -> None:
    """Serve a plain service."""
    service = Service(name, seconds, Journal(journal))
    asyncio.run(_serve(service.make_app(), host, port))


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True)
@click.option("--url", required=True, help="Address to which requests are forwarded.")
def relay(host: str, port: int, url: str) -> None:
    """Serve a minimal HTTP proxy as a baseline for the benches."""
    asyncio.run(_serve(make_relay(url), host, port))


if __name__ == "__main__":
    main()
