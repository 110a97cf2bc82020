"""
ibiscart_entry.auth
~~~~~~~~~~~~~~~~~~~

Authentication of callers and operators by bearer keys, of which only hashes are stored.
"""

import hashlib
import hmac

from ibiscart_core.error import ErrorKind, IbiscartError

__all__ = ["Auth", "hash_key"]

SCHEME = "bearer "
LONGEST_KEY = 512


def hash_key(key):
    """Returns the SHA-256 of a key in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class Auth:
    """Checks the key of a request.

    ``operator_hashes`` come from the settings. ``accounts`` is a function that returns the
    ledger's accounts by name; their contracts hold the hashes of caller keys.
    """

    def __init__(self, operator_hashes, accounts):
        self._operators = tuple(operator_hashes)
        self._accounts = accounts

    def require_operator(self, headers):
        """Raises ``IbiscartError`` unless the key is an operator's."""
        digest = _digest(headers)
        if _matches(digest, self._operators):
            return
        self._refuse(digest, "an operator key", "this needs an operator key")

    def require_account(self, headers, account):
        """Raises ``IbiscartError`` unless the key is the account's or an operator's."""
        digest = _digest(headers)
        known = self._accounts().get(account)
        hashes = tuple(known.contract.key_sha256) if known is not None else ()
        if _matches(digest, hashes + self._operators):
            return
        message = "the key belongs to another client account; use this account's key"
        self._refuse(digest, f"a key of client account {account}", message)

    def _refuse(self, digest, bound, message):
        hashes = [h for a in self._accounts().values() for h in a.contract.key_sha256]
        if _matches(digest, hashes):
            raise IbiscartError(
                ErrorKind.FORBIDDEN,
                message,
                field="authorization",
                value="another key",
                bound=bound,
            )
        raise IbiscartError(
            ErrorKind.UNAUTHORIZED,
            "the key is unknown; check the key, or ask an operator to add its hash",
            field="authorization",
            value="an unknown key",
            bound=bound,
        )


def _digest(headers):
    value = headers.get("authorization", "")
    key = value[len(SCHEME) :].strip()
    if not value.lower().startswith(SCHEME) or not key or len(key) > LONGEST_KEY:
        raise IbiscartError(
            ErrorKind.UNAUTHORIZED,
            "send the header 'Authorization: Bearer KEY'",
            field="authorization",
            value="missing" if not value else "not a usable bearer key",
            bound=f"a key of 1 to {LONGEST_KEY} characters",
        )
    return hash_key(key).encode()


def _matches(digest, hashes):
    # every candidate is compared, so that the time does not tell which one matched
    found = False
    for candidate in hashes:
        found |= hmac.compare_digest(digest, candidate.encode())
    return found
