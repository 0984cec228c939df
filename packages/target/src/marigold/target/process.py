"""The target process: gate, weight exchange and links."""

from __future__ import annotations

import asyncio
import random

from aiohttp import ClientSession

from marigold.core.clock import HybridClock
from marigold.core.commands import tune_garbage_collector
from marigold.core.lifecycle import Process, cancel_tasks
from marigold.core.links.identity import Identity, make_incarnation
from marigold.core.links.link import Link, LinkContext
from marigold.core.links.transport import open_link, serve_links
from marigold.core.logging import configure_logging, get_logger
from marigold.core.platform.weights import WeightClient
from marigold.core.schema.generated.messages import Heartbeat, LoadOrder
from marigold.core.schema.generated.settings import TargetSettings
from marigold.target.gate.drivers import (
    BackEndUnreachableError,
    Driver,
    make_driver,
    make_session,
)
from marigold.target.gate.gate import Gate
from marigold.target.weights.engine import HttpWeightEngine
from marigold.target.weights.exchange import WeightExchange
from marigold.target.weights.orders import GateControls, OrderExecutor
from marigold.target.weights.pacing import RatePacer

log = get_logger(__name__)

VERSION_POLL_S = 1.0


class TargetProcess(Process):
    """Process that serves the back end of one target host.

    `_withheld` are versions that are being unloaded and are no longer published.
    """

    def __init__(self, cfg: TargetSettings) -> None:
        self._cfg = cfg
        self._clock = HybridClock()
        self._identity = Identity(
            cfg.process, "target", cfg.data_centre, make_incarnation()
        )
        self._gate: Gate | None = None
        self._exchange: WeightExchange | None = None
        self._withheld: set[str] = set()

    def _make_heartbeat(self) -> Heartbeat:
        gate = self._gate
        return Heartbeat(
            generation=0,
            running=gate.running,
            limit=gate.limit,
            leaving=gate.leaving,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve links until `stop` is set, then finish running attempts."""
        cfg = self._cfg
        output = configure_logging(
            cfg.process, cfg.data_centre, self._clock, cfg.log_file
        )
        ctx = LinkContext(
            self._identity,
            self._clock,
            cfg.links,
            cfg.link_secret,
            self._make_heartbeat,
        )
        async with make_session() as session:
            driver = make_driver(session, cfg.engine)
            self._gate = Gate(cfg, self._identity.incarnation, driver)
            orders = self._make_orders(session, ctx, driver, self._gate)
            async with serve_links(cfg.peers, ctx, self._serve) as port:
                tasks = [
                    asyncio.create_task(self._poll_versions(driver, self._gate)),
                    asyncio.create_task(orders.run()),
                ]
                log.event(
                    "target_ready", port=port, incarnation=self._identity.incarnation
                )
                tune_garbage_collector()
                await stop.wait()
                await self._gate.drain()
                await orders.stop()
                await self._exchange.stop()
                await cancel_tasks(*tasks)
        log.event("target_stopped")
        output.close()

    async def _serve(self, link: Link) -> None:
        if link.peer.role == "target":
            await self._exchange.serve(link)
        else:
            await self._gate.serve(link)

    def _make_orders(
        self, session: ClientSession, ctx: LinkContext, driver: Driver, gate: Gate
    ) -> OrderExecutor:
        cfg = self._cfg
        rng = random.Random()
        engine = HttpWeightEngine(session, cfg.engine)
        self._exchange = WeightExchange(
            lambda address: open_link(address, ctx),
            cfg.weights,
            engine,
            WeightClient(session, cfg.platform),
            RatePacer(cfg.weights.upload_rate, lambda: gate.running > 0),
            rng,
        )
        versions = GateControls(
            gate.check_fence,
            lambda: self._refresh_versions(driver, gate),
            gate.count_running,
            self._withheld,
        )
        orders = OrderExecutor(
            cfg.engine.service, engine, self._exchange, versions, rng
        )

        gate.subscribe(LoadOrder, orders.on_order)
        return orders

    async def _refresh_versions(self, driver: Driver, gate: Gate) -> None:
        try:
            versions = await driver.get_versions()
        except BackEndUnreachableError as exc:
            log.event("back_end_unreachable", reason=exc)
            versions = []
        shown = [item for item in versions if item not in self._withheld]
        await gate.set_versions(shown)

    async def _poll_versions(self, driver: Driver, gate: Gate) -> None:
        while True:
            await self._refresh_versions(driver, gate)
            await asyncio.sleep(VERSION_POLL_S)
