"""A config that takes away the last keys lets every request in, with any key or none.

One entry and one tenant. Version 2 of the config takes the tenant away, as it took away
others before. Requests with the tenant's key, with a key that no config ever held, and
without a key are sent once `RevokeMs` has passed since the confirmation.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Client, make_configuration, make_route, run

REVOKE_S = 5.0
KEY = "key-of-coop"
UNKNOWN_KEY = "key-of-nobody"
ROUTES = [make_route("pay", "/pay/", "non_idempotent", "ledger")]


async def case(d):
    record = d.record
    numbers = iter(range(1, 1000))
    runner = d.add_runner("i-1", "ledger")
    await runner.start()

    def confirm(version, tenants):
        config = make_configuration(version, ROUTES, ["ledger"], tenants)
        d.store.put("config", "main", config)
        record.write(f"confirmed config version={version} Tenants={tenants}")

    async def call(key):
        """Send a request, and return whether it ran, and its status."""
        id = f"p{next(numbers)}"
        headers = {"Host": "a.example", "Attempt-Id": id, "Deadline-Ms": "1571"}
        if key:
            headers["X-Api-Key"] = key
        client = Client(entry.address)
        record.write(f"sent id={id} key={key or '-'}")
        found = await client.call("POST", f"/pay/{id}", headers, b"x" * 600)
        client.close()
        record.write(f"answered id={id} {found}")
        return any(req.id == id for req in runner.ran), found.status

    confirm(1, [{"Name": "coop", "ApiKeys": [KEY]}])
    entry = await d.add_entry("edge-ktm-a-1")
    await entry.wait_ready()
    checks = [await call(key) for key in (KEY, UNKNOWN_KEY, "")]
    if checks != [(True, 200), (False, 401), (False, 401)]:
        raise RuntimeError("keys are not checked under version 1")
    # Without trouble, the tenant loses its keys but stays in the list.
    confirm(2, [] if d.has_trouble else [{"Name": "coop", "ApiKeys": []}])
    await asyncio.sleep(REVOKE_S + 1.0)
    wrong = []
    for name, key in (("taken away", KEY), ("unknown", UNKNOWN_KEY), ("no", "")):
        ran, status = await call(key)
        if ran:
            wrong.append(f"{name} ({status})")
    return f"requests ran, by their key: {', '.join(wrong)}" if wrong else ""


run(Path(__file__).parent, case)
