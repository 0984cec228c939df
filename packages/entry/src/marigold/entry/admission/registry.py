"""Registry of the limits at one entry, with the homes of their units."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, ValuesView

from marigold.entry.admission.agreement import Agreement, compute_homes
from marigold.entry.admission.resources import Limit, Resource

FindLimit = Callable[[str], Limit | None]


class ResourceRegistry:
    """Resources by name, created on first use.

    Iteration and `get` update the homes of the units to the agreement's version;
    `get_known` and `find` return resources without an update.
    """

    __slots__ = ("_agreement", "_find_limit", "_resources")

    def __init__(self, agreement: Agreement, find_limit: FindLimit) -> None:
        self._agreement = agreement
        self._find_limit = find_limit
        self._resources: dict[str, Resource] = {}

    def __iter__(self) -> Iterator[Resource]:
        for name in list(self._resources):
            resource = self.get(name)
            if resource is not None:
                yield resource

    def get(self, name: str) -> Resource | None:
        """Return a resource, or None if the lists define no such limit."""
        resource = self._resources.get(name)
        if resource is None:
            limit = self._find_limit(name)
            if limit is None:
                return None
            resource = self._resources[name] = Resource(name, limit)
        if resource.version != self._agreement.version:
            self._assign_homes(resource)
        return resource

    def find(self, name: str) -> Resource | None:
        """Return a resource, or None if it is not in the registry."""
        return self._resources.get(name)

    def get_known(self) -> ValuesView[Resource]:
        """Return all resources in the registry."""
        return self._resources.values()

    def refresh_limits(self) -> None:
        """Update all limits after the lists changed."""
        for name, resource in self._resources.items():
            limit = self._find_limit(name) or Limit(0, resource.limit.run_s)
            if limit.units != resource.limit.units:
                resource.version = -1
            resource.limit = limit

    def _assign_homes(self, resource: Resource) -> None:
        agreement = self._agreement
        units = resource.limit.units
        homes_by_view = [
            compute_homes(resource.name, units, view) for view in agreement.views
        ]
        is_own = [
            all(home == agreement.process for home in homes)
            for homes in zip(*homes_by_view, strict=True)
        ]
        resource.active = sum(is_own)
        current = compute_homes(resource.name, units, agreement.view)
        resource.homes = Counter(current)
        resource.version = agreement.version
