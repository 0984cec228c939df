"""Interfaces that a platform adapter implements.

An adapter contains the names, formats and calls of a platform, but no policy. What it
calls a revision is a position (`marigold.core.platform.positions`). It is a
Python module, which the setting `platform.adapter` names, with one function:

    def make_adapter(cfg: PlatformAccess) -> Adapter: ...

All calls raise `PlatformUnreachableError` if the platform is unavailable or does not
respond in time, and `PlatformError` if it rejects the call for any other reason.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping
from importlib import import_module
from typing import Any, Generic, TypeVar

from aiohttp import ClientSession

from marigold.core.exceptions import UserError
from marigold.core.schema.generated.deployment import (
    Configuration,
    Evacuation,
    Member,
    QuarantinedRequest,
    Runner,
    RunnerReport,
    WantedVersion,
)
from marigold.core.schema.generated.records import Manifest
from marigold.core.schema.generated.settings import PlatformAccess

T = TypeVar("T")


class AdapterNotFoundError(UserError):
    """The module that the settings name is not a platform adapter."""


class Listing(Generic[T]):
    """All objects of a kind by name, as of a position in the store's history."""

    __slots__ = ("items", "revision")

    def __init__(self, items: dict[str, T], revision: int) -> None:
        self.items = items
        self.revision = revision


class Changes(Generic[T]):
    """Changed objects by name up to a position, None for removed ones."""

    __slots__ = ("items", "revision")

    def __init__(self, items: dict[str, T | None], revision: int) -> None:
        self.items = items
        self.revision = revision


class Feed(ABC, Generic[T]):
    """Source of the objects of one kind in the platform's store."""

    name: str

    @abstractmethod
    async def read(self) -> Listing[T]:
        """Return all objects.

        Raise `HistoryLostError` if the store came back from a copy meanwhile.
        """

    @abstractmethod
    async def watch(self, revision: int, wait: float) -> Changes[T]:
        """Wait up to `wait` seconds for changes after a position and return them.

        Raise `HistoryLostError` if the store no longer has these changes, or has come
        back from a copy since.
        """


class Registry(ABC, Generic[T]):
    """Objects of a kind that the product itself stores in the platform's store.

    One registry holds the entries, which discover each other through it. Another one
    holds the quarantined requests, which crash the runners that execute them.
    """

    @abstractmethod
    async def put(self, item: T, is_known: bool) -> None:
        """Write an object; `is_known` is True if its name exists already."""

    @abstractmethod
    async def read(self, is_stale: bool) -> Listing[T]:
        """Return all objects; a stale listing may lack the newest ones."""

    @abstractmethod
    async def delete(self, name: str) -> None:
        """Delete an object if it exists."""


class RunnerDriver(ABC):
    """Client of one model engine; chunks can only be staged on the same host."""

    @abstractmethod
    async def get_report(self) -> RunnerReport:
        """Return the status report of the engine."""

    @abstractmethod
    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage a chunk; it replaces the chunk of any other version."""

    @abstractmethod
    async def get_chunk(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk without verifying it, None if there is none."""

    @abstractmethod
    async def load(
        self, model: str, version: int, sequence: int, expires_at: float
    ) -> None:
        """Order the engine to load the staged version.

        `sequence` is the expected number of earlier orders. Raise `OrderConflictError`
        if the order does not match the state of the engine, and `OrderExpiredError` if
        it could not be sent before `expires_at`, in seconds of boot time.
        """


class WeightSource(ABC):
    """Client of the origin of new weights."""

    @abstractmethod
    async def get_manifest(
        self, model: str, version: int | None, doubted: Collection[str] = ()
    ) -> Manifest:
        """Return the manifest of a version, or of the newest one for None.

        `doubted` are the digests of manifests that observations contradict; a source
        that keeps answers asks again rather than repeat one of them. Raise
        `WeightsNotFoundError` or `ManifestError`.
        """

    @abstractmethod
    async def get_chunk(self, manifest: Manifest, index: int, timeout: float) -> bytes:
        """Return a chunk without verifying it.

        `timeout` limits the seconds without any data.
        """


class RequestHead:
    """Decoded headers of a caller's request.

    `deadline` is in seconds, None if the caller does not set one. `key` is empty if
    the request has none. `prompt_tokens` and `answer_tokens`, the most that the answer
    may have, are 0 if they are not stated.
    `prompt_parts` holds the ids of the parts of its prompt that other requests may
    share.
    """

    __slots__ = (
        "answer_tokens",
        "attempt",
        "deadline",
        "key",
        "last_event",
        "model",
        "prompt_parts",
        "prompt_tokens",
    )

    def __init__(
        self,
        attempt: str = "",
        key: str = "",
        deadline: float | None = None,
        model: str = "",
        prompt_tokens: int = 0,
        last_event: str = "",
        prompt_parts: tuple[str, ...] = (),
        answer_tokens: int = 0,
    ) -> None:
        self.answer_tokens = answer_tokens
        self.attempt = attempt
        self.key = key
        self.deadline = deadline
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.last_event = last_event
        self.prompt_parts = prompt_parts


class RunnerRequestHead:
    """Values of the headers that are added to a request to a runner."""

    __slots__ = (
        "last_event",
        "organisation",
        "remaining",
        "runner",
        "priority",
        "version",
    )

    def __init__(
        self,
        runner: str,
        remaining: float | None,
        organisation: str = "",
        priority: int | None = None,
        version: int | None = None,
        last_event: str = "",
    ) -> None:
        self.runner = runner
        self.remaining = remaining
        self.organisation = organisation
        self.priority = priority
        self.version = version
        self.last_event = last_event


class LoadReport:
    """Load that a runner reports with a response.

    `pace` is how many times longer than usual work takes on its host now, None if the
    runner does not say so.
    """

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(
        self, running: int, waiting: int, slots: int, pace: float | None = None
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace


class ResponseHead:
    """Decoded headers of a runner's response.

    `is_not_executed` is set if the runner states that it has not executed the request
    and will not do so. `is_signed` is set if the response carries the signature of the
    runner. `is_leaving` is set if the runner states that it is about to stop.
    `retry_after` is the number of seconds for which it wants no more requests from this
    entry, 0 if it states none. `rate_limit` is the number of requests per second that
    it takes from all hosts together, None if it names no limit.
    """

    __slots__ = (
        "attempt",
        "is_leaving",
        "is_signed",
        "is_not_executed",
        "load",
        "rate_limit",
        "retry_after",
        "version",
    )

    def __init__(
        self,
        attempt: str = "",
        is_not_executed: bool = False,
        is_signed: bool = False,
        load: LoadReport | None = None,
        version: int | None = None,
        is_leaving: bool = False,
        retry_after: float = 0.0,
        rate_limit: float | None = None,
    ) -> None:
        self.attempt = attempt
        self.is_not_executed = is_not_executed
        self.is_signed = is_signed
        self.load = load
        self.version = version
        self.is_leaving = is_leaving
        self.retry_after = retry_after
        self.rate_limit = rate_limit


class HeaderCodec(ABC):
    """Codec of the headers between callers, entries and runners."""

    readiness_path: str

    @abstractmethod
    def parse_request_head(self, headers: Mapping[str, str]) -> RequestHead:
        """Decode the headers of a caller's request."""

    @abstractmethod
    def make_runner_headers(
        self, headers: Mapping[str, str], head: RunnerRequestHead
    ) -> list[tuple[str, str]]:
        """Return the headers of a forwarded request, without hop-by-hop headers."""

    @abstractmethod
    def parse_response_head(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseHead:
        """Decode the status and headers of a runner's response."""

    @abstractmethod
    def make_caller_headers(self, headers: Mapping[str, str]) -> list[tuple[str, str]]:
        """Return the headers of a response that are forwarded to the caller."""


class CheckedConfiguration:
    """A configuration as its platform's document states it.

    `faults` has a key and a text for each part that cannot be decoded, `notes` for each
    that is probably a mistake. `configuration` lacks the parts with faults; it is None
    if nothing could be decoded.
    """

    __slots__ = ("configuration", "faults", "notes")

    def __init__(
        self,
        configuration: Configuration | None,
        faults: list[tuple[str, str]],
        notes: list[tuple[str, str]],
    ) -> None:
        self.configuration = configuration
        self.faults = faults
        self.notes = notes


class Adapter(ABC):
    """Factory of the feeds, registries and clients for a platform."""

    header_codec: HeaderCodec

    @abstractmethod
    def check_configuration(self, data: Any) -> CheckedConfiguration:
        """Decode a configuration part by part, to find all of its faults."""

    @abstractmethod
    def make_configuration_feed(
        self, session: ClientSession, is_stale: bool = False
    ) -> Feed[Configuration]:
        """Return the feed of configurations; one object is in force at a time.

        The contents of a stale feed may be seconds old, but cost the platform less.
        """

    @abstractmethod
    def make_runner_feed(
        self, session: ClientSession, is_stale: bool = False
    ) -> Feed[Runner]:
        """Return the feed of runners by id."""

    @abstractmethod
    def make_version_feed(self, session: ClientSession) -> Feed[WantedVersion]:
        """Return the feed of wanted versions by model."""

    @abstractmethod
    def make_evacuation_feed(self, session: ClientSession) -> Feed[Evacuation]:
        """Return the feed of evacuations by data centre."""

    @abstractmethod
    def make_member_feed(self, session: ClientSession) -> Feed[Member]:
        """Return the feed of entries by process."""

    @abstractmethod
    def make_member_registry(self, session: ClientSession) -> Registry[Member]:
        """Return the registry of entries."""

    @abstractmethod
    def make_quarantine_registry(
        self, session: ClientSession
    ) -> Registry[QuarantinedRequest]:
        """Return the registry of quarantined requests."""

    @abstractmethod
    def make_runner_driver(
        self, session: ClientSession, address: str, change_timeout: float
    ) -> RunnerDriver:
        """Return a client of the model engine at an address.

        `change_timeout` limits the seconds of a call that stages a chunk or orders a
        load.
        """

    @abstractmethod
    def make_weight_source(self, session: ClientSession, address: str) -> WeightSource:
        """Return a client of the origin of weights at an address."""


def load_adapter(cfg: PlatformAccess) -> Adapter:
    """Load the adapter named in the settings; raise `AdapterNotFoundError`."""
    try:
        make_adapter = import_module(cfg.adapter).make_adapter
    except (ImportError, AttributeError) as exc:
        raise AdapterNotFoundError(
            f"platform.adapter: {cfg.adapter} is not an adapter ({exc})"
        ) from exc
    return make_adapter(cfg)
