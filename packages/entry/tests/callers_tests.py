from __future__ import annotations

import json
import unittest

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer, make_mocked_request

from marigold.core.schema.generated.settings import (
    Address,
    EntrySettings,
    Platform,
)
from marigold.entry.api.callers import CallerApi
from marigold.entry.api.middleware import convert_errors
from marigold.entry.lists.follower import ListFollower
from marigold.entry.metrics import EntryMetrics


def make_settings():
    address = Address(host="127.0.0.1", port=0)
    return EntrySettings(
        process="entry-1",
        data_centre="gyor-a",
        region="hu-west",
        callers=address,
        peers=address,
        platform=Platform(url="http://127.0.0.1:1"),
        link_secret="0123456789abcdef",
        administration_digest="0" * 64,
    )


class CallerApiTests(unittest.IsolatedAsyncioTestCase):
    async def test_entry_without_lists_answers_unreachable_not_unauthorized(self):
        api = CallerApi(make_settings(), ListFollower(), None, EntryMetrics(), "r")
        headers = {"Authorization": "Bearer kavics-bt-key"}
        http_req = make_mocked_request("POST", "/v1/chat/completions", headers=headers)
        resp = await api.complete_chat(http_req)
        error = json.loads(resp.body)["error"]
        self.assertEqual((resp.status, error["type"]), (503, "unreachable"))
        self.assertEqual(error["executed"], "no")
        self.assertIn("Retry-After", resp.headers)


class ErrorConversionTests(unittest.IsolatedAsyncioTestCase):
    async def get_error(self, method, path):
        async def fail(req):
            raise RuntimeError("secret")

        app = web.Application(middlewares=[convert_errors])
        app.router.add_post("/fails", fail)
        async with TestClient(TestServer(app)) as client:
            resp = await client.request(method, path)
            error = (await resp.json())["error"]
            return resp.status, error["type"], error["executed"], error["message"]

    async def test_unknown_path_and_method_get_typed_errors(self):
        got = await self.get_error("GET", "/none")
        self.assertEqual(got[:3], (404, "unknown_name", "no"))
        got = await self.get_error("GET", "/fails")
        self.assertEqual(got[:3], (405, "method_not_allowed", "no"))

    async def test_handler_exception_is_typed_and_its_text_is_hidden(self):
        got = await self.get_error("POST", "/fails")
        self.assertEqual(got[:3], (500, "internal", "unknown"))
        self.assertNotIn("secret", got[3])
