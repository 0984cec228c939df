"""Rate and concurrency limits of customers and capacity of plans at one entry.

Every limit applies to all entries together; the ledger holds this entry's current
share of it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from marigold.entry.admission.ledger import ShareLedger
from marigold.entry.admission.resources import Limit
from marigold.entry.lists.compiled import CompiledLists, CustomerPlan

MAXIMUM_RATE_UNITS = 64
DEMAND_WINDOW_S = 1.0


class TokenBucket:
    """Token bucket with a rate in tokens a second and a maximum burst.

    `units` is the number of units of the rate that this entry holds. The tokens for a
    period depend on the smaller of the numbers of units at its start and its end, so
    that received units earn nothing for the time before. `demand` estimates the tokens
    requested a second.
    """

    __slots__ = ("_at", "_units", "demand", "tokens")

    def __init__(self, units: int, now: float) -> None:
        self.tokens = 0.0
        self.demand = 0.0
        self._units = units
        self._at = now

    def refill(self, rate: float, burst: float, units: int, now: float) -> None:
        """Add the tokens earned so far; rate and burst are those of one unit."""
        passed = max(now - self._at, 0.0)
        self.tokens += passed * rate * min(units, self._units)
        self.tokens = min(self.tokens, burst * units)
        self.demand *= max(0.0, 1.0 - passed / DEMAND_WINDOW_S)
        self._units = units
        self._at = now

    def take(self, rate: float) -> float:
        """Take one token; return 0, or the seconds until one is available."""
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / (rate * max(self._units, 1))


def count_rate_units(customer: CustomerPlan) -> int:
    """Return the number of units into which a rate is divided.

    Each unit has a burst of at least one token, so that it is usable on its own.
    """
    return max(1, min(MAXIMUM_RATE_UNITS, int(customer.customer.burst)))


class LimitTable:
    """Looks up limits in the lists in force; see `ShareLedger`.

    `count_slots` returns how many requests all targets of a service can run at once.
    """

    def __init__(
        self,
        get_lists: Callable[[], CompiledLists],
        count_slots: Callable[[str], int],
        run_s: float,
    ) -> None:
        self._get_lists = get_lists
        self._count_slots = count_slots
        self._run_s = run_s

    def find(self, name: str) -> Limit | None:
        """Return the limit of a resource, or None if it is unknown."""
        kind, _, rest = name.partition("/")
        if kind == "capacity":
            return self._find_capacity(rest)
        customer = self._get_lists().customers.get(rest)
        if customer is None:
            return None
        if kind == "slots":
            return Limit(customer.customer.concurrency, self._run_s)
        return Limit(count_rate_units(customer), 0.0)

    def _find_capacity(self, rest: str) -> Limit | None:
        plan, _, service = rest.partition("/")
        allowance = self._get_lists().plans.get(plan)
        if allowance is None:
            return None
        slots = self._count_slots(service)
        # A plan with access to a service gets at least one slot.
        units = max(1, int(allowance.capacity * slots)) if slots else 0
        return Limit(units, self._run_s)


def _get_capacity_name(customer: CustomerPlan, service: str) -> str:
    return f"capacity/{customer.plan}/{service}"


class CustomerLimits:
    """Rates, waiting and running requests of each customer and plan."""

    def __init__(
        self,
        ledger: ShareLedger,
        get_lists: Callable[[], CompiledLists],
        started: float,
    ) -> None:
        self._ledger = ledger
        self._get_lists = get_lists
        self._started = started
        self._buckets: dict[str, TokenBucket] = {}
        self._running: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()

    def get_generation(self) -> int:
        """Return the generation of the lists that define the limits."""
        return self._get_lists().generation

    # Rates

    def take_rate(self, customer: CustomerPlan, now: float) -> float:
        """Take a token for a new request; return 0 or the seconds to wait."""
        bucket = self.refresh_rate(f"rate/{customer.name}", now)
        if bucket is not None:
            bucket.demand += 1.0 / DEMAND_WINDOW_S
        return self.retry_rate(customer, now)

    def retry_rate(self, customer: CustomerPlan, now: float) -> float:
        """Take a token for a waiting request; return 0 or the seconds to wait."""
        name = f"rate/{customer.name}"
        total = count_rate_units(customer)
        rate = customer.customer.rate
        bucket = self.refresh_rate(name, now)
        wait = bucket.take(rate / total) if bucket is not None else 1.0 / rate
        demand = bucket.demand if bucket is not None else 0.0
        needed = min(int(demand * total / rate) + 1, total)
        self._ledger.set_need(name, total if wait else needed, now)
        return wait

    def refresh_rate(self, name: str, now: float) -> TokenBucket | None:
        """Update the tokens of a rate; call at each change of its units."""
        customer = self._get_lists().customers.get(name.partition("/")[2])
        if customer is None:
            return None
        total = count_rate_units(customer)
        bucket = self._buckets.get(name)
        if bucket is None:
            # This entry's own units earn tokens from the time of the agreement.
            own = self._ledger.count_own_units(name, now)
            bucket = TokenBucket(own, max(self._started, self._ledger.agreed_at))
            self._buckets[name] = bucket
        units = self._ledger.count_units(name, now)
        plan = customer.customer
        bucket.refill(plan.rate / total, plan.burst / total, units, now)
        return bucket

    def refresh_rates(self, now: float) -> None:
        """Update the tokens of all rates."""
        for name in self._buckets:
            self.refresh_rate(name, now)

    def get_local_rate(self, customer: CustomerPlan, now: float) -> float:
        """Return this entry's share of a rate, at least that of its home units."""
        name = f"rate/{customer.name}"
        home = self._ledger.count_home_units(name)
        units = max(self._ledger.count_units(name, now), home, 1)
        return customer.customer.rate * units / count_rate_units(customer)

    def has_whole_rate(self, customer: CustomerPlan, now: float) -> bool:
        """Return whether this entry holds all units of the customer's rate."""
        units = self._ledger.count_units(f"rate/{customer.name}", now)
        return units >= count_rate_units(customer)

    def remove_tokens(self, name: str, fraction: float) -> float:
        """Remove a fraction of the tokens of a rate; return how many were removed."""
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0.0
        tokens = bucket.tokens * fraction
        bucket.tokens -= tokens
        return tokens

    def add_tokens(self, name: str, tokens: float, now: float) -> None:
        """Add tokens that another entry has transferred."""
        bucket = self.refresh_rate(name, now)
        if bucket is not None:
            bucket.tokens += tokens

    # Slots

    def has_slot(self, customer: CustomerPlan, now: float) -> bool:
        """Return whether another request of the customer may run."""
        return self._ledger.has_free(f"slots/{customer.name}", now)

    def has_capacity(self, customer: CustomerPlan, service: str, now: float) -> bool:
        """Return whether the plan may use another slot of the service."""
        if customer.allowance.capacity >= 1.0:
            return True
        return self._ledger.has_free(_get_capacity_name(customer, service), now)

    def count_running(self, customer: CustomerPlan) -> int:
        """Return how many requests of the customer run at this entry."""
        return self._running[f"slots/{customer.name}"]

    def count_slots(self, customer: CustomerPlan, now: float) -> int:
        """Return how many requests of the customer may run at this entry now."""
        return self._ledger.count_units(f"slots/{customer.name}", now)

    def _get_names(self, customer: CustomerPlan, service: str) -> list[str]:
        names = [f"slots/{customer.name}"]
        if customer.allowance.capacity < 1.0:
            names.append(_get_capacity_name(customer, service))
        return names

    def adjust_waiting(
        self, customer: CustomerPlan, service: str, step: int, now: float
    ) -> bool:
        """Add `step` to the number of waiting requests of a customer and service.

        Return whether this entry needs more than its share of a limit.
        """
        needs_more = False
        for name in self._get_names(customer, service):
            self._waiting[name] += step
            self._set_need(name, now)
            needs_more = needs_more or self._ledger.needs_more(name, now)
        return needs_more

    def _set_need(self, name: str, now: float) -> None:
        self._ledger.set_need(name, self._waiting[name] + self._running[name], now)

    def take_slot(self, customer: CustomerPlan, service: str, now: float) -> list[str]:
        """Count a request as running; return the argument for `release_slot`."""
        taken = [
            name
            for name in self._get_names(customer, service)
            if self._ledger.try_acquire(name, now)
        ]
        for name in taken:
            self._running[name] += 1
            self._set_need(name, now)
        return taken

    def release_slot(self, taken: list[str], now: float) -> None:
        """Count a request as ended."""
        for name in taken:
            self._ledger.release(name, now)
            self._running[name] -= 1
            self._set_need(name, now)
