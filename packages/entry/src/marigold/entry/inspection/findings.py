"""What a check of a configuration finds."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from marigold.core.schema.generated.deployment import Configuration
from marigold.entry.inspection.limits import find_limit_faults
from marigold.entry.inspection.matching import find_unmatched
from marigold.entry.inspection.notes import Finding
from marigold.entry.inspection.restrictions import find_unserved


def inspect_configuration(
    cfg: Configuration, regions: Mapping[str, str], is_whole: bool = True
) -> list[Finding]:
    """Return all findings, errors first; `regions` maps data centres to regions.

    A configuration is not whole if parts were left out that could not be decoded.
    """
    found: Iterable[Finding] = (
        *find_unmatched(cfg, is_whole),
        *find_unserved(cfg, frozenset(regions.values())),
        *find_limit_faults(cfg),
    )
    return sorted(found, key=lambda item: not item.is_error)
