"""Errors that every package shares.

Each failure has a type below `MarigoldError`. Errors that a person caused, such
as a fault in a settings file, derive from `UserError`: the command line prints
their message and exits with status 2, without a traceback.
"""

from __future__ import annotations


class MarigoldError(Exception):
    """Base of all errors of the system."""


class UserError(MarigoldError):
    """An error that the person at the command line can mend."""


class LinkError(MarigoldError):
    """A peer link failed."""


class LinkClosedError(LinkError):
    """The link closed before the message could be sent."""


class LinkAuthError(LinkError):
    """The peer did not prove the shared secret."""


class LinkMessageError(LinkError):
    """The peer sent bytes that are no message."""


class PlatformError(MarigoldError):
    """A call to the platform failed."""


class PlatformUnreachableError(PlatformError):
    """The platform gave no answer, or answered that it is not available.

    A write that ends in this error may have taken effect.
    """


class ObjectConflictError(PlatformError):
    """A conditional write met another version.

    `version` is the version that is in force, 0 when there is none.
    """

    def __init__(self, name: str, version: int) -> None:
        super().__init__(f"{name} is at version {version}")
        self.name = name
        self.version = version


class ObjectNotFoundError(PlatformError):
    """The platform holds no object of that name."""


class WeightsNotFoundError(PlatformError):
    """The weight store holds no such version."""


class ManifestError(MarigoldError):
    """A manifest contradicts itself or is malformed."""


class LeaseLostError(MarigoldError):
    """The lease lapsed or passed to another holder."""


class HistoryLostError(PlatformError):
    """The store no longer knows what changed since a revision."""


class OrderConflictError(PlatformError):
    """The engine's state does not fit the order."""
