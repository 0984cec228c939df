"""Rig of the cases 11 to 15: entries as processes, with stand-ins around them.

Everything listens on loopback addresses. The store and the runners are the project's
own stand-ins; callers are raw connections, so that a case sees every byte.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(DEPS), str(ROOT / "platform" / "tests")]

from platform_store import PlatformStore  # noqa: E402
from scripted_runner import ScriptedRunner  # noqa: E402

KEY = "k-mason"
HOST = "a.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_taken_ports: set[int] = set()
READY_S = 20.0


def is_troubled() -> bool:
    """Return whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def get_free_port() -> int:
    """Return a loopback port that nothing listens on, each one once."""
    while True:
        port = random.randrange(12000, 20000)
        if port in _taken_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


def make_route(name: str, prefix: str, kind: str, service: str, **changes):
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 6000,
        "TargetLatencyMs": 406,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    } | changes


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        seconds = time.monotonic() - self._began_at
        self._file.write(f"{seconds:8.3f} s  {text}\n")
        self._file.flush()


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, rig: Rig, name: str, zone: str, **changes) -> None:
        self._rig = rig
        self.name = name
        self.callers, self.readiness, self.metrics, self.peers = (
            get_free_port() for _ in range(4)
        )
        self.settings = {
            "process": name,
            "data_centre": zone,
            "regions": rig.regions,
            "callers": f"127.0.0.1:{self.callers}",
            "readiness": f"127.0.0.1:{self.readiness}",
            "metrics": f"127.0.0.1:{self.metrics}",
            "companion_port": 0,
            "peers": f"127.0.0.1:{self.peers}",
            "capacity": 0.537,
            "memory_mb": 300,
            "bootstrap": True,
            "platform": {
                "adapter": "marigold.platform",
                "store": rig.store.address,
                "value_bytes": 1048576,
            },
            "bounds": {
                "refuse_stale_keys": True,
                "revocation_ms": 5000,
                "configuration_ms": 2000,
                "grace_s": 8,
                "stability_ms": 3000,
                "version_ms": 8000,
                "retry_ratio": 0.2,
                "retry_window_s": 10,
                "retry_extra": 102,
                "evacuation_ms": 0.0,
            },
        } | changes
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        path = self._rig.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings))
        self.log = self._rig.folder / f"{self.name}.log"
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {
            "PYTHONPATH": str(DEPS),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "marigold.entry", "relay", str(path)),
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=output,
            )

    async def wait_ready(self) -> None:
        """Wait until the entry says that it is ready."""
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    answer = await call(self.readiness, "GET", "/v1/readyz", [])
                    if answer.status == 200:
                        return
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.05)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process at once."""
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Rig:
    """The store, runners and entries of a case, in a temporary folder."""

    def __init__(self, regions: dict[str, str] | None = None) -> None:
        self.regions = regions or {"gyor-a": "hu-west"}
        self.store = PlatformStore()
        self.entries: list[Entry] = []
        self.runners: list[ScriptedRunner] = []
        self.folder = Path()

    async def __aenter__(self) -> Rig:
        # Connections of stand-ins end within requests when a case is over.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        self.folder = Path(tempfile.mkdtemp())
        await self.store.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for entry in self.entries:
            await entry.stop()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes, services, version=1, limits=None, tenants=None) -> None:
        """Write a configuration."""
        limits = limits or {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 30000,
        }
        if tenants is None:
            tenants = [{"Name": "masons", "ApiKeys": [KEY]}]
        spec = {
            "Version": version,
            "Routes": routes,
            "Services": services,
            "Limits": limits,
            "Tenants": tenants,
        }
        self.store.put("config", "main", spec)

    async def add_runner(self, name, service, script, zone="gyor-a", **changes):
        """Start a runner and list it."""
        runner = ScriptedRunner()
        runner.script(script)
        address = await runner.start()
        self.runners.append(runner)
        record = {
            "Service": service,
            "Address": address,
            "Zone": zone,
            "Version": 1,
            "Slots": 16,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", name, record | changes)
        return runner

    async def add_entry(self, name="edge-1", zone="gyor-a", **changes) -> Entry:
        """Start an entry and wait until it is ready."""
        entry = Entry(self, name, zone, **changes)
        self.entries.append(entry)
        await entry.start()
        return entry


class Answer:
    """An answer as a caller got it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raise `IncompleteReadError` if it is not whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(first.split()[1]), headers, body)


def make_head(method: str, target: str, headers: list[str]) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {target} HTTP/1.1", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def make_id() -> str:
    """Return an `Attempt-Id`."""
    return f"{random.getrandbits(64):016x}"


def make_headers(attempt: str, deadline_ms: int, *more: str) -> list[str]:
    """Return the headers of a caller's request."""
    return [
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        *more,
    ]


async def call(port, method, target, headers, body=b"", timeout=10.0) -> Answer:
    """Send a request on a new connection and return the answer."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            if not any(item.lower().startswith("host:") for item in headers):
                headers = [f"Host: {HOST}", *headers]
            if body:
                headers = [*headers, f"Content-Length: {len(body)}"]
            writer.write(make_head(method, target, headers) + body)
            return await read_answer(reader)
        finally:
            writer.close()


def get_memory(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class MemoryLimit:
    """Kills an entry that exceeds its memory, as the platform does.

    `peak` is the most memory that was seen, in MiB, `killed_at` when it was killed.
    """

    POLL_S = 0.02

    def __init__(self, entry: Entry, limit: float, record: Record) -> None:
        self._entry = entry
        self._limit = limit
        self._record = record
        self.peak = 0.0
        self.killed_at: float | None = None

    async def run(self) -> None:
        """Watch the process until it has ended."""
        while self._entry.is_running():
            memory = get_memory(self._entry.process.pid)
            self.peak = max(self.peak, memory)
            if memory > self._limit:
                self._record.add(
                    f"{self._entry.name} has {memory:.0f} MiB, over {self._limit}"
                )
                self.killed_at = time.monotonic()
                self._entry.process.kill()
                await self._entry.process.wait()
                self._record.add(f"{self._entry.name} is killed for its memory")
                return
            await asyncio.sleep(self.POLL_S)


class KeptCaller:
    """A caller that keeps its channel and sends one request after another on it.

    `lost` holds the ids of requests that a sound runner got and whose channel closed
    without an answer, after an earlier answer on the same channel.
    """

    def __init__(
        self, port: int, method: str, path: str, deadline_ms: int, body: bytes
    ) -> None:
        self._port = port
        self._method = method
        self._path = path
        self._deadline_ms = deadline_ms
        self._body = body
        self.statuses: dict[int, int] = {}
        self.cut: list[str] = []

    async def run(self) -> None:
        """Send requests until the entry is gone or the task is cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError:
                return
            try:
                await self._use(reader, writer)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            finally:
                writer.close()

    async def _use(self, reader, writer) -> None:
        count = 0
        while True:
            attempt = make_id()
            headers = make_headers(
                attempt, self._deadline_ms, f"Content-Length: {len(self._body)}"
            )
            writer.write(make_head(self._method, self._path, headers) + self._body)
            try:
                async with asyncio.timeout(self._deadline_ms / 1000):
                    answer = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                if count:
                    self.cut.append(attempt)
                raise
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            count += 1
            if answer.status != 200:
                await asyncio.sleep(float(answer.headers.get("retry-after", 0.2)))
            if answer.headers.get("connection", "").lower() == "close":
                return


def run_case(main, folder: Path) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)
    try:
        result = asyncio.run(main(record))
    except Exception as exc:  # noqa: BLE001
        record.add(f"the case could not run: {exc!r}")
        result = NOT_RUN
    record.add(
        {HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "no result")
    )
    sys.exit(result)
