"""Tests of the checks of values from outside."""

import json
import math
import unittest

from ibiscart_core import value
from ibiscart_core.value import MAX_INT, InvalidValueError

HUGE = 10**399


class ValueTest(unittest.TestCase):
    def assert_rejected(self, function, cases, *arguments):
        for case in cases:
            with self.subTest(case=value.describe(case)):
                with self.assertRaises(InvalidValueError) as caught:
                    function(case, *arguments, "f")
                self.assertEqual("f", caught.exception.field)
                self.assertLess(len(caught.exception.value), 100)
                self.assertIn(caught.exception.bound, str(caught.exception))

    def test_integers_are_finite_whole_and_within_their_range(self):
        cases = [HUGE, -HUGE, 1e308, math.inf, math.nan, True, "1", None, 0.5, -1, 11, [], {}]
        self.assert_rejected(value.require_int, cases, 0, 10)
        result = value.require_int(10.0, 0, 10, "f")
        self.assertEqual((10, int), (result, type(result)))

    def test_numbers_are_finite_and_within_their_range(self):
        cases = [HUGE, -HUGE, 1e308, math.inf, -math.inf, math.nan, False, "1", None, []]
        self.assert_rejected(value.require_number, cases, 0, MAX_INT)
        self.assertEqual(0.5, value.require_number(0.5, 0, 1, "f"))

    def test_texts_can_be_encoded_and_are_bounded(self):
        self.assert_rejected(value.require_text, ["\ud800", "a" * 5, "\u00e9" * 3, 1, None, []], 4)
        self.assertEqual("\u00e9a", value.require_text("\u00e9a", 4, "f"))

    def test_addresses_can_be_connected_to(self):
        hosts = ["", "a..b", "a" * 64, ".".join(["a" * 60] * 5), "\ufffd", "a b", "::1", "[::x]"]
        ports = ["0", "70000", "-1", "", "x", "8" * 400, "\u0661", "1_0", " 1"]
        cases = [f"{host}:80" for host in hosts] + [f"127.0.0.1:{port}" for port in ports]
        self.assert_rejected(value.require_address, [*cases, "nowhere", 5, None, "[]:1"])
        for address in ("127.0.0.1:80", "w0:65535", "a.b-c:1", "[::1]:9"):
            self.assertEqual(address, value.require_address(address, "f"))
        self.assertEqual("h:80", value.require_address("h:00080", "f"))

    def test_lists_choices_objects_and_base64(self):
        self.assert_rejected(value.require_list, [[1, 2], {}, "ab", None], 1)
        self.assert_rejected(value.require_choice, [[], {}, "c", None, 1], {"a": 1, "b": 2})
        self.assert_rejected(value.require_object, [[], "a", None, 1])
        self.assert_rejected(value.require_bool, [0, 1, "true", None])
        self.assert_rejected(value.require_base64, ["eA=", "\u00e9", "e A=", 1, None])
        self.assertEqual(b"x", value.require_base64("eA==", "f"))

    def test_documents_are_bounded_in_depth_size_and_digits(self):
        cases = [b"", b"\xff", b"{", b"[" * 100_000, b"[" * 33 + b"]" * 33, b"1" * 5000]
        for data in cases:
            with self.subTest(data=data[:10]), self.assertRaises(InvalidValueError) as caught:
                value.parse_json(data)
            self.assertLess(len(str(caught.exception)), 300)
        with self.assertRaises(InvalidValueError):
            value.parse_json(b"[1, 2]", max_bytes=5)
        nested = b"[" * 31 + b"]" * 31
        self.assertEqual(json.loads(nested), value.parse_json(nested))

    def test_descriptions_are_short_for_every_value(self):
        nested = []
        for _ in range(10_000):
            nested = [nested]
        for case in (HUGE**100, nested, {"a": nested}, "\ud800" * 1000, b"\xff" * 1000, 1e308):
            self.assertLess(len(value.describe(case)), 100)
            value.describe(case).encode("ascii")


if __name__ == "__main__":
    unittest.main()
