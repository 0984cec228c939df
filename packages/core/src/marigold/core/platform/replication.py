"""Passing on what the store holds: from a hub to the processes that follow it.

What travels is the change, not the whole. A `Publisher` splits its belief into
named parts and sends those that changed; a `BeliefReceiver` puts them together
again. Both go by the store's revisions, so that a receiver may move from one hub
to another that is ahead of it or behind.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, dumps, loads

from marigold.core.boottime import get_boottime
from marigold.core.exceptions import LinkMessageError
from marigold.core.links.channels import Channel
from marigold.core.logging import get_logger
from marigold.core.platform.object_cache import ObjectCache
from marigold.core.schema.generated.deployment import (
    CallerBounds,
    Configuration,
    Organisation,
    Route,
    Service,
)
from marigold.core.schema.generated.messages import (
    Ages,
    BeliefAge,
    BeliefChange,
    FollowBelief,
)

log = get_logger(__name__)

T = TypeVar("T")
Parts = dict[str, Any]

_CONVERTER = make_converter(detailed_validation=False, omit_if_default=True)
HEAD = "head"
ROUTE = "route:"
SERVICE = "service:"
ORGANISATION = "organisation:"
# Name of the only item of a configuration that was put together from parts.
WHOLE = "main"


class PartCodec(ABC, Generic[T]):
    """How the items of a kind are cut into parts that change independently.

    With `is_dated`, items travel with the dates since when the store may have them.
    """

    has_valid_from = False

    @abstractmethod
    def split(self, items: Mapping[str, T]) -> Parts:
        """Return the parts of all items by name."""

    @abstractmethod
    def join(self, parts: Parts) -> dict[str, T]:
        """Return the items by name."""

    @abstractmethod
    def get_class(self, name: str) -> type[Any]:
        """Return the class of a part; raise `LinkMessageError` for an unknown one."""


class ItemCodec(PartCodec[T]):
    """Each item is a part."""

    def __init__(self, cls: type[T], has_valid_from: bool = False) -> None:
        self._cls = cls
        self.has_valid_from = has_valid_from

    def split(self, items: Mapping[str, T]) -> Parts:
        """Return the parts of all items by name."""
        return dict(items)

    def join(self, parts: Parts) -> dict[str, T]:
        """Return the items by name."""
        return dict(parts)

    def get_class(self, name: str) -> type[Any]:
        """Return the class of a part."""
        return self._cls


class ConfigurationCodec(PartCodec[Configuration]):
    """Routes, services and organisations of a configuration are parts."""

    def split(self, items: Mapping[str, Configuration]) -> Parts:
        """Return the parts of the newest configuration."""
        if not items:
            return {}
        cfg = max(items.values(), key=lambda item: item.version)
        head = Configuration(
            version=cfg.version, routes=[], services=[], bounds=cfg.bounds
        )
        parts: Parts = {HEAD: head}
        for route in cfg.routes:
            parts[f"{ROUTE}{route.name} {route.host} {route.path_prefix}"] = route
        for service in cfg.services:
            parts[f"{SERVICE}{service.name}"] = service
        for organisation in cfg.organisations:
            parts[f"{ORGANISATION}{organisation.name}"] = organisation
        return parts

    def join(self, parts: Parts) -> dict[str, Configuration]:
        """Return the configuration; without its head, it has version 0."""
        if not parts:
            return {}
        head = parts.get(HEAD)
        cfg = Configuration(
            version=head.version if head else 0,
            routes=[item for name, item in parts.items() if name.startswith(ROUTE)],
            services=[item for name, item in parts.items() if name.startswith(SERVICE)],
            organisations=[
                item for name, item in parts.items() if name.startswith(ORGANISATION)
            ],
            bounds=head.bounds if head else CallerBounds(),
        )
        return {WHOLE: cfg}

    def get_class(self, name: str) -> type[Any]:
        """Return the class of a part."""
        if name == HEAD:
            return Configuration
        classes = {ROUTE: Route, SERVICE: Service, ORGANISATION: Organisation}
        for prefix, cls in classes.items():
            if name.startswith(prefix):
                return cls
        raise LinkMessageError(f"a configuration has no part {name!r}")


def _encode(parts: Mapping[str, Any]) -> bytes:
    unstructure = _CONVERTER.unstructure
    return dumps(
        {
            name: None if part is None else unstructure(part)
            for name, part in parts.items()
        }
    )


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
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as exc:
        raise LinkMessageError(f"malformed parts: {exc!r}") from exc


def _select(parts: Mapping[str, Any], prefix: str) -> Parts:
    return {name: part for name, part in parts.items() if name.startswith(prefix)}


Follower = Callable[[BeliefChange], None]


class Publisher(Generic[T]):
    """The hub's side of one kind; followers are called with each change."""

    def __init__(
        self,
        kind: str,
        belief: ObjectCache[T],
        codec: PartCodec[T],
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self.kind = kind
        self._belief = belief
        self._codec = codec
        self._clock = clock
        self._parts: Parts = {}
        self._revision = 0
        self._followers: dict[Follower, str] = {}
        belief.subscribe(self._publish)

    def follow(self, follower: Follower, request: FollowBelief) -> None:
        """Send what a process lacks, and from now on each change."""
        if not self._followers:
            self._parts = self._codec.split(self._belief.items)
            self._revision = self._belief.revision
        self._followers[follower] = request.prefix
        if self._belief.confirmed_at is None:
            # The first listing is published as a change.
            return
        is_behind = request.revision < self._belief.revision
        parts = _select(self._parts, request.prefix) if is_behind else {}
        follower(self._make_change(parts, self._belief.revision, is_behind))

    def unfollow(self, follower: Follower) -> None:
        """Send nothing more."""
        self._followers.pop(follower, None)

    def get_age(self) -> BeliefAge | None:
        """Return the age of the belief, None before the store has told anything."""
        age = self._belief.get_age()
        if age is None:
            return None
        return BeliefAge(kind=self.kind, revision=self._belief.revision, age=age)

    def _make_change(self, parts: Parts, base: int, is_whole: bool) -> BeliefChange:
        recovered_at = self._belief.recovered_at
        now = self._clock()
        return BeliefChange(
            kind=self.kind,
            base=base,
            revision=self._belief.revision,
            whole=is_whole,
            items=_encode(parts) if parts else b"",
            returned_age=-1.0 if recovered_at is None else max(now - recovered_at, 0.0),
            ages=self._get_ages(parts, now),
        )

    def _get_ages(self, names: Iterable[str], now: float) -> dict[str, float]:
        if not self._codec.has_valid_from:
            return {}
        valid_from = self._belief.valid_from
        return {
            name: max(now - valid_from[name], 0.0)
            for name in names
            if name in valid_from
        }

    def _publish(self) -> None:
        if not self._followers:
            return
        parts = self._codec.split(self._belief.items)
        old = self._parts
        changed: Parts = {name: None for name in old if name not in parts}
        for name, part in parts.items():
            if name not in old or old[name] != part:
                changed[name] = part
        self._parts = parts
        base, self._revision = self._revision, self._belief.revision
        messages: dict[str, BeliefChange] = {}
        for follower, prefix in list(self._followers.items()):
            if prefix not in messages:
                messages[prefix] = self._make_change(
                    _select(changed, prefix), base, False
                )
            follower(messages[prefix])


class CacheSubscriber(Generic[T]):
    """The follower's side of one kind."""

    def __init__(
        self,
        kind: str,
        belief: ObjectCache[T],
        codec: PartCodec[T],
        prefix: str = "",
        clock: Callable[[], float] = get_boottime,
    ) -> None:
        self.kind = kind
        self._belief = belief
        self._codec = codec
        self._prefix = prefix
        self._clock = clock
        self._parts: Parts = {}
        self._is_synced = False

    def make_request(self) -> FollowBelief:
        """Return the request to a new hub."""
        self._is_synced = False
        self._parts = _select(self._codec.split(self._belief.items), self._prefix)
        known = self._belief.confirmed_at is not None
        revision = self._belief.revision if known else -1
        return FollowBelief(kind=self.kind, revision=revision, prefix=self._prefix)

    def apply(self, change: BeliefChange, source: str) -> bool:
        """Take in a change; tell whether it fits, else `begin` again.

        Raise `LinkMessageError` for one that cannot be read.
        """
        belief = self._belief
        is_known = belief.confirmed_at is not None or bool(self._parts)
        if not change.whole and is_known and change.base > belief.revision:
            return False
        parts = _decode(change.items, self._codec)
        self._is_synced = True
        if is_known and change.revision <= belief.revision:
            # The hub is behind, or tells nothing new.
            return True
        now = self._clock()
        if change.returned_age >= 0:
            belief.recovered_at = now - change.returned_age
        if change.whole:
            self._parts = {}
        self._parts.update(parts)
        self._parts = {
            name: part for name, part in self._parts.items() if part is not None
        }
        items = self._codec.join(self._parts)
        valid_from = {name: now - age for name, age in change.ages.items()}
        return belief.replace_all(items, change.revision, source, valid_from=valid_from)

    def apply_age(self, age: BeliefAge, sent: float) -> None:
        """Take in the hub's age of the belief, as of `sent` or later."""
        if self._is_synced and age.revision >= self._belief.revision:
            self._belief.confirm(age.revision, sent - age.age)


class CacheSubscribers:
    """The follower's side of all kinds that a process takes from one hub at a time."""

    __slots__ = ("_by_kind",)

    def __init__(self, receivers: Iterable[CacheSubscriber[Any]]) -> None:
        self._by_kind = {item.kind: item for item in receivers}

    def request_all(self, hub: Channel) -> None:
        """Ask a hub for everything from now on."""
        for receiver in self._by_kind.values():
            hub.put(receiver.make_request())

    def apply(self, hub: Channel, change: BeliefChange) -> None:
        """Take in a change; ask for the whole belief where it does not fit."""
        receiver = self._by_kind.get(change.kind)
        if receiver is None:
            return
        try:
            is_fitting = receiver.apply(change, f"hub {hub.peer.process}")
        except LinkMessageError as exc:
            log.event("belief_rejected", kind=change.kind, reason=exc)
            return
        if not is_fitting:
            hub.put(receiver.make_request())

    def apply_ages(self, message: Ages) -> None:
        """Take in how old a hub's beliefs are; `sent` is 0 where nobody asked."""
        if not message.sent:
            return
        for age in message.ages:
            receiver = self._by_kind.get(age.kind)
            if receiver is not None:
                receiver.apply_age(age, message.sent)
