"""Values from outside that no component expects: registrations and answers."""

import json

__all__ = ["HUGE", "STORE_ANSWERS", "WORKER_ANSWERS", "odd_registrations"]

# a number that fits no machine type and no float
HUGE = "9" * 400
# bodies of a store's answers with status 200
STORE_ANSWERS = (
    b"null",
    b"[]",
    b"{}",
    b"0",
    b'"text"',
    b"NaN",
    b"not JSON",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"ver": ' + HUGE.encode() + b"}",
    b'{"rows": null, "ver": null, "parts": null}',
    b'{"rows": [null], "ver": 1, "parts": [null]}',
    b'{"rows": [{}], "ver": "1", "parts": [1]}',
    b'{"rows": [{"table": 1, "part": null, "key": [], "value": {}, "ver": "x"}], "ver": 1}',
    b'{"rows": [{"table": "servers", "key": "w", "value": "%%%", "ver": 1}], "ver": 1}',
)
# bodies of a worker's answers that are no lists of runs
WORKER_ANSWERS = (
    b"null",
    b"[]",
    b"{}",
    b"not JSON",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"clockMs": [], "running": [], "endedRuns": []}',
    b'{"clockMs": 1, "running": null, "endedRuns": {}}',
    b'{"clockMs": ' + HUGE.encode() + b', "running": 1, "endedRuns": 1}',
    b'{"clockMs": NaN, "running": [], "endedRuns": []}',
    b'{"clockMs": 1, "running": [], "endedRuns": [], "born": [1]}',
    b'{"reason": [], "clockMs": ' + HUGE.encode() + b"}",
)


def odd_registrations(registration):
    """Returns odd values of rows of workers, most of them a registration with one odd field."""
    odd_fields = {
        "address": [
            "127.0.0.1:0",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            f"127.0.0.1:{HUGE}",
            "127.0.0.1",
            "",
            ":80",
            "[::1:80",
            "a..b:80",
            "\ud800:80",
            "x" * 70 + ":80",
            "host name\r\n:80",
            "\0:80",
            [],
            None,
        ],
        "capacity": [None, [], {}, {"cpu": float("nan"), "memMb": 1}, {"cpu": -1, "memMb": -1}],
        "born": [None, "x", float("nan"), float("inf"), {}],
        "labels": [None, {}, [None], ["a", "l" * 70], "a"],
        "state": [None, [], {}, "unknown"],
        "zone": [None, 1, [], "z" * 70],
        "service": [None, 1, []],
        "remainingMs": [float("nan"), "x", -1, []],
    }
    values = [
        json.dumps({**registration, field: value}).encode()
        for field, odd_values in odd_fields.items()
        for value in odd_values
    ]
    text = json.dumps({**registration, "born": "BORN"})
    values += [text.replace('"BORN"', number).encode() for number in (HUGE, "-" + HUGE, "1e999")]
    text = json.dumps({**registration, "capacity": {"cpu": "HUGE", "memMb": "HUGE", "gpu": 1}})
    values.append(text.replace('"HUGE"', HUGE).encode())
    values += [b"null", b"[]", b"1", b"", b"not JSON", b"\xff\xfe\x00", b"[" * 100_000]
    values.append(b'{"capacity":' * 10_000)
    return values
