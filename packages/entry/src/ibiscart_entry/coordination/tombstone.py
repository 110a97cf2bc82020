"""
ibiscart_entry.coordination.tombstone
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rows that keep out a job that was cancelled before it was stored.
"""

import logging
import zlib

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.coordination.record import (
    TOMBSTONES_TABLE,
    encode,
    tombstone_key,
    tombstone_prefix,
)
from ibiscart_entry.table import StoreError, TableConflict, TransactionRejected
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["TombstoneRemover", "Tombstones"]

LOG = logging.getLogger("ibiscart.jobs")
# most tombstones of an account in a partition, that is, of ids with the same first digit; entries
# that write at the same time may pass it by one each
MAX_TOMBSTONES = 100
# locks by which the writers of one entry take turns
LOCK_COUNT = 64
# interval between two reads of all tombstones; a read takes two calls, and one more for each
# partition that has some
REMOVAL_INTERVAL_SECONDS = 30.0
# shortest time for which a tombstone is kept: a submission may be late by the pause of an entry,
# the deadline of its caller and the delay of a write in the store
MIN_RETENTION_SECONDS = 120.0


class Tombstones:
    """Writes tombstones, of which each account has a bounded number.

    A submission is stored only if its account has no tombstone for its id. ``gate`` is the
    ``StoreGate``, ``write`` a function that applies a list of writes as ``JobService`` does.
    """

    def __init__(self, table, gate, write, now_ms):
        self._table = table
        self._gate = gate
        self._write = write
        self._now_ms = now_ms
        self._locks = [trio.Lock() for _ in range(LOCK_COUNT)]

    async def add(self, queue, account, job_id):
        """Writes the tombstone of a job; raises ``IbiscartError`` if the account has too many."""
        prefix, key = tombstone_prefix(account, job_id), tombstone_key(account, job_id)
        async with self._locks[zlib.crc32(prefix.encode()) % LOCK_COUNT]:
            rows = await self._gate.read(
                queue.priority,
                job_id,
                lambda: self._table.scan(prefix, limit=MAX_TOMBSTONES + 1),
            )
            if sum(row.key != key for row in rows) >= MAX_TOMBSTONES:
                raise self._limit_error(queue, account, job_id)
            # replaces an earlier tombstone, so that the time until its removal begins anew
            write = TableWrite(key=key, value=encode({"at_ms": self._now_ms()}))
            await self._write([write], job_id, queue.priority)
        fields = {"job": job_id, "queue": queue.name, "account": account}
        LOG.info("An unknown job was cancelled; it is kept out.", extra=fields)

    def _limit_error(self, queue, account, job_id):
        """Returns the error for a cancellation that would add a tombstone too many."""
        fields = {"job": job_id, "queue": queue.name, "account": account, "bound": MAX_TOMBSTONES}
        LOG.info("Too many unknown jobs were cancelled.", extra=fields)
        return IbiscartError(
            ErrorKind.CANCEL_LIMIT,
            "the account has cancelled too many jobs that are not known; the cancellation is not "
            "recorded, send it again later",
            field="id",
            value=job_id,
            bound=f"{MAX_TOMBSTONES} such ids with the same first digit at a time",
        )


class TombstoneRemover:
    """Removes tombstones that are older than ``retention_seconds``, for one term of leadership.

    This is the time for which the state of an ended job is kept: a submission that comes later is
    taken for a new job in both cases. The age counts from the first read of the tombstone in this
    term, since no clock is shared with the entry that wrote it. ``read_with_retries`` calls a
    function until the store responds.
    """

    def __init__(self, table, read_with_retries, retention_seconds):
        self._table = table
        self._read_with_retries = read_with_retries
        self._retention_seconds = max(MIN_RETENTION_SECONDS, retention_seconds)
        # (version, time of the first read) by key
        self._first_reads = {}

    @property
    def count(self):
        """Number of tombstones at the last read."""
        return len(self._first_reads)

    async def run(self):
        """Removes old tombstones until cancelled."""
        while True:
            await trio.sleep(REMOVAL_INTERVAL_SECONDS)
            changes = await self._read_with_retries(lambda: self._table.snapshot(TOMBSTONES_TABLE))
            now = trio.current_time()
            self._first_reads = {
                row.key: self._first_read(row, now)
                for row in changes.rows
                if row.key.startswith(TOMBSTONES_TABLE + ".")
            }
            expired_at = now - self._retention_seconds
            keys_by_partition = {}
            for key, (_, first_read_at) in self._first_reads.items():
                if first_read_at <= expired_at:
                    keys_by_partition.setdefault(key.partition("/")[0], []).append(key)
            for keys in keys_by_partition.values():
                await self._remove(keys)

    def _first_read(self, row, now):
        """Returns (version, time of the first read) of a row; a new version counts anew."""
        version, first_read_at = self._first_reads.get(row.key, (0, now))
        return (row.version, first_read_at if version == row.version else now)

    async def _remove(self, keys):
        """Removes tombstones of one partition, unless they are written again meanwhile."""
        # each is an entry for its expected version, and one for its removal
        batch_size = self._table.max_transaction_rows // 2
        for start in range(0, len(keys), batch_size):
            batch = keys[start : start + batch_size]
            writes = [
                TableWrite(key=key, delete=True, expected_version=self._first_reads[key][0])
                for key in batch
            ]
            try:
                await self._table.transact(writes)
            except (StoreError, TableConflict, TransactionRejected) as error:
                # the next read shows which are left
                LOG.warning("Tombstones were not removed.", extra={"cause": str(error)})
                return
            for key in batch:
                del self._first_reads[key]
            LOG.info("Tombstones were removed.", extra={"count": len(batch)})
