"""The `expect` step: bounds that must hold at its place in a scenario."""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from typing import Any

from marigold.standins.journal import read_journal
from marigold.standins.scenario.checks import OutcomeCounts
from marigold.standins.scenario.context import ScenarioContext, ScenarioError, Step

START = "event=entry_ready "
IN_FORCE = re.compile(r"event=lists_in_force generation=(\d+)")


def _meets_bound(value: float, bound: Any) -> bool:
    if not isinstance(bound, dict):
        return value == bound
    at_least = bound.get("at_least", value)
    at_most = bound.get("at_most", value)
    return at_least <= value <= at_most


class Expectation(ABC):
    """One kind of expectation, chosen by the key that its arguments hold."""

    key: str

    @abstractmethod
    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Check; raise `ScenarioError`."""


class TrafficExpectation(Expectation):
    """`of`: bounds over the tally of a stream of requests."""

    key = "of"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Check each bound."""
        name = args["of"]
        traffic = ctx.get_traffic(name)
        tally = OutcomeCounts(ctx.fleet, traffic, traffic.service)
        ctx.report.append(f"{name}: {tally}")
        for key, bound in args.items():
            if key != "of" and not _meets_bound(tally.values[key], bound):
                raise ScenarioError(f"{name}: {key} must be {bound}: {tally}")


class StoppedExpectation(Expectation):
    """`stopped`: a planned stop ends with status 0."""

    key = "stopped"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Wait for the end."""
        status = await ctx.stops[args["stopped"]]
        if status != 0:
            raise ScenarioError(f"{args['stopped']} stopped with status {status}")


class IdleExpectation(Expectation):
    """`idle`: a target ran nothing later than `after` seconds past a mark."""

    key = "idle"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Read the journal."""
        since = ctx.marks[args["since"]] + args["after"]
        journal = read_journal(ctx.fleet.get_journal_path(args["idle"]))
        late = [record for record in journal if record["at"] > since]
        if late:
            raise ScenarioError(f"{args['idle']} ran {len(late)} requests too late")


class EventExpectation(Expectation):
    """`event`: how often a process or any of several logged it."""

    key = "event"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Count in the logs."""
        names = args["at"] if isinstance(args["at"], list) else [args["at"]]
        logs = (ctx.get_host(name).read_log() + " " for name in names)
        count = sum(log.count(f"event={args['event']} ") for log in logs)
        if not _meets_bound(count, args["count"]):
            raise ScenarioError(f"{names} logged {args['event']} {count} times")


class DeadBackEndsExpectation(Expectation):
    """`dead_back_ends`: how many back ends have ended."""

    key = "dead_back_ends"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Count ended processes."""
        targets = ctx.fleet.targets
        count = sum(not target.back_end.is_running() for target in targets)
        if not _meets_bound(count, args["dead_back_ends"]):
            raise ScenarioError(f"{count} back ends have ended")


class GenerationsExpectation(Expectation):
    """`generations`: all running entries ended at one, and none ever fell back."""

    key = "generations"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Read the generations from the logs."""
        last = set()
        for entry in ctx.fleet.entries:
            for life in entry.read_log().split(START):
                seen = [int(number) for number in IN_FORCE.findall(life)]
                if seen != sorted(set(seen)):
                    raise ScenarioError(f"{entry.name} went through {seen}")
            if entry.child.is_running():
                status = await ctx.fleet.get_status(entry)
                last.add(status["generation"])
        if len(last) != 1 or not _meets_bound(min(last), args["generations"]):
            raise ScenarioError(f"the entries ended at {sorted(last)}")


_EXPECTATIONS: list[Expectation] = [
    TrafficExpectation(),
    StoppedExpectation(),
    IdleExpectation(),
    EventExpectation(),
    DeadBackEndsExpectation(),
    GenerationsExpectation(),
]


class ExpectStep(Step):
    """Check bounds over traffic, planned stops, logs, back ends or lists.

    A plain number must be met exactly, `{at_most: n}` and `{at_least: n}` bound
    a value.
    """

    name = "expect"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Check; raise `ScenarioError`."""
        for expectation in _EXPECTATIONS:
            if expectation.key in args:
                await expectation.check(ctx, args)
                return
        raise ScenarioError(f"nothing to expect in {args}")
