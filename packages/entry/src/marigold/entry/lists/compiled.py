"""Compiled form of the two lists, in which requests are looked up."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from cattrs import Converter

from marigold.core.schema.generated.lists import (
    AllowancesList,
    Customer,
    ModelAllowance,
    PlanAllowance,
    PlansList,
    ServiceAllowance,
)
from marigold.entry.lists.state import Changes

_CONVERTER = Converter()


def compute_key_digest(key: str) -> str:
    """Return the digest that the plans list holds for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(slots=True)
class CustomerPlan:
    """A customer with the allowance of its plan."""

    name: str
    customer: Customer
    allowance: PlanAllowance

    @property
    def plan(self) -> str:
        """Name of the plan."""
        return self.customer.plan

    @property
    def precedence(self) -> int:
        """Precedence of the plan; lower numbers go first."""
        return self.allowance.precedence

    def get_model(self, name: str) -> ModelAllowance | None:
        """Return the allowance for a model."""
        return next((m for m in self.allowance.models if m.name == name), None)

    def get_service(self, name: str) -> ServiceAllowance | None:
        """Return the allowance for a plain service."""
        return next((s for s in self.allowance.services if s.name == name), None)


@dataclass(slots=True)
class CompiledLists:
    """The lists of one generation; generation 0 has no customers."""

    generation: int = 0
    customers: dict[str, CustomerPlan] = field(default_factory=dict)
    fallback: dict[str, list[str]] = field(default_factory=dict)
    plans: dict[str, PlanAllowance] = field(default_factory=dict)
    _by_digest: dict[str, CustomerPlan] = field(default_factory=dict)

    def find_customer(self, key: str) -> CustomerPlan | None:
        """Return the customer that a key belongs to."""
        digest = compute_key_digest(key)
        found = self._by_digest.get(digest)
        if found is None:
            return None
        known = (hmac.compare_digest(digest, item) for item in found.customer.keys)
        return found if any(known) else None

    def get_models(self) -> dict[str, ModelAllowance]:
        """Return the wanted models by name and version, as ``name@version``."""
        return {
            f"{model.name}@{model.version}": model
            for plan in self.plans.values()
            for model in plan.models
        }


def compile_lists(
    plans: PlansList,
    allowances: AllowancesList,
    generation: int = 0,
    fallback: dict[str, list[str]] | None = None,
) -> CompiledLists:
    """Compile two checked lists."""
    customers = {
        name: CustomerPlan(name, customer, allowances.plans[customer.plan])
        for name, customer in plans.customers.items()
    }
    by_digest = {
        digest: plan for plan in customers.values() for digest in plan.customer.keys
    }
    return CompiledLists(
        generation, customers, fallback or {}, allowances.plans, by_digest
    )


class ListChanges:
    """Changes between two generations; None stands for a removed entry."""

    __slots__ = ("allowances", "plans")

    def __init__(self, plans: Changes, allowances: Changes) -> None:
        self.plans = plans
        self.allowances = allowances

    def __len__(self) -> int:
        return len(self.plans) + len(self.allowances)


def compile_changes(
    before: CompiledLists,
    changes: ListChanges,
    generation: int,
    fallback: dict[str, list[str]],
) -> CompiledLists:
    """Return the lists after changes; raise `BaseValidationError` or `KeyError`.

    Entries that do not change are shared with `before`.
    """
    plans = dict(before.plans)
    _apply(plans, changes.allowances)
    customers = dict(before.customers)
    by_digest = dict(before._by_digest)
    recompiled = dict(_compile_customers(before, changes, plans))
    for name in recompiled.keys() | changes.plans.keys():
        old = customers.pop(name, None)
        for digest in old.customer.keys if old else ():
            del by_digest[digest]
    for name, customer in recompiled.items():
        customers[name] = customer
        by_digest.update(dict.fromkeys(customer.customer.keys, customer))
    return CompiledLists(generation, customers, fallback, plans, by_digest)


def _apply(plans: dict[str, PlanAllowance], changes: Changes) -> None:
    for name, entry in changes.items():
        if entry is None:
            plans.pop(name, None)
        else:
            plans[name] = _CONVERTER.structure(entry, PlanAllowance)


def _compile_customers(
    before: CompiledLists, changes: ListChanges, plans: Mapping[str, PlanAllowance]
) -> Iterator[tuple[str, CustomerPlan]]:
    for name, entry in changes.plans.items():
        if entry is not None:
            customer = _CONVERTER.structure(entry, Customer)
            yield name, CustomerPlan(name, customer, plans[customer.plan])
    if not changes.allowances:
        return
    for name, plan in before.customers.items():
        if plan.plan in changes.allowances and name not in changes.plans:
            yield name, CustomerPlan(name, plan.customer, plans[plan.plan])
