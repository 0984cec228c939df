"""Functions that publish weights for a fleet and wait for their rollout."""

from __future__ import annotations

import asyncio

from marigold.standins.fleet import Fleet, Host

POLL_S = 0.05


async def publish_weights(
    fleet: Fleet, model: str, version: str, size: int, chunk_size: int
) -> None:
    """Publish a version of `size` bytes at the weight origin."""
    url = f"{fleet.platform_url}/weights/{model}/{version}"
    await fleet.put_json(url, {"size": size, "chunk_size": chunk_size})


async def get_origin_bytes(fleet: Fleet) -> int:
    """Return the bytes of chunks that the weight origin has sent."""
    return (await fleet.get_json(f"{fleet.platform_url}/weights"))["bytes_sent"]


async def wait_for_version(
    fleet: Fleet, model: str, version: str, timeout: float = 60.0
) -> int:
    """Wait until every entry lists a version for each running target of a model.

    Return the number of targets.
    """
    targets = [item for item in fleet.targets if item.service == model]
    names = {item.name for item in targets if item.child.is_running()}
    async with asyncio.timeout(timeout):
        for entry in fleet.entries:
            while not names <= await _get_hosts_with_version(fleet, entry, version):
                await asyncio.sleep(POLL_S)
    return len(names)


async def wait_for_removal(
    fleet: Fleet, model: str, version: str, timeout: float = 60.0
) -> None:
    """Wait until no entry lists a version for any target of a model."""
    async with asyncio.timeout(timeout):
        for entry in fleet.entries:
            while await _get_hosts_with_version(fleet, entry, version):
                await asyncio.sleep(POLL_S)


async def _get_hosts_with_version(fleet: Fleet, entry: Host, version: str) -> set[str]:
    status = await fleet.get_status(entry)
    return {
        target["host"] for target in status["targets"] if version in target["versions"]
    }
