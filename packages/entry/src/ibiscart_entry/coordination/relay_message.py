"""
ibiscart_entry.coordination.relay_message
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

JSON form of the table calls that one entry makes through another, and of their responses.
"""

from base64 import b64encode

from ibiscart_core.value import (
    MAX_INT,
    MAX_NAME_BYTES,
    MAX_TEXT_BYTES,
    InvalidValueError,
    require_base64,
    require_bool,
    require_choice,
    require_int,
    require_list,
    require_number,
    require_object,
    require_text,
)
from ibiscart_entry.table import (
    Changes,
    HistoryLost,
    Row,
    StoreError,
    TableConflict,
    TransactionRejected,
)
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "RELAY_PATH",
    "changes_document",
    "conflict_document",
    "error_document",
    "history_lost_document",
    "parse_call",
    "parse_response",
    "parse_write",
    "rejection_document",
    "rows_document",
    "write_document",
]

RELAY_PATH = "/v1/store"
# longest key: table, partition and key with what separates them
MAX_KEY_BYTES = 3 * MAX_NAME_BYTES + 2
# bounds of the store: rows of a page, writes of a transaction, seconds of a long poll
MAX_SCAN_ROWS = 500
MAX_WRITES = 100
MAX_WAIT_SECONDS = 30
# most rows of one response, as protection against a malformed one
MAX_ROWS = 1_000_000


def rows_document(rows):
    """Returns the response to a call that reads or writes rows."""
    return {"rows": [_row_document(row) for row in rows]}


def changes_document(changes):
    """Returns the response to a call that reads ``Changes``."""
    document = rows_document(changes.rows)
    return {**document, "removed": list(changes.removed), "version": changes.version}


def conflict_document(conflict):
    """Returns the response to a transaction that failed with ``TableConflict``."""
    return {"conflict": [_row_document(row) for row in conflict.rows]}


def history_lost_document(error):
    """Returns the response to a call that failed with ``HistoryLost``."""
    return {"history_lost": str(error)}


def rejection_document(rejection):
    """Returns the response to a transaction that failed with ``TransactionRejected``."""
    return {"rejected": rejection.reason}


def error_document(error):
    """Returns the response to a call that failed with ``StoreError``."""
    return {"error": error.reason, "sent": error.sent}


def parse_call(document):
    """Returns (operation, arguments by name) of a relayed call; raises ``InvalidValueError``."""
    call = require_object(document, "call")
    operation = require_choice(call.get("operation"), ARGUMENTS, "operation")
    parsers = ARGUMENTS[operation]
    if call.keys() != {"operation", *parsers}:
        raise InvalidValueError("call", call, f"an object of operation, {', '.join(parsers)}")
    return operation, {name: parse(call[name], name) for name, parse in parsers.items()}


def parse_response(operation, document):
    """Returns the result of a relayed call; raises the ``StoreError`` that the response states.

    ``TableConflict``, ``TransactionRejected`` and ``HistoryLost`` are returned, not raised. Raises
    ``InvalidValueError`` if the response has another form.
    """
    require_object(document, "response")
    if "error" in document:
        reason = require_text(document["error"], MAX_NAME_BYTES, "error")
        raise StoreError(reason, require_bool(document.get("sent"), "sent"))
    if operation == "transact" and "conflict" in document:
        return TableConflict(_parse_rows(document, "conflict", 1))
    if operation == "transact" and "rejected" in document:
        return TransactionRejected(require_text(document["rejected"], MAX_TEXT_BYTES, "rejected"))
    if operation == "changes" and "history_lost" in document:
        return HistoryLost(require_text(document["history_lost"], MAX_KEY_BYTES, "history_lost"))
    rows = _parse_rows(document, "rows", 1 if operation == "transact" else 0)
    if operation in ("changes", "snapshot"):
        removed = require_list(document.get("removed"), MAX_ROWS, "removed")
        removed = [_require_key(key, "removed") for key in removed]
        return Changes(rows, removed, _require_version(document.get("version"), "version"))
    if operation == "get":
        if len(rows) > 1:
            raise InvalidValueError("rows", document["rows"], "one row, or none")
        return rows[0] if rows else None
    return rows


def write_document(write):
    """Returns a ``TableWrite`` as a list.

    The list is the key, the value in base64, whether the row is deleted, and the expected version
    or None.
    """
    expected = write.expected_version if write.HasField("expected_version") else None
    return [write.key, b64encode(write.value).decode(), write.delete, expected]


def parse_write(document):
    """Returns the ``TableWrite`` of a list that ``write_document`` built.

    Raises ``InvalidValueError`` if the list has another form.
    """
    if len(require_list(document, 4, "write")) < 4:
        raise InvalidValueError("write", document, "a list of 4 items")
    key, value, delete, expected = document
    return TableWrite(
        key=_require_key(key, "key"),
        value=require_base64(value, "value"),
        delete=require_bool(delete, "delete"),
        expected_version=None if expected is None else _require_version(expected, "version"),
    )


def _row_document(row):
    """Returns a ``Row`` as a list of its key, its value in base64 and its version."""
    return [row.key, b64encode(row.value).decode(), row.version]


def _parse_rows(document, field, min_rows):
    """Returns at least ``min_rows`` rows of a response; raises ``InvalidValueError``."""
    rows = [_parse_row(row) for row in require_list(document.get(field), MAX_ROWS, field)]
    if len(rows) < min_rows:
        raise InvalidValueError(field, document[field], f"at least {min_rows} rows")
    return rows


def _parse_row(document):
    """Returns the ``Row`` of a list that ``_row_document`` built."""
    if len(require_list(document, 3, "row")) < 3:
        raise InvalidValueError("row", document, "a list of 3 items")
    key, value, version = document
    return Row(
        _require_key(key, "key"),
        require_base64(value, "value"),
        _require_version(version, "version"),
    )


def _parse_writes(value, name):
    """Returns the ``TableWrite`` messages of a transaction; raises ``InvalidValueError``."""
    if not require_list(value, MAX_WRITES, name):
        raise InvalidValueError(name, value, f"a list of 1 to {MAX_WRITES} writes")
    return [parse_write(write) for write in value]


def _require_key(value, name):
    """Returns a key, or the begin of one; raises ``InvalidValueError``."""
    return require_text(value, MAX_KEY_BYTES, name)


def _require_version(value, name):
    """Returns a version of the store; raises ``InvalidValueError``."""
    return require_int(value, 0, MAX_INT, name)


def _require_limit(value, name):
    """Returns a number of rows; raises ``InvalidValueError``."""
    return require_int(value, 1, MAX_SCAN_ROWS, name)


def _require_wait(value, name):
    """Returns the seconds of a long poll; raises ``InvalidValueError``."""
    return require_number(value, 0, MAX_WAIT_SECONDS, name)


# parsers of the arguments of each operation
ARGUMENTS = {
    "changes": {
        "table": _require_key,
        "after": _require_version,
        "wait_seconds": _require_wait,
    },
    "get": {"key": _require_key},
    "scan": {"prefix": _require_key, "after": _require_key, "limit": _require_limit},
    "snapshot": {"table": _require_key},
    "transact": {"writes": _parse_writes},
}
