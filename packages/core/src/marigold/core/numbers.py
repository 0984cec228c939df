"""Numbers in text from outside, such as in headers."""

from __future__ import annotations

# Milliseconds since 1970 have 13 digits; `int` refuses text of a few thousand.
MAXIMUM_DIGITS = 18


def parse_number(text: str) -> int | None:
    """Return the number that ASCII digits state, None for any other text."""
    if not text.isascii() or not text.isdecimal() or len(text) > MAXIMUM_DIGITS:
        return None
    return int(text)
