"""
ibiscart_entry.coordination.job_service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What every entry answers about jobs: accepts, shows, cancels and counts them.
"""

import logging

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.workflow.job import Job, Outcome
from ibiscart_entry.coordination.record import (
    PENDING_KEY,
    RUNNING,
    cancel_key,
    decode,
    encode,
    job_key,
    progress_key,
    visible_state,
)
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["JobService"]

LOG = logging.getLogger("ibiscart.jobs")
# first pause after a lost answer, some ten times that of an answer; grows with each try
RETRY_SECONDS = 0.05
# after so many lost answers in a row the outcome is reported as unknown
ATTEMPTS = 5
# callers often ask as the last task ends; its record takes one write, so a job that still runs
# is read once more after that time
SETTLE_SECONDS = 0.03
ACCEPTED = "accepted"
KNOWN = "known"


class JobService:
    """Operations on jobs by their rows; holds no state of its own.

    ``now_ms`` returns Unix milliseconds. ``announce`` is called with the id of each job that
    was accepted or cancelled.
    """

    def __init__(self, table, now_ms, announce=lambda job_id: None):
        self._table = table
        self._now_ms = now_ms
        self.announce = announce

    async def submit(self, queue, account, job_id, spec):
        """Stores a job; returns ``accepted``, or ``known`` when it was stored before.

        Raises ``IbiscartError``: ``store_unavailable`` when the job is surely not stored,
        ``commit_unknown`` when it may be.
        """
        spec.check()
        job = Job(job_id, account, queue.name, spec, self._now_ms(), queue)
        write = TableWrite(key=job_key(job_id), value=encode(job.to_document()), expected_version=0)
        try:
            await self._write(write, job_id)
        except TableConflict as conflict:
            self._check_owner(decode(conflict.rows[0].value), account)
            return KNOWN
        self.announce(job_id)
        return ACCEPTED

    async def state(self, account, job_id):
        """Returns the state that the caller sees, or None when there is no such job."""
        document, cancelled, progress = await self._read(job_id)
        if document is None:
            return None
        self._check_owner(document, account)
        state = visible_state(progress, cancelled)
        if state == RUNNING:
            await trio.sleep(SETTLE_SECONDS)
            progress = await self._read_progress(job_id)
            state = visible_state(progress, cancelled)
        return state

    async def cancel(self, account, job_id):
        """Cancels a job; returns the state it has then, or None when there is no such job."""
        document, cancelled, progress = await self._read(job_id)
        if document is None:
            return None
        self._check_owner(document, account)
        state = visible_state(progress, cancelled)
        if state in (outcome.value for outcome in Outcome):
            return state
        write = TableWrite(key=cancel_key(job_id), value=encode({"at_ms": self._now_ms()}))
        await self._write(write, job_id)
        self.announce(job_id)
        return Outcome.CANCELLED.value

    async def count_pending_jobs(self, queue):
        """Returns the number of accepted jobs of which no task has started."""
        try:
            row = await self._table.get(PENDING_KEY)
        except StoreError as error:
            raise _unavailable(error) from None
        return decode(row.value).get(queue.name, 0) if row is not None else 0

    async def _read(self, job_id):
        """Returns (accepted document, whether it is cancelled, progress record)."""
        found = {}

        async def keep(name, read):
            try:
                found[name] = await read()
            except IbiscartError as error:
                found["error"] = error

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep, "rows", lambda: self._read_rows(job_id))
            nursery.start_soon(keep, "progress", lambda: self._read_progress(job_id))
        if "error" in found:
            raise found["error"]
        by_key = {row.key: row for row in found["rows"]}
        job = by_key.get(job_key(job_id))
        document = decode(job.value) if job is not None else None
        return document, cancel_key(job_id) in by_key, found["progress"]

    async def _read_rows(self, job_id):
        try:
            return await self._table.scan(job_key(job_id), limit=2)
        except StoreError as error:
            raise _unavailable(error) from None

    async def _read_progress(self, job_id):
        try:
            row = await self._table.get(progress_key(job_id))
        except StoreError as error:
            raise _unavailable(error) from None
        return decode(row.value) if row is not None else None

    async def _write(self, write, job_id):
        """Applies one write; a lost answer is found out by writing the same again.

        A write that the store did not take is refused at once. One that it may have taken is
        written again when the store answers, until the caller's deadline.
        """
        unknown = False
        for attempt in range(ATTEMPTS):
            try:
                await self._table.transact([write])
                return
            except StoreError as error:
                unknown = unknown or error.sent
                fields = {"job": job_id, "cause": error.reason, "attempt": attempt + 1}
                if not unknown:
                    LOG.warning("A write was refused.", extra=fields)
                    message = "the job is not stored; retry later"
                    raise IbiscartError(ErrorKind.STORE_UNAVAILABLE, message) from None
                LOG.warning("A write has no answer.", extra=fields)
            except TableConflict as conflict:
                if unknown and conflict.rows[0].value == write.value:
                    return
                raise
            await trio.sleep(RETRY_SECONDS * (attempt + 1))
            await self._table.wait_answering()
        raise IbiscartError(
            ErrorKind.COMMIT_UNKNOWN, "the job may be stored; send the same request again"
        )

    def _check_owner(self, document, account):
        if document["account"] != account:
            raise IbiscartError(ErrorKind.NOT_FOUND, "no such job")


def _unavailable(error):
    return IbiscartError(ErrorKind.STORE_UNAVAILABLE, f"the state cannot be read: {error.reason}")
