"""Evacuations as the store lists them, applied to the rules of this process.

They stay in force while the store or the hub is away, as the cache keeps its contents.
A process that has just started knows of none, and sends nothing before the store, or a
hub, has confirmed the list.
"""

from __future__ import annotations

from marigold.core.logging import get_logger
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.schema.generated.deployment import Evacuation
from marigold.entry.eligibility.rules import EligibilityRules

log = get_logger(__name__)


def make_rules(evacuations: ObjectCache[Evacuation] | None) -> EligibilityRules:
    """Return rules for a deployment, whose list of evacuations is None without any."""
    if evacuations is None:
        return EligibilityRules()
    rules = EligibilityRules(lambda: evacuations.confirmed_at is not None)
    EvacuationTracker(evacuations, rules)
    return rules


class EvacuationTracker:
    """Keeps `EligibilityRules.evacuated` equal to the list of evacuations."""

    __slots__ = ("_evacuations", "_rules")

    def __init__(
        self, evacuations: ObjectCache[Evacuation], rules: EligibilityRules
    ) -> None:
        self._evacuations = evacuations
        self._rules = rules
        evacuations.subscribe(self._apply)

    def _apply(self) -> None:
        before = self._rules.evacuated
        evacuated = frozenset(
            item.data_centre for item in self._evacuations.items.values()
        )
        self._rules.evacuated = evacuated
        for data_centre in sorted(evacuated ^ before):
            log.event(
                "evacuation_begins" if data_centre in evacuated else "evacuation_ends",
                data_centre=data_centre,
                revision=self._evacuations.revision,
                age=self._evacuations.get_age(),
            )
