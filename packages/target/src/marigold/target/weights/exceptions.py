"""Errors of the weight exchange."""

from __future__ import annotations

from marigold.core.exceptions import MarigoldError


class WeightError(MarigoldError):
    """Base of the errors of the weight exchange."""


class ChunkUnavailableError(WeightError):
    """A source did not send a chunk, or not in time."""


class ChunkRefusedError(ChunkUnavailableError):
    """A peer refuses to send a chunk for now."""


class ChunkCorruptError(WeightError):
    """A source sent bytes that do not match the chunk's digest."""


class EngineOrderError(WeightError):
    """The engine failed to carry out an order."""


class EngineFencedError(EngineOrderError):
    """The engine refused an order because its fencing number is too old."""


class VersionUnconfirmedError(EngineOrderError):
    """The engine accepted a load order but does not report the version."""


class OrderRefusedError(WeightError):
    """An order has an old fencing number or is meant for another model."""
