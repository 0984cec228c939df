"""Client of the platform's weight store."""

from __future__ import annotations

import hashlib

from aiohttp import ClientSession, ClientTimeout
from cattrs.errors import BaseValidationError
from cattrs.preconf.json import make_converter

from marigold.core.connections import CALL_ERRORS, MAXIMUM_BODY_BYTES, read_whole
from marigold.core.exceptions import (
    ManifestError,
    PlatformUnreachableError,
    WeightsNotFoundError,
)
from marigold.core.schema.generated.deployment import EngineModel
from marigold.core.schema.generated.records import Manifest
from marigold.core.schema.generated.settings import Platform

_CONVERTER = make_converter()
DIGEST_CHARACTERS = 64
# Characters of a digest in log lines; enough to tell the digests of a deployment apart.
LOGGED_CHARACTERS = 12


def load_manifest(data: bytes) -> Manifest:
    """Parse a manifest in JSON; raise `ManifestError` if it is invalid."""
    try:
        manifest = _CONVERTER.loads(data, Manifest)
    except (BaseValidationError, ValueError, TypeError, KeyError) as exc:
        raise ManifestError(f"malformed manifest: {exc!r}") from exc
    if manifest.size < 1 or manifest.chunk_size < 1:
        raise ManifestError("a manifest's sizes are positive")
    if len(manifest.chunks) != -(-manifest.size // manifest.chunk_size):
        raise ManifestError("the number of chunks does not fit the size")
    digests = (*manifest.chunks, manifest.digest)
    if any(len(digest) != DIGEST_CHARACTERS for digest in digests):
        raise ManifestError("a digest is 64 characters of hex")
    return manifest


def check_shape(manifest: Manifest, engine: EngineModel | None) -> None:
    """Compare a manifest with the chunks that the configuration states.

    A corrupt manifest may be well-formed but too short, and a runner would load what it
    has staged in place of the chunks that are not named. `engine` is None if the
    configuration does not have the model; sizes that are 0 are not stated. Raise
    `ManifestError`.
    """
    if engine is None:
        return
    found = (len(manifest.chunks), manifest.chunk_size)
    stated = (engine.chunks or found[0], engine.chunk_bytes or found[1])
    if found != stated:
        raise ManifestError(
            f"the manifest has {found[0]} chunks of {found[1]} bytes, "
            f"the configuration states {stated[0]} of {stated[1]}"
        )


def dump_manifest(manifest: Manifest) -> bytes:
    """Return a manifest in JSON."""
    return _CONVERTER.dumps(manifest).encode()


def compute_digest(data: bytes) -> str:
    """Return the digest by which a manifest identifies a chunk."""
    return hashlib.sha256(data).hexdigest()


def abbreviate_digest(digest: str) -> str:
    """Return the start of a digest for log lines."""
    return digest[:LOGGED_CHARACTERS]


def get_chunk_bytes(manifest: Manifest, index: int) -> int:
    """Return the size of a chunk in bytes."""
    return min(manifest.chunk_size, manifest.size - index * manifest.chunk_size)


class WeightClient:
    """Client that reads manifests and chunks."""

    __slots__ = ("_cfg", "_session")

    def __init__(self, session: ClientSession, cfg: Platform) -> None:
        self._session = session
        self._cfg = cfg

    async def get_manifest(self, model: str, version: str) -> Manifest:
        """Return a manifest.

        Raise `WeightsNotFoundError`, `ManifestError` or
        `PlatformUnreachableError`.
        """
        path = f"{model}/{version}/manifest"
        limit = ClientTimeout(total=self._cfg.timeout)
        manifest = load_manifest(await self._get(path, limit))
        if (manifest.model, manifest.version) != (model, version):
            raise ManifestError(
                f"the manifest of {model} {version} names another version"
            )
        return manifest

    async def get_chunk(self, manifest: Manifest, index: int, timeout: float) -> bytes:
        """Return the data of a chunk without verifying its digest.

        The store may be slow, since many processes read from it; `timeout` therefore
        limits the seconds without any data, not the whole transfer. Raise
        `WeightsNotFoundError` or `PlatformUnreachableError`.
        """
        path = f"{manifest.model}/{manifest.version}/chunks/{index}"
        limit = ClientTimeout(sock_connect=timeout, sock_read=timeout)
        return await self._get(path, limit, manifest.chunk_size)

    async def _get(
        self,
        path: str,
        limit: ClientTimeout,
        maximum_bytes: int = MAXIMUM_BODY_BYTES,
    ) -> bytes:
        url = f"{self._cfg.url}/weights/{path}"
        try:
            async with self._session.get(url, timeout=limit) as resp:
                if resp.status == 404:
                    raise WeightsNotFoundError(f"no weights {path}")
                if resp.status != 200:
                    raise PlatformUnreachableError(f"{path}: status {resp.status}")
                return await read_whole(resp, maximum_bytes)
        except CALL_ERRORS as exc:
            raise PlatformUnreachableError(f"{path}: {exc!r}") from exc
