"""
ibiscart_entry.coordination.job_feed
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Brings accepted and cancelled jobs from their rows to the engine, and removes old ones.
"""

import logging

import trio

from ibiscart_entry.coordination.record import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    cancel_key,
    decode,
    job_key,
    jobs_from_rows,
    progress_key,
    progress_write,
)
from ibiscart_entry.table import HistoryLost, StoreError
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["JobFeed"]

LOG = logging.getLogger("ibiscart.jobs")
# after a failed call; as often as a lost store is probed
RETRY_SECONDS = 0.2
# announcements bring jobs at once, so the feed may wait long; it costs a call each time
FOLLOW_SECONDS = 5.0
# ended jobs are kept for minutes, so a few seconds more do not matter
REMOVAL_PAUSE_SECONDS = 5.0


class JobFeed:
    """The jobs of one ``Engine``; lives as long as one leadership.

    ``read_again`` calls a function until the store answers. ``on_loaded`` is called with each
    job that has runs on record, before the engine takes it; ``on_change`` after each change.
    """

    def __init__(self, engine, table, read_again, *, retention_seconds, on_loaded, on_change, note):
        self._engine = engine
        self._table = table
        self._read_again = read_again
        self._retention_seconds = retention_seconds
        self._on_loaded = on_loaded
        self._on_change = on_change
        self._note = note
        self._ended_at = {}
        self._removed = []

    async def load(self):
        """Reads all jobs and the records of their runs; returns the version of the jobs."""
        jobs = await self._read_again(lambda: self._table.snapshot(JOBS_TABLE))
        progress = await self._read_again(lambda: self._table.snapshot(PROGRESS_TABLE))
        records = {row.key.partition("/")[2]: decode(row.value) for row in progress.rows}
        self._take(jobs.rows, records)
        return jobs.version

    async def follow(self, version):
        """Takes the changes after a version until cancelled."""
        while True:
            try:
                changes = await self._table.changes(JOBS_TABLE, version, FOLLOW_SECONDS)
            except HistoryLost:
                changes = await self._read_again(lambda: self._table.snapshot(JOBS_TABLE))
                LOG.info("The jobs were read anew.", extra={"version": changes.version})
            except StoreError as error:
                LOG.warning("The jobs cannot be followed.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                continue
            version = changes.version
            if changes.rows:
                self._take(changes.rows)
                self._on_change()

    async def read(self, job_id):
        """Takes one job that an entry has just accepted or cancelled."""
        try:
            rows = await self._table.scan(job_key(job_id), limit=2)
        except StoreError as error:
            # the changes bring it later
            LOG.warning("A job cannot be read.", extra={"job": job_id, "cause": error.reason})
            return
        self._take(rows)
        self._on_change()

    def writes(self, now):
        """Returns the writes that record what has changed since the last call."""
        writes = []
        for job_id in self._engine.unsaved_job_ids:
            job = self._engine.jobs[job_id]
            writes.append(progress_write(job))
            if job.ended:
                self._ended_at.setdefault(job_id, now)
        self._engine.unsaved_job_ids.clear()
        # the record of runs goes last, so that no job looks as if it had never run
        for job_id in self._removed:
            writes.append(TableWrite(key=progress_key(job_id), delete=True))
        self._removed.clear()
        return writes

    async def remove_expired(self):
        """Removes the rows of jobs that ended long ago, until cancelled."""
        while True:
            await trio.sleep(REMOVAL_PAUSE_SECONDS)
            oldest = trio.current_time() - self._retention_seconds
            expired = [job_id for job_id, ended in self._ended_at.items() if ended < oldest]
            for job_id in expired:
                keys = (job_key(job_id), cancel_key(job_id))
                try:
                    await self._table.transact([TableWrite(key=k, delete=True) for k in keys])
                except StoreError as error:
                    LOG.warning("A job was not removed.", extra={"cause": error.reason})
                    break
                del self._ended_at[job_id]
                self._engine.remove_job(job_id)
                self._removed.append(job_id)

    def _take(self, rows, records=None):
        jobs, cancelled = jobs_from_rows(rows)
        now = trio.current_time()
        for job_id, job in jobs.items():
            if job_id in self._engine.jobs:
                continue
            record = (records or {}).get(job_id)
            if record is not None:
                job.load_record(record)
                self._on_loaded(job)
            if job.ended:
                self._ended_at[job_id] = now
            self._engine.add_job(job, now)
            if record is None:
                self._note_taken(job)
        for job_id in cancelled:
            if self._engine.cancel(job_id):
                self._ended_at[job_id] = now

    def _note_taken(self, job):
        steps = [
            {"tasks": step.tasks, "accelerators": step.resources.accelerators, "gang": step.gang}
            for step in job.spec.steps
        ]
        self._note(
            "job_taken",
            job=job.id,
            queue=job.queue,
            account=job.account,
            steps=steps,
            chain_ms=job.spec.critical_path_ms(),
            accepted_ms=job.accepted_ms,
        )
