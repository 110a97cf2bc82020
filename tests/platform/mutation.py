"""Odd values and mutated JSON documents, drawn from a seed."""

import copy
import json
import math

__all__ = ["mutate"]

ODD_VALUES = [
    *(None, True, False, 0, 1, -1, 2, 0.5, 1.0, -0.0, 3e9, 1e308, 5e-324),
    *(10**399, -(10**399), 2**31, 2**53, 2**53 + 1, 2**63, 2**64, math.nan, math.inf, -math.inf),
    *("", "x", "\ud800", "a\ud800b", "\x00", "\ufffd", "\u0661", "x" * 5000, "\u00e9" * 300),
    *("0", "1.0.0.0", "a.0.0.0", "eA==", "e", "10.0.0.1:80", "a..b:80", "h:70000", ":", "[::1]:9"),
    *([], {}, [[]], [{}], {"": []}, {"\ud800": 1}, [0] * 200, [None], [[1, 2, 3]], ["x"]),
]
MAX_CHANGES = 3
# shares of the documents that are cut off, have bytes replaced, or are of another kind
CUT_SHARE = 0.05
GARBLED_SHARE = 0.05
REPLACED_SHARE = 0.03
WHOLE = [b"", b"null", b"[]", b"{}", b"\xff\xfe", b"[" * 100_000, b"1" * 5000, b'{"a":' * 500]


def mutate(document, rng):
    """Returns JSON bytes of ``document`` in which some values are odd, missing, added or moved."""
    if rng.random() < REPLACED_SHARE:
        return rng.choice(WHOLE)
    document = copy.deepcopy(document)
    for _ in range(rng.randint(0, MAX_CHANGES)):
        document = _change(document, rng)
    data = json.dumps(document).encode()
    if rng.random() < CUT_SHARE:
        data = data[: rng.randint(0, len(data))]
    if rng.random() < GARBLED_SHARE:
        garbled = bytearray(data)
        for _ in range(rng.randint(1, 3)):
            if garbled:
                garbled[rng.randrange(len(garbled))] = rng.randrange(256)
        data = bytes(garbled)
    return data


def _change(document, rng):
    """Returns ``document`` with one value changed."""
    places = list(_places(document))
    if not places:
        return rng.choice(ODD_VALUES)
    container, key = rng.choice(places)
    kind = rng.randrange(6)
    if kind == 0:
        del container[key]
    elif kind == 1 and isinstance(container, dict):
        container[rng.choice(["later", "\ud800", "", "x" * 5000])] = _odd_value(rng)
    elif kind == 1:
        container.insert(key, _odd_value(rng))
    elif kind == 2:
        other, other_key = rng.choice(places)
        container[key] = copy.deepcopy(other[other_key])
    elif kind == 3:
        container[key] = _nested(container[key], rng.choice([1, 5, 31, 40, 200]))
    else:
        container[key] = _odd_value(rng)
    return document


def _odd_value(rng):
    """Returns an odd value, or a number of random size."""
    if rng.random() < 0.2:
        return rng.choice([1, -1]) * rng.getrandbits(rng.randint(1, 1200))
    return copy.deepcopy(rng.choice(ODD_VALUES))


def _nested(value, depth):
    """Returns ``value`` within lists, ``depth`` deep."""
    for _ in range(depth):
        value = [value]
    return value


def _places(document):
    """Yields (container, key) of each value within a document."""
    containers = [document]
    while containers:
        container = containers.pop()
        if isinstance(container, dict | list):
            items = container.items() if isinstance(container, dict) else enumerate(container)
            for key, value in items:
                yield container, key
                containers.append(value)
