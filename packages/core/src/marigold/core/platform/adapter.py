"""Interfaces that the adapter of a platform implements.

An adapter holds names, formats and calls; it decides nothing. It is a Python
module, named in the settings as `platform.adapter`, with one function:

    def make_adapter(cfg: PlatformAccess) -> Adapter: ...

All calls raise `PlatformUnreachableError` when no answer came in time or the
platform is not available, and `PlatformError` for any other refusal.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from importlib import import_module
from typing import Generic, TypeVar

from aiohttp import ClientSession

from marigold.core.exceptions import UserError
from marigold.core.schema.generated.deployment import (
    Configuration,
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
    """The settings name a module that is no adapter."""


class Listing(Generic[T]):
    """All objects of a kind by name, as of a revision of the store."""

    __slots__ = ("items", "revision")

    def __init__(self, items: dict[str, T], revision: int) -> None:
        self.items = items
        self.revision = revision


class Changes(Generic[T]):
    """Changed objects by name, None for removed ones, up to a revision."""

    __slots__ = ("items", "revision")

    def __init__(self, items: dict[str, T | None], revision: int) -> None:
        self.items = items
        self.revision = revision


class Feed(ABC, Generic[T]):
    """The objects of one kind in the platform's store."""

    name: str

    @abstractmethod
    async def read(self) -> Listing[T]:
        """Return all objects."""

    @abstractmethod
    async def watch(self, revision: int, wait: float) -> Changes[T]:
        """Return what changed after a revision, at most `wait` seconds later.

        Raise `HistoryLostError` when the store no longer knows.
        """


class Registry(ABC, Generic[T]):
    """Objects of a kind that the product itself keeps in the platform's store.

    Entries write themselves down and find each other in one, and requests that end
    their runners in another.
    """

    @abstractmethod
    async def put(self, item: T, is_known: bool) -> None:
        """Write an object; `is_known` tells that there is one of its name already."""

    @abstractmethod
    async def read(self, is_stale: bool) -> Listing[T]:
        """Return all objects; a stale listing may lack the newest ones."""

    @abstractmethod
    async def delete(self, name: str) -> None:
        """Remove an object; one that is gone already is no error."""


class RunnerDriver(ABC):
    """Calls to one model engine, which must be on this host to be staged to."""

    @abstractmethod
    async def get_report(self) -> RunnerReport:
        """Return what the engine tells of itself."""

    @abstractmethod
    async def put_chunk(self, model: str, index: int, data: bytes) -> None:
        """Stage a chunk; it replaces the one of any other version."""

    @abstractmethod
    async def get_chunk(self, model: str, index: int) -> bytes | None:
        """Return a staged chunk, unchecked; None when there is none."""

    @abstractmethod
    async def load(self, model: str, version: int, sequence: int) -> None:
        """Order to load what is staged.

        `sequence` is the expected number of earlier orders. Raise
        `OrderConflictError` when the engine's state does not fit.
        """


class WeightSource(ABC):
    """The origin of new weights."""

    @abstractmethod
    async def get_manifest(self, model: str, version: int | None) -> Manifest:
        """Return the digests of a version, None for the newest.

        Raise `WeightsNotFoundError` or `ManifestError`.
        """

    @abstractmethod
    async def get_chunk(self, manifest: Manifest, index: int, timeout: float) -> bytes:
        """Return a chunk, unchecked; `timeout` is in seconds without any bytes."""


class RequestHead:
    """What the head of a caller's request tells.

    `deadline` is in seconds, None when the caller names none. `key` is empty
    without one. `prompt_tokens` is 0 when not told.
    """

    __slots__ = (
        "attempt",
        "deadline",
        "key",
        "last_event",
        "model",
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
    ) -> None:
        self.attempt = attempt
        self.key = key
        self.deadline = deadline
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.last_event = last_event


class RunnerRequestHead:
    """What the head of a request to a runner has to say."""

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
    """The load that a runner tells with an answer."""

    __slots__ = ("running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class ResponseHead:
    """What the head of a runner's answer tells.

    `is_unrun` is the runner's statement that it has not run the request and will
    not. `is_sealed` tells that the answer carries the runner's signature.
    `is_leaving` is the runner's statement that it is about to stop, `retry_after` the
    seconds in which it wants no more requests of this entry, 0 when it names none.
    """

    __slots__ = (
        "attempt",
        "is_leaving",
        "is_signed",
        "is_not_executed",
        "load",
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
    ) -> None:
        self.attempt = attempt
        self.is_not_executed = is_not_executed
        self.is_signed = is_signed
        self.load = load
        self.version = version
        self.is_leaving = is_leaving
        self.retry_after = retry_after


class HeaderCodec(ABC):
    """Names and formats of headers between callers, entries and runners."""

    readiness_path: str

    @abstractmethod
    def parse_request_head(self, headers: Mapping[str, str]) -> RequestHead:
        """Return what a caller's request tells."""

    @abstractmethod
    def make_runner_headers(
        self, headers: Mapping[str, str], terms: RunnerRequestHead
    ) -> list[tuple[str, str]]:
        """Return the headers to send on, without those of one connection."""

    @abstractmethod
    def parse_response_head(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseHead:
        """Return what a runner's answer tells."""

    @abstractmethod
    def make_caller_headers(self, headers: Mapping[str, str]) -> list[tuple[str, str]]:
        """Return the headers of an answer that the caller gets."""


class Adapter(ABC):
    """What the product needs of a platform."""

    header_codec: HeaderCodec

    @abstractmethod
    def make_configuration_feed(
        self, session: ClientSession, is_stale: bool = False
    ) -> Feed[Configuration]:
        """Return the feed of configurations; one object is in force.

        What a stale feed tells may be seconds old, and costs the platform less.
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
    def make_member_feed(self, session: ClientSession) -> Feed[Member]:
        """Return the feed of entries by process."""

    @abstractmethod
    def make_member_registry(self, session: ClientSession) -> Registry[Member]:
        """Return where entries write themselves down."""

    @abstractmethod
    def make_quarantine_registry(
        self, session: ClientSession
    ) -> Registry[QuarantinedRequest]:
        """Return where requests are written down that end their runners."""

    @abstractmethod
    def make_runner_driver(self, session: ClientSession, address: str) -> RunnerDriver:
        """Return the calls to the model engine at an address."""

    @abstractmethod
    def make_weight_source(self, session: ClientSession, address: str) -> WeightSource:
        """Return the origin of weights at an address."""


def load_adapter(cfg: PlatformAccess) -> Adapter:
    """Return the adapter that the settings name; raise `AdapterNotFoundError`."""
    try:
        make_adapter = import_module(cfg.adapter).make_adapter
    except (ImportError, AttributeError) as exc:
        raise AdapterNotFoundError(
            f"platform.adapter: {cfg.adapter} is no adapter ({exc})"
        ) from exc
    return make_adapter(cfg)
