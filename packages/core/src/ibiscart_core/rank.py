"""
ibiscart_core.rank
~~~~~~~~~~~~~~~~~~

Rendezvous ranking: every entry computes the same order of members for a key.
"""

from hashlib import blake2b

__all__ = ["first", "ranked"]

SCORE_BYTES = 8


def ranked(key, members):
    """Returns ``members`` (strings) in the order of preference for ``key``.

    A member that leaves moves only the keys for which it came first.
    """
    return sorted(members, key=lambda member: (_score(key, member), member))


def first(key, members):
    """Returns the most preferred member for ``key``, or None when there is none."""
    return min(members, key=lambda member: (_score(key, member), member), default=None)


def _score(key, member):
    return blake2b(f"{key}\0{member}".encode(), digest_size=SCORE_BYTES).digest()
