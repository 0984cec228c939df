"""Manifests of weights for the companions of a cell.

When a new version is announced, all companions of a deployment need its manifest at
once, but the origin accepts only a few connections. The hub therefore fetches each
manifest once for its cell, and again when a companion doubts it: the origin's answer
may have been corrupt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import (
    ManifestError,
    PlatformError,
    WeightsNotFoundError,
)
from marigold.core.lifecycle import cancel_tasks
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.metrics import Counter
from marigold.core.platform.adapter import WeightSource
from marigold.core.platform.weights import (
    abbreviate_digest,
    check_shape,
    dump_manifest,
)
from marigold.core.schema.generated.deployment import EngineModel
from marigold.core.schema.generated.messages import ManifestAnswer, ManifestAsk

log = get_logger(__name__)

# Minimum seconds between two requests to the origin for a manifest in doubt or a
# version that it denied, as all companions of a cell may ask one after another.
RECHECK_INTERVAL_S = 0.5
# Enough for all versions that may be in distribution at once.
CACHED_MANIFESTS_MAXIMUM = 4


class _CachedAnswer:
    """Answer of the origin; `digest` is that of its manifest, empty if it denied one.

    `due_at` is the boot time in seconds from which on it may be requested again.
    """

    __slots__ = ("answer", "digest", "due_at")

    def __init__(self, answer: ManifestAnswer, digest: str, due_at: float) -> None:
        self.answer = answer
        self.digest = digest
        self.due_at = due_at


class ManifestProxy:
    """Fetches manifests from the origin and sends each one to many companions.

    `get_source` returns None if there is no origin, and `get_engine` the cost model of
    the engines of a model, or None. `outcomes` counts the requests to
    the origin. `clock` reads boot time in seconds.
    """

    def __init__(
        self,
        get_source: Callable[[], WeightSource | None],
        get_engine: Callable[[str], EngineModel | None],
        outcomes: Counter,
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self._get_source = get_source
        self._get_engine = get_engine
        self._outcomes = outcomes
        self._clock = clock
        self._cached: dict[tuple[str, int], _CachedAnswer] = {}
        self._waiting: dict[tuple[str, int], list[Channel]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Cancel all pending fetches."""
        await cancel_tasks(*self._tasks)

    def handle_request(self, channel: Channel, message: ManifestAsk) -> None:
        """Answer a companion, now or when the origin has answered."""
        key = (message.model, message.version)
        cached = self._cached.get(key)
        is_doubted = cached is None or cached.digest in ("", *message.doubted)
        if is_doubted and key in self._waiting:
            self._waiting[key].append(channel)
            return
        if cached is not None and not (is_doubted and self._clock() >= cached.due_at):
            channel.put(cached.answer)
            return
        self._waiting[key] = [channel]
        task = asyncio.create_task(self._fetch(key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, key: tuple[str, int]) -> None:
        model, version = key
        answer = ManifestAnswer(model=model, version=version)
        cached = self._cached.get(key)
        if cached is not None:
            cached.due_at = self._clock() + RECHECK_INTERVAL_S
        digest = ""
        outcome = "failed"
        try:
            source = self._get_source()
            if source is not None:
                manifest = await source.get_manifest(model, version or None)
                check_shape(manifest, self._get_engine(model))
                answer.manifest = dump_manifest(manifest)
                digest = manifest.digest
                outcome = _compare(cached, digest)
                log.event(
                    "manifest_fetched",
                    model=model,
                    version=manifest.version,
                    manifest=abbreviate_digest(digest),
                    outcome=outcome,
                    waiting=len(self._waiting[key]),
                )
        except WeightsNotFoundError as exc:
            answer.gone = True
            outcome = "gone"
            log.event("manifest_gone", model=model, version=version, reason=exc)
        except (PlatformError, ManifestError) as exc:
            log.event("manifest_failed", model=model, version=version, reason=exc)
        finally:
            channels = self._waiting.pop(key, [])
        self._outcomes.add(outcome)
        has_manifest = cached is not None and bool(cached.digest)
        if version and (answer.manifest or (answer.gone and not has_manifest)):
            # The first manifest of a version may be doubted at once.
            is_first = cached is None and bool(digest)
            due_at = self._clock() + (0.0 if is_first else RECHECK_INTERVAL_S)
            self._cached[key] = _CachedAnswer(answer, digest, due_at)
            for old in list(self._cached)[:-CACHED_MANIFESTS_MAXIMUM]:
                del self._cached[old]
        for channel in channels:
            channel.put(answer)


def _compare(cached: _CachedAnswer | None, digest: str) -> str:
    """Return the outcome of a request by the manifest that was cached before it."""
    if cached is None or not cached.digest:
        return "fetched"
    return "confirmed" if cached.digest == digest else "changed"
