"""The `expect` step, which checks bounds at its position in a scenario."""

from __future__ import annotations

import re
from abc import ABC, abstractmethod
from typing import Any

from marigold.standins.journal import read_journal
from marigold.standins.scenario.checks import OutcomeCounts
from marigold.standins.scenario.context import ScenarioContext, ScenarioError, Step

START_EVENT = "event=entry_ready "
IN_FORCE = re.compile(r"event=lists_in_force generation=(\d+)")


def _meets_bound(value: float, bound: Any) -> bool:
    if not isinstance(bound, dict):
        return value == bound
    at_least = bound.get("at_least", value)
    at_most = bound.get("at_most", value)
    return at_least <= value <= at_most


class Expectation(ABC):
    """A kind of expectation, selected by a key in the arguments."""

    key: str

    @abstractmethod
    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Check the expectation; raise `ScenarioError`."""


class TrafficExpectation(Expectation):
    """`of`: bounds on the counts of a stream of requests."""

    key = "of"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Check each bound."""
        name = args["of"]
        traffic = ctx.get_traffic(name)
        counts = OutcomeCounts(ctx.fleet, traffic, traffic.service)
        ctx.report.append(f"{name}: {counts}")
        for key, bound in args.items():
            if key != "of" and not _meets_bound(counts.values[key], bound):
                raise ScenarioError(f"{name}: {key} must be {bound}: {counts}")


class StoppedExpectation(Expectation):
    """`stopped`: a planned stop exits with status 0."""

    key = "stopped"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Wait for the exit and check its status."""
        status = await ctx.stops[args["stopped"]]
        if status != 0:
            raise ScenarioError(f"{args['stopped']} stopped with status {status}")


class IdleExpectation(Expectation):
    """`idle`: a target executed nothing after `after` seconds past a mark."""

    key = "idle"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Check the times in the journal."""
        since = ctx.marks[args["since"]] + args["after"]
        journal = read_journal(ctx.fleet.get_journal_path(args["idle"]))
        late = [record for record in journal if record["at"] > since]
        if late:
            raise ScenarioError(
                f"{args['idle']} executed {len(late)} requests too late"
            )


class EventExpectation(Expectation):
    """`event`: how often one or several processes logged an event in all."""

    key = "event"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Count the event in the logs."""
        names = args["at"] if isinstance(args["at"], list) else [args["at"]]
        logs = (ctx.get_host(name).read_log() + " " for name in names)
        count = sum(log.count(f"event={args['event']} ") for log in logs)
        if not _meets_bound(count, args["count"]):
            raise ScenarioError(
                f"{names} logged {args['event']} {count} times, not {args['count']}"
            )


class DeadBackEndsExpectation(Expectation):
    """`dead_back_ends`: how many back ends have exited."""

    key = "dead_back_ends"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Count the exited processes."""
        targets = ctx.fleet.targets
        count = sum(not target.back_end.is_running() for target in targets)
        if not _meets_bound(count, args["dead_back_ends"]):
            raise ScenarioError(f"{count} back ends have exited")


class GenerationsExpectation(Expectation):
    """`generations`: running entries agree on one that never decreased."""

    key = "generations"

    async def check(self, ctx: ScenarioContext, args: dict[str, Any]) -> None:
        """Check the generations in the logs and the status of entries."""
        last = set()
        for entry in ctx.fleet.entries:
            for run_log in entry.read_log().split(START_EVENT):
                seen = [int(number) for number in IN_FORCE.findall(run_log)]
                if seen != sorted(set(seen)):
                    raise ScenarioError(
                        f"the generations of {entry.name} did not increase: {seen}"
                    )
            if entry.child.is_running():
                status = await ctx.fleet.get_status(entry)
                last.add(status["generation"])
        if len(last) != 1 or not _meets_bound(min(last), args["generations"]):
            raise ScenarioError(f"the entries have generations {sorted(last)}")


_EXPECTATIONS: list[Expectation] = [
    TrafficExpectation(),
    StoppedExpectation(),
    IdleExpectation(),
    EventExpectation(),
    DeadBackEndsExpectation(),
    GenerationsExpectation(),
]


class ExpectStep(Step):
    """Check bounds on traffic, planned stops, logs, back ends or lists.

    A number must be met exactly; `{at_most: n}` and `{at_least: n}` set a range.
    """

    name = "expect"

    async def run(self, ctx: ScenarioContext, args: Any) -> None:
        """Check the expectation; raise `ScenarioError`."""
        for expectation in _EXPECTATIONS:
            if expectation.key in args:
                await expectation.check(ctx, args)
                return
        raise ScenarioError(f"no known expectation in {args}")
