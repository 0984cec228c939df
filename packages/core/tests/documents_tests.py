from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, seed, settings, strategies as st

from marigold.core.documents import DocumentError, load_document
from marigold.core.schema.generated.lists import PlansList
from marigold.core.schema.generated.settings import TargetSettings
from marigold.core.settings import load_settings

SEED = 20261204
TARGET = """\
process: target-1
data_centre: gyor-a
region: hu-west
peers: {host: 127.0.0.1, port: 0}
platform: {url: "http://127.0.0.1:1"}
link_secret: 0123456789abcdef
engine:
  url: http://127.0.0.1:2
  service: assistant
  kind: model
"""


def load(text, overrides=()):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "target.yaml")
        path.write_text(text)
        return load_settings(str(path), TargetSettings, overrides)


class SettingsTests(unittest.TestCase):
    def test_defaults_apply(self):
        self.assertEqual(load(TARGET).engine.limit, 16)

    def test_override_replaces_a_setting(self):
        self.assertEqual(load(TARGET, ["engine.limit=3"]).engine.limit, 3)

    def test_all_faults_are_reported_with_their_lines(self):
        text = TARGET.replace("kind: model", "kind: modle").replace(
            "region: hu-west", "regoin: hu-west"
        )
        with self.assertRaises(DocumentError) as caught:
            load(text)
        found = {(fault.line, fault.key) for fault in caught.exception.faults}
        self.assertEqual(found, {(3, "regoin"), (1, "region"), (10, "engine.kind")})

    def test_invalid_override_is_a_fault(self):
        for override in ("engine.limit", "engine.limit=none", "process.x=1"):
            with self.subTest(override), self.assertRaises(DocumentError):
                load(TARGET, [override])


class DocumentTests(unittest.TestCase):
    def test_duplicate_key_is_a_fault(self):
        result = load_document(
            "customers: {}\ncustomers: {}\n", "p", "lists", PlansList
        )
        self.assertEqual((result.error[0].line, result.error[0].key), (2, "customers"))

    def test_control_characters_are_a_fault(self):
        result = load_document("\x1f", "plans", "lists", PlansList)
        self.assertEqual(result.error[0].key, "(syntax)")

    def test_aliases_that_expand_without_bound_are_a_fault(self):
        rows = ["a0: &a0 [x]"]
        for level in range(1, 12):
            items = ", ".join([f"*a{level - 1}"] * 9)
            rows.append(f"a{level}: &a{level} [{items}]")
        result = load_document("\n".join(rows), "plans", "lists", PlansList)
        self.assertIn("nodes", result.error[0].expected)

    @seed(SEED)
    @settings(database=None, deadline=None)
    @given(st.text(max_size=200))
    def test_arbitrary_text_is_reported_with_faults(self, text):
        result = load_document(text, "plans", "lists", PlansList)
        self.assertTrue(result.is_error())
        self.assertTrue(result.error)
