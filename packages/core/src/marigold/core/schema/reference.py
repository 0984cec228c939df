"""Generator of the settings reference in Markdown from the schema.

python -m marigold.core.schema.reference > docs/user-guide/settings.md
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from importlib.resources import files
from typing import Any

import yaml

PROGRAMS = {
    "marigold-entry": "EntrySettings",
    "marigold-entry relay": "RelaySettings",
    "marigold-target": "TargetSettings",
    "marigold-target companion": "CompanionSettings",
}
HEADER = """\
# Settings

Settings are YAML. `marigold-entry check FILE` and `marigold-target check FILE`
print every fault with its line; `--set KEY=VALUE` replaces one setting.
This page is generated from the schema by `scripts/generate`.
"""


def _get_name(prop: dict[str, Any]) -> str | None:
    reference = prop.get("$ref")
    return reference.rsplit("/", 1)[1] if reference else None


def _describe_type(prop: dict[str, Any]) -> str:
    if "enum" in prop:
        return " or ".join(f"`{value}`" for value in prop["enum"])
    if prop.get("type") == "array":
        return f"list of {prop['items'].get('type', 'items')}"
    return prop.get("type", "mapping")


def _describe_bounds(prop: dict[str, Any]) -> str:
    names = {"minimum": "≥", "exclusiveMinimum": ">", "maximum": "≤"}
    bounds = [f"{sign} {prop[key]}" for key, sign in names.items() if key in prop]
    return ", ".join(bounds)


def _make_rows(
    defs: dict[str, Any], name: str, prefix: str = ""
) -> Iterator[tuple[str, ...]]:
    definition = defs[name]
    required = definition.get("required", [])
    for key, prop in definition["properties"].items():
        path = f"{prefix}{key}"
        inner = _get_name(prop)
        if inner is not None:
            yield from _make_rows(defs, inner, f"{path}.")
            continue
        default = "required" if key in required else ""
        if "default" in prop:
            default = f"`{json.dumps(prop['default'])}`"
        text = prop.get("description", "")
        yield f"`{path}`", _describe_type(prop), default, _describe_bounds(prop), text


def make_reference() -> str:
    """Return the settings reference in Markdown."""
    text = files("marigold.core.schema").joinpath("settings.yaml").read_text()
    defs = yaml.safe_load(text)["$defs"]
    parts = [HEADER]
    for program, name in PROGRAMS.items():
        parts.append(f"\n## {program}\n\n")
        parts.append("| setting | type | default | bounds | meaning |\n")
        parts.append("| --- | --- | --- | --- | --- |\n")
        for row in _make_rows(defs, name):
            parts.append(f"| {' | '.join(row)} |\n")
    return "".join(parts)


if __name__ == "__main__":
    print(make_reference(), end="")
