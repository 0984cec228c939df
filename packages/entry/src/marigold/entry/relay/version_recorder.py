"""Records since when the versions that operators named are in force."""

from __future__ import annotations

from collections.abc import Callable

from marigold.core.boottime import get_boottime
from marigold.core.logging import get_logger
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.schema.generated.deployment import WantedVersion
from marigold.entry.relay.minimum_versions import MinimumVersions

log = get_logger(__name__)

# A version that was named before this process started becomes the minimum this many
# seconds before the bounds apply to the process.
START_MARGIN_S = 0.5


class VersionRecorder:
    """Passes named versions on to the minimum versions of this process.

    The process started at `started_at`, in boot time; `get_stability` returns the
    seconds that it is given after its start.
    """

    __slots__ = ("_get_stability", "_minimum_versions", "_started_at", "_versions")

    def __init__(
        self,
        versions: ObjectCache[WantedVersion],
        minimum_versions: MinimumVersions,
        started_at: float,
        get_stability: Callable[[], float],
    ) -> None:
        self._versions = versions
        self._minimum_versions = minimum_versions
        self._started_at = started_at
        self._get_stability = get_stability

    def record(self) -> None:
        """Record the versions that are new in the list."""
        minimum_versions = self._minimum_versions
        for name, wanted in self._versions.items.items():
            if wanted.version in minimum_versions.get_due_times(wanted.model):
                continue
            named_at = self._versions.valid_from.get(name)
            if named_at is not None:
                minimum_versions.record(wanted.model, wanted.version, named_at)
            else:
                due_at = self._started_at + self._get_stability() - START_MARGIN_S
                minimum_versions.record_undated(wanted.model, wanted.version, due_at)
            now = get_boottime()
            due_times = minimum_versions.get_due_times(wanted.model)
            log.event(
                "version_named",
                model=wanted.model,
                version=wanted.version,
                seconds=None if named_at is None else now - named_at,
                minimum_in=",".join(
                    f"{known}:{due - now:.3f}" for known, due in due_times.items()
                ),
            )
