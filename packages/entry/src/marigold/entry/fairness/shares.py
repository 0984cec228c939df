"""Organisations that are served less often than all of their precedence.

Answers an overload in which organisations compete for too little room and lose
unequally: requests that few runners may serve, or that reach the scheduler later than
those of others, lose to them each time a runner is free. The order of the queue does
not look at who asks, so that such an organisation can stay without service for as long
as the overload lasts.
"""

from __future__ import annotations

import math

from marigold.core.logging import get_logger
from marigold.entry.relay.requests import PlacementRequest

log = get_logger(__name__)

# An organisation counts as underserved below this fraction of how often all requests
# of its precedence are served. No organisation is to fall below a quarter, and half
# leaves time to make up for it.
UNDERSERVED_FRACTION = 0.5
# Time constant of the counts in seconds. Overloads last for some seconds, and callers
# leave within six.
AVERAGING_S = 5.0
# Requests of an organisation in the averaged counts below which its fraction says
# nothing.
MINIMUM_ASKED = 4.0
# Counts below this are forgotten, so that the counts do not grow with all
# organisations that ever asked.
FORGOTTEN = 0.01
# Seconds after which a request refreshes what was found. The scheduler does so only
# while requests wait, so that counts and findings of an overload would outlast it.
REFRESH_S = 1.0

Group = tuple[int, str]


class ServedCounts:
    """Averaged counts of requests and of those that were given a runner."""

    __slots__ = ("_updated_at", "asked", "served")

    def __init__(self, now: float) -> None:
        self.asked = 0.0
        self.served = 0.0
        self._updated_at = now

    def decay(self, now: float) -> None:
        """Reduce both counts by their age."""
        kept = math.exp(-max(now - self._updated_at, 0.0) / AVERAGING_S)
        self.asked *= kept
        self.served *= kept
        self._updated_at = now

    def get_fraction(self) -> float:
        """Return how often requests were served, 1 if there were none."""
        return min(self.served / self.asked, 1.0) if self.asked > 0 else 1.0


class OrganisationShares:
    """Finds the organisations that one service underserves.

    Each scheduler counts the requests that it sees, and a new one starts without
    counts. Example: of 100 requests of precedence 1 half are served, but 1 of 8 of one
    organisation; its requests then go first until it is served half as often as all.
    """

    __slots__ = ("_counts", "_refreshed_at", "underserved")

    def __init__(self) -> None:
        self._counts: dict[Group, ServedCounts] = {}
        self._refreshed_at = -math.inf
        self.underserved: frozenset[Group] = frozenset()

    def record_request(self, req: PlacementRequest, now: float) -> None:
        """Count a request, whether it is served later or not."""
        if now - self._refreshed_at >= REFRESH_S:
            self.refresh(req.service, now)
        group = get_group(req)
        counts = self._counts.get(group)
        if counts is None:
            counts = self._counts[group] = ServedCounts(now)
        counts.decay(now)
        counts.asked += 1.0

    def record_start(self, req: PlacementRequest, now: float) -> None:
        """Count a request that was given a runner."""
        counts = self._counts.get(get_group(req))
        if counts is not None:
            counts.decay(now)
            counts.served += 1.0

    def is_underserved(self, req: PlacementRequest) -> bool:
        """Return whether the request goes before others of its precedence."""
        return get_group(req) in self.underserved

    def count_groups(self) -> int:
        """Return how many organisations are counted, once for each precedence."""
        return len(self._counts)

    def refresh(self, service: str, now: float) -> None:
        """Find the underserved organisations anew, and log them if they changed."""
        self._refreshed_at = now
        totals: dict[int, ServedCounts] = {}
        for group, counts in list(self._counts.items()):
            counts.decay(now)
            if counts.asked < FORGOTTEN:
                del self._counts[group]
                continue
            total = totals.setdefault(group[0], ServedCounts(now))
            total.asked += counts.asked
            total.served += counts.served
        underserved = frozenset(
            group
            for group, counts in self._counts.items()
            if counts.asked >= MINIMUM_ASKED
            and counts.get_fraction()
            < UNDERSERVED_FRACTION * totals[group[0]].get_fraction()
        )
        for precedence, organisation in underserved - self.underserved:
            counts = self._counts[precedence, organisation]
            log.event(
                "organisation_underserved",
                service=service,
                organisation=organisation,
                precedence=precedence,
                asked=round(counts.asked, 1),
                served=round(counts.get_fraction(), 3),
                served_of_all=round(totals[precedence].get_fraction(), 3),
                averaged_s=AVERAGING_S,
            )
        for precedence, organisation in self.underserved - underserved:
            log.event(
                "organisation_served",
                service=service,
                organisation=organisation,
                precedence=precedence,
            )
        self.underserved = underserved


def get_group(req: PlacementRequest) -> Group:
    """Return the precedence and the organisation of a request."""
    return req.precedence, req.organisation
