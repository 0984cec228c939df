"""A zone loses its power; at that moment the configuration changes.

Seven entries stand in three zones, as on the small sites. The zone is the one of the
entry that the others follow. It is started again after each round, and no machine of
the other zones is disturbed at any time.
"""

import asyncio
import random
import re
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    HELD,
    Rig,
    call,
    is_troubled,
    make_headers,
    make_id,
    make_route,
    run_case,
)

REGIONS = {"gyor-a": "hu-west", "bp-a": "hu-central", "debr-a": "hu-east"}
ENTRIES = {"gyor-a": 3, "bp-a": 2, "debr-a": 2}
SERVICES = ("booking-app", "portal-app")
ROUNDS = 8
LAST_ROUND_S = 95.0
# StabilityWindowMs and ConfigApplyMs.
STABILITY_S = 3.0
CONFIG_APPLY_S = 2.0
CALM_S = STABILITY_S + 2.0
CHANGE_AFTER_S = 0.02
WATCHED_S = 3.0
INTERVAL_S = 0.05
FOLLOWED = re.compile(r"event=hub_attached .*?hub=(\S+)")


def find_followed(entries):
    """Return the entry that all follow by their logs, None while they differ."""
    names = set()
    for entry in entries:
        found = FOLLOWED.findall(entry.log.read_text())
        names.add(found[-1] if found else "")
    if len(names) != 1:
        return None
    return next((item for item in entries if item.name in names), None)


async def main(record):
    began_at = time.monotonic()
    ran = {}

    def make_server(service):
        async def serve(conn, req):
            ran[req.headers["attempt-id"]] = service
            await asyncio.sleep(0.02)
            await conn.answer(req, body=b"x" * 800)

        return serve

    async def look(entry, confirmed_at, sent):
        attempt, at = make_id(), time.monotonic()
        try:
            answer = await call(
                entry.callers, "GET", "/lookup/1", make_headers(attempt, 2000)
            )
            status = answer.status
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            status = repr(exc)
        sent.append((at - confirmed_at, entry.name, attempt, status))

    async with Rig(REGIONS) as rig:

        def configure(version, service):
            rig.configure(
                [make_route("lookup", "/lookup/", "idempotent", service)],
                [
                    {"Name": name, "HealthPath": "/healthz", "MaxConnections": 100}
                    for name in SERVICES
                ],
                version=version,
            )

        version, service = 3, SERVICES[0]
        configure(version, service)
        for name in SERVICES:
            await rig.add_runner(f"i-{name}", name, make_server(name))
        entries = [
            await rig.add_entry(f"edge-{zone}-{number}", zone)
            for zone, count in ENTRIES.items()
            for number in range(1, count + 1)
        ]
        broken = 0
        for number in range(1, ROUNDS + 1):
            await asyncio.gather(*(entry.wait_ready() for entry in entries))
            await asyncio.sleep(CALM_S + random.random())
            hub = find_followed(entries)
            while hub is None and time.monotonic() < began_at + LAST_ROUND_S:
                await asyncio.sleep(0.2)
                hub = find_followed(entries)
            if time.monotonic() >= began_at + LAST_ROUND_S:
                break
            zone = hub.settings["data_centre"]
            lost = [item for item in entries if item.settings["data_centre"] == zone]
            others = [item for item in entries if item not in lost]
            if is_troubled():
                for entry in lost:
                    entry.send_signal(signal.SIGSTOP)
                record.add(f"round {number}: {zone}, with {hub.name}, loses its power")
            await asyncio.sleep(CHANGE_AFTER_S)
            old, version = service, version + 2
            service = SERVICES[(SERVICES.index(service) + 1) % len(SERVICES)]
            configure(version, service)
            confirmed_at = time.monotonic()
            record.add(f"version {version} is confirmed: /lookup/ moves to {service}")
            sent = []
            tasks = []
            while time.monotonic() < confirmed_at + WATCHED_S:
                tasks += [
                    asyncio.create_task(look(entry, confirmed_at, sent))
                    for entry in others
                ]
                await asyncio.sleep(INTERVAL_S)
            await asyncio.gather(*tasks)
            for after, name, attempt, status in sorted(sent):
                if ran.get(attempt) != old:
                    continue
                is_late = after > CONFIG_APPLY_S
                broken += is_late
                record.add(
                    f"{name}: sent {after:.3f} s after it: {status}, run by {old}"
                    + (", too late for it" if is_late else "")
                )
            if is_troubled():
                for entry in lost:
                    await entry.stop()
                    entry.settings["bootstrap"] = False
                    await entry.start()
                record.add(f"{zone} is back")
        record.add(
            f"{broken} requests run by the old service later than {CONFIG_APPLY_S} s"
        )
        return BROKEN if broken else HELD


run_case(main, FOLDER)
