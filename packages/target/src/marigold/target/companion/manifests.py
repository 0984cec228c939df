"""Manifests by way of the hub; the origin is asked for chunks."""

from __future__ import annotations

import asyncio

from marigold.core.exceptions import (
    ManifestError,
    PlatformUnreachableError,
    WeightsNotFoundError,
)
from marigold.core.platform.adapter import WeightSource
from marigold.core.platform.weights import load_manifest
from marigold.core.schema.generated.messages import ManifestAsk
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.following import BeliefSource

# Seconds that a hub may take to answer, which asks the origin meanwhile.
ANSWER_TIMEOUT_S = 1.5


class HubManifests(WeightSource):
    """A source of weights that asks the hub for manifests while there is one."""

    def __init__(self, origin: WeightSource, beliefs: BeliefSource) -> None:
        self._origin = origin
        self._beliefs = beliefs

    async def get_manifest(self, model: str, version: int | None) -> Manifest:
        """Return the digests of a version, None for the newest.

        Raise `WeightsNotFoundError`, `ManifestError` or `PlatformUnreachableError`.
        """
        if not self._beliefs.has_hub:
            return await self._origin.get_manifest(model, version)
        ask = ManifestAsk(model=model, version=version or 0)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self._beliefs.ask_manifest(ask)
        except TimeoutError as exc:
            raise PlatformUnreachableError("no manifest from the hub in time") from exc
        if answer.gone:
            raise WeightsNotFoundError(f"{model} {version} is gone")
        if not answer.manifest:
            raise PlatformUnreachableError("the hub has no manifest now")
        manifest = load_manifest(answer.manifest)
        if manifest.model != model or version not in (None, int(manifest.version)):
            raise ManifestError(f"the manifest of {model} {version} is another's")
        return manifest

    async def get_chunk(self, manifest: Manifest, index: int, timeout: float) -> bytes:
        """Return a chunk, unchecked; `timeout` is in seconds without any bytes."""
        return await self._origin.get_chunk(manifest, index, timeout)
