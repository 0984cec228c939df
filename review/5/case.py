"""A server that sends without end after its answer makes the entry exceed its memory.

A server of one service answers a lookup, and soon after sends heads of interim answers,
which belong to no request, until the entry closes the channel. Meanwhile consumers with
kept channels send payments to a sound server of another service. The stand-in of the
platform kills the entry where it exceeds `MemoryMb`, as DEPLOY.md says.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Client, answer, make_configuration, make_route, respond, run

MEMORY_MB = 300
MEMORY_CHECK_S = 0.02
CONSUMERS = 24
PAYMENT_S = 0.1
PAUSE_S = 0.15
# The consumers begin one after the other.
STAGGER_S = 0.04
# Seconds from the answer to the first byte that belongs to no request.
LATE_S = 0.1
# Seconds in which payments are sent after the lookup.
LENGTH_S = 12.0
# Requests that the rule lets a machine lose in a day.
LOST_ALLOWED = 3
KEY = "key-of-coop"
ENDLESS = b"HTTP/1.1 102 Processing\r\n\r\n" * 2000


async def case(d):
    record = d.record
    loop = asyncio.get_running_loop()

    async def answer_without_end(runner, req, writer):
        seal = f"Response-Seal: {runner.name}.{req.id}\r\n"
        await respond(writer, req, 200, b"found", seal)
        if not d.has_trouble or not req.target.startswith("/read/endless"):
            return
        await asyncio.sleep(LATE_S)
        sent, began = 0, loop.time()
        record.write(f"server {runner.name} goes on to send")
        try:
            while True:
                writer.write(ENDLESS)
                await writer.drain()
                sent += len(ENDLESS)
        finally:
            seconds = loop.time() - began
            record.write(f"channel closed, after {sent} more bytes and {seconds:.1f} s")

    routes = [
        make_route("read", "/read/", "idempotent", "notices"),
        make_route("pay", "/pay/", "non_idempotent", "ledger"),
    ]
    tenants = [{"Name": "coop", "ApiKeys": [KEY]}]
    config = make_configuration(1, routes, ["notices", "ledger"], tenants)
    d.store.put("config", "main", config)
    await d.add_runner("i-1", "notices", handle=answer_without_end).start()
    ledger = d.add_runner("i-2", "ledger", handle=answer, work_s=PAYMENT_S)
    await ledger.start(slots=24)
    entry = await d.add_entry("edge-ktm-a-1")
    await entry.wait_ready()
    results = {}

    async def call(client, method, path, id):
        headers = {
            "Host": "a.example",
            "Attempt-Id": id,
            "Deadline-Ms": "1571",
            "X-Api-Key": KEY,
        }
        body = b"x" * 600 if method == "POST" else b""
        found = results[id] = await client.call(method, path, headers, body)
        if found.status != 200:
            record.write(f"answered id={id} {path} {found}")
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
            path = f"/pay/{number}/{count}"
            try:
                await call(client, "POST", path, f"p{number}-{count}")
            except OSError:
                return
            await asyncio.sleep(PAUSE_S)

    checking = asyncio.create_task(check_memory())
    paying = [asyncio.create_task(pay(number)) for number in range(CONSUMERS)]
    await asyncio.sleep(1.5)
    reader = Client(entry.address)
    for path in ("/read/1", "/read/endless"):
        if (await call(reader, "GET", path, f"r{path[6:]}")).status != 200:
            raise RuntimeError("a sound request is not served")
    await asyncio.gather(*paying)
    killed = entry.process.returncode is not None
    checking.cancel()
    ran = {req.id for req in ledger.ran}
    lost = [id for id, found in results.items() if not found.status and id in ran]
    record.write(f"{len(results)} requests, {len(ran)} payments ran, {len(lost)} lost")
    if len(lost) > LOST_ALLOWED:
        return (
            f"{len(lost)} payments from kept channels were passed on to a sound server"
            f" and their channels closed without an answer; killed={killed}"
        )
    return ""


run(Path(__file__).parent, case)
