"""Acceptance of an edited pair of lists.

`ListAcceptor.change` stores an operator's edit with one conditional write of the
edited pair. `ListAcceptor.advance` then turns the pair into a new generation with
one conditional write of the accepted record. Any process may call `advance`, also
for an edit that another process stored.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from expression import Error, Ok, Result

from marigold.core.documents import Fault
from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
    PlatformError,
    PlatformUnreachableError,
)
from marigold.core.logging import get_logger
from marigold.core.schema.generated.records import Accepted, EditedList, EditedPair
from marigold.entry.lists.background import run_in_background
from marigold.entry.lists.checking import (
    ALLOWANCES,
    NAMES,
    PLANS,
    CheckedPair,
    check_pair,
)
from marigold.entry.lists.exceptions import RevisionConflictError
from marigold.entry.lists.state import Changes, Entry, ListState, PartTable
from marigold.entry.lists.store import EditedObject, ListStore, compute_pair_digest

log = get_logger(__name__)

MAXIMUM_FALLBACKS = 4

T = TypeVar("T")

MAXIMUM_TRIES = 20
RETRY_S = 0.2
CHANGE_TIMEOUT_S = 8.0
GENERATIONS_PER_COLLECTION = 64


class Edit:
    """A new text of a list and the revision it replaces; None for the latest."""

    __slots__ = ("revision", "text")

    def __init__(self, text: str, revision: int | None) -> None:
        self.text = text
        self.revision = revision


class AcceptedChange:
    """Result of an edit in force: its generation and the revisions of the lists."""

    __slots__ = ("generation", "revisions")

    def __init__(self, generation: int, revisions: dict[str, int]) -> None:
        self.generation = generation
        self.revisions = revisions


def _get_lists(pair: EditedPair) -> dict[str, EditedList]:
    return {PLANS: pair.plans, ALLOWANCES: pair.allowances}


def _get_versions(allowances: PartTable) -> dict[str, str]:
    return {
        model["name"]: model["version"]
        for _, plan in allowances
        for model in plan.get("models", ())
    }


def _make_fallback(
    fallback: Mapping[str, list[str]], old: dict[str, str], new: dict[str, str]
) -> dict[str, list[str]]:
    """Return the earlier versions that may serve until the wanted one is loaded.

    Several are kept, because a version may be replaced before any host loads it.
    """
    result = {}
    for model, version in new.items():
        before = [old[model]] if model in old else []
        known = dict.fromkeys([*before, *fallback.get(model, ())])
        versions = [item for item in known if item != version]
        if versions:
            result[model] = versions[:MAXIMUM_FALLBACKS]
    return result


def _replace_entries(table: PartTable, entries: dict[str, Entry]) -> PartTable:
    changes: Changes = {name: None for name, _ in table if name not in entries}
    for name, entry in entries.items():
        if table.get(name) != entry:
            changes[name] = entry
    return table.apply(changes)


def make_state(
    before: ListState, generation: int, edited: str, pair: CheckedPair
) -> ListState:
    """Return the state of a new generation that replaces `before`."""
    plans = _replace_entries(before.plans, pair.plans_entries)
    allowances = _replace_entries(before.allowances, pair.allowances_entries)
    old, new = _get_versions(before.allowances), _get_versions(allowances)
    fallback = _make_fallback(before.fallback, old, new)
    return ListState(generation, edited, plans, allowances, fallback)


class ListAcceptor:
    """Stores edits and accepts them as new generations.

    `get_state` returns the state in force at this process; parts that it holds are
    not read again. `on_accepted` is called with each state that this process
    accepts. `faults` are the faults of the edited pair at its last check.
    """

    def __init__(
        self,
        store: ListStore,
        get_state: Callable[[], ListState],
        on_accepted: Callable[[ListState], Awaitable[object]],
    ) -> None:
        self._store = store
        self._get_state = get_state
        self._on_accepted = on_accepted
        self._last_checked: tuple[str, CheckedPair] | None = None
        self.faults: list[Fault] = []

    async def change(
        self, edits: Mapping[str, Edit]
    ) -> Result[AcceptedChange, list[Fault]]:
        """Store edits in one write and accept the pair, or return its faults.

        Raise `RevisionConflictError` when another edit was written first. While the
        platform does not respond, read the pair back and retry; raise
        `PlatformUnreachableError` after `CHANGE_TIMEOUT_S` seconds. The edit may
        have been stored in that case, and another process accepts it later.
        """
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        writer = _EditWriter(self._store, edits)
        written = await _retry(writer.write, deadline)
        if written.is_error():
            return Error(written.error)
        self._last_checked = writer.checked
        advanced = await _retry(self.advance, deadline)
        if advanced.is_error():
            return Error(advanced.error)
        return Ok(AcceptedChange(advanced.ok, written.ok))

    async def advance(self) -> Result[int, list[Fault]]:
        """Accept the edited pair; return the generation in force.

        The accepted object is read before the edited one and written conditionally
        on the version read, so that an older pair never replaces a newer one. Raise
        `PlatformUnreachableError`; the write may have taken effect in that case,
        which the next call detects.
        """
        for _ in range(MAXIMUM_TRIES):
            accepted = await self._store.get_accepted()
            edited = await self._store.get_edited()
            record = accepted.record
            if edited.version == 0 or (record and record.edited == edited.digest):
                self.faults = []
                return Ok(accepted.generation)
            if edited.fault is not None:
                return Error(self._reject([edited.fault]))
            try:
                made = await self._make_state(record, edited)
                if made.is_error():
                    return Error(self._reject(made.error))
                await self._store.put_accepted(made.ok, accepted)
            except (ObjectConflictError, ObjectNotFoundError):
                continue
            await self._finish_acceptance(made.ok)
            await self._collect_garbage(made.ok.generation)
            return Ok(made.ok.generation)
        raise ObjectConflictError("lists/accepted", 0)

    async def _make_state(
        self, record: Accepted | None, edited: EditedObject
    ) -> Result[ListState, list[Fault]]:
        before = self._get_state()
        generation = before.generation + 1
        if record is not None and record.digest != before.digest:
            before = await self._store.load_state(record, before)
            generation = max(generation, before.generation + 1)
        checked = await self._check(edited)
        if checked.is_error():
            return Error(checked.error)
        args = (before, generation, edited.digest, checked.ok)
        return Ok(await run_in_background(make_state, *args))

    async def _check(self, edited: EditedObject) -> Result[CheckedPair, list[Fault]]:
        if self._last_checked and self._last_checked[0] == edited.digest:
            return Ok(self._last_checked[1])
        lists = [edited.get_list(name) for name in NAMES]
        texts = [await self._store.load_text(item) for item in lists]
        return await run_in_background(check_pair, *texts)

    def _reject(self, faults: list[Fault]) -> list[Fault]:
        if [str(fault) for fault in faults] != [str(fault) for fault in self.faults]:
            log.event("lists_rejected", faults=len(faults), first=faults[0])
        self.faults = faults
        return faults

    async def _finish_acceptance(self, state: ListState) -> None:
        self.faults = []
        self._last_checked = None
        log.event("lists_accepted", generation=state.generation)
        await self._on_accepted(state)

    async def _collect_garbage(self, generation: int) -> None:
        if generation % GENERATIONS_PER_COLLECTION:
            return
        try:
            removed = await self._store.collect_garbage()
        except PlatformError as exc:
            log.event("lists_collection_failed", reason=exc)
        else:
            log.event("lists_collected", removed=removed)


async def _retry(call: Callable[[], Awaitable[T]], deadline: float) -> T:
    """Retry a call until the platform answers or the deadline has passed."""
    while True:
        try:
            return await call()
        except PlatformUnreachableError as exc:
            if time.monotonic() + RETRY_S >= deadline:
                raise
            log.event("lists_call_retried", reason=exc)
            await asyncio.sleep(RETRY_S)


class _EditWriter:
    """Writes the edits of one operator; `write` can be retried.

    `checked` is the pair that was last prepared for writing, with its digest.
    """

    def __init__(self, store: ListStore, edits: Mapping[str, Edit]) -> None:
        self._store = store
        self._edits = edits
        self._revisions = {name: edit.revision for name, edit in edits.items()}
        self._may_be_written = False
        self.checked: tuple[str, CheckedPair] | None = None

    async def write(self) -> Result[dict[str, int], list[Fault]]:
        """Write the edited pair; return the revisions of the edited lists.

        An edit that changes nothing is not written.
        """
        for _ in range(MAXIMUM_TRIES):
            edited = await self._store.get_edited()
            lists = _get_lists(edited.pair)
            is_written = await self._is_written(lists)
            if not (self._may_be_written and is_written):
                self._check_revisions(lists)
            if is_written:
                return Ok({name: lists[name].revision for name in self._edits})
            texts = [await self._get_text(name, lists[name]) for name in NAMES]
            checked = await run_in_background(check_pair, *texts)
            if checked.is_error():
                return Error(checked.error)
            pair = await self._make_pair(lists)
            self.checked = (compute_pair_digest(pair), checked.ok)
            try:
                await self._put(pair, edited.version)
            except ObjectConflictError:
                continue
            after = _get_lists(pair)
            return Ok({name: after[name].revision for name in self._edits})
        raise ObjectConflictError("lists/edited", 0)

    async def _put(self, pair: EditedPair, version: int) -> None:
        try:
            await self._store.put_edited(pair, version)
        except PlatformUnreachableError:
            self._may_be_written = True
            raise

    async def _is_written(self, lists: dict[str, EditedList]) -> bool:
        for name, edit in self._edits.items():
            current = lists[name]
            if not current.revision or edit.text != await self._store.load_text(
                current
            ):
                return False
        return True

    def _check_revisions(self, lists: dict[str, EditedList]) -> None:
        for name, revision in self._revisions.items():
            current = lists[name].revision
            if revision is None:
                self._revisions[name] = current
            elif revision != current:
                raise RevisionConflictError(name, current, not self._may_be_written)

    async def _get_text(self, name: str, current: EditedList) -> str:
        edit = self._edits.get(name)
        return edit.text if edit else await self._store.load_text(current)

    async def _make_pair(self, lists: dict[str, EditedList]) -> EditedPair:
        after = dict(lists)
        for name, edit in self._edits.items():
            revision = lists[name].revision + 1
            after[name] = await self._store.make_edited_list(edit.text, revision)
        return EditedPair(plans=after[PLANS], allowances=after[ALLOWANCES])
