"""Steps of a scenario.

Each class implements a step; its `name` is the key in YAML.
"""

from __future__ import annotations

import asyncio
import time
from abc import abstractmethod
from collections.abc import Callable
from pathlib import Path
from typing import Any

from marigold.standins.fleet import Host
from marigold.standins.scenario.context import ScenarioContext, ScenarioError, Step
from marigold.standins.scenario.expectations import ExpectStep
from marigold.standins.scenario.traffic import Traffic, TrafficOptions

WAIT_TIMEOUT_S = 30.0
POLL_S = 0.02
PLATFORM = "platform"


class SendStep(Step):
    """Start a stream of requests with a name and `TrafficOptions`."""

    name = "send"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Start to send."""
        options = dict(args)
        name = options.pop("name")
        traffic = Traffic(ctx.fleet, name, TrafficOptions(**options), ctx.seed)
        ctx.traffic[name] = traffic
        traffic.start()


class FinishStep(Step):
    """Stop streams of requests and wait for the remaining answers."""

    name = "finish"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Wait for every answer."""
        for name in args if isinstance(args, list) else [args]:
            await ctx.get_traffic(name).finish()


class WaitStep(Step):
    """Wait for answers, for an event in a log, or for a generation."""

    name = "wait"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Wait; raise `ScenarioError` on a timeout."""
        try:
            async with asyncio.timeout(args.get("timeout", WAIT_TIMEOUT_S)):
                await self._wait(ctx, args)
        except TimeoutError as exc:
            raise ScenarioError(f"timed out waiting for {args}") from exc

    async def _wait(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        if "answered" in args:
            await ctx.get_traffic(args["of"]).wait_for_answers(args["answered"])
        elif "event" in args:
            host = ctx.get_host(args["at"])
            count = args.get("count", 1)
            event = f"event={args['event']} "
            while (host.read_log() + " ").count(event) < count:
                await asyncio.sleep(POLL_S)
        elif "generation" in args:
            await ctx.fleet.wait_for_generation(args["generation"], WAIT_TIMEOUT_S)
        else:
            raise ScenarioError(f"no known condition to wait for in {args}")


class PassStep(Step):
    """Wait for some seconds, where a guarantee is about time."""

    name = "pass"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Sleep."""
        await asyncio.sleep(float(args))


class MarkStep(Step):
    """Record the current time under a label."""

    name = "mark"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Record the time."""
        ctx.marks[args] = time.time()


class HostStep(Step):
    """A step on hosts, or on their back ends, named `back-end-NAME`."""

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Apply the step to each host."""
        names = args if isinstance(args, list) else [args]
        for name in names:
            is_back_end = name.startswith("back-end-")
            host = ctx.get_host(name.removeprefix("back-end-"))
            await self.apply(ctx, host, is_back_end)

    @abstractmethod
    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Apply the step to one host."""


class KillStep(HostStep):
    """Kill a process."""

    name = "kill"

    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Send SIGKILL and wait for the exit."""
        await (host.back_end if is_back_end else host.child).kill()


class RestartStep(HostStep):
    """Restart an exited process at the same address."""

    name = "restart"

    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Start the process."""
        if is_back_end:
            await ctx.fleet.restart_back_end(host)
        else:
            await host.start()


class StopStep(HostStep):
    """Begin a planned stop; `expect` with `stopped` waits for the exit."""

    name = "stop"

    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Send SIGTERM."""
        ctx.stops[host.name] = asyncio.create_task(host.child.stop())


class FreezeStep(HostStep):
    """Pause a process."""

    name = "freeze"

    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Send SIGSTOP."""
        (host.back_end if is_back_end else host.child).freeze()


class ThawStep(HostStep):
    """Resume a paused process."""

    name = "thaw"

    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Send SIGCONT."""
        (host.back_end if is_back_end else host.child).thaw()


class LeaveStep(HostStep):
    """Mark a host as leaving in the host list."""

    name = "leave"

    async def apply(self, ctx: ScenarioContext, host: Host, is_back_end: bool) -> None:
        """Update the host list."""
        await host.register(state="leaving")


class NetworkStep(Step):
    """Begin or end a fault of the links between places, given as pairs."""

    def __init__(self, name: str) -> None:
        self.name = name

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Apply the step to each pair of places."""
        pairs = args if isinstance(args[0], list) else [args]
        change_link: Callable[[str, str], None] = getattr(ctx.fleet.network, self.name)
        for first, second in pairs:
            change_link(first, second)


class FaultsStep(Step):
    """Set fault switches of the platform or of a target's back end."""

    name = "faults"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Set the fault switches."""
        switches = dict(args)
        place = switches.pop("at")
        if place == PLATFORM:
            url = ctx.fleet.platform_url
        else:
            url = ctx.get_host(place).back_end_url
        await ctx.fleet.set_faults(url, **switches)


class EditStep(Step):
    """Replace text in the lists and apply them through one or more entries."""

    name = "edit"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Apply the lists through all entries concurrently."""
        texts = dict(ctx.lists)
        for old, new in args.get("replace", {}).items():
            for name, text in texts.items():
                texts[name] = text.replace(old, new)
        names = args.get("through", [ctx.fleet.entries[0].name])
        calls = [
            ctx.fleet.apply_lists(
                texts["plans"], texts["allowances"], ctx.get_host(name)
            )
            for name in names
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        generations = [result for result in results if isinstance(result, int)]
        if not generations:
            raise ScenarioError(f"no edit was accepted: {results}")
        ctx.lists.update(texts)
        if "as" in args:
            ctx.marks[args["as"]] = max(generations)


class PublishStep(Step):
    """Publish a version of weights of given sizes at the origin."""

    name = "publish"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Publish the version."""
        url = f"{ctx.fleet.platform_url}/weights/{args['model']}/{args['version']}"
        sizes = {"size": args["size"], "chunk_size": args["chunk_size"]}
        await ctx.fleet.put_json(url, sizes)


_STEPS: list[Step] = [
    SendStep(),
    FinishStep(),
    WaitStep(),
    PassStep(),
    MarkStep(),
    KillStep(),
    RestartStep(),
    StopStep(),
    FreezeStep(),
    ThawStep(),
    LeaveStep(),
    FaultsStep(),
    EditStep(),
    PublishStep(),
    ExpectStep(),
    *(NetworkStep(name) for name in ("cut", "heal", "silence")),
]
STEPS = {step.name: step for step in _STEPS}


def read_lists(folder: Path) -> dict[str, str]:
    """Return the text of both lists in a folder of examples."""
    names = ("plans", "allowances")
    return {name: (folder / f"{name}.yaml").read_text() for name in names}
