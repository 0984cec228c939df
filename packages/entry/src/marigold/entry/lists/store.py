"""Storage of the lists in the object API.

`lists/edited` holds the latest edit of both lists as one object, so that no
reader sees half of a pair. `lists/accepted` names the generation in force by the
digests of its parts. Parts and the chunks of long texts are immutable and are
stored below `list-data/` under their digests.

A writer that refers to data first reads the object that will hold the reference,
then puts the data, then writes the reference conditionally on the version that
it read. `collect_garbage` relies on this order.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, TypeVar

from cattrs.errors import BaseValidationError
from cattrs.preconf.json import make_converter

from marigold.core.documents import Fault
from marigold.core.exceptions import (
    ObjectConflictError,
    ObjectNotFoundError,
)
from marigold.core.platform.objects import ObjectClient, StoredObject
from marigold.core.schema.generated.records import Accepted, EditedList, EditedPair
from marigold.entry.lists.checking import PLANS
from marigold.entry.lists.exceptions import ListRecordError
from marigold.entry.lists.state import (
    Entry,
    ListState,
    PartTable,
    compute_digest,
    dump_part,
)

FOLDER = "lists"
ACCEPTED = "lists/accepted"
EDITED = "lists/edited"
DATA_FOLDER = "list-data"

SHORT_TEXT_BYTES = 200_000
CHUNK_BYTES = 500_000
PARALLEL_CALLS = 8
MAXIMUM_PUT_TRIES = 5

T = TypeVar("T")

_CONVERTER = make_converter()


def _load(stored: StoredObject, cls: type[T]) -> T:
    try:
        return _CONVERTER.loads(stored.data, cls)
    except (BaseValidationError, ValueError, TypeError, LookupError) as exc:
        raise ListRecordError(f"{stored.name} cannot be read: {exc!r}") from exc


def _dump(record: Any) -> bytes:
    return _CONVERTER.dumps(record).encode()


def compute_pair_digest(pair: EditedPair) -> str:
    """Return the digest of an edited pair."""
    return compute_digest(_dump(pair))


def _get_data_name(digest: str) -> str:
    return f"{DATA_FOLDER}/{digest}"


class EditedObject:
    """The edited pair, its digest and the version of its object.

    When the object cannot be read, `fault` holds the reason and the pair is
    empty, so that an operator can overwrite it.
    """

    __slots__ = ("digest", "fault", "pair", "version")

    def __init__(
        self, pair: EditedPair, digest: str, version: int, fault: Fault | None = None
    ) -> None:
        self.pair = pair
        self.digest = digest
        self.version = version
        self.fault = fault

    def get_list(self, name: str) -> EditedList:
        """Return one of the two lists."""
        return self.pair.plans if name == PLANS else self.pair.allowances


def _make_empty_pair() -> EditedPair:
    empty = EditedList(revision=0)
    return EditedPair(plans=empty, allowances=empty)


class AcceptedObject:
    """The accepted record, None at version 0, and the version of its object."""

    __slots__ = ("record", "version")

    def __init__(self, record: Accepted | None, version: int) -> None:
        self.record = record
        self.version = version

    @property
    def generation(self) -> int:
        """Generation of the record, 0 without one."""
        return self.record.generation if self.record else 0


class ListStore:
    """Reads the lists and writes them conditionally.

    Each call may raise `PlatformUnreachableError`; reads raise `ListRecordError`
    when an object holds unexpected data.
    """

    __slots__ = ("_call_limit", "_objects")

    def __init__(self, objects: ObjectClient) -> None:
        self._objects = objects
        self._call_limit = asyncio.Semaphore(PARALLEL_CALLS)

    async def _get(self, name: str) -> StoredObject | None:
        try:
            return await self._objects.get(name)
        except ObjectNotFoundError:
            return None

    async def get_edited(self) -> EditedObject:
        """Return the edited pair; without one both lists have revision 0."""
        stored = await self._get(EDITED)
        if stored is None:
            return EditedObject(_make_empty_pair(), "", 0)
        try:
            pair = _load(stored, EditedPair)
        except ListRecordError as exc:
            fault = Fault(EDITED, 0, "(object)", str(exc))
            return EditedObject(_make_empty_pair(), "", stored.version, fault)
        return EditedObject(pair, compute_pair_digest(pair), stored.version)

    async def put_edited(self, pair: EditedPair, version: int) -> int:
        """Replace a version of the edited pair; raise `ObjectConflictError`."""
        return await self._objects.update(EDITED, _dump(pair), version)

    async def get_versions(self) -> dict[str, int]:
        """Return the versions of the edited and the accepted object."""
        return await self._objects.list(FOLDER)

    async def make_edited_list(self, text: str, revision: int) -> EditedList:
        """Return a list in its stored form; store a long text in chunks."""
        data = text.encode()
        if len(data) <= SHORT_TEXT_BYTES:
            return EditedList(revision=revision, text=text)
        starts = range(0, len(data), CHUNK_BYTES)
        chunks = [data[start : start + CHUNK_BYTES] for start in starts]
        digests = await asyncio.gather(*(self._put_data(chunk) for chunk in chunks))
        return EditedList(revision=revision, chunks=list(digests))

    async def load_text(self, edited: EditedList) -> str:
        """Return the text of an edited list."""
        if not edited.chunks:
            return edited.text
        chunks = await asyncio.gather(*map(self._get_data, edited.chunks))
        try:
            return b"".join(chunks).decode()
        except UnicodeDecodeError as exc:
            raise ListRecordError(f"{EDITED}: {exc}") from exc

    async def _put_data(self, data: bytes) -> str:
        """Put data under its digest, also when it exists, to raise its version.

        A concurrent `collect_garbage` then cannot delete it.
        """
        digest = compute_digest(data)
        name = _get_data_name(digest)
        version = 0
        async with self._call_limit:
            for _ in range(MAXIMUM_PUT_TRIES):
                try:
                    await self._objects.update(name, data, version)
                    return digest
                except ObjectConflictError as exc:
                    version = exc.version
        raise ObjectConflictError(name, version)

    async def _get_data(self, digest: str) -> bytes:
        async with self._call_limit:
            data = (await self._objects.get(_get_data_name(digest))).data
        if compute_digest(data) != digest:
            raise ListRecordError(f"{_get_data_name(digest)} holds other data")
        return data

    async def get_accepted(self) -> AcceptedObject:
        """Return the accepted object."""
        stored = await self._get(ACCEPTED)
        if stored is None:
            return AcceptedObject(None, 0)
        return AcceptedObject(_load(stored, Accepted), stored.version)

    async def watch_accepted(self, after: int) -> AcceptedObject | None:
        """Wait for an accepted object above a version; None on a timeout."""
        try:
            stored = await self._objects.watch(ACCEPTED, after)
        except ObjectNotFoundError:
            return None
        if stored is None:
            return None
        return AcceptedObject(_load(stored, Accepted), stored.version)

    async def put_accepted(self, state: ListState, before: AcceptedObject) -> int:
        """Put the new parts, then replace the record at the version of `before`.

        Raise `ObjectConflictError` when another generation was written first.
        """
        old = before.record
        referenced = {*old.plans, *old.allowances} if old else set()
        parts = [
            dump_part(table.get_part(index))
            for table in (state.plans, state.allowances)
            for index, digest in enumerate(table.digests)
            if digest and digest not in referenced
        ]
        await asyncio.gather(*(self._put_data(part) for part in parts))
        record = Accepted(
            generation=state.generation,
            edited=state.edited,
            digest=state.digest,
            plans=state.plans.digests,
            allowances=state.allowances.digests,
            fallback=state.fallback,
        )
        return await self._objects.update(ACCEPTED, _dump(record), before.version)

    async def load_state(self, record: Accepted, known: ListState) -> ListState:
        """Return the state of a record; read only the parts that `known` lacks.

        Raise `ObjectNotFoundError` when a newer generation has replaced a part.
        """
        plans = await self._load_table(record.plans, known.plans)
        allowances = await self._load_table(record.allowances, known.allowances)
        return ListState(
            record.generation, record.edited, plans, allowances, record.fallback
        )

    async def _load_table(self, digests: list[str], known: PartTable) -> PartTable:
        if len(digests) != len(known.digests):
            raise ListRecordError(f"{ACCEPTED}: {len(digests)} parts")
        parts = await asyncio.gather(
            *(
                self._load_part(index, digest, known)
                for index, digest in enumerate(digests)
            )
        )
        return PartTable(list(parts), digests)

    async def _load_part(
        self, index: int, digest: str, known: PartTable
    ) -> dict[str, Entry]:
        if digest == known.digests[index]:
            return known.get_part(index)
        return json.loads(await self._get_data(digest)) if digest else {}

    async def collect_garbage(self) -> int:
        """Remove unreferenced data; return the number of objects removed.

        Both referring objects are rewritten after the data is listed. A process
        that read them earlier therefore fails to write its reference. It puts its
        data again, with a version above the one that is deleted here.
        """
        versions = await self._objects.list(DATA_FOLDER)
        edited = await self.get_edited()
        accepted = await self.get_accepted()
        if accepted.record is None or edited.version == 0 or edited.fault:
            return 0
        await self.put_edited(edited.pair, edited.version)
        record = _dump(accepted.record)
        await self._objects.update(ACCEPTED, record, accepted.version)
        pair = edited.pair
        referenced = {*accepted.record.plans, *accepted.record.allowances}
        referenced |= {*pair.plans.chunks, *pair.allowances.chunks}
        removed = 0
        for name, version in versions.items():
            if name.removeprefix(f"{DATA_FOLDER}/") not in referenced:
                removed += await self._remove(name, version)
        return removed

    async def _remove(self, name: str, version: int) -> bool:
        try:
            await self._objects.delete(name, version)
        except (ObjectConflictError, ObjectNotFoundError):
            return False
        return True
