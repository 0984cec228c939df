from __future__ import annotations

import math
import random

from marigold.core.exceptions import PlatformUnreachableError, WeightsNotFoundError
from marigold.core.platform.adapter import RunnerDriver
from marigold.core.platform.weights import compute_digest
from marigold.core.schema.generated.deployment import HeldModel, RunnerReport
from marigold.core.schema.generated.records import Manifest
from marigold.target.weights.download import Download

BOUND_S = 8.0
COPY_S = 5.4
CHUNKS = 12


def make_corrupt_manifest(version, index, digest="0" * 64):
    """Return a manifest with another digest for one chunk."""
    _, manifest = make_manifest(version)
    manifest.chunks[index] = digest
    manifest.digest = f"{manifest.digest}-{index}-{digest[:4]}"
    return manifest


def make_manifest(version):
    data = [b"%d-%d" % (version, index) for index in range(CHUNKS)]
    digests = [compute_digest(item) for item in data]
    return data, Manifest(
        model="m",
        version=str(version),
        size=4 * CHUNKS,
        chunk_size=4,
        chunks=digests,
        digest=f"whole-{version}",
    )


class FakeDriver(RunnerDriver):
    def __init__(self):
        self.staged = {}
        self.orders = []
        self.held = []
        self.is_down = False
        self.started_ms = 1

    def _check(self):
        if self.is_down:
            raise PlatformUnreachableError("down")

    async def get_report(self):
        self._check()
        return RunnerReport(
            held=self.held,
            is_busy=False,
            sequence=len(self.orders),
            running=0,
            waiting=0,
            started_ms=self.started_ms,
        )

    async def put_chunk(self, model, index, data):
        self._check()
        self.staged[index] = data

    async def get_chunk(self, model, index):
        self._check()
        return self.staged.get(index)

    async def load(self, model, version, sequence, expires_at=math.inf):
        self._check()
        self.orders.append((version, sequence, dict(self.staged)))
        self.held = [HeldModel(model=model, version=version)]


class FakeSource:
    """Source whose next answers on a version are taken from `corrupt`, if any."""

    def __init__(self, *versions):
        self.versions = set(versions)
        self.corrupt = []
        self.doubted = []

    async def get_manifest(self, model, version, doubted=()):
        self.doubted.append(list(doubted))
        version = version or max(self.versions)
        if version not in self.versions:
            raise WeightsNotFoundError(f"{version} does not exist")
        return self.corrupt.pop(0) if self.corrupt else make_manifest(version)[1]


class FakeExchange:
    """An exchange whose chunks arrive when a test adds them."""

    def __init__(self, monotonic):
        self.monotonic = monotonic
        self.downloads = {}
        self.origin_failure_age = math.inf

    def start(self, manifest, order):
        download = Download(manifest, order, random.Random(1), self.monotonic)
        self.downloads[int(manifest.version)] = download
        return download

    def update_order(self, download, order):
        download.order = order

    def get_origin_failure_age(self):
        return self.origin_failure_age

    def add_held(self, download, index):
        download.add_held(index)

    async def drop(self, digest):
        pass
