"""Journal of the requests that a back end executed, which outlives its process.

It holds one JSON object a line, written before the answer is sent, with the time in
seconds since 1970 as `at`.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Journal:
    """Appends records to a file; does nothing without a path."""

    __slots__ = ("_stream",)

    def __init__(self, path: str = "") -> None:
        self._stream = Path(path).open("a", encoding="utf-8") if path else None

    def append(self, record: dict[str, Any]) -> None:
        """Append one record and flush the file."""
        if self._stream is not None:
            line = json.dumps({**record, "at": time.time()})
            self._stream.write(line + "\n")
            self._stream.flush()


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the records of a journal, or none if it does not exist."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
