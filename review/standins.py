"""Stand-ins for the review's scripts: store, runners, clients, and the real programs.

Only the standard library is used. All addresses are on the loopback network, with
ports that are free when a script starts. Times in the record are seconds since then.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# The bounds of the two small installations (SYSTEM.md).
BOUNDS = {
    "SeedLagS": 3,
    "AddressReuseS": 2,
    "StabilityWindowMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "PartitionMaxMs": 5000,
    "FailClosed": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetryBudgetExtra": 102,
    "RecoveryS": 12,
    "IterationMs": 120,
    "RetryAfterS": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
ZONES = {"ktm-a": "kathmandu"}
_taken_ports = set()


def get_free_port():
    """Return a port that no process listens on, each one once."""
    while True:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = sock.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


class Record:
    """Log of a script: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def write(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        print(line, file=self._file, flush=True)


async def read_head(reader):
    """Return the first line and the headers of a message, names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body that the headers announce by length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's metadata store (PROTOCOL.md); all its answers are sound."""

    def __init__(self):
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None
        self.revision = 1
        self.address = ""

    def put(self, kind, name, spec):
        """Write an object; the return is the store's confirmation."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["Spec"] == spec:
            return known
        self.revision += 1
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": self.revision
                if known is None
                else known["Metadata"]["Created"],
                "Finalizers": [],
                "DeletionPending": False,
            },
            "Spec": spec,
            "Status": {},
        }
        self._objects[kind][name] = item
        self._add_event(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._add_event(kind, item, True)
        return item

    def _add_event(self, kind, item, is_deleted):
        self._events.append(
            (self.revision, kind, {"Object": item, "Deleted": is_deleted})
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self):
        self.address = await self.add_address({})

    async def add_address(self, paths):
        """Listen on another address, and return it.

        `paths` maps names of entries to the address at which callers of this address
        reach them, such as that of a proxy.
        """

        async def serve(reader, writer):
            await self._serve(reader, writer, paths)

        server = await asyncio.start_server(serve, HOST, get_free_port())
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer, paths):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                status, value = await self._handle(method, target, body)
                data = json.dumps(_replace_addresses(value, paths)).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&") if part)
        parts = path.removeprefix("/v1/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        objects = self._objects.get(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, int(query["Watch"]), int(query["WaitMs"]))
        if method == "GET":
            names = sorted(item for item in objects if item > query.get("After", ""))
            entries = [objects[item] for item in names[:500]]
            more = len(names) > 500
            return 200, {"Entries": entries, "HasMore": more, "At": self.revision}
        spec = json.loads(body)["Spec"] if body else None
        if method == "POST":
            name = json.loads(body)["Metadata"]["Name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, spec)
        if name not in objects:
            return 404, {}
        if method == "PUT":
            return 200, self.put(kind, name, spec)
        return 200, self.delete(kind, name)

    async def _watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [
                event
                for revision, event_kind, event in self._events
                if revision > after and event_kind == kind
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "At": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


def _replace_addresses(value, paths):
    """Return an answer of the store with the addresses of the entries in `paths`."""
    if not paths:
        return value
    value = json.loads(json.dumps(value))
    objects = value.get("Entries", []) + [
        item["Object"] for item in value.get("events", [])
    ]
    for item in [*objects, value]:
        name = item.get("Metadata", {}).get("Name")
        if name in paths:
            item["Spec"]["Address"] = paths[name]
    return value


class SilentProxy:
    """A path between two machines, whose open channels can go silent for good.

    New channels work.
    """

    def __init__(self, target):
        self._target = target
        self._open = []
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, get_free_port())
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def silence(self):
        """Pass on nothing more on the channels that are open; do not close them."""
        for channel in self._open:
            channel["silent"] = True
        return len(self._open)

    async def _serve(self, reader, writer):
        host, port = self._target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        channel = {"silent": False}
        self._open.append(channel)

        async def forward(source, sink):
            try:
                while data := await source.read(65536):
                    if not channel["silent"]:
                        sink.write(data)
                        await sink.drain()
            except ConnectionError:
                pass
            if not channel["silent"]:
                sink.close()

        await asyncio.gather(forward(reader, far_writer), forward(far_reader, writer))


class Request:
    """A request as a runner received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("attempt-id", "")


class Runner:
    """A server of one service; `handle(runner, req, writer)` answers a request.

    The default answer is a success with the runner's receipt, after `work_s` seconds.
    """

    def __init__(self, store, record, name, service, handle=None, work_s=0.02):
        self._store = store
        self._record = record
        self._handle = handle or answer
        self.name = name
        self.service = service
        self.work_s = work_s
        self.ran = []
        self.server = None
        self.address = ""

    async def start(self, slots=16):
        self.server = await asyncio.start_server(self._serve, HOST, get_free_port())
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        self._store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": "ktm-a",
                "Version": "1.0",
                "Slots": slots,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": 1,
                "born": int(time.time() * 1000),
            },
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                req = Request(method, target, headers, body)
                if headers.get("expect-instance", self.name) != self.name:
                    await respond(writer, req, 421, b"", "Not-Executed: 1\r\n")
                    continue
                self.ran.append(req)
                self._record.write(
                    f"run runner={self.name} service={self.service} id={req.id}",
                    f"{method} {target}",
                    f"tenant={headers.get('tenant', '-')}",
                )
                await self._handle(self, req, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def respond(writer, req, status, body, extra=""):
    """Send a complete answer with a length."""
    writer.write(
        f"HTTP/1.1 {status} X\r\nAttempt-Id: {req.id}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    await writer.drain()


async def answer(runner, req, writer):
    """The answer of a sound runner."""
    await asyncio.sleep(runner.work_s)
    seal = f"Response-Seal: {runner.name}.{req.id}\r\n"
    await respond(writer, req, 200, f"done by {runner.name}".encode(), seal)


class Answer:
    """What a client got: a status, or 0 where the channel ended without one.

    `complete` is False where the channel ended within the answer.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    def __str__(self):
        if not self.status:
            return "channel closed without an answer"
        whole = "" if self.complete else " and cut off within the body"
        return f"status {self.status}{whole}"


class Client:
    """A consumer with one channel, which it keeps open."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None

    async def call(self, method, target, headers, body=b"", wait_s=30.0):
        if self._writer is None:
            host, port = self._address.split(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
        self._writer.write(
            f"{method} {target} HTTP/1.1\r\n{lines}{length}\r\n".encode() + body
        )
        try:
            return await asyncio.wait_for(self._read(), wait_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return Answer(0, {}, b"", False)
        except TimeoutError:
            self.close()
            raise

    async def _read(self):
        first, headers = await read_head(self._reader)
        status = int(first.split(" ")[1])
        try:
            body = await read_body(self._reader, headers)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.close()
            return Answer(status, headers, b"", False)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, headers, body, True)

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def render(template, fields):
    """Fill in a template as DEPLOY.md says; only plain placeholders are needed."""

    def replace(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
        return json.dumps(value) if match[2] else ("" if value is None else str(value))

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


class Entry:
    """The program of the role `entry`, as a process of its own."""

    def __init__(self, store, name, folder, bootstrap=True, store_address=None):
        self.name = name
        ports = [get_free_port() for _ in range(4)]
        self.peers_address = f"{HOST}:{ports[2]}"
        self.address = f"{HOST}:{ports[0]}"
        self.ready_address = f"{HOST}:{ports[1]}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]
        template = (ROOT / self._role["template"]).read_text()
        # Several entries share one loopback address, so that their ports differ.
        template = template.replace("{{Ip}}:9100", f"{HOST}:{ports[3]}")
        text = render(
            template,
            {
                "NodeName": name,
                "Zone": "ktm-a",
                "Zones": ZONES,
                "Ip": HOST,
                "InternalPortRange": [ports[2], ports[2] + 15],
                "Bootstrap": bootstrap,
                "Listen": {"Frontend": self.address, "Ready": self.ready_address},
                "Limits": {"CpuShare": 0.537, "MemoryMb": 300},
                "Platform": {
                    "Address": store_address or store.address,
                    "ValueBytes": 1048576,
                },
                "Bounds": BOUNDS,
            },
        )
        self._settings = Path(folder) / f"{name}.yaml"
        self._settings.write_text(text)
        self._log = (Path(folder) / f"{name}.log").open("ab")
        self.process = None

    async def start(self):
        words = self._role["run"].replace(
            "/etc/marigoldfield/boot.toml", str(self._settings)
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= self._role.get("env", {})
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["MARIGOLDFIELD_BOOT"] = str(self._settings)
        self.process = await asyncio.create_subprocess_exec(
            *words.split(), cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    async def is_ready(self):
        try:
            found = await Client(self.ready_address).call(
                "GET", "/v1/readyz", {"Host": "x"}, wait_s=1
            )
        except (OSError, TimeoutError):
            return False
        return found.status == 200

    async def wait_ready(self, seconds=20.0):
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def get_memory_mb(self):
        """Return the resident memory of the process in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024

    async def end(self):
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()


def make_route(name, prefix, kind, service, **fields):
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 6000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1 if kind == "non_idempotent" else 2,
        "Public": False,
    } | fields


def make_configuration(version, routes, services, tenants):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "MaxConnections": 100, "HealthPath": "/healthz"}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 30000,
        },
        "Tenants": tenants,
    }


class Deployment:
    """A store, runners and entries, all ended with the script."""

    def __init__(self, folder, has_trouble):
        self.record = Record(folder)
        self.has_trouble = has_trouble
        self.folder = Path(tempfile.mkdtemp(prefix="marigold-review-"))
        self.store = Store()
        self.entries = []

    def add_runner(self, name, service, **options):
        return Runner(self.store, self.record, name, service, **options)

    async def add_entry(self, name, **options):
        entry = self.make_entry(name, **options)
        await entry.start()
        return entry

    def make_entry(self, name, **options):
        entry = Entry(self.store, name, self.folder, **options)
        self.entries.append(entry)
        return entry

    async def close(self):
        for entry in self.entries:
            await entry.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case):
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 otherwise."""

    async def main():
        deployment = Deployment(folder, os.environ.get("TROUBLE", "1") != "0")
        try:
            await deployment.store.start()
            async with asyncio.timeout(110):
                problem = await case(deployment)
        except Exception as exc:
            deployment.record.write(f"could not run: {exc!r}")
            return EXIT_NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(
                    deployment.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
                )
            await deployment.close()
        deployment.record.write(f"BROKEN: {problem}" if problem else "the rule held")
        return EXIT_BROKEN if problem else EXIT_HELD

    status = asyncio.run(main())
    # Channels that are still open would be reported when they are collected.
    sys.stdout.flush()
    os._exit(status)
