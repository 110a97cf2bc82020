"""
ibiscart_entry.request_error
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Errors of requests that the server cannot read.
"""

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.connection import MAX_HEADER_BYTES

__all__ = [
    "MAX_QUERY_FIELDS",
    "SHOWN_CHARACTERS",
    "bad_field",
    "bad_target",
    "malformed",
    "too_large",
    "too_slow",
]

MAX_QUERY_FIELDS = 32
# characters of a bad value that an error repeats
SHOWN_CHARACTERS = 80


def malformed(error):
    """Returns the ``IbiscartError`` for what h11 refuses."""
    if error.error_status_hint == 431:
        return IbiscartError(
            ErrorKind.BAD_REQUEST,
            "the request's header is too large; send less",
            field="header",
            value=f"over {MAX_HEADER_BYTES} bytes",
            bound=f"{MAX_HEADER_BYTES} bytes",
        )
    message = f"malformed HTTP: {error}; send an HTTP/1.1 request"
    return IbiscartError(ErrorKind.BAD_REQUEST, message, field="request", bound="HTTP/1.1")


def bad_field(error):
    """Returns the ``IbiscartError`` for an ``InvalidValueError`` in a request."""
    return IbiscartError(
        ErrorKind.BAD_FIELD,
        f"{error}; correct it and send the request again",
        field=error.field,
        value=error.value,
        bound=error.bound,
    )


def bad_target(target, error):
    """Returns the ``IbiscartError`` for a target that cannot be split into path and query."""
    return IbiscartError(
        ErrorKind.BAD_REQUEST,
        f"the request's target cannot be read: {error}; correct the path and its query",
        field="target",
        value=target[:SHOWN_CHARACTERS],
        bound=f"a path and at most {MAX_QUERY_FIELDS} query fields",
    )


def too_large(size, bound):
    """Returns the ``IbiscartError`` for a body of ``size`` bytes or more."""
    return IbiscartError(
        ErrorKind.BODY_TOO_LARGE,
        "the body is too large; send a smaller one",
        field="body",
        value=f"{size} bytes",
        bound=f"{bound} bytes",
    )


def too_slow(part, seconds):
    """Returns the ``IbiscartError`` for a part that does not arrive within ``seconds``."""
    return IbiscartError(
        ErrorKind.REQUEST_TIMEOUT,
        f"the request's {part} did not arrive in time",
        field=part,
        bound=f"{seconds} s",
    )
