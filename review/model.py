"""Model runners, the origin of weights, and a fleet with companions beside them.

The figures are those of alapko-marigold: weights of 96 pieces of 24,576 bytes, links of
7.3 Mbit/s for side machines and for the origin, `version_ms` 8,000, `RecoveryS` 12.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from urllib.parse import parse_qs, urlsplit

import rig
from scripted_runner import ScriptedRunner

MODEL = "m0"
CHUNKS = 96
CHUNK_BYTES = 24_576
LAYERS = 16
SLOTS = 16
LINK_MBPS = 7.3
LOAD_S = 0.3
EVENTS = 6
EVENT_S = 0.03
DEADLINE_MS = 6000
RECOVERY_S = 12.0


def make_chunk(version, index):
    return hashlib.shake_128(f"{version}/{index}".encode()).digest(CHUNK_BYTES)


class HostServer(ScriptedRunner):
    """A scripted server on a loopback address of its own."""

    async def start_on(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        return self.address


class Runner:
    """A model runner that holds version 1, which is also staged, and serves streams."""

    def __init__(self, name, store, record):
        self.name = name
        self._store = store
        self._record = record
        self._server = HostServer()
        self._server.script(self._serve)
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._is_busy = False
        self._running = 0
        self.staged = {index: make_chunk(1, index) for index in range(CHUNKS)}
        self.version = 1
        self.address = ""

    async def start(self, host):
        self.address = await self._server.start_on(host)
        self._register()

    async def stop(self):
        await self._server.crash()

    def _describe(self):
        return {
            "Models": [{"Name": MODEL, "Version": self.version, "Adapters": []}],
            "layers": {"From": 0, "Target": LAYERS, "Version": self.version},
            "born": self._born,
            "Stage": "dual",
        }

    def _register(self):
        self._store.put(
            "servers",
            self.name,
            {
                "Service": "model",
                "Address": self.address,
                "Zone": "gyor-a",
                "Slots": SLOTS,
                "State": "ready",
                "Sequence": self._sequence,
            }
            | self._describe(),
        )

    async def _serve(self, conn, req):
        url = urlsplit(req.path)
        if url.path.startswith("/v1/"):
            name = url.path.split("/")[2]
            index = int(parse_qs(url.query).get("SampleCount", ["-1"])[0])
            status, body = self._handle(name, index, req.body)
            kind = "Content-Type: application/json\r\n"
            await conn.answer(req, status, body, kind)
            return
        versions = f"Weight-Versions: {self.version}\r\n"
        refusal = f"Not-Executed: 1\r\n{versions}"
        wanted = req.headers.get("expect-version")
        if req.headers.get("expect-instance") != self.name or (
            wanted is not None and int(wanted) != self.version
        ):
            await conn.answer(req, "421 Misdirected Request", b"", refusal)
            return
        if self._is_busy:
            await conn.answer(req, "503 Busy", b"", refusal)
            return
        self._record.write(
            f"run {req.headers['attempt-id']} on {self.name}, version {self.version}"
        )
        self._running += 1
        try:
            await conn.start_stream(req, versions)
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                await conn.send_events(number, number)
            await conn.send_chunk(b"")
        finally:
            self._running -= 1

    def _handle(self, name, index, data):
        if name == "report":
            return "200 OK", json.dumps(
                self._describe()
                | {
                    "Busy": self._is_busy,
                    "Sequence": self._sequence,
                    "Waiting": 0,
                    "Running": self._running,
                    "KvUsedTokens": 0,
                    "KvTotalTokens": 1640000,
                    "Handles": 0,
                }
            ).encode()
        if name == "stage-get":
            return "200 OK", self.staged[index]
        if name == "stage-put":
            self.staged[index] = data
            return "200 OK", b""
        return self._accept(json.loads(data))

    def _accept(self, order):
        self._record.write(f"order to {self.name}: {order}")
        if order["Precondition"] != self._sequence or self._is_busy:
            return "409 Conflict", b"{}"
        self._sequence += 1
        self._is_busy = True
        asyncio.get_running_loop().call_later(0.05, self._load, order["Version"])
        return "202 Accepted", b"{}"

    def _load(self, version):
        """Load after what is running."""
        loop = asyncio.get_running_loop()
        if self._running:
            loop.call_later(0.05, self._load, version)
        else:
            loop.call_later(LOAD_S, self._finish, version)

    def _finish(self, version):
        self.version = version
        self._is_busy = False
        self._record.write(f"{self.name} has loaded version {version}")
        self._register()


class Origin:
    """The origin of weights, one piece after another at the rate of its link.

    `newest` is the newest version that was named; a version two back is gone. While
    `trickles` is set, bodies of pieces come a byte a second and have no end. As many of
    the next manifests as `spoilt_manifests` have a wrong digit in one digest.
    """

    def __init__(self, record):
        self._record = record
        self._server = HostServer()
        self._server.script(self._serve)
        self._link = asyncio.Lock()
        self.newest = 1
        self.trickles = False
        self.spoilt_manifests = 0
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        self.address = await self._server.start_on(host, port)
        return self.address

    async def stop(self):
        await self._server.crash()

    async def crash(self):
        """End as a process that crashed."""
        self._record.write("origin: crashed")
        await self._server.crash()

    async def restart(self):
        """Start again at the same address."""
        host, port = self.address.split(":")
        self._record.write("origin: started again")
        await self._server.start_on(host, int(port))

    async def _serve(self, conn, req):
        url = urlsplit(req.path)
        query = parse_qs(url.query)
        version = int(query["Version"][0]) if "Version" in query else self.newest
        if not self.newest - 2 < version <= self.newest:
            self._record.write(f"origin: {req.path}: 410")
            await conn.answer(req, "410 Gone", b"{}")
        elif not url.path.startswith("/v1/piece/"):
            self._record.write(f"origin: {req.path}: 200")
            await conn.answer(req, body=self._make_manifest(version))
        elif self.trickles:
            await self._trickle(conn, req.path)
        else:
            self._record.write(f"origin: {req.path}: 200")
            async with self._link:
                await asyncio.sleep(CHUNK_BYTES * 8 / (LINK_MBPS * 1e6))
            index = int(query["SampleCount"][0])
            await conn.answer(req, body=make_chunk(version, index))

    def _make_manifest(self, version):
        digests = [
            hashlib.sha256(make_chunk(version, index)).hexdigest()
            for index in range(CHUNKS)
        ]
        if self.spoilt_manifests > 0:
            self.spoilt_manifests -= 1
            self._record.write("origin: that manifest has a wrong digit")
            digests[0] = ("1" if digests[0][0] == "0" else "0") + digests[0][1:]
        return json.dumps(
            {
                "Model": MODEL,
                "Version": version,
                "ChunkBytes": CHUNK_BYTES,
                "layers": LAYERS,
                "Digests": digests,
            }
        ).encode()

    async def _trickle(self, conn, path):
        self._record.write(f"origin: {path}: a body without end")
        try:
            await conn.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
            while True:
                await conn.send(b"a")
                await asyncio.sleep(1.0)
        except ConnectionError:
            self._record.write(f"origin: {path}: the caller has closed")
            conn.close()


class ModelFleet:
    """One entry, and a model runner with its companion on each of several hosts."""

    def __init__(self, fleet, hosts):
        self._fleet = fleet
        self._hosts = hosts
        self._calls = []
        self.record = fleet.record
        self.origin = Origin(fleet.record)
        self.runners = []
        # When a request was sent, in seconds from the start of traffic, and its status.
        self.outcomes = []

    async def start(self):
        fleet, store = self._fleet, self._fleet.store
        await self.origin.start()
        fleet.runners.append(self.origin)
        engine = {
            "Slots": SLOTS,
            "KvCapacityTokens": 1640000,
            "Stride": 6,
            "Models": [{"Name": MODEL, "WarmupS": LOAD_S}],
            "step_ms": 6.73,
            "per_seq_ms": 0.0219,
            "context_per_k": 0.0068,
            "read_per_s": 30600.0,
            "pairs_per_m": 0.647,
            "chunk": 2048,
            "usual": {"prompt": 900, "answer": 36},
            "layers": LAYERS,
            "Chunks": CHUNKS,
            "ChunkBytes": CHUNK_BYTES,
        }
        services = [
            {"Name": "model", "Engine": engine},
            {
                "Name": "origin",
                "Origin": self.origin.address,
                "Zone": "gyor-a",
                "LinkMbps": LINK_MBPS,
            },
        ]
        routes = [
            rig.make_route(
                "draft",
                "streaming",
                "model",
                StreamResume=True,
                TargetGapMs=300,
                TimeoutMs=DEADLINE_MS,
            )
        ]
        store.put("config", "main", rig.make_configuration(1, routes, services))
        store.put("versions", MODEL, {"Model": MODEL, "Version": 1})
        port = rig.get_free_port()
        for number, host in enumerate(self._hosts):
            runner = Runner(f"i-model{number}", store, self.record)
            await runner.start(host)
            self.runners.append(runner)
            fleet.runners.append(runner)
        self.entry = await fleet.add_entry(companion_port=port)
        for number, host in enumerate(self._hosts):
            await self._start_companion(number, host, port)
        await rig.wait_ready(self.entry)
        await asyncio.sleep(2.0)

    async def _start_companion(self, number, host, port):
        settings = {
            "process": f"side-{number}",
            "data_centre": "gyor-a",
            "regions": {"gyor-a": "hu-west"},
            "peers": f"{host}:{port}",
            "metrics": f"{host}:{rig.get_free_port()}",
            "runner": self.runners[number].address,
            "service": "model",
            "link_mbps": LINK_MBPS,
            "platform": {
                "adapter": "marigold.platform",
                "store": self._fleet.store.address,
                "value_bytes": 1048576,
            },
            "bounds": {"version_ms": 8000, "grace_s": 8},
        }
        companion = rig.Program(
            f"side-{number}",
            ["-m", "marigold.target", "companion"],
            settings,
            self._fleet.folder,
        )
        self._fleet.programs.append(companion)
        await companion.start()
        await companion.wait_for("hub_attached")

    def name_version(self, version):
        self.record.write(f"version {version} is named")
        self.origin.newest = version
        spec = {"Model": MODEL, "Version": version}
        self._fleet.store.put("versions", MODEL, spec)

    async def send_traffic(self, seconds, per_s, events):
        """Send requests, and call each of `events`, pairs of a time and a function."""
        began = time.monotonic()
        pending = sorted(events, key=lambda item: item[0])
        for number in range(int(seconds * per_s)):
            while pending and time.monotonic() - began >= pending[0][0]:
                result = pending.pop(0)[1]()
                if asyncio.iscoroutine(result):
                    await result
            self._calls.append(asyncio.create_task(self._send(f"d{number}", began)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._calls)

    async def _send(self, id, began):
        at = time.monotonic() - began
        self.record.write(f"sent {id}")
        headers = rig.make_headers(
            id, DEADLINE_MS, Model=MODEL, **{"Token-Count": "900,36"}
        )
        answer = await rig.call(
            self.entry.settings["callers"], "POST", "/draft/1", headers, b"x" * 100
        )
        self.record.write(
            f"answered {id} {answer.status} {answer.reason} {answer.body[-60:]!r}"
        )
        self.outcomes.append((at, answer.status))

    def judge(self, before_s, trouble_end_s):
        """Return the outcome of RECOVER, as an exit code."""
        before = [status for at, status in self.outcomes if at < before_s]
        since = trouble_end_s + RECOVERY_S
        after = [status for at, status in self.outcomes if at >= since]
        shares = [
            sum(status == 200 for status in part) / len(part)
            for part in (before, after)
        ]
        versions = [runner.version for runner in self.runners]
        text = (
            f"served before: {shares[0]:.2f} of {len(before)}, later than "
            f"{RECOVERY_S:g} s after the trouble: {shares[1]:.2f} of {len(after)}; "
            f"the runners hold versions {versions}"
        )
        self.record.write(text)
        print(text)
        if shares[0] < 0.25:
            return rig.UNUSABLE
        return rig.HELD if shares[1] >= 0.25 else rig.BROKEN
