"""
ibiscart_entry.coordination.relay_message
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

JSON form of a store's calls and answers between entries.
"""

from base64 import b64decode, b64encode

from ibiscart_entry.table import Changes, HistoryLost, Row, StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "PATH",
    "answer_from",
    "changes_document",
    "conflict_document",
    "error_document",
    "lost_document",
    "rows_document",
    "write_document",
    "write_from",
]

PATH = "/v1/store"


def rows_document(rows):
    """Returns the answer of a call that gives rows."""
    return {"rows": [_row_document(row) for row in rows]}


def changes_document(changes):
    """Returns the answer of a call that gives ``Changes``."""
    document = rows_document(changes.rows)
    return {**document, "removed": list(changes.removed), "version": changes.version}


def conflict_document(conflict):
    """Returns the answer of a write whose condition does not hold."""
    return {"conflict": [_row_document(row) for row in conflict.rows]}


def lost_document(lost):
    """Returns the answer of a call for changes that are forgotten."""
    return {"history_lost": str(lost)}


def error_document(error):
    """Returns the answer of a call that the store did not answer."""
    return {"error": error.reason, "sent": error.sent}


def answer_from(operation, document):
    """Returns the value of an answer, a result as an exception object; raises ``StoreError``."""
    if "error" in document:
        raise StoreError(document["error"], document["sent"])
    if "conflict" in document:
        return TableConflict([_row_from(row) for row in document["conflict"]])
    if "history_lost" in document:
        return HistoryLost(document["history_lost"])
    rows = [_row_from(row) for row in document["rows"]]
    if "version" in document:
        return Changes(rows, document["removed"], document["version"])
    if operation == "get":
        return rows[0] if rows else None
    return rows


def write_document(write):
    """Returns one ``TableWrite`` as a list."""
    expected = write.expected_version if write.HasField("expected_version") else None
    return [write.key, b64encode(write.value).decode(), write.delete, expected]


def write_from(document):
    """Returns the ``TableWrite`` of ``write_document``'s list."""
    key, value, delete, expected = document
    return TableWrite(key=key, value=b64decode(value), delete=delete, expected_version=expected)


def _row_document(row):
    return [row.key, b64encode(row.value).decode(), row.version]


def _row_from(document):
    key, value, version = document
    return Row(key, b64decode(value), version)
