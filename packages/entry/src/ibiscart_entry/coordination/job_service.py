"""
ibiscart_entry.coordination.job_service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Operations on jobs that every entry offers: accept, query, cancel and count.
"""

import logging

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.value import InvalidValueError
from ibiscart_core.workflow.admission import decide
from ibiscart_core.workflow.job import OUTCOMES, Job, Outcome
from ibiscart_entry.coordination.record import (
    PENDING_KEY,
    RUNNING,
    cancel_key,
    encode,
    job_key,
    parse_owner,
    parse_pending_counts,
    parse_progress,
    parse_tombstone,
    progress_key,
    tombstone_key,
    visible_state,
)
from ibiscart_entry.coordination.tombstone import Tombstones
from ibiscart_entry.table import StoreError, TableConflict, TransactionRejected
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["JobService"]

LOG = logging.getLogger("ibiscart.jobs")
# pause after the first write without a response, about ten times the store's latency; the pause
# after the n-th is n times as long
RETRY_SECONDS = 0.05
# attempts at a write; if none gets a response, the write's outcome is reported as unknown
MAX_ATTEMPTS = 5
# pause before a job that still runs is read once more: callers often query a job as its last task
# ends, and recording the end takes one write
REREAD_SECONDS = 0.03
ACCEPTED = "accepted"
KNOWN = "known"


class JobService:
    """Stateless operations on the rows of jobs.

    ``now_ms`` returns Unix milliseconds. ``announce`` is called with the id of each job that
    was accepted or cancelled. ``gate`` is the ``StoreGate`` that each request passes, ``pools`` the
    ``PoolWatch``, None to admit all jobs, ``pause_monitor`` the ``PauseMonitor`` of the process or
    None, and ``count_rejection`` is called with the reason of each rejection. The methods raise
    ``IbiscartError``: ``not_found`` for a job of another account, ``store_unavailable`` when
    nothing was read or stored, ``commit_unknown`` when a write may have been stored,
    ``impossible_shape`` when a job cannot run, ``not_ready`` after a long pause of the process,
    ``cancelled`` when a job was cancelled before it is stored, ``cancel_limit`` when an account
    cancels too many unknown jobs.
    """

    def __init__(self, table, now_ms, gate, announce=lambda job_id: None):
        self._table = table
        self._now_ms = now_ms
        self._gate = gate
        self._tombstones = Tombstones(table, gate, self._write, now_ms)
        self.announce = announce
        self.pools = None
        self.pause_monitor = None
        self.count_rejection = lambda reason: None

    async def submit(self, queue, account, job_id, spec, check_access=None):
        """Stores a job; returns ``accepted``, or ``known`` when it was stored before.

        ``check_access`` is an async function that is called each time before the job is sent to the
        store, which may be long after the request was read. What it raises ends the submission.
        """
        self._check_backlog()
        spec.check()
        job = Job(job_id, account, queue.name, spec, self._now_ms(), queue)
        value = encode(job.to_document())
        self._check_size(value, spec)
        if await self._check_admission(queue, account, job_id, spec):
            return KNOWN
        writes = [
            TableWrite(key=job_key(job_id), value=value, expected_version=0),
            # only a condition: the job is stored unless it was cancelled before
            TableWrite(key=tombstone_key(account, job_id), delete=True, expected_version=0),
        ]
        try:
            await self._write(writes, job_id, queue.priority, check_access)
        except TableConflict as conflict:
            self._check_conflict(conflict, account, job_id)
            return KNOWN
        self.announce(job_id)
        return ACCEPTED

    async def state(self, queue, account, job_id):
        """Returns the state of a job that callers see, or None when there is no such job."""
        owner, cancelled, progress = await self._read(queue, job_id)
        if owner is None:
            return None
        self._check_owner(owner, account)
        state = visible_state(progress, cancelled)
        if state == RUNNING:
            await trio.sleep(REREAD_SECONDS)
            progress = await self._read_progress(queue, job_id)
            state = visible_state(progress, cancelled)
        return state

    async def cancel(self, queue, account, job_id):
        """Cancels a job; returns its state afterwards, or None when the account has no such job.

        In either case, a submission that is still under way starts nothing afterwards.
        """
        state = await self._cancel_stored(queue, account, job_id)
        if state is None:
            await self._tombstones.add(queue, account, job_id)
            # a submission that was stored before the tombstone has not met it
            state = await self._cancel_stored(queue, account, job_id)
        return state

    async def _cancel_stored(self, queue, account, job_id):
        """Cancels a job unless it has ended; returns its state, or None when it is not stored."""
        owner, cancelled, progress = await self._read(queue, job_id)
        if owner != account:
            return None
        state = visible_state(progress, cancelled)
        if state in OUTCOMES:
            return state
        write = TableWrite(key=cancel_key(job_id), value=encode({"at_ms": self._now_ms()}))
        await self._write([write], job_id, queue.priority)
        self.announce(job_id)
        return Outcome.CANCELLED.value

    async def count_pending_jobs(self, queue):
        """Returns the number of accepted jobs of a queue of which no task has started."""
        row = await self._gate.read(queue.priority, "", lambda: self._table.get(PENDING_KEY))
        if row is None:
            return 0
        return _parse_row(parse_pending_counts, row, "").get(queue.name, 0)

    async def _read(self, queue, job_id):
        """Returns (account of the job or None, whether it is cancelled, progress record)."""
        results = {}

        # saves an error too: raised in the nursery, it would reach the caller in an
        # ``ExceptionGroup``
        async def save_result(name, read):
            try:
                results[name] = await read()
            except IbiscartError as error:
                results["error"] = error

        async with trio.open_nursery() as nursery:
            nursery.start_soon(save_result, "rows", lambda: self._read_rows(queue, job_id))
            nursery.start_soon(save_result, "progress", lambda: self._read_progress(queue, job_id))
        if "error" in results:
            raise results["error"]
        rows_by_key = {row.key: row for row in results["rows"]}
        job = rows_by_key.get(job_key(job_id))
        owner = _parse_row(parse_owner, job, job_id) if job is not None else None
        return owner, cancel_key(job_id) in rows_by_key, results["progress"]

    async def _read_rows(self, queue, job_id):
        """Returns the rows of a job in the jobs table, none if there is no such job."""
        # reads two rows: the job's own, and the one that marks it as cancelled, if any
        return await self._gate.read(
            queue.priority, job_id, lambda: self._table.scan(job_key(job_id), limit=2)
        )

    async def _read_progress(self, queue, job_id):
        """Returns the progress record of a job, or None."""
        row = await self._gate.read(
            queue.priority, job_id, lambda: self._table.get(progress_key(job_id))
        )
        return _parse_row(parse_progress, row, job_id) if row is not None else None

    async def _write(self, writes, job_id, priority, check_access=None):
        """Applies writes; after a lost response, repeating them reveals the outcome.

        The value that the first one stores tells whether they have been applied.

        Writes that were certainly not applied are sent, held or refused as the gate decides. Those
        that may have been applied are repeated when the store responds, up to ``MAX_ATTEMPTS``
        attempts.
        """
        may_be_applied = False
        for attempt in range(MAX_ATTEMPTS):
            if not may_be_applied:
                await self._gate.admit(priority, job_id)
                if check_access is not None:
                    await check_access()
            try:
                await self._table.transact(writes)
                return
            except StoreError as error:
                may_be_applied = may_be_applied or error.sent
                fields = {"job": job_id, "cause": error.reason, "attempt": attempt + 1}
                message = "A write has no answer." if may_be_applied else "A write was refused."
                LOG.warning(message, extra=fields)
            except TransactionRejected as rejection:
                message = f"the store does not take the job: {rejection.reason}"
                raise IbiscartError(ErrorKind.BAD_REQUEST, message) from None
            except TableConflict as conflict:
                present = _present_rows(conflict).get(writes[0].key)
                if may_be_applied and present is not None and present.value == writes[0].value:
                    return
                raise
            await trio.sleep(RETRY_SECONDS * (attempt + 1))
            if may_be_applied:
                await self._table.wait_answering()
        if not may_be_applied:
            message = "nothing was stored; retry later"
            raise IbiscartError(ErrorKind.STORE_UNAVAILABLE, message)
        raise IbiscartError(
            ErrorKind.COMMIT_UNKNOWN, "the outcome is not known; send the same request again"
        )

    async def _check_admission(self, queue, account, job_id, spec):
        """Raises ``IbiscartError`` if a job cannot run, unless it is stored already.

        Returns True if the job cannot run but is stored: it was accepted before, so it must not be
        rejected now.
        """
        if self.pools is None:
            return False
        age_seconds = self.pools.age_seconds
        rejection = decide(spec, queue, self.pools.view(queue.pool), age_seconds)
        if rejection is None:
            return False
        for row in await self._read_rows(queue, job_id):
            if row.key == job_key(job_id):
                self._check_owner(_parse_row(parse_owner, row, job_id), account)
                return True
        fields = {
            "job": job_id,
            "queue": queue.name,
            "account": account,
            "reason": rejection.reason.value,
            "field": rejection.field,
            "value": rejection.value,
            "bound": rejection.bound,
            "view_age_ms": round(age_seconds * 1000),
        }
        LOG.warning("A job was rejected.", extra=fields)
        self.count_rejection(rejection.reason.value)
        raise IbiscartError(
            ErrorKind.IMPOSSIBLE_SHAPE,
            f"no workers of the last minutes can run the job: {rejection.field} is "
            f"{rejection.value}, it must be {rejection.bound}; change the job, or add workers",
            field=rejection.field,
            value=rejection.value,
            bound=rejection.bound,
        )

    def _check_backlog(self):
        """Raises ``IbiscartError`` if a submission may have arrived before a long pause."""
        if self.pause_monitor is not None and self.pause_monitor.reads_backlog:
            raise IbiscartError(
                ErrorKind.NOT_READY,
                "this entry was paused, and the job may have been cancelled since; nothing was "
                "stored, send the request again",
                retry_after=1,
            )

    def _check_conflict(self, conflict, account, job_id):
        """Returns if a submission was not applied since the account's job is stored already.

        Otherwise raises ``IbiscartError``.
        """
        rows = _present_rows(conflict)
        job, tombstone = rows.get(job_key(job_id)), rows.get(tombstone_key(account, job_id))
        owner = _parse_row(parse_owner, job, job_id) if job is not None else None
        if owner == account:
            return
        if tombstone is None:
            raise IbiscartError(ErrorKind.NOT_FOUND, "no such job")
        fields = {"job": job_id, "account": account}
        try:
            fields["cancelled_ms_ago"] = self._now_ms() - parse_tombstone(tombstone.value)
        except InvalidValueError as error:
            fields["cause"] = str(error)
        LOG.warning("A submission of a cancelled job was refused.", extra=fields)
        raise IbiscartError(
            ErrorKind.CANCELLED, "the job was cancelled before it was stored; it never runs"
        )

    def _check_size(self, value, spec):
        """Raises ``IbiscartError`` if the store takes no row with ``value``, that of a job."""
        bound = self._table.max_value_bytes
        if len(value) > bound:
            document = spec.to_document()
            payload_bytes, steps_bytes = len(encode(spec.payload)), len(encode(document["steps"]))
            field, size = max(
                ("spec", payload_bytes), ("steps", steps_bytes), key=lambda pair: pair[1]
            )
            raise IbiscartError(
                ErrorKind.BAD_FIELD,
                f"{field} is too large; shorten it",
                field=field,
                value=f"{size} bytes",
                bound=f"up to {bound} bytes of the whole job, as it is stored",
            )

    def _check_owner(self, owner, account):
        """Raises ``IbiscartError`` if the job of account ``owner`` belongs to another one."""
        if owner != account:
            raise IbiscartError(ErrorKind.NOT_FOUND, "no such job")


def _present_rows(conflict):
    """Returns the rows of a ``TableConflict`` that exist, by key."""
    return {row.key: row for row in conflict.rows if row.version}


def _parse_row(parse, row, job_id):
    """Returns ``parse`` of the value of a ``Row``; raises ``IbiscartError`` if it is damaged."""
    try:
        return parse(row.value)
    except InvalidValueError as error:
        fields = {"job": job_id, "key": row.key, "version": row.version, "cause": str(error)}
        LOG.error("A row cannot be read.", extra=fields)
        raise IbiscartError(
            ErrorKind.INTERNAL,
            f"the row {row.key} in the store cannot be read; tell the operators, who restore it",
            field="row",
            value=row.key,
            bound=f"{error.field}: {error.bound}",
        ) from None
