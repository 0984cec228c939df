"""Loading of the settings files of the programs."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any, TypeVar

import yaml
from expression import Result

from marigold.core.documents import (
    Document,
    DocumentError,
    Fault,
    parse_document,
    structure_document,
)

T = TypeVar("T")


def _apply_override(document: Document, override: str) -> Fault | None:
    key, separator, text = override.partition("=")
    if not separator or not key:
        return Fault("--set", 0, override, "expected KEY=VALUE")
    try:
        value = yaml.safe_load(text)
    except yaml.YAMLError:
        return Fault("--set", 0, key, "the value is no valid YAML")
    node: Any = document.data
    *parents, last = key.split(".")
    for parent in parents:
        node = node.setdefault(parent, {})
        if not isinstance(node, dict):
            return Fault("--set", 0, key, f"{parent} is not a mapping")
    node[last] = value
    return None


def load_settings(path: str, cls: type[T], overrides: Sequence[str] = ()) -> T:
    """Load a settings file and apply overrides of the form ``KEY=VALUE``.

    Raise `DocumentError` with all faults if the settings are invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError([Fault(path, 0, "(file)", str(exc))]) from exc
    match parse_document(text, path):
        case Result(tag="error", error=faults):
            raise DocumentError(faults)
        case Result(ok=document):
            pass
    if isinstance(document.data, dict):
        faults = [_apply_override(document, override) for override in overrides]
        found = [fault for fault in faults if fault is not None]
        if found:
            raise DocumentError(found)
    match structure_document(document, "settings", cls):
        case Result(tag="error", error=faults):
            raise DocumentError(faults)
        case Result(ok=settings):
            return settings
