"""
ibiscart_entry.coordination.relay_message
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

JSON form of the table calls that one entry makes through another, and of their responses.
"""

from base64 import b64decode, b64encode

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
    "parse_response",
    "parse_write",
    "rejection_document",
    "rows_document",
    "write_document",
]

RELAY_PATH = "/v1/store"


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


def parse_response(operation, document):
    """Returns the result of a relayed call; raises the ``StoreError`` that the response states.

    ``TableConflict``, ``TransactionRejected`` and ``HistoryLost`` are returned, not raised.
    """
    if "error" in document:
        raise StoreError(document["error"], document["sent"])
    if "conflict" in document:
        return TableConflict([_parse_row(row) for row in document["conflict"]])
    if "rejected" in document:
        return TransactionRejected(str(document["rejected"]))
    if "history_lost" in document:
        return HistoryLost(document["history_lost"])
    rows = [_parse_row(row) for row in document["rows"]]
    if "version" in document:
        return Changes(rows, document["removed"], document["version"])
    if operation == "get":
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
    """Returns the ``TableWrite`` of a list that ``write_document`` built."""
    key, value, delete, expected = document
    return TableWrite(key=key, value=b64decode(value), delete=delete, expected_version=expected)


def _row_document(row):
    """Returns a ``Row`` as a list of its key, its value in base64 and its version."""
    return [row.key, b64encode(row.value).decode(), row.version]


def _parse_row(document):
    """Returns the ``Row`` of a list that ``_row_document`` built."""
    key, value, version = document
    return Row(key, b64decode(value), version)
