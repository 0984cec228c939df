"""Many consumers at once, with bodies of the largest size, exceed the entry's memory.

Consumers with kept channels send payments to one entry, and others send payments with
bodies of `MaxBodyBytes`. In a burst there are 2.5 times as many of these. The stand-in
of the platform kills the entry where it exceeds `MemoryMb`, as DEPLOY.md says.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Client, answer, make_configuration, make_route, run

MEMORY_MB = 300
MEMORY_CHECK_S = 0.01
BODY = b"x" * 4194304
CONSUMERS = 24
BURST = 2.5
# Consumers with small bodies, which begin one after the other, and the pause between
# their payments.
SMALL_BODY = b"x" * 600
SMALL_CONSUMERS = 40
STAGGER_S = 0.015
PAUSE_S = 0.05
# Seconds in which they send payments.
LENGTH_S = 8.0
PAYMENT_S = 0.11
# Requests that the rule lets a machine lose in a day.
LOST_ALLOWED = 3
KEY = "key-of-coop"


async def case(d):
    record = d.record
    loop = asyncio.get_running_loop()
    routes = [make_route("pay", "/pay/", "non_idempotent", "ledger")]
    tenants = [{"Name": "coop", "ApiKeys": [KEY]}]
    d.store.put("config", "main", make_configuration(1, routes, ["ledger"], tenants))
    runners = [
        d.add_runner(f"i-{number}", "ledger", handle=answer, work_s=PAYMENT_S)
        for number in range(1, 4)
    ]
    for runner in runners:
        await runner.start(slots=16)
    entry = await d.add_entry("edge-ktm-a-1")
    await entry.wait_ready()
    results = {}

    async def call(client, id, body):
        headers = {
            "Host": "a.example",
            "Attempt-Id": id,
            "Deadline-Ms": "6000",
            "X-Api-Key": KEY,
        }
        found = results[id] = await client.call("POST", f"/pay/{id}", headers, body)
        if found.status != 200:
            record.write(f"answered id={id} {len(body)} bytes: {found}")
        return found

    async def check_memory():
        """Kill the entry where it exceeds its memory, as the platform does."""
        most = 0.0
        while entry.process.returncode is None:
            used = entry.get_memory_mb()
            if used > most + 25:
                most = used
                record.write(f"{entry.name} uses {used:.0f} MB")
            if used > MEMORY_MB:
                record.write(f"over MemoryMb = {MEMORY_MB}: {entry.name} is killed")
                await entry.end()
                return
            await asyncio.sleep(MEMORY_CHECK_S)

    async def pay(number):
        client = Client(entry.address)
        end = loop.time() + LENGTH_S
        count = 0
        await asyncio.sleep(number * STAGGER_S)
        while loop.time() < end and entry.process.returncode is None:
            count += 1
            try:
                await call(client, f"s{number}-{count}", SMALL_BODY)
            except OSError:
                return
            await asyncio.sleep(PAUSE_S)

    count = int(CONSUMERS * (BURST if d.has_trouble else 1))
    clients = [Client(entry.address) for _ in range(count)]
    for number, client in enumerate(clients):
        if (await call(client, f"w{number}", SMALL_BODY)).status != 200:
            raise RuntimeError("a sound request is not served")
    checking = asyncio.create_task(check_memory())
    paying = [asyncio.create_task(pay(number)) for number in range(SMALL_CONSUMERS)]
    await asyncio.sleep(1.5)
    record.write(f"{count} consumers at once send {len(BODY)} bytes each")
    await asyncio.gather(
        *(call(client, f"p{number}", BODY) for number, client in enumerate(clients)),
        *paying,
    )
    killed = entry.process.returncode is not None
    checking.cancel()
    ran = {req.id for runner in runners for req in runner.ran}
    lost = [id for id, found in results.items() if not found.status]
    lost_ran = [id for id in lost if id in ran]
    record.write(f"{len(lost)} without an answer, {len(lost_ran)} of them ran")
    if killed and len(lost_ran) > LOST_ALLOWED:
        return f"{len(lost_ran)} payments ran and were never answered, killed={killed}"
    return ""


run(Path(__file__).parent, case)
