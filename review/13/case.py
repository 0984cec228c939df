"""A planned stop whose SIGTERM comes twice, half a second apart.

Callers keep their channels. No request is sent later than the first SIGTERM, and each
needs 1.5 s at its runner, far less than GraceS.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig3 import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Rig,
    is_troubled,
    make_head,
    make_headers,
    make_id,
    make_route,
    read_answer,
    run_case,
)

CALLERS = 12
WORK_S = 1.5
DEADLINE_MS = 6000
GRACE_S = 8
# The entry has been calm for StabilityWindowMs when the stop begins.
CALM_S = 4.0
# Seconds from the requests to the first SIGTERM, and to the second one.
SENT_BEFORE_S = 0.3
SECOND_AFTER_S = 0.5


async def main(record):
    arrived = {}
    answered = set()

    async def serve(conn, req):
        attempt = req.headers["attempt-id"]
        arrived[attempt] = req.path
        record.add(f"runner: {attempt} begins")
        await asyncio.sleep(WORK_S if req.path.startswith("/booking/work") else 0.02)
        await conn.answer(req, body=b"x" * 800)

    async def use_channel(number):
        """Send two requests on one channel; return the id of the second if cut."""
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.callers)
        try:
            await send(writer, f"/booking/first/{number}")
            await read_answer(reader)
            await all_begin.wait()
            attempt = await send(writer, f"/booking/work/{number}")
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    answer = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                record.add(f"caller: {attempt}: the channel closes without an answer")
                return attempt
            record.add(f"caller: {attempt}: {answer.status}")
            answered.add(attempt)
            return None
        finally:
            writer.close()

    async def send(writer, path):
        attempt = make_id()
        body = b"b" * 600
        headers = make_headers(attempt, DEADLINE_MS, f"Content-Length: {len(body)}")
        writer.write(make_head("POST", path, headers) + body)
        record.add(f"caller: {attempt} sent: POST {path}")
        return attempt

    async with Rig() as rig:
        rig.configure(
            [
                make_route(
                    "booking",
                    "/booking/",
                    "non_idempotent",
                    "booking-app",
                    MaxAttempts=1,
                )
            ],
            [{"Name": "booking-app", "HealthPath": "/healthz", "MaxConnections": 100}],
        )
        for number in range(3):
            await rig.add_runner(f"i-booking-{number}", "booking-app", serve, Slots=6)
        entry = await rig.add_entry()
        await entry.wait_ready()
        all_begin = asyncio.Event()
        tasks = [asyncio.create_task(use_channel(number)) for number in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        all_begin.set()
        await asyncio.sleep(SENT_BEFORE_S)
        if not entry.is_running():
            return NOT_RUN
        entry.send_signal(signal.SIGTERM)
        record.add("platform: SIGTERM to the entry")
        if is_troubled():
            await asyncio.sleep(SECOND_AFTER_S)
            if entry.is_running():
                entry.send_signal(signal.SIGTERM)
                record.add("platform: SIGTERM to the entry again")
        cut = [item for item in await asyncio.gather(*tasks) if item is not None]
        async with asyncio.timeout(GRACE_S):
            code = await entry.process.wait()
        record.add(f"the entry ended with {code}")
        lost = [item for item in cut if item in arrived]
        record.add(
            f"{len(answered)} requests answered, {len(cut)} cut, "
            f"{len(lost)} of these had been passed on to a runner"
        )
        return BROKEN if lost else HELD


run_case(main, FOLDER)
