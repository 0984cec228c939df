from __future__ import annotations

import unittest

from marigold.core.connections import split_address
from marigold.core.exceptions import AddressError


class SplitAddressTests(unittest.TestCase):
    def test_host_and_port(self):
        for text, expected in (
            ("10.0.0.1:80", ("10.0.0.1", 80)),
            ("a-b.example:65535", ("a-b.example", 65535)),
            ("0.0.0.0:0", ("0.0.0.0", 0)),
        ):
            with self.subTest(text):
                self.assertEqual(split_address(text), expected)

    def test_malformed_address_is_rejected(self):
        for text in (
            "",
            ":",
            ":80",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:65536",
            "10.0.0.1:" + "9" * 6000,
            "10.0.0.1:-1",
            "10.0.0.1:http",
            "10.0.0.1:8_0",
            "10.0.0.1: 80",
            "10.0.0.1:80\n",
            "10.0.0.1\r\n:80",
            "10.0.0.1:\u0668\u0660",
            "a@10.0.0.1:80",
            "10.0.0.1/x:80",
            "[10.0.0.1:80",
            "\ud800:80",
            "a" * 300 + ":80",
        ):
            with self.subTest(text), self.assertRaises(AddressError):
                split_address(text)
