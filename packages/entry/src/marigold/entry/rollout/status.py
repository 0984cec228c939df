"""Progress report of rollouts for operators."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from marigold.entry.membership.pool import TargetPool
from marigold.entry.rollout.controller import RolloutController
from marigold.entry.rollout.wanted import WantedVersion


def make_rollout_status(
    controller: RolloutController, pool: TargetPool
) -> dict[str, Any]:
    """Return the progress by model, data centre and host.

    Only the leader of a data centre knows the chunks and order states, and only
    for the hosts of that data centre.
    """
    versions = [
        _make_version_status(controller, pool, item) for item in controller.wanted
    ]
    return {"is_order_holder": controller.is_leader(), "versions": versions}


def _make_version_status(
    controller: RolloutController, pool: TargetPool, item: WantedVersion
) -> dict[str, Any]:
    hosts = []
    counts: dict[str, dict[str, int]] = defaultdict(lambda: {"wanted": 0, "loaded": 0})
    for record in item.hosts:
        conn = pool.find(record.host)
        is_loaded = conn is not None and item.version in conn.view.versions
        order = controller.orders.find(record.host, "load", item.version)
        state = order.state if order else "unknown"
        counts[record.data_centre]["wanted"] += 1
        counts[record.data_centre]["loaded"] += is_loaded
        hosts.append(
            {
                "host": record.host,
                "data_centre": record.data_centre,
                "state": "loaded" if is_loaded else state,
                "chunks": order.chunks if order else 0,
                "detail": order.detail if order else "",
            }
        )
    return {
        "model": item.model,
        "version": item.version,
        "distribution": item.distribution,
        "data_centres": dict(counts),
        "hosts": hosts,
    }
