"""Codecs that split the objects of a kind into parts; only changed parts are sent.

A large configuration usually changes in a single route.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

from marigold.core.exceptions import LinkMessageError
from marigold.core.schema.generated.deployment import (
    CallerBounds,
    Configuration,
    Organisation,
    Route,
    Service,
)

T = TypeVar("T")
Parts = dict[str, Any]

HEAD = "head"
ROUTE = "route:"
SERVICE = "service:"
ORGANISATION = "organisation:"
# Name of the single item into which the parts of a configuration are joined.
CONFIGURATION_NAME = "main"


class PartCodec(ABC, Generic[T]):
    """Codec that splits the items of a kind into parts that change independently.

    With `has_valid_from`, items are sent with the earliest time at which the store can
    have received them.
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
    """Codec for which each item is one part."""

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
    """Codec for which routes, services and organisations are parts."""

    def split(self, items: Mapping[str, Configuration]) -> Parts:
        """Return the parts of the newest configuration."""
        if not items:
            return {}
        cfg = max(items.values(), key=lambda item: item.version)
        head = Configuration(
            version=cfg.version,
            routes=[],
            services=[],
            requires_keys=cfg.requires_keys,
            bounds=cfg.bounds,
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
        """Return the configuration; its version is 0 if the head is missing."""
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
            requires_keys=head.requires_keys if head else True,
            bounds=head.bounds if head else CallerBounds(),
        )
        return {CONFIGURATION_NAME: cfg}

    def get_class(self, name: str) -> type[Any]:
        """Return the class of a part."""
        if name == HEAD:
            return Configuration
        classes = {ROUTE: Route, SERVICE: Service, ORGANISATION: Organisation}
        for prefix, cls in classes.items():
            if name.startswith(prefix):
                return cls
        raise LinkMessageError(f"a configuration has no part {name!r}")
