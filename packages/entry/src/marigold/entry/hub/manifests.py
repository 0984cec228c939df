"""Manifests of weights for the companions of a cell.

When a new version is announced, all companions of a deployment need its manifest at
once, but the origin accepts only a few connections. The hub therefore fetches each
manifest once for its cell.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigold.core.exceptions import (
    ManifestError,
    PlatformError,
    WeightsNotFoundError,
)
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.platform.adapter import WeightSource
from marigold.core.platform.weights import abbreviate_digest, dump_manifest
from marigold.core.schema.generated.messages import ManifestAnswer, ManifestAsk

log = get_logger(__name__)

# Enough for all versions that may be in distribution at once.
CACHED_MANIFESTS_MAXIMUM = 4


class ManifestProxy:
    """Fetches each manifest from the origin once and sends it to companions.

    `get_source` returns None if there is no origin.
    """

    def __init__(self, get_source: Callable[[], WeightSource | None]) -> None:
        self._get_source = get_source
        self._cached: dict[tuple[str, int], ManifestAnswer] = {}
        self._waiting: dict[tuple[str, int], list[Channel]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Cancel all pending fetches."""
        await cancel_tasks(*self._tasks)

    def handle_request(self, channel: Channel, message: ManifestAsk) -> None:
        """Answer a companion, now or when the origin has answered."""
        key = (message.model, message.version)
        if key in self._cached:
            channel.put(self._cached[key])
            return
        if key in self._waiting:
            self._waiting[key].append(channel)
            return
        self._waiting[key] = [channel]
        task = asyncio.create_task(self._fetch(key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, key: tuple[str, int]) -> None:
        model, version = key
        answer = ManifestAnswer(model=model, version=version)
        try:
            source = self._get_source()
            if source is not None:
                manifest = await source.get_manifest(model, version or None)
                answer.manifest = dump_manifest(manifest)
                log.event(
                    "manifest_fetched",
                    model=model,
                    version=manifest.version,
                    manifest=abbreviate_digest(manifest.digest),
                    waiting=len(self._waiting[key]),
                )
        except WeightsNotFoundError as exc:
            answer.gone = True
            log.event("manifest_gone", model=model, version=version, reason=exc)
        except (PlatformError, ManifestError) as exc:
            log.event("manifest_failed", model=model, version=version, reason=exc)
        finally:
            channels = self._waiting.pop(key, [])
        if version and (answer.manifest or answer.gone):
            self._cached[key] = answer
            for old in list(self._cached)[:-CACHED_MANIFESTS_MAXIMUM]:
                del self._cached[old]
        for channel in channels:
            channel.put(answer)
