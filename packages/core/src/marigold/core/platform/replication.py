"""Replication of store objects from a hub to the processes that follow it.

Only changes are sent. A `Publisher` splits its object cache into named parts and sends
those that changed; a `CacheSubscriber` joins them again. Both use positions in the
store's history, so that a subscriber can switch to another hub that is ahead or behind.

A subscriber holds the state of its hub apart from its cache. A change is applied to the
state that it was made from, never to contents that came from elsewhere, and the cache
takes the state as a whole once the hub is ahead of it:

    cache      state of the hub     message
    2 {a}      1 {}                 snapshot of a hub that is behind
    3 {}       3 {}                 age at 3: nothing has changed at this hub

After a return of the store from a copy, caches may differ at the same position, as each
keeps what it knew; the first message of a hub then has all parts.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, CBOREncodeError, dumps, loads

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import LinkMessageError
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.platform.part_codecs import PartCodec, Parts
from marigold.core.platform.positions import get_era
from marigold.core.schema.generated.messages import (
    Ages,
    BeliefAge,
    BeliefChange,
    FollowBelief,
)

log = get_logger(__name__)

T = TypeVar("T")

_CONVERTER = make_converter(detailed_validation=False, omit_if_default=True)
# Exceptions for a value without an encoding, such as text with half a surrogate pair.
ENCODING_ERRORS = (CBOREncodeError, RecursionError, ValueError)


def _encode(parts: Mapping[str, Any]) -> bytes:
    unstructure = _CONVERTER.unstructure
    fields = {
        name: None if part is None else unstructure(part)
        for name, part in parts.items()
    }
    try:
        return dumps(fields)
    except ENCODING_ERRORS:
        # Followers must not keep the previous value of a part.
        encodable = {
            name: part if _is_encodable(name, part) else None
            for name, part in fields.items()
            if _is_encodable(name, None)
        }
        return dumps(encodable)


def _is_encodable(name: str, part: Any) -> bool:
    try:
        dumps((name, part))
    except ENCODING_ERRORS as exc:
        log.event("part_malformed", name=ascii(name[:80]), reason=repr(exc)[:80])
        return False
    return True


def _decode(data: bytes, codec: PartCodec[Any]) -> Parts:
    """Return the parts of a message; raise `LinkMessageError`."""
    try:
        found = loads(data) if data else {}
        return {
            name: None
            if fields is None
            else _CONVERTER.structure(fields, codec.get_class(name))
            for name, fields in found.items()
        }
    except CBORDecodeError as exc:
        raise LinkMessageError(f"malformed parts: {exc}") from exc
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        raise LinkMessageError(f"malformed parts: {exc!r}") from exc


def _select(parts: Mapping[str, Any], prefix: str) -> Parts:
    return {name: part for name, part in parts.items() if name.startswith(prefix)}


def _is_restored(cache: ObjectCache[Any]) -> bool:
    """Return whether a cache may hold what the store of its era does not have."""
    return 0 < cache.restored_era == get_era(cache.revision)


Follower = Callable[[BeliefChange], None]


class Publisher(Generic[T]):
    """Hub side of the replication of one kind; it calls followers with each change.

    A follower gets all parts first, unless it is at the position of the cache.
    """

    def __init__(
        self,
        kind: str,
        cache: ObjectCache[T],
        codec: PartCodec[T],
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self.kind = kind
        self._cache = cache
        self._codec = codec
        self._clock = clock
        self._parts: Parts = {}
        # Position of the last change, and the last position that followers know.
        self._revision = 0
        self._reported_revision = 0
        self._followers: dict[Follower, str] = {}
        self._without_snapshot: set[Follower] = set()
        cache.subscribe(self._publish_changes)

    def follow(self, follower: Follower, request: FollowBelief) -> None:
        """Send the parts that a process lacks, and each further change."""
        cache = self._cache
        if not self._followers:
            self._parts = self._codec.split(cache.items)
            self._revision = cache.revision
        self._followers[follower] = request.prefix
        if cache.confirmed_at is None and not cache.revision:
            # The first listing is published as a change.
            self._without_snapshot.add(follower)
            return
        self._without_snapshot.discard(follower)
        self._reported_revision = revision = cache.revision
        is_other = request.revision != revision or _is_restored(cache)
        parts = _select(self._parts, request.prefix) if is_other else {}
        follower(self._make_change(parts, revision, is_other))

    def unfollow(self, follower: Follower) -> None:
        """Stop sending changes to a follower."""
        self._followers.pop(follower, None)
        self._without_snapshot.discard(follower)

    def get_age(self) -> BeliefAge | None:
        """Return the age of the cache, None before the first response of the store."""
        age = self._cache.get_age()
        if age is None:
            return None
        self._reported_revision = revision = self._cache.revision
        return BeliefAge(
            kind=self.kind, revision=revision, age=age, changed=self._revision
        )

    def _make_change(self, parts: Parts, base: int, is_snapshot: bool) -> BeliefChange:
        recovered_at = self._cache.recovered_at
        now = self._clock()
        return BeliefChange(
            kind=self.kind,
            base=base,
            revision=self._cache.revision,
            whole=is_snapshot,
            items=_encode(parts) if parts else b"",
            returned_age=-1.0 if recovered_at is None else max(now - recovered_at, 0.0),
            ages=self._get_ages(parts, now),
            at=now,
            restored=_is_restored(self._cache),
        )

    def _get_ages(self, names: Iterable[str], now: float) -> dict[str, float]:
        if not self._codec.has_valid_from:
            return {}
        valid_from = self._cache.valid_from
        return {
            name: max(now - valid_from[name], 0.0)
            for name in names
            if name in valid_from
        }

    def _publish_changes(self) -> None:
        if not self._followers:
            return
        parts = self._codec.split(self._cache.items)
        old = self._parts
        changed: Parts = {name: None for name in old if name not in parts}
        for name, part in parts.items():
            if name not in old or old[name] != part:
                changed[name] = part
        self._parts = parts
        base, self._revision = self._revision, self._cache.revision
        # Contents of one position differ if those of another history came.
        is_snapshot = (
            get_era(base) != get_era(self._revision)
            or 0 < self._reported_revision == self._revision
        )
        self._reported_revision = self._revision
        messages: dict[tuple[str, bool], BeliefChange] = {}
        for follower, prefix in list(self._followers.items()):
            is_whole = is_snapshot or follower in self._without_snapshot
            if (prefix, is_whole) not in messages:
                selected = _select(parts if is_whole else changed, prefix)
                messages[prefix, is_whole] = self._make_change(selected, base, is_whole)
            follower(messages[prefix, is_whole])
        self._without_snapshot.clear()


class CacheSubscriber(Generic[T]):
    """Follower side of the replication of one kind.

    `_parts` is the hub's state at `_revision`, which is None until the hub has answered
    the request. `_valid_from` and `_recovered_at` belong to that state, and
    `_is_restored` tells whether it may hold what the store has lost. The cache shows
    that state while its `change_count` is `_shown_count`.
    """

    def __init__(
        self,
        kind: str,
        cache: ObjectCache[T],
        codec: PartCodec[T],
        prefix: str = "",
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self.kind = kind
        self._cache = cache
        self._codec = codec
        self._prefix = prefix
        self._clock = clock
        self._parts: Parts = {}
        self._revision: int | None = None
        self._valid_from: dict[str, float] = {}
        self._recovered_at: float | None = None
        self._is_restored = False
        self._shown_count: int | None = None
        self._requested_revision = 0
        self._requested_at = 0.0

    def make_request(self) -> FollowBelief:
        """Start a new synchronisation and return the request to the hub."""
        cache = self._cache
        self._revision = None
        self._requested_at = self._clock()
        self._parts = _select(self._codec.split(cache.items), self._prefix)
        self._valid_from = dict(cache.valid_from)
        self._recovered_at = None
        self._is_restored = False
        self._shown_count = cache.change_count
        known = cache.confirmed_at is not None
        revision = cache.revision if known and not _is_restored(cache) else -1
        self._requested_revision = revision
        return FollowBelief(kind=self.kind, revision=revision, prefix=self._prefix)

    def apply(
        self, change: BeliefChange, source: str, delay: float | None = None
    ) -> bool:
        """Apply a change; return False if it was not made from the known state.

        All parts then have to be requested again with `make_request`. `delay` is the
        maximum seconds since the hub made the change, None if they are unknown. Raise
        `LinkMessageError` for a change that cannot be decoded.
        """
        if not change.whole:
            if self._revision is None:
                if change.base == change.revision == self._requested_revision:
                    self._revision = change.revision
                # Anything else was sent before the hub got the request.
                return True
            is_next = change.base <= self._revision < change.revision
            if not is_next or get_era(change.base) != get_era(change.revision):
                return False
        self._update_state(change, _decode(change.items, self._codec), delay)
        revision = self._cache.revision
        if change.revision > revision or (change.whole and change.revision == revision):
            self._update_cache(change.revision, source)
        return True

    def _update_state(
        self, change: BeliefChange, parts: Parts, delay: float | None
    ) -> None:
        known = {} if change.whole else self._parts
        self._parts = {
            name: part for name, part in (known | parts).items() if part is not None
        }
        self._revision = change.revision
        self._shown_count = None
        now = self._clock()
        if delay is not None:
            made_at = now - delay
        else:
            made_at = self._requested_at if change.whole else now
        times = {} if change.whole else self._valid_from
        self._valid_from = {
            name: time for name, time in times.items() if name not in parts
        } | {name: made_at - age for name, age in change.ages.items()}
        self._is_restored = change.restored
        self._recovered_at = (
            now - change.returned_age if change.returned_age >= 0 else None
        )

    def _update_cache(self, revision: int, source: str) -> None:
        """Replace the items of the cache by the hub's state, as of a revision."""
        cache = self._cache
        if self._recovered_at is not None:
            cache.recovered_at = self._recovered_at
        items = self._codec.join(self._parts)
        valid_from: dict[str, float] = {}
        if self._codec.has_valid_from:
            valid_from = dict(self._valid_from)
            self._limit_times(items, valid_from)
        if self._is_restored:
            cache.mark_restored(get_era(revision))
        cache.replace_all(items, revision, source, valid_from=valid_from)
        self._shown_count = cache.change_count

    def _limit_times(
        self, items: Mapping[str, T], valid_from: dict[str, float]
    ) -> None:
        """Date no new item before the store confirmed that it did not have it yet.

        The hub may not know as much, if it started later.
        """
        for name, item in items.items():
            earliest = self._cache.get_earliest_change(name, item)
            if earliest is not None:
                valid_from[name] = max(valid_from.get(name, earliest), earliest)

    def is_ahead(self, age: BeliefAge) -> bool:
        """Return whether the hub is in an earlier era, so that its state is ignored."""
        return get_era(age.revision) < get_era(self._cache.revision)

    def apply_age(self, age: BeliefAge, sent: float, source: str = "hub") -> bool:
        """Apply the age that the hub reports for the kind, as of `sent` or later.

        Return False if a message of the hub is missing, so that all parts have to be
        requested again with `make_request`.
        """
        if self._revision is None or self._revision < age.changed:
            # The answer to the last request may still be on its way.
            return sent < self._requested_at
        # Nothing has changed at the hub since the last change that it sent.
        self._revision = max(self._revision, age.revision)
        cache = self._cache
        if age.revision > cache.revision and cache.change_count != self._shown_count:
            self._update_cache(age.revision, source)
        if age.revision >= cache.revision:
            cache.confirm(age.revision, sent - age.age)
        return True


class CacheSubscribers:
    """Follower side of all kinds that a process replicates, from one hub at a time.

    `_clock_offset` is an upper bound of the hub's boot time less that of this process,
    from the fastest exchange of ages. It tells how long a change was on its way, also
    if either process stood still meanwhile.
    """

    __slots__ = ("_by_kind", "_clock", "_clock_offset")

    def __init__(
        self,
        subscribers: Iterable[CacheSubscriber[Any]],
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self._by_kind = {item.kind: item for item in subscribers}
        self._clock = clock
        self._clock_offset = math.inf

    def forget_clock(self) -> None:
        """Forget the clock of the previous hub."""
        self._clock_offset = math.inf

    def record_clock(self, message: Ages) -> None:
        """Compare the hub's clock with that of this process."""
        if message.sent and message.at >= 0:
            offset = message.at - message.sent
            self._clock_offset = min(self._clock_offset, offset)

    def request_all(self, hub: Channel) -> None:
        """Request all kinds and their further changes from a hub."""
        for subscriber in self._by_kind.values():
            hub.put(subscriber.make_request())

    def apply(self, hub: Channel, change: BeliefChange) -> None:
        """Apply a change; request all parts again if it cannot be applied."""
        subscriber = self._by_kind.get(change.kind)
        if subscriber is None:
            return
        try:
            is_applied = subscriber.apply(
                change, f"hub {hub.peer.process}", self._get_delay(change)
            )
        except LinkMessageError as exc:
            log.event("belief_rejected", kind=change.kind, reason=exc)
            return
        if not is_applied:
            hub.put(subscriber.make_request())

    def _get_delay(self, change: BeliefChange) -> float | None:
        if change.at < 0 or math.isinf(self._clock_offset):
            return None
        return max(self._clock() + self._clock_offset - change.at, 0.0)

    def is_ahead(self, age: BeliefAge) -> bool:
        """Return whether the hub's state of a kind is of an earlier era and ignored."""
        subscriber = self._by_kind.get(age.kind)
        return subscriber is not None and subscriber.is_ahead(age)

    def apply_ages(self, hub: Channel, message: Ages) -> None:
        """Apply the ages that a hub reports; request parts again that are missing.

        `sent` is 0 in an unsolicited report.
        """
        if not message.sent:
            return
        self.record_clock(message)
        source = f"hub {hub.peer.process}"
        for age in message.ages:
            subscriber = self._by_kind.get(age.kind)
            if subscriber is None:
                continue
            if not subscriber.apply_age(age, message.sent, source):
                log.event("belief_incomplete", kind=age.kind, source=source)
                hub.put(subscriber.make_request())
