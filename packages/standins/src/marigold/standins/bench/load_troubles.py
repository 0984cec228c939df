"""Replays of the bench `load` in which engines are suspended or load new weights."""

from __future__ import annotations

import asyncio

from marigold.standins.bench.load_fleet import Policies, SimulatedFleet
from marigold.standins.bench.load_run import LoadRun

# When the hosts of engines are suspended.
SUSPEND_AT_S = 10.0
# When engines start to switch to new weights, the time over which the switches are
# spread, and the time that loading takes.
SWITCH_AT_S = 8.0
SWITCH_SPREAD_S = 1.68
LOAD_S = 0.35
POLL_S = 0.05


class SuspendedRun(LoadRun):
    """A replay in which the hosts of some engines stand still for seconds.

    What was sent to them meanwhile reaches them when they go on.
    """

    def __init__(
        self,
        fleet: SimulatedFleet,
        policies: Policies,
        seed: int,
        peak: float,
        suspended: int,
        seconds: float,
    ) -> None:
        super().__init__(fleet, policies, seed, peak)
        self._suspended = suspended
        self._seconds = seconds

    async def run(self) -> None:
        """Replay the whole load."""
        task = asyncio.create_task(self._suspend())
        await super().run()
        await task

    async def _suspend(self) -> None:
        await asyncio.sleep(SUSPEND_AT_S)
        for engine in self._engines[: self._suspended]:
            engine.suspend(self._seconds)


class SwitchingRun(LoadRun):
    """A replay in which all engines load new weights, staggered in time.

    Each engine pauses, completes its requests, loads the weights and resumes.
    """

    async def run(self) -> None:
        """Replay the whole load."""
        switching = asyncio.create_task(self._switch_all())
        await super().run()
        await switching

    def _get_load_factor(self) -> float:
        return 1.0

    async def _add_late(self) -> None:
        for number in range(self.fleet.engines, self.fleet.engines + self.fleet.added):
            self._add_engine(number)

    async def _switch_all(self) -> None:
        await asyncio.sleep(SWITCH_AT_S)
        count = self.fleet.engines + self.fleet.added
        gap = SWITCH_SPREAD_S / count
        switches = [self._switch(number, number * gap) for number in range(count)]
        await asyncio.gather(*switches)

    async def _switch(self, number: int, delay: float) -> None:
        await asyncio.sleep(delay)
        engine = self._engines[number]
        self._pause(number, True)
        while engine.running or engine.waiting:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(LOAD_S)
        self._pause(number, False)

    def _pause(self, number: int, is_paused: bool) -> None:
        for directory in self._directories:
            for view in directory.views:
                if view.id == f"i{number}":
                    view.is_paused = is_paused
