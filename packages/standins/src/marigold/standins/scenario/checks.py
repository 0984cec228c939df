"""Counts that compare the outcomes of traffic with the journals of back ends."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from marigold.standins.fleet import Fleet
from marigold.standins.journal import read_journal
from marigold.standins.scenario.traffic import Traffic


def get_executions(fleet: Fleet, service: str) -> list[dict[str, Any]]:
    """Return what all back ends of a service executed, including exited ones."""
    records = []
    for target in fleet.targets:
        if target.service == service:
            records += read_journal(fleet.get_journal_path(target.name))
    return records


def count_executions(fleet: Fleet, service: str) -> Counter[str]:
    """Return the number of executions of the request with each marker."""
    counts: Counter[str] = Counter()
    for record in get_executions(fleet, service):
        body = record["body"]
        if body.startswith("{"):
            body = json.loads(body).get("marker", "")
        counts[body.split()[-1] if body else ""] += 1
    return counts


class OutcomeCounts:
    """Counts over a stream of requests, for which a scenario may set bounds.

    - `whole`, `refused`, `unknown`, `cut`, `dropped`: requests by outcome;
    - `wrong`: answers that are incomplete or belong to another request;
    - `untyped`: errors without a type;
    - `doubled`: requests that were executed more than once;
    - `false_no`: requests that were executed although the answer said "no";
    - `unrun`: whole answers to requests that no back end executed;
    - `whole_ratio`: fraction of the requests with a whole answer;
    - `slowest`: seconds that the slowest request took, with its retries.
    """

    def __init__(self, fleet: Fleet, traffic: Traffic, service: str) -> None:
        executions = count_executions(fleet, service)
        outcomes = traffic.outcomes
        counts = traffic.count()
        self.values: dict[str, float] = {
            verdict: counts[verdict]
            for verdict in (
                "whole",
                "refused",
                "unknown",
                "cut",
                "dropped",
                "wrong",
                "untyped",
            )
        }
        markers = {outcome.marker for outcome in outcomes}
        self.values["doubled"] = sum(executions[marker] > 1 for marker in markers)
        self.values["false_no"] = sum(
            outcome.executed == "no" and executions[outcome.marker] > 0
            for outcome in outcomes
        )
        self.values["unrun"] = sum(
            outcome.verdict == "whole" and executions[outcome.marker] == 0
            for outcome in outcomes
        )
        self.values["whole_ratio"] = counts["whole"] / max(len(outcomes), 1)
        self.values["slowest"] = max(
            (outcome.seconds for outcome in outcomes), default=0.0
        )
        self.values["requests"] = len(outcomes)
        self.kinds = Counter(outcome.kind for outcome in outcomes if outcome.kind)

    def __str__(self) -> str:
        pairs = [f"{name}={value:g}" for name, value in self.values.items()]
        return " ".join(pairs) + f" kinds={dict(self.kinds)}"
