"""Differences between a configuration and the version in force."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

from cattrs import unstructure

from marigold.core.schema.generated.deployment import Configuration
from marigold.entry.inspection.notes import Finding


def find_version_faults(current: Configuration, new: Configuration) -> list[Finding]:
    """Return a finding if the new version is not newer than the one in force.

    Entries ignore an older one. They take one with the same number, but their logs and
    answers to tests of the configuration do not tell the two apart.
    """
    if new.version > current.version:
        return []
    return [
        Finding(
            "version",
            f"{new.version} is not newer than the version in force, {current.version}",
            is_error=new.version < current.version,
        )
    ]


def find_differences(current: Configuration, new: Configuration) -> Iterator[str]:
    """Yield a line for each part that is added, removed or changed.

    Keys of organisations are counted, but not shown.
    """
    if new.version != current.version:
        yield f"version: {current.version} becomes {new.version}"
    yield from _compare_items("route", current.routes, new.routes)
    yield from _compare_items("service", current.services, new.services)
    yield from _compare_items("organisation", current.organisations, new.organisations)
    if new.requires_keys != current.requires_keys:
        yield f"requires_keys: {current.requires_keys} becomes {new.requires_keys}"
    yield from _compare_fields(
        "bounds", unstructure(current.bounds), unstructure(new.bounds)
    )


def _compare_items(
    kind: str, current: Sequence[Any], new: Sequence[Any]
) -> Iterator[str]:
    old_items = {item.name: unstructure(item) for item in current}
    new_items = {item.name: unstructure(item) for item in new}
    for name in sorted(old_items.keys() - new_items.keys()):
        yield f"{kind} {name}: removed"
    for name, item in new_items.items():
        if name not in old_items:
            yield f"{kind} {name}: added"
        else:
            yield from _compare_fields(f"{kind} {name}", old_items[name], item)
    kept = [name for name in old_items if name in new_items]
    if kept != [name for name in new_items if name in old_items]:
        yield f"{kind}s: their order changes"


def _compare_fields(
    key: str, current: dict[str, Any], new: dict[str, Any]
) -> Iterator[str]:
    for field, value in new.items():
        old = current.get(field)
        if value == old:
            continue
        if field == "keys":
            added, removed = len(set(value) - set(old)), len(set(old) - set(value))
            yield f"{key}: {added} keys added, {removed} removed"
        else:
            yield f"{key}: {field}: {old!r} becomes {value!r}"
