"""Bound on received bytes that carry no content.

A peer may send heads of interim answers, blank lines, chunk extensions or trailers
without end. The HTTP library keeps or skips them, so the protocols of both sides count
them and close the connection.
"""

from __future__ import annotations

from aiohttp.streams import StreamReader

# Bytes of the head of a message, blank lines and framing that the content does not
# account for. Heads of the largest size that the other limits allow fit into it.
MAXIMUM_OVERHEAD_BYTES = 128 * 1024
# Bytes of framing that each byte of content accounts for; a chunk of one byte has five.
FRAMING_RATIO = 8


class OverheadCounter:
    """Counts the bytes of one message that are not content."""

    __slots__ = ("_bytes", "_content", "_content_bytes")

    def __init__(self) -> None:
        self._bytes = 0
        self._content: StreamReader | None = None
        self._content_bytes = 0

    def start(self) -> None:
        """Start counting for the next message, whose head has not been received."""
        self._bytes = 0
        self._content = None
        self._content_bytes = 0

    def set_content(self, content: StreamReader) -> None:
        """Set the content of the message, whose head has been received."""
        self._content = content
        self._content_bytes = 0

    def add(self, size: int) -> None:
        """Record received bytes after they were parsed."""
        received = 0 if self._content is None else self._content.total_bytes
        progress = received - self._content_bytes
        self._content_bytes = received
        self._bytes = max(self._bytes + size - FRAMING_RATIO * progress, 0)

    def is_exceeded(self) -> bool:
        """Return whether more bytes without content arrived than are allowed."""
        return self._bytes > MAXIMUM_OVERHEAD_BYTES
