"""
ibiscart_entry.table
~~~~~~~~~~~~~~~~~~~~

Base of the clients of the transactional table service.
"""

from abc import ABC, abstractmethod

__all__ = [
    "Changes",
    "FollowedTable",
    "HistoryLost",
    "Row",
    "StoreError",
    "Table",
    "TableConflict",
    "TransactionRejected",
]


class StoreError(Exception):
    """An operation on the table service or object store without a valid answer.

    ``sent`` is False only when the operation cannot take effect, now or later.
    """

    def __init__(self, reason, sent):
        super().__init__(f"{reason} (sent={sent})")
        self.reason = reason
        self.sent = sent


class TableConflict(Exception):  # noqa: N818 - a result of the protocol, not a failure
    """A transaction wrote nothing; ``rows`` are the present rows that did not match.

    A row that was expected and is absent has version 0.
    """

    def __init__(self, rows):
        super().__init__("rows did not match: " + ", ".join(row.key for row in rows))
        self.rows = rows


class TransactionRejected(Exception):  # noqa: N818 - a result of the protocol, not a failure
    """The table service will never apply a transaction as it is; ``reason`` is its status.

    The transaction is too large or has a value that the service does not accept.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class Row:
    """A row of the table; ``version`` changes with each write of the row."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class Table(ABC):
    """Rows by key. ``low_priority`` marks work that waits while urgent work needs the store."""

    @abstractmethod
    async def get(self, key, *, low_priority=False):
        """Returns the ``Row``, or None when it is absent; raises ``StoreError``."""

    @abstractmethod
    async def scan(self, prefix, after="", limit=256, *, low_priority=False):
        """Returns up to ``limit`` rows with ``prefix`` and keys after ``after``, in key order."""

    @abstractmethod
    async def transact(self, writes, *, low_priority=False):
        """Applies all ``TableWrite`` messages or none; returns the rows with new versions.

        The deletion of a row that is expected to be absent is only a condition.

        Raises ``TableConflict`` when a row has another version than expected,
        ``TransactionRejected`` when the writes are never accepted, and ``StoreError`` when there is
        no valid answer.
        """


class HistoryLost(Exception):  # noqa: N818 - a result of the protocol, not a failure
    """The table no longer holds the changes after the version that was asked for."""


class Changes:
    """Rows of one table at ``version``; ``removed`` are the keys of rows that were dropped."""

    __slots__ = ("removed", "rows", "version")

    def __init__(self, rows, removed, version):
        self.rows = rows
        self.removed = removed
        self.version = version


class FollowedTable(Table):
    """Rows grouped in tables, ``table/key`` or ``table.part/key``.

    The rows of one part are written one transaction after another, and a transaction stays
    within one part. Changes are followed by table.

    ``max_value_bytes`` is the largest size of a row's value, ``max_transaction_bytes`` that of a
    transaction as it is sent, ``max_transaction_rows`` its largest number of rows and conditions.
    """

    max_value_bytes = 49_152
    max_transaction_bytes = 1_000_000
    max_transaction_rows = 100

    @abstractmethod
    async def snapshot(self, table, on_page=lambda: None):
        """Returns ``Changes`` with all rows of a table; later changes have a higher version.

        ``on_page`` is called for each part of the rows that arrives.
        """

    @abstractmethod
    async def changes(self, table, after, wait_seconds):
        """Returns ``Changes`` after version ``after``, waiting until there is one.

        Raises ``HistoryLost`` when a snapshot has to be taken instead.
        """

    @property
    def answering(self):
        """Whether the last calls were answered; while False, a write is refused unsent."""
        return True

    async def wait_answering(self):  # noqa: B027 - tables that always answer need no wait
        """Returns when calls are answered."""
