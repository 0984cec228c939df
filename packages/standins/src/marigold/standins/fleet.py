"""Starts stand-ins, entries and targets as processes on loopback addresses.

async with Fleet(folder, ALAPKO) as fleet:
    await fleet.start()
    await fleet.apply_lists(plans, allowances)
    entry = fleet.entries[0]
"""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Any

import yaml
from aiohttp import ClientSession

from marigold.standins.child import Child, FleetError
from marigold.standins.network import DirectNetwork, ShapedNetwork
from marigold.standins.topology import BackEnd, Topology

ADMINISTRATION_KEY = "administration-key-of-the-fleet"
LINK_SECRET = "link-secret-of-the-fleet"
POLL_S = 0.01
# Exceeds the timeouts of an entry's calls to the store, also on a busy machine.
LIST_TIMEOUT_S = 10.0


class Host:
    """An entry or target process with its settings and host list record.

    `kind` and `service` describe the back end of a target.
    """

    def __init__(
        self, fleet: Fleet, name: str, role: str, data_centre: str, cfg: dict[str, Any]
    ) -> None:
        self._fleet = fleet
        self._cfg_path = fleet.folder / f"{name}.yaml"
        self._log_path = fleet.folder / f"{name}.log"
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.cfg = cfg
        self.back_end: Child | None = None
        self.back_end_url = ""
        self.kind = "service"
        self.service = ""
        self.address = ""
        self.url = ""
        args = [sys.executable, "-m", f"marigold.{role}", "run", str(self._cfg_path)]
        self.child = Child(name, args, self._log_path)

    def read_log(self) -> str:
        """Return the log of all runs of the process."""
        return self.child.read_output()

    async def start(self) -> None:
        """Start the process; a restart uses the same addresses."""
        self._cfg_path.write_text(yaml.safe_dump(self.cfg))
        if self.role == "entry":
            match = await self.child.start(
                r"event=entry_ready .*?port=(\d+) peer_port=(\d+)"
            )
            self.cfg["callers"]["port"] = int(match[1])
            self.cfg["peers"]["port"] = int(match[2])
            self.url = f"http://127.0.0.1:{match[1]}"
        else:
            match = await self.child.start(r"event=target_ready .*?port=(\d+)")
            self.cfg["peers"]["port"] = int(match[1])
        self.address = f"127.0.0.1:{self.cfg['peers']['port']}"

    async def register(self, state: str = "live", address: str = "") -> None:
        """Add the host to the host list, or update its record."""
        record = {
            "host": self.name,
            "role": self.role,
            "data_centre": self.data_centre,
            "region": self.cfg["region"],
            "address": address or self.address,
            "service": self.service,
            "kind": self.kind,
            "state": state,
        }
        await self._fleet.network.add_host(self.name, self.data_centre, record)


class Fleet:
    """The processes of a deployment and the stand-ins that it works with."""

    def __init__(
        self,
        folder: Path,
        topology: Topology,
        settings: dict[str, dict[str, Any]] | None = None,
        is_shaped: bool = False,
    ) -> None:
        cls = ShapedNetwork if is_shaped else DirectNetwork
        self.network = cls(self, topology.regions)
        self.folder = folder
        self.topology = topology
        self.platform_url = ""
        self.platform: Child | None = None
        self.entries: list[Host] = []
        self.targets: list[Host] = []
        self._settings = settings or {}
        self._children: list[Child] = []
        self._stand_ins: dict[str, asyncio.Future[tuple[Child, str]]] = {}
        self._session: ClientSession | None = None

    async def __aenter__(self) -> Fleet:
        self._session = ClientSession()
        return self

    async def __aexit__(
        self,
        cls: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()

    @property
    def session(self) -> ClientSession:
        """HTTP client for callers' requests and for the stand-ins."""
        return self._session

    async def put_json(self, url: str, body: Any) -> None:
        """Send a PUT request with a JSON body to a stand-in."""
        async with self._session.put(url, json=body) as resp:
            if resp.status >= 400:
                raise FleetError(f"{url}: status {resp.status}")

    async def set_faults(self, url: str, **switches: Any) -> None:
        """Change fault switches of a stand-in."""
        async with self._session.post(f"{url}/faults", json=switches) as resp:
            if resp.status >= 400:
                raise FleetError(f"{url}/faults: {await resp.text()}")

    async def get_json(self, url: str) -> Any:
        """Return the JSON body that a stand-in answers."""
        async with self._session.get(url) as resp:
            return await resp.json()

    async def start_stand_in(self, name: str, *args: str) -> tuple[Child, str]:
        """Start a stand-in; return the process and its address."""
        command = [sys.executable, "-m", "marigold.standins", *args]
        child = Child(name, command, self.folder / f"{name}.log")
        self._children.append(child)
        match = await child.start(r"listening (\S+)")
        return child, f"http://{match[1]}"

    async def _start_once(self, name: str, *args: str) -> tuple[Child, str]:
        if name not in self._stand_ins:
            start = self.start_stand_in(name, *args)
            self._stand_ins[name] = asyncio.ensure_future(start)
        return await self._stand_ins[name]

    async def start(self) -> None:
        """Start the platform, then all targets and entries concurrently."""
        self.platform, self.platform_url = await self.start_stand_in(
            "platform", "platform"
        )
        await self.network.start()
        starts = []
        for back_end in self.topology.back_ends:
            for data_centre, count in back_end.hosts.items():
                for number in range(1, count + 1):
                    name = f"{back_end.name}-{data_centre}-{number}"
                    starts.append(self._start_target(name, back_end, data_centre))
        for data_centre, count in self.topology.entries.items():
            for number in range(1, count + 1):
                starts.append(
                    self._start_entry(f"entry-{data_centre}-{number}", data_centre)
                )
        await asyncio.gather(*starts)
        self.entries.sort(key=lambda host: host.name)
        self.targets.sort(key=lambda host: host.name)

    def _make_settings(self, name: str, role: str, data_centre: str) -> dict[str, Any]:
        settings = dict(self._settings.get(role, {}))
        platform = settings.pop("platform", {})
        return {
            "process": name,
            "data_centre": data_centre,
            "region": self.topology.regions[data_centre],
            "peers": {"host": "127.0.0.1", "port": 0},
            "platform": {
                "url": self.network.get_platform_url(data_centre),
                "host_interval": 0.5,
                **platform,
            },
            "link_secret": LINK_SECRET,
            "log_file": str(self.folder / f"{name}.log"),
            **settings,
        }

    async def _start_target(
        self, name: str, back_end: BackEnd, data_centre: str
    ) -> None:
        if back_end.kind == "model":
            options = ["--model", back_end.name, "--limit", str(back_end.limit)]
            for version in back_end.versions:
                options += ["--version", version]
            command = "engine"
        else:
            options = ["--name", back_end.name]
            command = "service"
        options += ["--journal", str(self.get_journal_path(name))]
        back_end_name = back_end.name if back_end.is_shared else name
        child, url = await self._start_once(
            f"back-end-{back_end_name}", command, *options, *back_end.options
        )
        cfg = self._make_settings(name, "target", data_centre)
        cfg["engine"] = {
            "url": url,
            "service": back_end.name,
            "kind": back_end.kind,
            "limit": back_end.limit,
        }
        host = Host(self, name, "target", data_centre, cfg)
        host.back_end = child
        host.back_end_url = url
        host.kind = back_end.kind
        host.service = back_end.name
        await self._start_host(host, self.targets)

    async def restart_back_end(self, host: Host) -> None:
        """Restart a back end that has exited at the same address."""
        host.back_end.set_option("--port", host.back_end_url.rsplit(":", 1)[1])
        await host.back_end.start(r"listening (\S+)")

    def get_journal_path(self, name: str) -> Path:
        """Return the journal path of a target's back end."""
        return self.folder / f"{name}.journal"

    async def _start_entry(self, name: str, data_centre: str) -> None:
        cfg = self._make_settings(name, "entry", data_centre)
        cfg["callers"] = {"host": "127.0.0.1", "port": 0}
        digest = hashlib.sha256(ADMINISTRATION_KEY.encode()).hexdigest()
        cfg["administration_digest"] = digest
        await self._start_host(
            Host(self, name, "entry", data_centre, cfg), self.entries
        )

    async def _start_host(self, host: Host, hosts: list[Host]) -> None:
        self._children.append(host.child)
        await host.start()
        await host.register()
        hosts.append(host)

    async def stop(self) -> None:
        """Kill all running processes and stop the network."""
        running = [child for child in self._children if child.is_running()]
        for child in running:
            child.thaw()
        await asyncio.gather(*(child.kill() for child in running))
        await self.network.stop()
        if self._session is not None:
            await self._session.close()

    async def wait_until_linked(self, timeout: float = 20.0) -> None:
        """Wait until all links are open and the shares of the limits are agreed."""
        async with asyncio.timeout(timeout):
            for entry in self.entries:
                while not await self._is_linked(entry):
                    await asyncio.sleep(POLL_S * 5)

    async def _is_linked(self, entry: Host) -> bool:
        status = await self.get_status(entry)
        is_open = [target["open"] for target in status["targets"]]
        others = len(self.entries) - 1
        return (
            len(is_open) == len(self.targets)
            and all(is_open)
            and len(status["entries"]) == others
            and status["shares_agreed"]
        )

    async def get_status(self, entry: Host) -> dict[str, Any]:
        """Return the status of an entry."""
        headers = {"Authorization": f"Bearer {ADMINISTRATION_KEY}"}
        url = f"{entry.url}/admin/v1/status"
        async with self._session.get(url, headers=headers) as resp:
            return await resp.json()

    async def apply_lists(
        self, plans: str, allowances: str, entry: Host | None = None
    ) -> int:
        """Apply lists through an entry and return their generation."""
        url = f"{(entry or self.entries[0]).url}/admin/v1/lists"
        headers = {"Authorization": f"Bearer {ADMINISTRATION_KEY}"}
        versions = {}
        for name in ("plans", "allowances"):
            versions[name] = await self._read_list_version(f"{url}/{name}", headers)
        body = {"plans": plans, "allowances": allowances, "versions": versions}
        async with self._session.post(url, json=body, headers=headers) as resp:
            answer = await resp.json()
            if resp.status != 200:
                raise FleetError(f"lists were not accepted: {resp.status} {answer}")
            return answer["generation"]

    async def _read_list_version(self, url: str, headers: dict[str, str]) -> int:
        """Return the version of a list.

        A 503 of the entry is retried after its Retry-After for `LIST_TIMEOUT_S`;
        then `FleetError` is raised with the answer.
        """
        until = time.monotonic() + LIST_TIMEOUT_S
        while True:
            async with self._session.get(url, headers=headers) as resp:
                if resp.status == 200:
                    return int(resp.headers["ETag"].strip('"'))
                answer = f"{resp.status} {await resp.text()}"
                pause = float(resp.headers.get("Retry-After", POLL_S))
                if resp.status != 503 or time.monotonic() + pause > until:
                    raise FleetError(f"{url}: {answer}")
            print(f"{url}: {answer}; retrying after {pause} s", file=sys.stderr)
            await asyncio.sleep(pause)

    async def wait_for_generation(self, generation: int, timeout: float = 10.0) -> None:
        """Wait until every running entry has applied a generation."""
        async with asyncio.timeout(timeout):
            for entry in self.entries:
                while entry.child.is_running():
                    status = await self.get_status(entry)
                    if status["generation"] >= generation:
                        break
                    await asyncio.sleep(POLL_S)
