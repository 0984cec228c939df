"""The lists in force at this process and their update history."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator

from cattrs.errors import BaseValidationError
from reactivex.subject import BehaviorSubject

from marigold.core.logging import get_logger
from marigold.core.schema.generated.messages import ListsUpdate
from marigold.entry.lists.background import run_in_background
from marigold.entry.lists.compiled import CompiledLists, ListChanges, compile_changes
from marigold.entry.lists.state import Changes, ListState, make_empty_state

log = get_logger(__name__)

HISTORY_LENGTH = 64
MESSAGE_ENTRIES = 500
# Larger changes are computed in a thread, so that they do not block the event loop.
MAXIMUM_INLINE_ENTRIES = 100

_INVALID_LIST_ERRORS = (
    BaseValidationError,
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
)


class _HistoryStep:
    """Changes from one generation in force at this process to the next one."""

    __slots__ = ("base", "changes")

    def __init__(self, base: int, changes: ListChanges) -> None:
        self.base = base
        self.changes = changes


class ListFollower:
    """Holds the lists in force and replaces them by newer generations only.

    `lists` is an observable whose value is the `CompiledLists` in force, compiled
    from `state`.
    """

    def __init__(self) -> None:
        self.state = make_empty_state()
        self.lists: BehaviorSubject[CompiledLists] = BehaviorSubject(CompiledLists())
        self._history: deque[_HistoryStep] = deque(maxlen=HISTORY_LENGTH)
        self._lock = asyncio.Lock()

    @property
    def current(self) -> CompiledLists:
        """The lists in force."""
        return self.lists.value

    def get_state(self) -> ListState:
        """Return the state in force."""
        return self.state

    async def apply_state(self, state: ListState) -> bool:
        """Put a state into force if it is newer; return whether it was."""
        async with self._lock:
            if state.generation <= self.state.generation:
                return False
            return await self._put_into_force(state)

    async def apply_update(self, update: ListsUpdate) -> bool:
        """Put a peer's update into force; return whether it could be applied.

        An update is refused when its base is above the current generation, since
        changes in between are missing, and when the digest of the result differs
        from the peer's.
        """
        async with self._lock:
            if not self.state.generation < update.generation:
                return False
            if update.base > self.state.generation:
                return False
            count = len(update.plans) + len(update.allowances)
            if count > MAXIMUM_INLINE_ENTRIES:
                state = await run_in_background(self._apply, update)
            else:
                state = self._apply(update)
            if state is None or state.digest != update.digest:
                log.event("lists_update_refused", generation=update.generation)
                return False
            return await self._put_into_force(state)

    def _apply(self, update: ListsUpdate) -> ListState | None:
        before = self.state if update.base else make_empty_state()
        try:
            return ListState(
                update.generation,
                update.edited,
                before.plans.apply(update.plans),
                before.allowances.apply(update.allowances),
                update.fallback,
            )
        except _INVALID_LIST_ERRORS as exc:
            log.event("lists_unreadable", reason=repr(exc))
            return None

    async def _put_into_force(self, state: ListState) -> bool:
        before = self.state
        changes = ListChanges(
            before.plans.diff(state.plans), before.allowances.diff(state.allowances)
        )
        args = (self.current, changes, state.generation, state.fallback)
        try:
            if len(changes) > MAXIMUM_INLINE_ENTRIES:
                compiled = await run_in_background(compile_changes, *args)
            else:
                compiled = compile_changes(*args)
        except _INVALID_LIST_ERRORS as exc:
            log.event("lists_unreadable", reason=repr(exc))
            return False
        self.state = state
        self._history.append(_HistoryStep(before.generation, changes))
        log.event("lists_in_force", generation=state.generation, changes=len(changes))
        self.lists.on_next(compiled)
        return True

    def make_updates(self, generation: int) -> Iterator[ListsUpdate]:
        """Yield the messages that update a generation to the current one.

        The changes start at the latest step of the history that is not above the
        generation. A receiver between two steps may hold the intermediate value of
        an entry that changed and changed back. Its digest then differs, and it
        requests the whole lists.
        """
        if generation >= self.state.generation:
            return
        bases = [step.base for step in self._history if 0 < step.base <= generation]
        if bases:
            yield from self._split_update(generation, *self._merge_changes(bases[-1]))
            return
        state = self.state
        yield from self._split_update(0, dict(state.plans), dict(state.allowances))

    def _merge_changes(self, base: int) -> tuple[Changes, Changes]:
        plans: Changes = {}
        allowances: Changes = {}
        for step in self._history:
            if step.base >= base:
                plans.update(step.changes.plans)
                allowances.update(step.changes.allowances)
        return plans, allowances

    def _split_update(
        self, base: int, plans: Changes, allowances: Changes
    ) -> Iterator[ListsUpdate]:
        names = list(plans)
        for start in range(0, max(len(names), 1), MESSAGE_ENTRIES):
            chosen = names[start : start + MESSAGE_ENTRIES]
            is_last = start + MESSAGE_ENTRIES >= len(names)
            yield ListsUpdate(
                base=base,
                generation=self.state.generation,
                edited=self.state.edited,
                digest=self.state.digest,
                plans={name: plans[name] for name in chosen},
                allowances=allowances if is_last else {},
                fallback=self.state.fallback,
                last=is_last,
            )
