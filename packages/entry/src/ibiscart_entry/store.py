"""
ibiscart_entry.store
~~~~~~~~~~~~~~~~~~~~

Object store client, stored form of the journal and its snapshots, and the rate budget and
circuit breaker of all operations.
"""

import json
from urllib.parse import quote, urlsplit

import trio

from ibiscart_core.retry import BreakerState, CircuitBreaker, TokenBucket
from ibiscart_entry.client import TransportError
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_schema.generated.journal_pb2 import Record, Snapshot
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "JournalRows",
    "ObjectStore",
    "SnapshotStore",
    "StoreBudget",
    "StoreGuard",
    "address_of",
]

# part of the burst that snapshots and deletions leave to appends and claims
LOW_PRIORITY_RESERVE = 0.5
LOW_PRIORITY_TIMEOUT_SECONDS = 10.0
WRITES = frozenset({"transact", "put"})
ROWS_DELETED_AT_ONCE = 50
SCAN_ROWS = 256


def address_of(url):
    """Returns the ``ip:port`` of an ``http://`` URL; the port is 80 when absent."""
    parts = urlsplit(url)
    return parts.netloc if parts.port else f"{parts.netloc}:80"


class StoreBudget:
    """This entry's part of the store's rates, for the table service and object store together."""

    def __init__(self, writes_per_second, reads_per_second, clock=trio.current_time):
        self._writes = TokenBucket(writes_per_second, writes_per_second, clock)
        self._reads = TokenBucket(reads_per_second, reads_per_second, clock)

    @classmethod
    def from_config(cls, settings, clock=trio.current_time):
        """Builds the budget from ``StoreSettings``."""
        return cls(settings.writes_per_second, settings.reads_per_second, clock)

    async def wait(self, write, low_priority, share):
        """Waits for permission; ``share`` is a function that returns the usable rate share."""
        bucket = self._writes if write else self._reads
        reserve = LOW_PRIORITY_RESERVE if low_priority else 0.0
        while delay := bucket.take(reserve=reserve, share=share()):
            await trio.sleep(delay)


class StoreGuard:
    """Sends operations to one service within the budget, and not at all while it is down.

    ``timeout`` is in seconds and covers the wait for the budget and the answer.
    """

    def __init__(self, budget, metrics, *, timeout, clock=trio.current_time, breaker=None):
        self._budget = budget
        self._metrics = metrics
        self._timeout = timeout
        self._breaker = breaker or CircuitBreaker(clock)

    @property
    def breaker(self):
        """The ``CircuitBreaker`` of this service."""
        return self._breaker

    async def send(self, client, operation, method, target, *, body, statuses, low_priority):
        """Returns the response if its status is in ``statuses``; raises ``StoreError``."""
        if low_priority and self._breaker.state is not BreakerState.CLOSED:
            # the probe belongs to urgent work
            raise self._error("breaker_open", False)
        timeout = LOW_PRIORITY_TIMEOUT_SECONDS if low_priority else self._timeout
        with trio.move_on_after(timeout) as waiting:
            await self._budget.wait(operation in WRITES, low_priority, self._breaker.share)
        if waiting.cancelled_caught:
            raise self._error("rate_limit", False)
        if not self._breaker.admit():
            raise self._error("breaker_open", False)
        self._metrics.count("store_operations", operation)
        ended = False
        try:
            response = await client.request(method, target, body=body, timeout=self._timeout)
            if response.status not in statuses:
                raise TransportError(f"status_{response.status}", True)
            ended = True
            self._breaker.record_success()
            return response
        except TransportError as error:
            ended = True
            self._breaker.record_failure()
            raise self._error(error.reason, error.sent) from None
        finally:
            if not ended:
                self._breaker.record_cancellation()

    def _error(self, reason, sent):
        self._metrics.count("store_errors", reason)
        return StoreError(reason, sent)


class ObjectStore:
    """Client of the object store."""

    def __init__(self, client, guard):
        self._client = client
        self._guard = guard

    @classmethod
    def from_config(cls, settings, connect, budget, metrics, **options):
        """Builds the client from ``StoreSettings``; ``connect`` maps an address to a client."""
        guard = StoreGuard(budget, metrics, timeout=settings.timeout_seconds, **options)
        return cls(connect(address_of(settings.object_url)), guard)

    async def put(self, key, data, *, low_priority=False):
        """Stores ``data`` (bytes) under ``key``; raises ``StoreError``."""
        await self._guard.send(
            self._client,
            "put",
            "PUT",
            _target(key),
            body=data,
            statuses=(200, 201, 204),
            low_priority=low_priority,
        )

    async def get(self, key, *, low_priority=False):
        """Returns the bytes stored under ``key``, or None; raises ``StoreError``."""
        response = await self._guard.send(
            self._client,
            "get_object",
            "GET",
            _target(key),
            body=b"",
            statuses=(200, 404),
            low_priority=low_priority,
        )
        return response.body if response.status == 200 else None


def _target(key):
    return f"/v1/objects/{quote(key, safe='')}"


class JournalRows:
    """Rows ``journal/<region>/<sequence>``, and ``journal/<region>/head`` with the last one.

    Each append also moves the head in the same transaction: without it, an entry with a
    very old view could create a row anew whose record was already deleted. ``head`` is the
    last known (sequence, row version), or None.
    """

    def __init__(self, region, table):
        self._table = table
        self._prefix = f"journal/{region}/"
        self._head_key = f"{self._prefix}head"
        self.head = None

    async def read_head(self):
        """Returns (sequence, row version) of the head; raises ``StoreError``."""
        row = await self._table.get(self._head_key)
        self.head = (0, 0) if row is None else (int(row.value), row.version)
        return self.head

    async def write(self, record, head_version):
        """Writes a ``Record`` if its row is absent and the head has the given version.

        Returns (the record that the row holds now or None, sequence of the head); raises
        ``StoreError``.
        """
        key = self._key(record.sequence)
        sequence = str(record.sequence).encode()
        writes = [
            TableWrite(key=key, value=record.SerializeToString(), expected_version=0),
            TableWrite(key=self._head_key, value=sequence, expected_version=head_version),
        ]
        try:
            rows = await self._table.transact(writes)
        except TableConflict as conflict:
            self.head = None
            found = {row.key: row.value for row in conflict.rows if row.version}
            present = Record.FromString(found[key]) if key in found else None
            return present, int(found.get(self._head_key, 0))
        for row in rows:
            if row.key == self._head_key:
                self.head = (record.sequence, row.version)
        return record, record.sequence

    async def read_after(self, sequence):
        """Returns (records after ``sequence``, sequence of the head or None if not reached)."""
        rows = await self._table.scan(self._prefix, self._key(sequence), SCAN_ROWS)
        # the key of the head sorts after those of the records
        if rows and rows[-1].key == self._head_key:
            row = rows.pop()
            self.head = (int(row.value), row.version)
            head = self.head[0]
        elif rows:
            head = None
        else:
            # no record was ever written
            self.head = (0, 0)
            head = 0
        return [Record.FromString(row.value) for row in rows], head

    def _key(self, sequence):
        return f"{self._prefix}{sequence:016d}"


class SnapshotStore:
    """Snapshots of one region: objects, the pointer row, and deletion of old journal rows."""

    def __init__(self, region, table, objects):
        self._region = region
        self._table = table
        self._objects = objects
        self._pointer_key = f"snapshot/{region}"
        self._rows_prefix = f"journal/{region}/"
        self._version = 0
        self.sequence = 0
        self.previous = 0

    async def refresh(self, *, low_priority=False):
        """Reads which snapshots are the newest two; raises ``StoreError``."""
        row = await self._table.get(self._pointer_key, low_priority=low_priority)
        if row is not None:
            self._take_pointer(row)

    async def load(self):
        """Returns the newest readable ``Snapshot``, or None when none was ever stored."""
        await self.refresh()
        if not self.sequence:
            return None
        for sequence in (self.sequence, self.previous):
            data = await self._objects.get(self._object_key(sequence)) if sequence else None
            if data is not None:
                return Snapshot.FromString(data)
        raise StoreError("snapshot_missing", True)

    async def store_if_due(self, ledger, interval):
        """Stores a snapshot when the newest is ``interval`` records old; returns whether."""
        if ledger.sequence - self.sequence < interval:
            return False
        await self.refresh(low_priority=True)
        if ledger.sequence - self.sequence < interval:
            return False
        return await self.save(ledger.snapshot())

    async def save(self, message):
        """Stores a ``Snapshot`` and deletes the rows older than the one before it.

        Returns False when another entry stored a newer one; raises ``StoreError``.
        """
        await self._objects.put(
            self._object_key(message.sequence), message.SerializeToString(), low_priority=True
        )
        value = json.dumps({"sequence": message.sequence, "previous": self.sequence}).encode()
        pointer = TableWrite(key=self._pointer_key, value=value, expected_version=self._version)
        try:
            rows = await self._table.transact([pointer], low_priority=True)
        except TableConflict as conflict:
            for row in conflict.rows:
                self._take_pointer(row)
            return False
        self._version = rows[0].version
        self.sequence, self.previous = message.sequence, self.sequence
        await self._delete_rows()
        return True

    async def _delete_rows(self):
        last = f"{self._rows_prefix}{self.previous:016d}"
        while self.previous:
            rows = await self._table.scan(
                self._rows_prefix, limit=ROWS_DELETED_AT_ONCE, low_priority=True
            )
            # the key of the head sorts after those of the records
            old = [row.key for row in rows if row.key <= last]
            if old:
                writes = [TableWrite(key=key, delete=True) for key in old]
                await self._table.transact(writes, low_priority=True)
            if len(old) < ROWS_DELETED_AT_ONCE:
                return

    def _take_pointer(self, row):
        if row.version:
            pointer = json.loads(row.value)
            self._version = row.version
            self.sequence = pointer["sequence"]
            self.previous = pointer["previous"]

    def _object_key(self, sequence):
        return f"snapshot/{self._region}/{sequence:016d}"
