"""Topology of a fleet: data centres, entries and back ends."""

from __future__ import annotations

from collections.abc import Sequence


class BackEnd:
    """A back end and the number of hosts in each data centre that run it.

    With `is_shared` one process serves as the back end of all its hosts.
    """

    __slots__ = ("hosts", "is_shared", "kind", "limit", "name", "options", "versions")

    def __init__(
        self,
        name: str,
        kind: str,
        hosts: dict[str, int],
        versions: Sequence[str] = (),
        limit: int = 16,
        options: Sequence[str] = (),
        is_shared: bool = False,
    ) -> None:
        self.name = name
        self.kind = kind
        self.is_shared = is_shared
        self.hosts = hosts
        self.versions = list(versions)
        self.limit = limit
        self.options = list(options)


class Topology:
    """Data centres with their regions and entry counts, and the back ends."""

    __slots__ = ("back_ends", "entries", "regions")

    def __init__(
        self,
        regions: dict[str, str],
        entries: dict[str, int],
        back_ends: Sequence[BackEnd],
    ) -> None:
        self.regions = regions
        self.entries = entries
        self.back_ends = list(back_ends)


ALAPKO = Topology(
    {"gyor-a": "hu-west", "bp-a": "hu-central", "debr-a": "hu-east"},
    {"gyor-a": 3, "bp-a": 3, "debr-a": 2},
    [
        BackEnd("assistant", "model", {"gyor-a": 3, "bp-a": 2, "debr-a": 2}, ["1"]),
        BackEnd("booking", "service", {"gyor-a": 1, "bp-a": 1, "debr-a": 1}),
        BackEnd("portal", "service", {"bp-a": 1}),
    ],
)
HIMAL = Topology(
    {"ktm-a": "kathmandu", "pkr-a": "pokhara", "brt-a": "biratnagar"},
    {"ktm-a": 3, "pkr-a": 2, "brt-a": 2},
    [
        BackEnd("summary", "model", {"ktm-a": 3, "pkr-a": 2, "brt-a": 2}, ["1"]),
        BackEnd("ledger", "service", {"ktm-a": 1, "pkr-a": 1, "brt-a": 1}),
        BackEnd("portal", "service", {"ktm-a": 1}),
    ],
)
