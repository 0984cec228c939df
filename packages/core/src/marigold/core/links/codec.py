"""CBOR encoding of the messages on peer links.

A frame is the array ``[code, clock, fields]``. Message codes are numbered in the order
of the classes in the schema, so both ends of a link must use the same schema.
"""

from __future__ import annotations

import inspect
from collections.abc import Callable
from dataclasses import is_dataclass
from functools import cache
from typing import Any

from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, dumps, loads

from marigold.core.exceptions import LinkMessageError
from marigold.core.schema.generated import messages

_CONVERTER = make_converter(detailed_validation=False, omit_if_default=True)


def _get_classes() -> list[type[Any]]:
    members = vars(messages).values()
    return [
        item
        for item in members
        if inspect.isclass(item) and is_dataclass(item) and item.__name__ != "Messages"
    ]


_CLASSES = _get_classes()
_CODES = {cls: code for code, cls in enumerate(_CLASSES)}


# Hooks are built on first use: a process sends and receives only a few of the classes.
@cache
def _get_unstructure_hook(code: int) -> Callable[[Any], Any]:
    return _CONVERTER.get_unstructure_hook(_CLASSES[code])


@cache
def _get_structure_hook(code: int) -> Callable[[Any, Any], Any]:
    return _CONVERTER.get_structure_hook(_CLASSES[code])


def encode(message: Any, clock: int) -> bytes:
    """Encode a message and a reading of the hybrid clock as a frame."""
    code = _CODES[type(message)]
    return dumps([code, clock, _get_unstructure_hook(code)(message)])


def decode(frame: bytes) -> tuple[int, Any]:
    """Return the clock reading and the message of a frame.

    Raise `LinkMessageError` if the frame contains no valid message of the schema.
    """
    try:
        code, clock, fields = loads(frame)
        if not isinstance(clock, int) or not isinstance(fields, dict):
            raise LinkMessageError("expected a frame of the form [code, clock, fields]")
        if not isinstance(code, int) or not 0 <= code < len(_CLASSES):
            raise LinkMessageError(f"unknown message code {code!r}")
        return clock, _get_structure_hook(code)(fields, _CLASSES[code])
    except CBORDecodeError as exc:
        raise LinkMessageError(f"malformed message: {exc}") from exc
    except (ArithmeticError, LookupError, RecursionError, TypeError, ValueError) as exc:
        raise LinkMessageError(f"malformed message: {exc!r}") from exc
