"""One finding about a part of a configuration."""

from __future__ import annotations


class Finding:
    """An error, or a warning if it may be intended; `key` names the part.

    Example: ``Finding("route draft", "no service has the name model-2")``.
    """

    __slots__ = ("is_error", "key", "text")

    def __init__(self, key: str, text: str, is_error: bool = True) -> None:
        self.key = key
        self.text = text
        self.is_error = is_error

    def __str__(self) -> str:
        kind = "error" if self.is_error else "warning"
        return f"{kind}: {self.key}: {self.text}"

    def __repr__(self) -> str:
        return f"Finding({self!s})"
