"""Validation of YAML documents against the schema, with the line of every fault.

`load_document` parses a document, validates all of it and returns either the typed
value or a list of all faults:

    match load_document(text, "plans.yaml", "lists", PlansList):
        case Result(tag="ok", ok=plans):
            ...
        case Result(error=faults):
            for fault in faults:
                print(fault)
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from functools import cache
from importlib.resources import files
from typing import Any, TypeVar

import yaml
from cattrs import Converter
from expression import Error, Ok, Result

from marigold.core.exceptions import UserError

T = TypeVar("T")
Path = tuple[str | int, ...]

# YAML aliases let a short text expand to an unbounded number of nodes.
MAXIMUM_NODES = 500_000

_CONVERTER = Converter(forbid_extra_keys=True)


class Fault:
    """One validation error in a document.

    `line` counts from 1 and is 0 when no line applies.
    """

    __slots__ = ("expected", "file", "key", "line")

    def __init__(self, file: str, line: int, key: str, expected: str) -> None:
        self.file = file
        self.line = line
        self.key = key
        self.expected = expected

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.key}: {self.expected}"

    def __repr__(self) -> str:
        return f"Fault({self!s})"


class DocumentError(UserError):
    """A document is invalid; the message has one line for each fault."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = list(faults)


class Document:
    """A parsed YAML document with the line of each key."""

    __slots__ = ("data", "file", "lines")

    def __init__(self, file: str, data: Any, lines: dict[Path, int]) -> None:
        self.file = file
        self.data = data
        self.lines = lines

    def get_line(self, path: Iterable[str | int]) -> int:
        """Return the line of a path, or of its nearest parent with a known line."""
        path = tuple(path)
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def make_fault(self, path: Iterable[str | int], expected: str) -> Fault:
        """Return a fault at a path."""
        path = tuple(path)
        key = ".".join(str(part) for part in path) or "(document)"
        return Fault(self.file, self.get_line(path), key, expected)


class _TooManyNodesError(yaml.YAMLError):
    def __str__(self) -> str:
        return f"more than {MAXIMUM_NODES} nodes"


class _DuplicateKeyError(yaml.YAMLError):
    def __init__(self, key: str, line: int) -> None:
        super().__init__(key)
        self.key = key
        self.line = line


def _walk(
    loader: yaml.CSafeLoader, node: yaml.Node, path: Path, lines: dict[Path, int]
) -> Any:
    lines.setdefault(path, node.start_mark.line + 1)
    if len(lines) > MAXIMUM_NODES:
        raise _TooManyNodesError
    if isinstance(node, yaml.MappingNode):
        return _walk_mapping(loader, node, path, lines)
    if isinstance(node, yaml.SequenceNode):
        items = enumerate(node.value)
        return [_walk(loader, item, (*path, index), lines) for index, item in items]
    return loader.construct_object(node)


def _walk_mapping(
    loader: yaml.CSafeLoader,
    node: yaml.MappingNode,
    path: Path,
    lines: dict[Path, int],
) -> dict[str, Any]:
    mapping: dict[str, Any] = {}
    for key_node, value_node in node.value:
        key = str(key_node.value)
        line = key_node.start_mark.line + 1
        if key in mapping:
            raise _DuplicateKeyError(".".join(map(str, (*path, key))), line)
        lines[(*path, key)] = line
        mapping[key] = _walk(loader, value_node, (*path, key), lines)
    return mapping


def parse_document(text: str, file: str) -> Result[Document, list[Fault]]:
    """Parse YAML text and return the document or its syntax errors."""
    lines: dict[Path, int] = {}
    try:
        data = _parse(text, lines)
    except _DuplicateKeyError as exc:
        return Error([Fault(file, exc.line, exc.key, "the key stands twice")])
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        return Error([Fault(file, line, "(syntax)", exc.problem or "invalid YAML")])
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        return Error([Fault(file, 1, "(syntax)", f"invalid YAML: {exc}")])
    return Ok(Document(file, data, lines))


def _parse(text: str, lines: dict[Path, int]) -> Any:
    loader = yaml.CSafeLoader(text)
    try:
        node = loader.get_single_node()
        return None if node is None else _walk(loader, node, (), lines)
    finally:
        loader.dispose()


@cache
def _get_validator(schema: str, name: str) -> Any:
    from jsonschema import Draft202012Validator

    text = files("marigold.core.schema").joinpath(f"{schema}.yaml").read_text()
    root = yaml.load(text, Loader=yaml.CSafeLoader)
    return Draft202012Validator({"$ref": f"#/$defs/{name}", "$defs": root["$defs"]})


def _describe(document: Document, error: Any) -> Iterator[Fault]:
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties" and isinstance(error.instance, dict):
        known = error.schema.get("properties", {})
        for key in error.instance:
            if key not in known:
                expected = f"unknown key; expected one of {', '.join(sorted(known))}"
                yield document.make_fault((*path, key), expected)
    elif error.validator == "required":
        for key in error.validator_value:
            if key not in error.instance:
                yield document.make_fault((*path, key), "required key is missing")
    else:
        yield document.make_fault(path, error.message)


def check_document(document: Document, schema: str, name: str) -> list[Fault]:
    """Validate a document against a schema definition and return all faults."""
    validator = _get_validator(schema, name)
    faults: dict[str, Fault] = {}
    for error in validator.iter_errors(document.data):
        for fault in _describe(document, error):
            faults.setdefault(str(fault), fault)
    return sorted(faults.values(), key=lambda fault: fault.line)


def load_document(
    text: str, file: str, schema: str, cls: type[T]
) -> Result[T, list[Fault]]:
    """Parse and validate a document and convert it to `cls`.

    The schema definition has the name of the class.
    """
    match parse_document(text, file):
        case Result(tag="error", error=faults):
            return Error(faults)
        case Result(ok=document):
            return structure_document(document, schema, cls)


def structure_document(
    document: Document, schema: str, cls: type[T]
) -> Result[T, list[Fault]]:
    """Validate a parsed document and convert it to `cls`.

    The schema definition has the name of the class.
    """
    faults = check_document(document, schema, cls.__name__)
    if faults:
        return Error(faults)
    return Ok(_CONVERTER.structure(document.data, cls))
