from __future__ import annotations

import unittest

from marigold.core.numbers import MAXIMUM_DIGITS, parse_number


class ParseNumberTests(unittest.TestCase):
    def test_digits(self):
        for text, number in (("0", 0), ("007", 7), ("9" * MAXIMUM_DIGITS, 10**18 - 1)):
            with self.subTest(text):
                self.assertEqual(parse_number(text), number)

    def test_other_text_is_no_number(self):
        for text in (
            "",
            "-1",
            "+1",
            "1.0",
            "1_0",
            " 1",
            "\u00b2",
            "\u0663",
            "9" * 6000,
        ):
            with self.subTest(text):
                self.assertIsNone(parse_number(text))
