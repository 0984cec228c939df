from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from marigold.core.schema.generated.deployment import Runner
from marigold.entry.relay import crashes
from marigold.entry.relay.crashes import (
    PENDING_LIFETIME_S,
    CrashDetector,
    ProbeUnansweredError,
    RunnerCrash,
    is_refused,
)
from marigold.entry.relay.metrics import RelayMetrics
from marigold.entry.relay.views import RunnerView


def make_view(id="i0", started_ms=1, **changes):
    runner = Runner(
        id=id,
        service="s",
        address="127.0.0.1:1",
        data_centre="a",
        slots=4,
        is_draining=False,
        started_ms=started_ms,
        **changes,
    )
    return RunnerView(runner)


class CrashDetectorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.crashed = []
        self.probes = []
        self.is_refusing = True
        self.is_unreachable = False
        self.metrics = RelayMetrics()
        self.detector = CrashDetector(
            self.metrics, self.crashed.append, self.probe, lambda: self.now
        )

    async def probe(self, address):
        self.probes.append(address)
        await asyncio.sleep(0)
        if self.is_unreachable:
            raise ProbeUnansweredError(address)
        return self.is_refusing

    async def investigate(self, view, is_reset=True, fingerprint="f"):
        crash = RunnerCrash("r", fingerprint, view, {})
        return await self.detector.investigate(crash, is_reset)

    async def test_reset_and_refused_probe_is_a_crash(self):
        await self.investigate(make_view())
        self.assertEqual([crash.incarnation for crash in self.crashed], ["i0/1"])
        self.assertEqual(self.metrics.runners_ended.get("refused"), 1)

    async def test_reset_by_a_listening_runner_is_no_crash(self):
        self.is_refusing = False
        await self.investigate(make_view())
        self.assertEqual(self.crashed, [])

    async def test_planned_stop_is_no_crash(self):
        view = make_view()
        view.is_leaving = True
        await self.investigate(view)
        self.assertEqual(self.crashed, [])

    async def test_silent_runner_is_not_probed_and_counts_after_a_restart(self):
        view = make_view()
        await self.investigate(view, is_reset=False)
        self.assertEqual((self.probes, self.crashed), ([], []))
        self.detector.record_restart(make_view("i1"))
        self.assertEqual(self.crashed, [])
        self.detector.record_restart(view)
        self.detector.record_restart(view)
        self.assertEqual(len(self.crashed), 1)
        self.assertEqual(self.metrics.runners_ended.get("restarted"), 1)

    async def test_restart_long_after_the_break_is_no_evidence(self):
        view = make_view()
        await self.investigate(view, is_reset=False)
        self.now = PENDING_LIFETIME_S + 1
        self.detector.record_restart(view)
        self.assertEqual(self.crashed, [])

    async def test_abandoned_request_is_probed_after_a_delay(self):
        self.enterContext(mock.patch.object(crashes, "ABANDONED_CHECK_DELAY_S", 0.0))
        crash = RunnerCrash("r", "f", make_view(), {"f": 1})
        self.is_refusing = False
        self.assertTrue(await self.detector.investigate_abandoned(crash))
        self.assertEqual(self.crashed, [])
        self.is_refusing = True
        self.assertTrue(await self.detector.investigate_abandoned(crash))
        self.assertEqual(len(self.crashed), 1)

    async def test_unreachable_host_is_resolved_by_a_restart(self):
        self.enterContext(mock.patch.object(crashes, "ABANDONED_CHECK_DELAY_S", 0.0))
        self.is_unreachable = True
        view = make_view()
        self.assertFalse(await self.investigate(view))
        crash = RunnerCrash("r", "g", view, {"g": 1})
        self.assertFalse(await self.detector.investigate_abandoned(crash))
        self.detector.record_restart(view)
        self.assertEqual(len(self.crashed), 2)

    async def test_probe_that_is_cancelled_leaves_the_crash_to_the_list(self):
        view = make_view()
        task = asyncio.create_task(self.investigate(view))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.detector.record_restart(view)
        self.assertEqual(len(self.crashed), 1)

    async def test_requests_that_broke_together_share_a_probe(self):
        view = make_view()
        calls = (self.investigate(view, fingerprint=str(n)) for n in range(16))
        await asyncio.gather(*calls)
        self.assertEqual(len(self.crashed), 16)
        self.assertEqual(len(self.probes), 1)


class ProbeTests(unittest.IsolatedAsyncioTestCase):
    async def test_address_refuses_connections_once_it_is_closed(self):
        async def serve(reader, writer):
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        self.assertFalse(await is_refused(address))
        server.close()
        await server.wait_closed()
        self.assertTrue(await is_refused(address))
