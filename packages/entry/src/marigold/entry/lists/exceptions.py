"""Errors of the lists."""

from __future__ import annotations

from marigold.core.exceptions import MarigoldError, PlatformError


class ListRecordError(PlatformError):
    """Raised when a stored object of the lists holds unexpected data."""


class RevisionConflictError(MarigoldError):
    """Raised when another edit of the list was written first.

    `revision` is the current one. `is_certain` is false when an earlier try of
    the refused edit may have been in force temporarily.
    """

    def __init__(self, name: str, revision: int, is_certain: bool) -> None:
        super().__init__(f"{name} is at version {revision}")
        self.name = name
        self.revision = revision
        self.is_certain = is_certain
