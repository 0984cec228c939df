"""Weight source that reads manifests through the hub and chunks from the origin."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from marigold.core.exceptions import (
    ManifestError,
    PlatformUnreachableError,
    WeightsNotFoundError,
)
from marigold.core.platform.adapter import WeightSource
from marigold.core.platform.weights import check_shape, load_manifest
from marigold.core.schema.generated.deployment import EngineModel
from marigold.core.schema.generated.messages import ManifestAsk
from marigold.core.schema.generated.records import Manifest
from marigold.target.companion.cache_updater import CacheUpdater

# Seconds that a hub may take to answer; it may have to ask the origin first.
ANSWER_TIMEOUT_S = 1.5


class HubManifestSource(WeightSource):
    """Weight source that asks the hub for manifests while one is linked.

    `get_origin` returns the origin that the configuration in force names. `get_engine`
    returns the cost model of the engines, whose chunks all manifests must have. A
    manifest that does not fit it is named as doubted with the next request.
    """

    def __init__(
        self,
        get_origin: Callable[[], WeightSource],
        updater: CacheUpdater,
        get_engine: Callable[[], EngineModel | None],
    ) -> None:
        self._get_origin = get_origin
        self._updater = updater
        self._get_engine = get_engine
        self._unfit: dict[int, str] = {}

    async def get_manifest(
        self, model: str, version: int | None, doubted: Collection[str] = ()
    ) -> Manifest:
        """Return the digests of a version, None for the newest.

        The hub asks the origin again if it has one of the `doubted` manifests. Raise
        `WeightsNotFoundError`, `ManifestError` or `PlatformUnreachableError`.
        """
        unfit = self._unfit.pop(version or 0, "")
        if unfit:
            doubted = [*doubted, unfit]
        manifest = await self._get_manifest(model, version, doubted)
        try:
            check_shape(manifest, self._get_engine())
        except ManifestError:
            self._unfit[version or 0] = manifest.digest
            raise
        return manifest

    async def _get_manifest(
        self, model: str, version: int | None, doubted: Collection[str]
    ) -> Manifest:
        if not self._updater.has_hub:
            return await self._get_origin().get_manifest(model, version, doubted)
        req = ManifestAsk(model=model, version=version or 0, doubted=list(doubted))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self._updater.request_manifest(req)
        except TimeoutError as exc:
            raise PlatformUnreachableError("the hub sent no manifest in time") from exc
        if answer.gone:
            raise WeightsNotFoundError(f"{model} {version} no longer exists")
        if not answer.manifest:
            raise PlatformUnreachableError("the hub has no manifest")
        manifest = load_manifest(answer.manifest)
        if manifest.model != model or version not in (None, int(manifest.version)):
            raise ManifestError(f"the manifest does not match {model} {version}")
        return manifest

    async def get_chunk(self, manifest: Manifest, index: int, timeout: float) -> bytes:
        """Return a chunk, unchecked; `timeout` is the seconds without any bytes."""
        return await self._get_origin().get_chunk(manifest, index, timeout)
