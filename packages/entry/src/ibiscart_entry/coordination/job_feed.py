"""
ibiscart_entry.coordination.job_feed
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes new and cancelled jobs from the store to the engine and removes the rows of old ones.
"""

import logging

import trio

from ibiscart_core.workflow.suspension import Suspensions
from ibiscart_entry.coordination.leadership import WriteGroup
from ibiscart_entry.coordination.record import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_TABLE,
    cancel_key,
    decode_progress,
    job_key,
    jobs_from_rows,
    progress_deletes,
    progress_writes,
    split_progress_key,
)
from ibiscart_entry.table import HistoryLost, StoreError, TransactionRejected
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["JobFeed"]

LOG = logging.getLogger("ibiscart.jobs")
# pause after a failed store call; equal to the interval at which an unreachable store is probed
RETRY_SECONDS = 0.2
# longest time that a read of the jobs table waits for a change; a connection that has stalled is
# noticed only after it, and a cancellation whose announcement is lost must be known within 3 s
LONG_POLL_SECONDS = 2.0
# interval between two removals of ended jobs; these are kept for minutes, so that a few seconds
# more do not matter
REMOVAL_INTERVAL_SECONDS = 5.0


class JobFeed:
    """Loads jobs into the engine and collects their changes, for one term of leadership.

    ``read_with_retries`` calls a function until the store responds. ``retention_seconds`` is
    how long the rows of ended jobs are kept. ``on_loaded`` is called with each job that has a
    progress record, before it is added to the engine; ``on_change`` after each change of the
    engine. ``log_event`` logs an event with its fields.

    An unexpected error in one job is passed to ``on_job_error`` with the job's id. A job that
    cannot be loaded is set aside until the next term: it is not run, and without its record it
    must not be taken for a new one. Callers see its last recorded state and can cancel it.
    """

    def __init__(
        self,
        engine,
        table,
        read_with_retries,
        *,
        retention_seconds,
        on_loaded,
        on_change,
        log_event,
        on_job_error,
    ):
        self._engine = engine
        self._table = table
        self._read_with_retries = read_with_retries
        self._retention_seconds = retention_seconds
        self._on_loaded = on_loaded
        self._on_change = on_change
        self._log_event = log_event
        self._on_job_error = on_job_error
        self._ended_at = {}
        self._removed_job_ids = []
        # (version of the removal, when it was made) by the keys of removed rows: a read that began
        # before may still return them
        self._removals = {}
        self._set_aside_ids = set()
        self._unrecordable = Suspensions()
        # numbers of the further rows of progress records, by job id
        self._part_counts = {}

    async def load(self):
        """Reads all jobs with their progress records into the engine.

        Returns the version of the jobs table.
        """
        snapshots = {}

        async def read(table):
            snapshots[table] = await self._read_with_retries(lambda: self._table.snapshot(table))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read, JOBS_TABLE)
            nursery.start_soon(read, PROGRESS_TABLE)
        progress_values = self._sort_progress_rows(snapshots[PROGRESS_TABLE].rows)
        await self._apply_rows(snapshots[JOBS_TABLE].rows, progress_values)
        return snapshots[JOBS_TABLE].version

    async def follow(self, version):
        """Applies the changes of the jobs table after ``version`` until cancelled."""
        while True:
            try:
                changes = await self._table.changes(JOBS_TABLE, version, LONG_POLL_SECONDS)
            except HistoryLost:
                changes = await self._read_with_retries(lambda: self._table.snapshot(JOBS_TABLE))
                LOG.info("The jobs were read again.", extra={"version": changes.version})
                # the history may stay lost
                await trio.sleep(RETRY_SECONDS)
            except StoreError as error:
                LOG.warning("The jobs cannot be followed.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                continue
            version = changes.version
            if changes.rows:
                await self._apply_rows(changes.rows)
                self._on_change()

    async def read_job(self, job_id):
        """Reads and applies one job that an entry has just accepted or cancelled."""
        try:
            # reads two rows: the job's own, and the one that marks it as cancelled, if any
            rows = await self._table.scan(job_key(job_id), limit=2)
        except StoreError as error:
            # the read is not repeated: the job reaches the leader through ``follow`` as well, only
            # later
            LOG.warning("A job cannot be read.", extra={"job": job_id, "cause": error.reason})
            return
        await self._apply_rows(rows)
        self._on_change()

    async def collect_writes(self, now):
        """Returns the changes of jobs since the last call, and the ids of those not recorded.

        The changes are a list of ``WriteGroup`` objects. A job whose record cannot be built stays
        in ``unsaved_job_ids`` of the engine. ``now`` is monotonic seconds.
        """
        groups, unrecorded = [], set()
        unsaved_job_ids = self._engine.unsaved_job_ids
        for job_id in list(unsaved_job_ids):
            await trio.lowlevel.checkpoint()
            if self._unrecordable.suspended(job_id, now):
                unrecorded.add(job_id)
                continue
            job = self._engine.jobs.get(job_id)
            if job is not None:
                try:
                    writes = progress_writes(
                        job, self._table.max_value_bytes, self._part_counts.get(job_id, 0)
                    )
                except Exception as error:
                    self._suspend(job_id, error, now)
                    unrecorded.add(job_id)
                    continue
                groups.append(WriteGroup(writes, job_id))
                if job.ended:
                    self._ended_at.setdefault(job_id, now)
                    job.release_units()
            unsaved_job_ids.pop(job_id, None)
        # progress records are removed after the rows of their jobs: a job without a progress
        # record would appear never to have run
        for job_id in self._removed_job_ids:
            part_count = self._part_counts.pop(job_id, 0)
            groups.append(WriteGroup(progress_deletes(job_id, part_count)))
        self._removed_job_ids.clear()
        return groups, unrecorded

    def apply_commit(self, groups, rejected, now):
        """Applies the outcome of a commit of ``groups``, of which the store rejected some.

        A job whose record was rejected is suspended, and recorded again later. Returns the ids of
        these jobs.
        """
        for group in groups:
            if group.job_id in self._engine.jobs and group not in rejected:
                self._part_counts[group.job_id] = group.part_count
        for group in rejected:
            if group.job_id in self._engine.jobs:
                self._engine.unsaved_job_ids[group.job_id] = True
                self._suspend(group.job_id, TransactionRejected(group.rejection), now)
        return {group.job_id for group in rejected}

    def _suspend(self, job_id, error, now):
        """Leaves out a job that cannot be recorded for a growing time."""
        self._unrecordable.suspend(job_id, now)
        self._engine.suspend_job(job_id, error, now)

    def _sort_progress_rows(self, rows):
        """Returns (value, values of the further rows) of each progress record by job id."""
        values, parts = {}, {}
        for row in rows:
            job_id, number = split_progress_key(row.key)
            if number is None:
                values[job_id] = row.value
            else:
                parts.setdefault(job_id, {})[number] = row.value
        self._part_counts = {job_id: max(numbers) + 1 for job_id, numbers in parts.items()}
        return {
            job_id: (value, [part for _, part in sorted(parts.get(job_id, {}).items())])
            for job_id, value in values.items()
        }

    async def remove_expired(self):
        """Removes the rows of jobs whose retention time is over, until cancelled."""
        while True:
            await trio.sleep(REMOVAL_INTERVAL_SECONDS)
            retained_since = trio.current_time() - self._retention_seconds
            self._removals = {
                key: removal
                for key, removal in self._removals.items()
                if removal[1] > retained_since
            }
            expired = [
                job_id for job_id, ended_at in self._ended_at.items() if ended_at < retained_since
            ]
            for job_id in expired:
                keys = (job_key(job_id), cancel_key(job_id))
                try:
                    rows = await self._table.transact(
                        [TableWrite(key=k, delete=True) for k in keys]
                    )
                except StoreError as error:
                    LOG.warning("A job was not removed.", extra={"cause": error.reason})
                    break
                except TransactionRejected as rejection:
                    fields = {"job": job_id, "cause": rejection.reason}
                    LOG.warning("A job was not removed.", extra=fields)
                    continue
                for row in rows:
                    self._removals[row.key] = (row.version, trio.current_time())
                del self._ended_at[job_id]
                self._removed_job_ids.append(job_id)
                self._unrecordable.discard(job_id)
                try:
                    self._engine.remove_job(job_id)
                except Exception as error:
                    self._on_job_error(job_id, error)

    async def _apply_rows(self, rows, progress_values=None):
        """Adds the jobs that the engine does not have yet and cancels those marked as cancelled.

        ``rows`` are of the jobs table. ``progress_values`` has the arguments of ``decode_progress``
        by job id. A job without a progress record is logged as accepted.
        """
        # a cancelled job is added and cancelled at once, although its rows may be far apart
        _, cancelled = jobs_from_rows([row for row in rows if row.key.endswith(CANCEL_SUFFIX)])
        for row in rows:
            await trio.lowlevel.checkpoint()
            if row.version <= self._removals.get(row.key, (0, 0.0))[0]:
                continue
            jobs, marked = jobs_from_rows([row])
            now = trio.current_time()
            for job_id, job in jobs.items():
                if job_id in self._engine.jobs or job_id in self._set_aside_ids:
                    continue
                try:
                    await self._add_job(job, (progress_values or {}).get(job_id), now)
                except Exception as error:
                    self._set_aside(job_id, error)
            for job_id in marked | (cancelled & jobs.keys()):
                try:
                    if self._engine.cancel(job_id) or job_id in self._set_aside_ids:
                        self._ended_at.setdefault(job_id, now)
                except Exception as error:
                    self._on_job_error(job_id, error)

    async def _add_job(self, job, progress_values, now):
        """Adds a job to the engine, in the state of its progress record unless it has none.

        Records are loaded at the begin of a term only, when nothing else adds jobs.
        """
        if progress_values is not None:
            for _ in job.load_record_in_parts(decode_progress(*progress_values)):
                await trio.lowlevel.checkpoint()
            self._on_loaded(job)
        if job.ended:
            self._ended_at[job.id] = now
        self._engine.add_job(job, now)
        if progress_values is None:
            self._log_accepted(job)

    def _set_aside(self, job_id, error):
        """Leaves out a job that cannot be added until the next term."""
        self._set_aside_ids.add(job_id)
        self._engine.discard_job(job_id)
        self._on_job_error(job_id, error)
        self._log_event("job_set_aside", job=job_id, reason=type(error).__name__)

    def _log_accepted(self, job):
        """Logs that a job was accepted, with its account, queue and steps."""
        steps = [
            {"tasks": step.tasks, "accelerators": step.resources.accelerators, "gang": step.gang}
            for step in job.spec.steps
        ]
        self._log_event(
            "job_taken",
            job=job.id,
            queue=job.queue,
            account=job.account,
            steps=steps,
            chain_ms=job.spec.critical_path_ms(),
            accepted_ms=job.accepted_ms,
        )
