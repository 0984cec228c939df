"""Machines are replaced one generation after another; then the configuration changes.

The machines that left do not answer any more. With the last one, the entry that the
others follow leaves, and a tenth of a second later the operator moves a route.
"""

import asyncio
import re
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Rig,
    call,
    is_troubled,
    make_headers,
    make_id,
    make_route,
    run_case,
)

REGIONS = {"gyor-a": "hu-west", "bp-a": "hu-central", "debr-a": "hu-east"}
GENERATIONS = 7
# StabilityWindowMs and ConfigApplyMs.
STABILITY_S = 3.0
CONFIG_APPLY_S = 2.0
CALM_S = STABILITY_S + 6.0
CHANGE_AFTER_S = 0.1
WATCHED_S = 8.0
INTERVAL_S = 0.05
FOLLOWED = re.compile(r"event=hub_attached .*?hub=(\S+)")


def take_place(entry, sockets):
    """Listen in the place of a machine that is gone, and never answer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", entry.peers))
    sock.listen(128)
    sockets.append(sock)


async def remove(entry, sockets, record):
    """Remove a machine for good."""
    entry.send_signal(signal.SIGKILL)
    await entry.process.wait()
    take_place(entry, sockets)
    record.add(f"{entry.name} is removed")


def find_followed(entry):
    """Return the name of the entry that an entry follows, by its log."""
    found = FOLLOWED.findall(entry.log.read_text())
    return found[-1] if found else ""


async def main(record):
    ran = {}
    sockets = []

    def make_server(service):
        async def serve(conn, req):
            ran[req.headers["attempt-id"]] = service
            await asyncio.sleep(0.02)
            await conn.answer(req, body=b"x" * 800)

        return serve

    def configure(rig, version, service):
        rig.configure(
            [make_route("lookup", "/lookup/", "idempotent", service)],
            [
                {"Name": name, "HealthPath": "/healthz", "MaxConnections": 100}
                for name in ("booking-app", "portal-app")
            ],
            version=version,
        )

    async with Rig(REGIONS) as rig:
        configure(rig, 3, "booking-app")
        for service in ("booking-app", "portal-app"):
            await rig.add_runner(f"i-{service}", service, make_server(service))
        entries = []
        first = 1 if is_troubled() else GENERATIONS
        for number in range(first, GENERATIONS + 1):
            previous = entries
            entries = [
                await rig.add_entry(
                    f"edge-{zone}-{number}", zone, bootstrap=number == first
                )
                for zone in REGIONS
            ]
            await asyncio.gather(*(entry.wait_ready() for entry in entries))
            record.add(f"generation {number} is ready")
            for entry in previous:
                await remove(entry, sockets, record)
        await asyncio.sleep(CALM_S)
        await asyncio.gather(*(entry.wait_ready() for entry in entries))
        followed = {entry.name: find_followed(entry) for entry in entries}
        record.add(f"the entries follow: {followed}")
        hub = next((item for item in entries if item.name in followed.values()), None)
        if hub is None:
            return NOT_RUN
        others = [entry for entry in entries if entry is not hub]
        if is_troubled():
            await remove(hub, sockets, record)
        await asyncio.sleep(CHANGE_AFTER_S)
        configure(rig, 5, "portal-app")
        confirmed_at = time.monotonic()
        record.add(
            "version 5 is confirmed: /lookup/ moves from booking-app to portal-app"
        )
        sent = []

        async def look(entry):
            attempt, at = make_id(), time.monotonic()
            try:
                answer = await call(
                    entry.callers, "GET", "/lookup/1", make_headers(attempt, 2000)
                )
                sent.append((at, entry.name, attempt, answer.status))
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
                sent.append((at, entry.name, attempt, repr(exc)))

        tasks = []
        while time.monotonic() < confirmed_at + WATCHED_S:
            tasks += [asyncio.create_task(look(entry)) for entry in others]
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        broken = 0
        for at, name, attempt, status in sorted(sent):
            after = at - confirmed_at
            service = ran.get(attempt)
            is_old = service == "booking-app"
            late = is_old and after > CONFIG_APPLY_S
            broken += late
            record.add(
                f"{name}: sent {after:.2f} s after it: {status}, run by {service}"
                + (", too late for it" if late else "")
            )
        for sock in sockets:
            sock.close()
        record.add(
            f"{broken} requests run by the old service later than {CONFIG_APPLY_S} s"
        )
        return BROKEN if broken else HELD


run_case(main, FOLDER)
