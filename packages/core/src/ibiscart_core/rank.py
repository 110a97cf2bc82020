"""
ibiscart_core.rank
~~~~~~~~~~~~~~~~~~

Rendezvous hashing: every entry computes the same ranking of members for a key.
"""

from hashlib import blake2b

__all__ = ["first", "ranked"]

SCORE_BYTES = 8


def ranked(key, members):
    """Returns ``members`` (strings) in order of preference for ``key``.

    If a member leaves, only the keys that preferred it change their first member.
    """
    return sorted(members, key=lambda member: (_score(key, member), member))


def first(key, members):
    """Returns the preferred member for ``key``, or None if there are no members."""
    return min(members, key=lambda member: (_score(key, member), member), default=None)


def _score(key, member):
    """Returns the hash of a member for a key; the member with the lowest is preferred."""
    return blake2b(f"{key}\0{member}".encode(), digest_size=SCORE_BYTES).digest()
