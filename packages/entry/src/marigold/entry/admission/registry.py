"""The limits that one entry keeps account of, each divided by the agreed views."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, ValuesView

from marigold.entry.admission.agreement import Agreement, compute_homes
from marigold.entry.admission.resources import Limit, Resource

FindLimit = Callable[[str], Limit | None]


class ResourceRegistry:
    """Resources by name, begun when they are first looked up.

    Iteration and `get` bring the homes of their units up to the agreement's version;
    `get_known` and `find` give resources as they are.
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
        """Return a resource, None where the lists know no such limit."""
        resource = self._resources.get(name)
        if resource is None:
            limit = self._find_limit(name)
            if limit is None:
                return None
            resource = self._resources[name] = Resource(name, limit)
        if resource.version != self._agreement.version:
            self._place(resource)
        return resource

    def find(self, name: str) -> Resource | None:
        """Return a resource that was looked up before."""
        return self._resources.get(name)

    def get_known(self) -> ValuesView[Resource]:
        """Return all that were looked up before."""
        return self._resources.values()

    def refresh_limits(self) -> None:
        """Look all limits up again after the lists changed."""
        for name, resource in self._resources.items():
            limit = self._find_limit(name) or Limit(0, resource.limit.run_s)
            if limit.units != resource.limit.units:
                resource.version = -1
            resource.limit = limit

    def _place(self, resource: Resource) -> None:
        agreement = self._agreement
        units = resource.limit.units
        placed = [compute_homes(resource.name, units, v) for v in agreement.views]
        mine = [
            all(home == agreement.me for home in h) for h in zip(*placed, strict=True)
        ]
        resource.active = sum(mine)
        current = compute_homes(resource.name, units, agreement.view)
        resource.homes = Counter(current)
        resource.version = agreement.version
