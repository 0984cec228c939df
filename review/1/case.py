"""A companion that was paused orders a load by a check that is out of date.

One entry, and one companion beside a model runner. Version 2 of the weights is named.
The companion fetches and stages its pieces, reads all of them once more, and then
orders the runner to load. While it reads, it stands still for 4 s, and meanwhile some
pieces turn bad, also ones that it has read.
"""

import asyncio
import hashlib
import json
import signal
import sys
import time
import tomllib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BOUNDS,
    HOST,
    ROOT,
    ZONES,
    Client,
    Entry,
    get_free_port,
    make_configuration,
    make_route,
    read_body,
    read_head,
    render,
    run,
)

# The address of the machine of the runner and its companion.
SIDE = "127.0.0.2"
MODEL = "m"
CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16
ORIGIN_PIECE_S = 0.027
# Seconds that the runner takes for a call to its staged pieces.
STAGE_CALL_S = 0.005
# The freeze begins this long after the last reading of all pieces, which takes half a
# second or more.
FREEZE_AFTER_S = 0.2
FREEZE_S = 4.0
LOAD_S = 0.3
# One piece in 16 turns bad, this long after the freeze has begun.
ROT_STEP = 16
ROT_AFTER_S = 0.3
# A piece that turned bad later than this before it was taken is excused.
EXCUSED_S = 3.0
SETTLED_S = 8.0
LOAD_TIMEOUT_S = 60.0
KEY = "key-of-coop"
JSON = "Content-Type: application/json\r\n"


def make_piece(version, index):
    return hashlib.shake_128(f"{version}/{index}".encode()).digest(CHUNK_BYTES)


class Server:
    """A server whose `handle` returns a status, header lines and a body."""

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, get_free_port())
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                _, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&"))
                status, lines, data = await self.handle(path, query, headers, body)
                head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(data)}\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Origin(Server):
    """The origin of weights; all that it sends is sound."""

    async def handle(self, path, query, headers, body):
        version = int(query.get("Version", "2"))
        if path.startswith("/v1/manifest/"):
            pieces = (make_piece(version, index) for index in range(CHUNKS))
            manifest = {
                "Model": MODEL,
                "Version": version,
                "ChunkBytes": CHUNK_BYTES,
                "layers": LAYERS,
                "Digests": [hashlib.sha256(piece).hexdigest() for piece in pieces],
            }
            return 200, JSON, json.dumps(manifest).encode()
        await asyncio.sleep(ORIGIN_PIECE_S)
        return 200, "", make_piece(version, int(query["SampleCount"]))


class ModelRunner(Server):
    """A model runner that holds version 1, which is also staged."""

    def __init__(self, d):
        self._d = d
        self._is_busy = False
        self._sequence = 0
        self._staged = {index: make_piece(1, index) for index in range(CHUNKS)}
        self._wanted = {index: make_piece(2, index) for index in range(CHUNKS)}
        self._spoilt_at = {}
        self._is_last_reading = False
        self._born = int(time.time() * 1000)
        self.on_last_reading = lambda: None
        self.version = 1
        # Pieces that the loaded version was loaded with though they were bad for long.
        self.bad_pieces = []
        self.runs = []

    def _describe(self):
        return {
            "Stage": "dual",
            "Models": [{"Name": MODEL, "Version": self.version, "Adapters": []}],
            "layers": {"From": 0, "Target": LAYERS, "Version": self.version},
            "born": self._born,
        }

    def register(self):
        entry = {
            "Service": "model",
            "Address": self.address,
            "Zone": "ktm-a",
            "Version": "1.0",
            "Slots": 16,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
        }
        self._d.store.put("servers", "i-1", entry | self._describe())

    def rot(self):
        now = time.monotonic()
        for index in range(0, CHUNKS, ROT_STEP):
            self._staged[index] = b"\0" + self._staged[index][1:]
            self._spoilt_at[index] = now
        pieces = ", ".join(map(str, range(0, CHUNKS, ROT_STEP)))
        self._d.record.write(f"staged pieces turn bad: {pieces}")

    async def handle(self, path, query, headers, body):
        if path == "/v1/report":
            return 200, JSON, json.dumps(self._make_report()).encode()
        if path.startswith("/v1/stage-get/"):
            index = int(query["SampleCount"])
            self._watch_reading(index)
            data = self._staged[index]
            await asyncio.sleep(STAGE_CALL_S)
            return 200, "", data
        if path.startswith("/v1/stage-put/"):
            index = int(query["SampleCount"])
            await asyncio.sleep(STAGE_CALL_S)
            self._staged[index] = body
            if self._spoilt_at.pop(index, None):
                self._d.record.write(f"piece {index} is staged again")
            return 200, "", b""
        if path == "/v1/order":
            return self._take_order(json.loads(body))
        return self._generate(headers)

    def _make_report(self):
        return self._describe() | {
            "Busy": self._is_busy,
            "Sequence": self._sequence,
            "Waiting": 0,
            "Running": 0,
            "KvUsedTokens": 0,
            "KvTotalTokens": 1640000,
            "Handles": 0,
        }

    def _watch_reading(self, index):
        """Tell when all of version 2 is staged and begins to be read."""
        if index or self._is_last_reading or self._staged != self._wanted:
            return
        self._is_last_reading = True
        self._d.record.write("version 2 is staged and sound; it is read once more")
        self.on_last_reading()

    def _take_order(self, order):
        if order.get("Precondition", self._sequence) != self._sequence:
            return 409, JSON, b"{}"
        self._sequence += 1
        self._is_busy = True
        now = time.monotonic()
        bad = [
            index
            for index in range(CHUNKS)
            if self._staged[index] != self._wanted[index]
        ]
        ages = {index: now - self._spoilt_at.get(index, now) for index in bad}
        self.bad_pieces = [index for index in bad if ages[index] > EXCUSED_S]
        words = ", ".join(f"{index} for {age:.1f} s" for index, age in ages.items())
        self._d.record.write(f"order {order} accepted; bad pieces: {words or 'none'}")
        asyncio.get_running_loop().call_later(LOAD_S, self._finish_load)
        return 202, JSON, b"{}"

    def _finish_load(self):
        self.version = 2
        self._is_busy = False
        self.register()
        self._d.record.write("version 2 is loaded")

    def _generate(self, headers):
        id = headers.get("attempt-id", "")
        lines = f"Attempt-Id: {id}\r\n"
        if int(headers.get("expect-version", self.version)) != self.version:
            return 421, f"{lines}Not-Executed: 1\r\n", b""
        self.runs.append((id, self.version))
        self._d.record.write(f"run id={id} with version {self.version}")
        lines += (
            f"Response-Seal: i-1.{id}\r\nWeight-Versions: {self.version}\r\n"
            "Content-Type: text/event-stream\r\n"
        )
        events = [b"id: %d\ndata: word\n\n" % number for number in range(1, 4)]
        return 200, lines, b"".join(events)


class Companion(Entry):
    """The program of the role `companion`, as a process of its own."""

    def __init__(self, store, name, folder, runner, port):
        self.name = name
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["companion"]
        fields = {
            "NodeName": name,
            "Zone": "ktm-a",
            "Zones": ZONES,
            "Ip": SIDE,
            "InternalPortRange": [port, port + 15],
            "app": runner,
            "Service": "model",
            "Limits": {"LinkMbps": 3.65},
            "Platform": {"Address": store.address, "ValueBytes": 1048576},
            "Bounds": BOUNDS,
        }
        text = render((ROOT / self._role["template"]).read_text(), fields)
        text = text.replace(f"{SIDE}:9100", f"{SIDE}:{get_free_port()}")
        self._settings = Path(folder) / f"{name}.yaml"
        self._settings.write_text(text)
        self._log = (Path(folder) / f"{name}.log").open("ab")
        self.process = None


def make_services(origin):
    engine = {
        "Slots": 16,
        "Models": [{"Name": MODEL}],
        "Stride": 6,
        "step_ms": 6.73,
        "per_seq_ms": 0.0219,
        "context_per_k": 0.0068,
        "read_per_s": 30600,
        "pairs_per_m": 0.647,
        "chunk": 2048,
        "usual": {"prompt": 900, "answer": 120},
        "Chunks": CHUNKS,
        "ChunkBytes": CHUNK_BYTES,
    }
    portal = {"Origin": origin, "Zone": "ktm-a", "LinkMbps": 7.3}
    return [
        {"Name": "model", "MaxConnections": 364, "Engine": engine},
        {"Name": "portal", "MaxConnections": 48, **portal},
    ]


async def case(d):
    record = d.record
    origin = Origin()
    await origin.start(HOST)
    runner = ModelRunner(d)
    await runner.start(SIDE)
    runner.register()
    stream = {"StreamResume": True, "TargetGapMs": 300, "SessionAffinity": True}
    route = make_route("report", "/report/", "streaming", "model", **stream)
    config = make_configuration(1, [route], [], [{"Name": "coop", "ApiKeys": [KEY]}])
    config["Services"] = make_services(origin.address)
    d.store.put("config", "main", config)
    d.store.put("versions", MODEL, {"Model": MODEL, "Version": 1})
    entry = await d.add_entry("edge-ktm-a-1")
    port = int(entry.peers_address.rpartition(":")[2])
    companion = Companion(d.store, "side-ktm-a-1", d.folder, runner.address, port)
    d.entries.append(companion)
    await companion.start()
    loop = asyncio.get_running_loop()

    def freeze():
        companion.send(signal.SIGSTOP)
        record.write(f"{companion.name} freezes")
        loop.call_later(ROT_AFTER_S, runner.rot)
        loop.call_later(FREEZE_S, wake)

    def wake():
        companion.send(signal.SIGCONT)
        record.write(f"{companion.name} wakes")

    if d.has_trouble:
        runner.on_last_reading = lambda: loop.call_later(FREEZE_AFTER_S, freeze)
    await entry.wait_ready()
    await asyncio.sleep(SETTLED_S)

    async def ask(id):
        headers = {
            "Host": "a.example",
            "Attempt-Id": id,
            "Deadline-Ms": "6000",
            "X-Api-Key": KEY,
            "Model": MODEL,
            "Token-Count": "100,20",
            "Prefix-Hash": "5c1e07a2:60,91bd3f06:40",
        }
        record.write(f"sent id={id}")
        client = Client(entry.address)
        found = await client.call("POST", f"/report/{id}", headers, b"x" * 300)
        client.close()
        record.write(f"answered id={id} {found}")

    await ask("r1")
    d.store.put("versions", MODEL, {"Model": MODEL, "Version": 2})
    record.write("version 2 is named, and confirmed")
    end = record.now() + LOAD_TIMEOUT_S
    while runner.version != 2 and record.now() < end:
        await asyncio.sleep(0.1)
    if runner.version != 2:
        raise RuntimeError("version 2 was not loaded")
    await asyncio.sleep(1.5)
    await ask("r2")
    if runner.bad_pieces and ("r2", 2) in runner.runs:
        return (
            f"pieces {runner.bad_pieces} had been bad for over {EXCUSED_S} s when they"
            " were taken, and tokens were made with them"
        )
    return ""


run(Path(__file__).parent, case)
