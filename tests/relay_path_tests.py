"""The relay between callers and scripted runners, by the platform's protocol."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from unittest import mock

from aiohttp import ClientError, ClientSession

from marigold.core.schema.generated.settings import PlatformAccess, RelaySettings
from marigold.entry.relay.process import RelayProcess
from marigold.standins.platform_store import PlatformStore
from marigold.standins.scripted_runner import ScriptedRunner

TIMEOUT_S = 10.0
KEY = "k-mason"
SEAL = {"Response-Seal": "s"}


def make_route(name, prefix, kind, service, **changes):
    route = {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
    }
    return route | changes


def make_configuration(version=1, keys=(KEY,), routes=()):
    stream = {"StreamResume": True, "TargetGapMs": 300}
    return {
        "Version": version,
        "Routes": [
            make_route("read", "/read/", "idempotent", "plain"),
            make_route("pay", "/pay/", "non_idempotent", "plain", MaxAttempts=1),
            make_route("slow", "/slow/", "idempotent", "plain", TimeoutMs=300),
            make_route("draft", "/draft/", "streaming", "plain", **stream),
            make_route("live", "/live/", "streaming", "plain"),
            *routes,
        ],
        "Services": [{"Name": "plain", "MaxConnections": 100}],
        "Limits": {"MaxHeaderBytes": 4096, "MaxBodyBytes": 1000},
        "Tenants": [{"Name": "masons", "ApiKeys": list(keys)}],
    }


def make_entry(address, **changes):
    entry = {
        "Service": "plain",
        "Address": address,
        "Zone": "gyor-a",
        "Slots": 4,
        "State": "ready",
        "born": 1,
    }
    return entry | changes


def get_free_port():

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class RelayTestCase(unittest.IsolatedAsyncioTestCase):
    runners = 2

    async def asyncSetUp(self):
        quiet = mock.patch("marigold.entry.relay.process.configure_bounded_logging")
        quiet.start()
        self.addCleanup(quiet.stop)
        self.store = PlatformStore()
        await self.store.start()
        self.store.put("config", "main", make_configuration())
        self.servers = [ScriptedRunner() for _ in range(self.runners)]
        for number, server in enumerate(self.servers):
            self.store.put("servers", f"i{number}", make_entry(await server.start()))
        ports = [get_free_port() for _ in range(3)]
        self.url = f"http://127.0.0.1:{ports[0]}"
        self.ready_url = f"http://127.0.0.1:{ports[1]}/v1/readyz"
        callers, readiness, metrics = (f"127.0.0.1:{port}" for port in ports)
        self.cfg = RelaySettings(
            process="entry-1",
            data_centre="gyor-a",
            regions={"gyor-a": "hu-west"},
            callers=callers,
            readiness=readiness,
            metrics=metrics,
            platform=PlatformAccess(
                adapter="marigold.platform",
                store=self.store.address,
                call_timeout=0.3,
                configuration_wait=0.5,
            ),
            seed=1,
        )
        self.cfg.bounds.grace_s = 4.0
        self.change_settings()
        self.process = RelayProcess("", self.cfg)
        self.stopping = asyncio.Event()
        self.task = asyncio.create_task(self.process.run(self.stopping))
        self.session = ClientSession(auto_decompress=False)
        await self.wait_ready()

    def change_settings(self):
        pass

    async def asyncTearDown(self):
        await self.session.close()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    async def wait_ready(self):
        async with asyncio.timeout(TIMEOUT_S):
            while await self.get_readiness() != 200:
                await asyncio.sleep(0.02)

    async def get_readiness(self):
        try:
            async with self.session.get(self.ready_url) as resp:
                return resp.status
        except ClientError:
            return 0

    def script(self, *scripts):
        for server in self.servers:
            server.script(*scripts)

    async def call(self, path="/read/1", method="GET", headers=None, **options):
        sent = {
            "Host": "a.example",
            "Attempt-Id": f"a{random.getrandbits(32):x}",
            "Deadline-Ms": "1500",
            "X-Api-Key": KEY,
        }
        sent |= headers or {}
        async with self.session.request(
            method, self.url + path, headers=sent, **options
        ) as resp:
            return resp.status, dict(resp.headers), await resp.read()

    def get_seen(self):
        return [req for server in self.servers for req in server.requests]


async def answer(conn, req):
    await conn.answer(req)


class RequestTests(RelayTestCase):
    async def test_request_is_passed_on_unchanged_with_what_the_system_sets(self):
        self.script(answer)
        status, headers, body = await self.call(
            "/pay/x%2Fy?n=1&m", "POST", {"Tenant": "forged"}, data=b"pay 7"
        )
        self.assertEqual((status, body), (200, b"done"))
        self.assertEqual(headers["Response-Seal"], "s")
        (req,) = self.get_seen()
        self.assertEqual((req.method, req.path), ("POST", "/pay/x%2Fy?n=1&m"))
        self.assertEqual(req.body, b"pay 7")
        self.assertEqual(req.headers["tenant"], "masons")
        self.assertNotIn("x-api-key", req.headers)
        self.assertIn(req.headers["expect-instance"], ("i0", "i1"))
        self.assertLessEqual(int(req.headers["deadline-ms"]), 1500)
        self.assertGreater(int(req.headers["deadline-ms"]), 1000)

    async def test_unknown_key_and_route_are_told_apart(self):
        self.assertEqual((await self.call(headers={"X-Api-Key": "no"}))[0], 401)
        self.assertEqual((await self.call("/none/1"))[0], 404)
        self.assertEqual(self.get_seen(), [])

    async def test_body_over_the_bound_is_not_passed_on(self):
        status, _, _ = await self.call("/pay/1", "POST", data=bytes(2000))
        self.assertEqual(status, 413)
        self.assertEqual(self.get_seen(), [])

    async def test_head_over_the_bound_is_not_passed_on(self):
        status, _, _ = await self.call(headers={"Note": "x" * 5000})
        self.assertEqual(status, 431)

    async def test_new_configuration_is_in_force_at_once(self):
        self.script(answer)
        route = make_route("new", "/new/", "idempotent", "plain")
        self.store.put("config", "main", make_configuration(2, routes=[route]))
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call("/new/1"))[0], 200)

    async def test_withdrawn_key_is_refused(self):
        self.store.put("config", "main", make_configuration(2, keys=("other",)))
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call())[0], 401)

    async def test_older_configuration_does_not_replace_a_newer_one(self):
        self.script(answer)
        route = make_route("new", "/new/", "idempotent", "plain")
        self.store.put("config", "main", make_configuration(5, routes=[route]))
        await asyncio.sleep(0.2)
        self.store.put("config", "main", make_configuration(4))
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call("/new/1"))[0], 200)

    async def test_configuration_that_cannot_be_read_keeps_the_last_one(self):
        self.script(answer)
        for broken in ({"Version": 9}, {"Version": "x"}, 7, None):
            self.store.put("config", "main", broken)
        await asyncio.sleep(0.2)
        self.assertEqual((await self.call())[0], 200)

    async def test_entries_of_other_writers_name_no_runner(self):
        self.script(answer)
        self.store.put("servers", "bad1", {"Service": "plain"})
        self.store.put("servers", "bad2", make_entry(7))
        self.store.put("servers", "bad3", make_entry("1.2.3.4:5", State="odd"))
        await asyncio.sleep(0.5)
        for _ in range(5):
            self.assertEqual((await self.call())[0], 200)


class FailureTests(RelayTestCase):
    async def test_reset_repeats_what_may_run_twice(self):
        async def reset_first(conn, req):
            if len(self.get_seen()) == 1:
                conn.reset()
            else:
                await conn.answer(req)

        self.script(reset_first)
        status, _, body = await self.call("/read/1")
        self.assertEqual((status, body), (200, b"done"))
        self.assertEqual(len(self.get_seen()), 2)

    async def test_reset_of_what_must_not_run_twice_promises_nothing(self):
        async def reset(conn, req):
            conn.reset()

        self.script(reset)
        status, headers, _ = await self.call("/pay/1", "POST", data=b"x")
        self.assertEqual(status, 502)
        self.assertNotIn("Retry-After", headers)
        self.assertEqual(len(self.get_seen()), 1)

    async def test_answer_without_length_that_was_reset_is_not_whole(self):
        async def cut(conn, req):
            id = req.headers["attempt-id"].encode()
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n" % id
            await conn.send(head + b"half")
            await asyncio.sleep(0.05)
            conn.reset()

        self.script(cut)
        status, _, _ = await self.call("/pay/1", "POST", data=b"x")
        self.assertEqual(status, 502)

    async def test_answer_without_length_ends_with_its_connection(self):
        async def whole(conn, req):
            id = req.headers["attempt-id"].encode()
            head = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n" % id
            await conn.send(head + b"all of it")
            conn.close()

        self.script(whole)
        status, _, body = await self.call("/pay/1", "POST", data=b"x")
        self.assertEqual((status, body), (200, b"all of it"))

    async def test_answer_to_another_request_is_not_delivered(self):
        async def stale(conn, req):
            req.headers["attempt-id"] = "someone-else"
            await conn.answer(req, body=b"not yours")

        self.script(stale)
        status, _, body = await self.call("/pay/1", "POST", data=b"x")
        self.assertEqual(status, 502)
        self.assertNotIn(b"not yours", body)

    async def test_extra_answer_is_not_joined_to_the_next_request(self):
        async def twice(conn, req):
            await conn.answer(req)
            await conn.answer(req, body=b"extra")

        self.script(twice)
        for _ in range(6):
            status, _, body = await self.call("/read/1")
            self.assertEqual((status, body), (200, b"done"))

    async def test_runner_that_states_it_has_not_run_is_left_for_another(self):
        async def shed(conn, req):
            await conn.answer(req, "503 Full", b"", "Not-Executed: 1\r\n")

        self.servers[0].script(shed)
        self.servers[1].script(answer)
        for _ in range(4):
            status, _, _ = await self.call("/read/1")
            self.assertEqual(status, 200)

    async def test_single_attempt_that_was_not_run_is_refused_truthfully(self):
        async def shed(conn, req):
            await conn.answer(req, "503 Full", b"", "Not-Executed: 1\r\n")

        self.script(shed)
        status, headers, _ = await self.call("/pay/1", "POST", data=b"x")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(len(self.get_seen()), 1)

    async def test_runner_with_other_weights_tells_which(self):
        async def misdirected(conn, req):
            headers = "Instance-Id: i0\r\nWeight-Versions: 3\r\n"
            await conn.answer(req, "421 Misdirected Request", b"", headers)

        self.servers[0].script(misdirected)
        self.servers[1].script(answer)
        for _ in range(6):
            self.assertEqual((await self.call("/read/1"))[0], 200)
        seen = [
            self.process._directory.find(f"i{number}").version_seen
            for number in range(2)
        ]
        self.assertEqual(seen, [3, None])

    async def test_failure_of_the_runner_is_passed_on_unchanged(self):
        async def fail(conn, req):
            await conn.answer(req, "500 Odd", b"why")

        self.script(fail)
        status, headers, body = await self.call("/pay/1", "POST", data=b"x")
        self.assertEqual((status, body), (500, b"why"))
        self.assertEqual(headers["Response-Seal"], "s")

    async def test_success_without_a_signature_is_no_success(self):
        async def unsigned(conn, req):
            await conn.answer(req, headers="")

        self.script(unsigned)
        self.assertEqual((await self.call("/pay/1", "POST", data=b"x"))[0], 502)

    async def test_caller_gets_a_final_answer_at_the_timeout_of_the_route(self):
        async def hang(conn, req):
            await conn.wait_closed()

        self.script(hang)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await self.call("/slow/1")
        self.assertEqual(status, 504)
        self.assertLess(loop.time() - started, 0.8)

    async def test_unreachable_runner_costs_no_attempt(self):
        self.script(answer)
        await self.servers[0].stop()
        for _ in range(4):
            status, _, _ = await self.call("/pay/1", "POST", data=b"x")
            self.assertEqual(status, 200)

    async def test_caller_that_leaves_ends_the_work_at_the_runner(self):
        closed = asyncio.Event()

        async def hang(conn, req):
            await conn.wait_closed()
            closed.set()

        self.script(hang)
        call = asyncio.create_task(self.call("/pay/1", "POST", data=b"x"))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.get_seen():
                await asyncio.sleep(0.01)
        call.cancel()
        async with asyncio.timeout(0.5):
            await closed.wait()


class StreamTests(RelayTestCase):
    async def test_stream_is_passed_on_event_by_event(self):
        async def stream(conn, req):
            await conn.start_stream(req)
            await conn.send_events(1, 3)
            await conn.send_chunk(b"")

        self.script(stream)
        status, headers, body = await self.call("/draft/1", "POST", data=b"x")
        self.assertEqual(status, 200)
        self.assertEqual(headers["Response-Seal"], "s")
        self.assertEqual(body.count(b"\n\n"), 3)

    async def test_broken_stream_goes_on_at_another_runner(self):
        async def broken(conn, req):
            await conn.start_stream(req)
            await conn.send_events(1, 2)
            await conn.send_chunk(b"id: 3\nda")
            await asyncio.sleep(0.05)
            conn.reset()

        async def rest(conn, req):
            first = int(req.headers.get("last-event-id", 0)) + 1
            if first == 1:
                return await broken(conn, req)
            await conn.start_stream(req)
            await conn.send_events(first, 5)
            await conn.send_chunk(b"")

        self.script(rest)
        status, _, body = await self.call("/draft/1", "POST", data=b"x")
        self.assertEqual(status, 200)
        expected = b"".join(b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, 6))
        self.assertEqual(body, expected)
        ids = [req.headers.get("last-event-id") for req in self.get_seen()]
        self.assertCountEqual(ids, [None, "2"])

    async def test_silent_stream_goes_on_at_another_runner(self):
        async def rest(conn, req):
            first = int(req.headers.get("last-event-id", 0)) + 1
            await conn.start_stream(req)
            await conn.send_events(first, first + 1)
            if first == 1:
                return await conn.wait_closed()
            await conn.send_chunk(b"")

        self.script(rest)
        status, _, body = await self.call(
            "/draft/1", "POST", {"Deadline-Ms": "4000"}, data=b"x"
        )
        self.assertEqual((status, body.count(b"\n\n")), (200, 4))

    async def test_broken_stream_that_may_not_be_resumed_does_not_look_whole(self):
        async def broken(conn, req):
            await conn.start_stream(req)
            await conn.send_events(1, 2)
            await asyncio.sleep(0.05)
            conn.reset()

        self.script(broken)
        with self.assertRaises(ClientError):
            await self.call("/live/1", "POST", data=b"x")
        self.assertEqual(len(self.get_seen()), 1)

    async def test_stream_with_a_missing_event_is_not_passed_on_as_whole(self):
        async def gap(conn, req):
            await conn.start_stream(req)
            await conn.send_events(1, 1)
            await asyncio.sleep(0.05)
            await conn.send_events(3, 3)
            await conn.send_chunk(b"")

        self.script(gap)
        with self.assertRaises(ClientError):
            await self.call("/live/1", "POST", data=b"x")


class OutageTests(RelayTestCase):
    def change_settings(self):
        self.cfg.bounds.revocation_ms = 1500

    async def test_keys_are_not_used_once_the_store_was_away_too_long(self):
        self.script(answer)
        self.store.outage = True
        self.assertEqual((await self.call())[0], 200)
        # A watch that was on its way still vouches for half a second.
        await asyncio.sleep(2.0)
        status, headers, _ = await self.call()
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(await self.get_readiness(), 503)
        self.store.outage = False
        await self.wait_ready()
        self.assertEqual((await self.call())[0], 200)

    async def test_silent_store_counts_as_away(self):
        self.script(answer)
        self.store.is_silent = True
        await asyncio.sleep(2.2)
        self.assertEqual((await self.call())[0], 503)

    async def test_history_that_is_gone_is_read_anew(self):
        self.script(answer)
        self.store.forget_history()
        self.store.put("config", "main", make_configuration(2, keys=("k-new",)))
        self.store.forget_history()
        await asyncio.sleep(1.0)
        self.assertEqual((await self.call(headers={"X-Api-Key": "k-new"}))[0], 200)


class StopTests(RelayTestCase):
    async def test_planned_stop_finishes_what_runs_and_takes_what_comes(self):
        async def slow(conn, req):
            await asyncio.sleep(0.6)
            await conn.answer(req)

        self.script(slow)
        running = asyncio.create_task(self.call("/read/1"))
        await asyncio.sleep(0.1)
        self.stopping.set()
        await asyncio.sleep(0.05)
        self.assertEqual(await self.get_readiness(), 503)
        status, headers, _ = await self.call("/read/2")
        self.assertEqual(status, 200)
        self.assertEqual(headers.get("Connection"), "close")
        self.assertEqual((await running)[0], 200)
        async with asyncio.timeout(TIMEOUT_S):
            await self.task
