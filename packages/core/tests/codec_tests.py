from __future__ import annotations

import unittest

from cbor2 import dumps
from hypothesis import given, seed, settings, strategies as st

from marigold.core.exceptions import LinkMessageError
from marigold.core.links.codec import decode, encode
from marigold.core.schema.generated.messages import AnswerChunk, TargetReport

SEED = 20261204
JSON_LIKE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


class CodecTests(unittest.TestCase):
    def test_message_is_unchanged_after_a_round_trip(self):
        chunk = AnswerChunk(attempt="a.1", sequence=3, data=b"\x00\xff")
        self.assertEqual(decode(encode(chunk, 7)), (7, chunk))

    def test_omitted_fields_get_their_defaults(self):
        report = TargetReport(service="m", kind="model", limit=4, versions=["1"])
        self.assertEqual(decode(encode(report, 1))[1].fence, 0)

    @seed(SEED)
    @settings(database=None, deadline=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_give_a_message_or_a_link_error(self, frame):
        try:
            decode(frame)
        except LinkMessageError:
            pass

    @seed(SEED)
    @settings(database=None, deadline=None)
    @given(st.integers(-2, 40), st.integers(), JSON_LIKE)
    def test_arbitrary_fields_give_a_message_or_a_link_error(self, code, clock, fields):
        try:
            decode(dumps([code, clock, fields]))
        except LinkMessageError:
            pass
