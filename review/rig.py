"""Parts of the scripts of review/6 to review/10.

A script starts the programs of the deploy file as processes of their own, beside the
project's stand-ins of the store and of runners, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

from platform_store import PlatformStore
from scripted_runner import ScriptedRunner

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, UNUSABLE = 0, 1, 2
KEY = "k-mason"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
# The rule Fault: a process ends three times in the day, on two machines at least.
ENDS, MACHINES = 3, 2
RESTART_S = 1.0


def get_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """Lines of record.txt: what was sent, answered and run, with seconds."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()
        self.write(f"trouble={int(HAS_TROUBLE)}")

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


class Program:
    """One process of the project; `command` is that of the deploy file."""

    def __init__(self, name, command, settings, folder):
        self.name = name
        self._path = Path(folder) / f"{name}.yaml"
        self.output = Path(folder) / f"{name}.log"
        # JSON is YAML as well.
        self._path.write_text(json.dumps(settings))
        self._command = [sys.executable, *command, str(self._path)]
        self.proc = None

    async def start(self):
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with self.output.open("ab") as stream:
            self.proc = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
                process_group=0,
            )

    async def wait_for(self, text, seconds=20.0):
        async with asyncio.timeout(seconds):
            while text not in self.output.read_text(errors="replace"):
                if self.proc.returncode is not None:
                    raise RuntimeError(f"{self.name} ended with {self.proc.returncode}")
                await asyncio.sleep(0.02)

    @property
    def is_running(self):
        return self.proc is not None and self.proc.returncode is None

    def send(self, number):
        if self.is_running:
            os.kill(self.proc.pid, number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.proc is not None:
            await self.proc.wait()

    def get_memory(self):
        """Return the resident memory in bytes, 0 if the process is gone."""
        try:
            text = Path(f"/proc/{self.proc.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


def make_route(name, kind, service, **changes):
    route = {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    }
    return route | changes


def make_configuration(version, routes, services, keys=(KEY,), body_bytes=4_194_304):
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": body_bytes,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 20000,
        },
        "Tenants": [{"Name": "masons", "ApiKeys": list(keys)}],
    }


def make_entry_settings(name, store, memory_mb=300, companion_port=0):
    """Return what deploy/entry.yaml holds on an edge machine of alapko-marigold."""
    ports = [get_free_port() for _ in range(4)]
    callers, readiness, metrics, peers = (f"127.0.0.1:{port}" for port in ports)
    return {
        "process": name,
        "data_centre": "gyor-a",
        "regions": {"gyor-a": "hu-west"},
        "callers": callers,
        "readiness": readiness,
        "metrics": metrics,
        "companion_port": companion_port,
        "peers": peers,
        "capacity": 0.537,
        "memory_mb": memory_mb,
        "bootstrap": True,
        "platform": {
            "adapter": "marigold.platform",
            "store": store,
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
    }


class Keeper:
    """The platform's part: kill a process over its memory, start it again after 1 s."""

    def __init__(self, record, memory_mb):
        # `MemoryMb` taken as 1,048,576 bytes each, the larger of its two readings.
        self.limit = memory_mb * 1024 * 1024
        self.peaks = {}
        self.ends = {}
        self._record = record

    @property
    def is_broken(self):
        return sum(count >= ENDS for count in self.ends.values()) >= MACHINES

    def write(self):
        text = ", ".join(
            f"{name}: peak {peak} bytes, {self.ends[name]} ends"
            for name, peak in sorted(self.peaks.items())
        )
        self._record.write(f"limit {self.limit}; {text}")
        print(f"limit {self.limit}; {text}")

    async def keep(self, program):
        """Watch a program until it has ended three times, or the task is cancelled."""
        self.peaks[program.name] = self.ends[program.name] = 0
        while self.ends[program.name] < ENDS:
            await self._watch(program)
            self.ends[program.name] += 1
            await asyncio.sleep(RESTART_S)
            await program.start()
            self._record.write(f"{program.name} is started again")

    async def _watch(self, program):
        while program.is_running:
            size = program.get_memory()
            self.peaks[program.name] = max(self.peaks[program.name], size)
            if size > self.limit:
                self._record.write(f"{program.name} has {size} bytes: killed")
                await program.kill()
            await asyncio.sleep(0.01)


class Rig:
    """Store, runners and programs of one case; all are ended with the context."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = PlatformStore()
        self.runners = []
        self.programs = []
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        await self.store.start()
        return self

    async def __aexit__(self, *exc):
        for program in self.programs:
            await program.kill()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        await self._stack.aclose()

    async def add_runner(self, name, script, service, slots):
        runner = ScriptedRunner()
        runner.script(script)
        address = await runner.start()
        self.runners.append(runner)
        self.store.put(
            "servers",
            name,
            {
                "Service": service,
                "Address": address,
                "Zone": "gyor-a",
                "Version": 1,
                "Slots": slots,
                "State": "ready",
                "born": int(time.time() * 1000),
                "Sequence": 0,
            },
        )
        return runner

    async def add_entry(self, name="edge-1", **options):
        settings = make_entry_settings(name, self.store.address, **options)
        entry = Program(name, ["-m", "marigold.entry", "relay"], settings, self.folder)
        entry.settings = settings
        self.programs.append(entry)
        await entry.start()
        return entry


class Answer:
    """What a caller got; `status` is 0 if the channel ended without a whole answer."""

    def __init__(self, status=0, headers=None, body=b"", reason=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.reason = reason


def make_head(method, path, headers):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_headers(id, deadline_ms, **others):
    return {
        "Host": "a.example",
        "Attempt-Id": id,
        "Deadline-Ms": str(deadline_ms),
        "X-Api-Key": KEY,
    } | others


async def read_answer(reader):
    """Read one answer of a length or in chunks; raise at an early end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(status, headers, body)


async def call(address, method, path, headers, body=b"", timeout=10.0):
    """Send one request on a channel of its own and return the answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                make_head(method, path, headers | {"Content-Length": str(len(body))})
                + body
            )
            return await read_answer(reader)
    except (OSError, EOFError, TimeoutError) as exc:
        return Answer(reason=repr(exc))
    finally:
        if writer is not None:
            writer.close()


async def wait_ready(entry, seconds=20.0):
    """Wait until the platform's readiness check gets a 200."""
    address = entry.settings["readiness"]
    async with asyncio.timeout(seconds):
        while True:
            if not entry.is_running:
                raise RuntimeError(f"{entry.name} ended")
            headers = {"Host": address}
            if (await call(address, "GET", "/v1/readyz", headers)).status == 200:
                return
            await asyncio.sleep(0.1)


def run(case):
    """Run a case within its time; exit with 2 if it could not run."""

    async def limited():
        # Connections of stand-ins that are open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(LIMIT_S):
            return await case()

    try:
        code = asyncio.run(limited())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        code = UNUSABLE
    print({HELD: "held", BROKEN: "broken", UNUSABLE: "could not run"}[code])
    sys.exit(code)
