"""
ibiscart_entry.call
~~~~~~~~~~~~~~~~~~~

One call of the API: its id and deadline, and the checks of its input.
"""

import hashlib
import json
import re
import secrets

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_schema.check import CheckError, check_json

__all__ = [
    "Call",
    "bad_field",
    "body_hash",
    "check_contract",
    "check_shape",
    "check_text",
    "deadline_guard",
    "read_document",
    "read_flag",
    "read_int",
]

CALL_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,120}")
LONGEST_REMAINING_MS = 600_000
SHOWN_CHARACTERS = 80
FLAGS = {"1": True, "true": True, "0": False, "false": False}


class Call:
    """A request with what the API knows about it.

    ``sequence`` is that of the record which carries the decision, None for reads.
    """

    __slots__ = (
        "_remaining_until",
        "account",
        "item",
        "request",
        "request_id",
        "route",
        "sequence",
        "started",
        "timeout",
    )

    def __init__(self, request, started):
        self.request = request
        self.started = started
        self.request_id = secrets.token_hex(8)
        self.route = "none"
        self.account = ""
        self.item = ""
        self.sequence = None
        self.timeout = 0.0
        self._remaining_until = None

    def read_id(self):
        """Takes the id from the path or the header ``x-request-id``."""
        given = self.request.headers.get("x-request-id")
        if given is not None:
            check_text("x-request-id", given, CALL_ID)
        self.request_id = self.item or given or self.request_id

    def read_deadline(self, default_seconds):
        """Takes the deadline from the header ``x-remaining-ms``."""
        self.timeout = default_seconds
        if "x-remaining-ms" not in self.request.headers:
            return
        milliseconds = read_int(self.request.headers, "x-remaining-ms", 0, 0, LONGEST_REMAINING_MS)
        if milliseconds == 0:
            raise IbiscartError(
                ErrorKind.REQUEST_TIMEOUT,
                "the caller's deadline has passed; send the request with more time",
                field="x-remaining-ms",
                value=0,
                bound=f"1 to {LONGEST_REMAINING_MS} ms",
            )
        self._remaining_until = self.started + milliseconds / 1000
        self.timeout = milliseconds / 1000

    def remaining(self, now):
        """Returns the seconds left for this call, at least 0.001."""
        return max(0.001, self.started + self.timeout - now)

    def capped(self, end):
        """Returns ``end``, or the caller's deadline when that is earlier."""
        return end if self._remaining_until is None else min(end, self._remaining_until)

    def log_fields(self):
        """Returns what log lines about this call carry."""
        return {
            "request_id": self.request_id,
            "account": self.account,
            "route": self.route,
            "remote": self.request.remote,
        }

    def check_query(self, names):
        """Refuses query parameters outside ``names``: a misspelt dry_run would not be one."""
        for name in self.request.query:
            if name not in names:
                bound = "one of " + ", ".join(names) if names else "no parameters"
                value = self.request.query[name]
                raise bad_field(name, value, bound, "unknown parameter; remove or correct it")


class _Guard:
    """Ends a block after ``seconds`` with an ``IbiscartError`` of the given kind."""

    def __init__(self, kind, seconds):
        self._kind = kind
        self._scope = trio.CancelScope()
        self._seconds = seconds

    def __enter__(self):
        self._scope.deadline = trio.current_time() + self._seconds
        self._scope.__enter__()
        return self

    def __exit__(self, *details):
        handled = self._scope.__exit__(*details)
        if self._scope.cancelled_caught:
            raise IbiscartError(
                self._kind,
                "no answer within the deadline; ask for the outcome by the same id",
                field="deadline",
                value=f"{self._seconds:.3f} s",
            )
        return handled


def deadline_guard(kind, seconds):
    """Returns a context manager that ends its block after ``seconds`` with this error kind."""
    return _Guard(kind, seconds)


def bad_field(field, value, bound, advice):
    """Returns the error for one field."""
    shown = str(value)[:SHOWN_CHARACTERS]
    message = f"{field}: {advice}"
    return IbiscartError(ErrorKind.BAD_FIELD, message, field=field, value=shown, bound=bound)


def check_text(field, value, pattern):
    """Raises unless the whole of ``value`` matches a compiled pattern."""
    if not pattern.fullmatch(value):
        raise bad_field(field, value, f"form {pattern.pattern}", "give a value of this form")


def read_int(values, name, default, low, high):
    """Returns a whole number from a mapping of texts."""
    text = values.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 20 and low <= int(text) <= high):
        raise bad_field(name, text, f"{low} to {high}", "give a whole number within the bounds")
    return int(text)


def read_flag(values, name, default):
    """Returns a boolean from a mapping of texts."""
    text = values.get(name)
    if text is None:
        return default
    if text not in FLAGS:
        raise bad_field(name, text, "one of 1, true, 0, false", "give one of these")
    return FLAGS[text]


def read_document(body, message_type, fixed):
    """Returns the checked message; ``fixed`` maps fields to values that the path gives."""
    try:
        return check_json(body, message_type, fixed)
    except CheckError as error:
        first = error.problems[0]
        kind = ErrorKind.BAD_FIELD if first.field else ErrorKind.BAD_REQUEST
        raise IbiscartError(
            kind,
            str(first),
            field=first.field or "body",
            value=first.value,
            bound=first.bound,
            details=map(str, error.problems),
        ) from None


def body_hash(body):
    """Returns the SHA-256 of a JSON body, whatever the order of its fields and its spaces."""
    plain = json.dumps(json.loads(body), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(plain.encode()).digest()


def check_shape(field, shape):
    """Raises for a shape that needs nothing, since any number of it would fit anywhere."""
    member = shape.member
    if not (member.accelerators or member.cpu_millis or member.memory_mb):
        advice = "a member needs at least one resource; give accelerators, cpu_millis or memory_mb"
        raise bad_field(f"{field}.member", "empty", "one amount above 0", advice)


def check_contract(contract):
    """Raises for guarantees that repeat a name or need nothing."""
    seen = set()
    for index, guarantee in enumerate(contract.guarantees):
        field = f"guarantees[{index}]"
        check_shape(f"{field}.shape", guarantee.shape)
        if guarantee.name in seen:
            advice = "two guarantees have this name; rename one or raise the count of the other"
            raise bad_field(f"{field}.name", guarantee.name, "unique in the contract", advice)
        seen.add(guarantee.name)
