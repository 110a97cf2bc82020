"""Guards the authentication against wrong grants and leaks."""

import hmac
import unittest
from unittest import mock

from ibiscart_core.contract import Account
from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.auth import Auth, hash_key
from ibiscart_schema.generated.types_pb2 import Contract


def bearer(key):
    return {"authorization": f"Bearer {key}"}


class AuthTest(unittest.TestCase):
    def setUp(self):
        contracts = [
            Contract(account="a", key_sha256=[hash_key("key-a1"), hash_key("key-a2")]),
            Contract(account="b", key_sha256=[hash_key("key-b")]),
            Contract(account="keyless"),
        ]
        self.accounts = {c.account: Account(c) for c in contracts}
        self.auth = Auth([hash_key("op-1"), hash_key("op-2")], lambda: self.accounts)

    def refused(self, kind, call, *arguments):
        with self.assertRaises(IbiscartError) as caught:
            call(*arguments)
        self.assertEqual(caught.exception.kind, kind)
        return caught.exception

    def test_account_keys(self):
        """Each account has two keys during a rotation; operators may act for accounts."""
        for key in ("key-a1", "key-a2", "op-1", "op-2"):
            self.auth.require_account(bearer(key), "a")

    def test_key_of_another_account(self):
        """One account must not read or cancel the work of another."""
        self.refused(ErrorKind.FORBIDDEN, self.auth.require_account, bearer("key-b"), "a")

    def test_account_key_is_no_operator_key(self):
        """A caller must not change contracts."""
        self.refused(ErrorKind.FORBIDDEN, self.auth.require_operator, bearer("key-a1"))
        self.auth.require_operator(bearer("op-2"))

    def test_unknown_keys(self):
        """Missing, empty, oversized and unknown keys are refused alike."""
        for headers in (
            {},
            {"authorization": ""},
            {"authorization": "Bearer "},
            {"authorization": "Basic key-a1"},
            {"authorization": "key-a1"},
            bearer("x"),
            bearer("k" * 10_000),
            bearer("\xe9\udcff"),
            bearer(hash_key("key-a1")),
        ):
            with self.subTest(headers):
                for account in ("a", "keyless", "absent"):
                    self.refused(
                        ErrorKind.UNAUTHORIZED, self.auth.require_account, headers, account
                    )
                self.refused(ErrorKind.UNAUTHORIZED, self.auth.require_operator, headers)

    def test_unknown_account_is_not_told_apart(self):
        """Without a key nobody learns which accounts exist."""
        known = self.refused(ErrorKind.UNAUTHORIZED, self.auth.require_account, bearer("x"), "a")
        unknown = self.refused(ErrorKind.UNAUTHORIZED, self.auth.require_account, bearer("x"), "z")
        self.assertEqual(known.message, unknown.message)

    def test_compares_every_candidate(self):
        """An early end would tell by its time which hash matched."""
        with mock.patch.object(hmac, "compare_digest", wraps=hmac.compare_digest) as compare:
            for key in ("key-a1", "key-a2", "op-1"):
                compare.reset_mock()
                self.auth.require_account(bearer(key), "a")
                self.assertEqual(compare.call_count, 4)

    def test_errors_do_not_repeat_the_key(self):
        """Error bodies and logs are read by others."""
        error = self.refused(ErrorKind.FORBIDDEN, self.auth.require_account, bearer("key-b"), "a")
        self.assertNotIn("key-b", str(error.to_message()))

    def test_removed_key_stops_at_once(self):
        """A contract change must end the use of a key (P8)."""
        self.accounts["a"].set_contract(Contract(account="a", key_sha256=[hash_key("key-a2")]))
        self.refused(ErrorKind.UNAUTHORIZED, self.auth.require_account, bearer("key-a1"), "a")


if __name__ == "__main__":
    unittest.main()
