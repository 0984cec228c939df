"""Validation of the two lists as a pair."""

from __future__ import annotations

from collections.abc import Iterator

from expression import Error, Ok, Result

from marigold.core.documents import (
    Document,
    Fault,
    parse_document,
    structure_document,
)
from marigold.core.schema.generated.lists import AllowancesList, PlansList
from marigold.entry.lists.state import Entry

PLANS = "plans"
ALLOWANCES = "allowances"
NAMES = (PLANS, ALLOWANCES)


class CheckedPair:
    """Two valid lists; `warnings` do not prevent their acceptance.

    `plans_entries` and `allowances_entries` are the customers and the plans as
    they were written, without default values.
    """

    __slots__ = (
        "allowances",
        "allowances_entries",
        "plans",
        "plans_entries",
        "warnings",
    )

    def __init__(
        self,
        plans: PlansList,
        allowances: AllowancesList,
        plans_entries: dict[str, Entry],
        allowances_entries: dict[str, Entry],
        warnings: list[Fault],
    ) -> None:
        self.plans = plans
        self.allowances = allowances
        self.plans_entries = plans_entries
        self.allowances_entries = allowances_entries
        self.warnings = warnings


def _check_references(
    document: Document, plans: PlansList, allowances: AllowancesList
) -> Iterator[Fault]:
    owners: dict[str, str] = {}
    for name, customer in plans.customers.items():
        if customer.plan not in allowances.plans:
            known = ", ".join(sorted(allowances.plans)) or "none"
            expected = f"no plan {customer.plan!r} in the allowances; known: {known}"
            yield document.make_fault(("customers", name, "plan"), expected)
        for index, digest in enumerate(customer.keys):
            owner = owners.setdefault(digest, name)
            if owner != name:
                path = ("customers", name, "keys", index)
                yield document.make_fault(path, f"the key belongs to {owner}")


def _check_allowances(
    document: Document, allowances: AllowancesList
) -> Iterator[Fault]:
    for name, plan in allowances.plans.items():
        for kind, items in (("models", plan.models), ("services", plan.services)):
            seen: set[str] = set()
            for index, item in enumerate(items):
                path = ("plans", name, kind, index, "name")
                if item.name in seen:
                    yield document.make_fault(path, f"{item.name} stands twice")
                seen.add(item.name)


def _find_warnings(
    document: Document, plans: PlansList, allowances: AllowancesList
) -> Iterator[Fault]:
    used = {customer.plan for customer in plans.customers.values()}
    for name in allowances.plans:
        if name not in used:
            yield document.make_fault(("plans", name), "no customer has this plan")


def check_pair(
    plans_text: str,
    allowances_text: str,
    plans_file: str = PLANS,
    allowances_file: str = ALLOWANCES,
) -> Result[CheckedPair, list[Fault]]:
    """Check both lists and the references between them; return all faults found."""
    faults: list[Fault] = []
    typed = []
    documents = []
    for text, file, cls in (
        (plans_text, plans_file, PlansList),
        (allowances_text, allowances_file, AllowancesList),
    ):
        parsed = parse_document(text, file)
        if parsed.is_error():
            faults.extend(parsed.error)
            continue
        result = structure_document(parsed.ok, "lists", cls)
        if result.is_error():
            faults.extend(result.error)
            continue
        documents.append(parsed.ok)
        typed.append(result.ok)
    if faults:
        return Error(faults)
    plans, allowances = typed
    faults.extend(_check_references(documents[0], plans, allowances))
    faults.extend(_check_allowances(documents[1], allowances))
    if faults:
        return Error(faults)
    warnings = list(_find_warnings(documents[1], plans, allowances))
    plans_entries = documents[0].data["customers"]
    allowances_entries = documents[1].data["plans"]
    return Ok(
        CheckedPair(plans, allowances, plans_entries, allowances_entries, warnings)
    )
