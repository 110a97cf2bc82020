"""
ibiscart_entry.stop
~~~~~~~~~~~~~~~~~~~

Stops the other members of a gang as soon as this entry sees that one has ended by fault.
"""

import logging
from copy import copy

import trio

from ibiscart_core.job import JobKey
from ibiscart_entry.gang import OUTCOMES
from ibiscart_entry.task import TaskError, retry_times
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    MEMBER_COMPLETED,
    MEMBER_LAPSED,
    MemberEnded,
)
from ibiscart_schema.generated.peer_pb2 import MemberFault

__all__ = ["FaultStops"]

LOG = logging.getLogger("ibiscart.controller")
PATH = "fault"
# with the store up, the stop is on record by then and the driver of the job carries it out
RECORD_SECONDS = 1.0
# from the stop on record, the driver of the job stops its members
UNSTOPPED_STATES = (JOB_STATE_PLACED, JOB_STATE_RUNNING)


class FaultStops:
    """Stops gangs without a record, so that none runs in part while the store is down.

    The entry that sees the fault stops the members itself, whether or not it drives the job:
    a message to the driver could be lost, and calls are idempotent by task id. It also tells
    the other entries, which stop renewing and releasing the attempt and, if no record follows,
    stop its members on the workers whose leases they own. Task ids name the attempt, so a
    stale entry cannot stop members of a later one. A stop is never undone.
    """

    def __init__(self, entry_id, journal, peers, calls, reports, settings, metrics, random):
        self._entry_id = entry_id
        self._peers = peers
        self._journal = journal
        self._calls = calls
        self._reports = reports
        self._settings = settings
        self._metrics = metrics
        self._random = random
        self._attempts = {}
        self._nursery = None
        peers.route(PATH, MemberFault, self._take_fault)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Stops what is added, until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                task_status.started()
                await trio.sleep_forever()
        finally:
            # peers may still send faults while this entry shuts down
            self._nursery = None

    def note_end(self, key, attempt, rank, outcome):
        """Stops the other members unless the member completed."""
        if outcome != MEMBER_COMPLETED:
            self._stop(key, attempt, rank, outcome, {rank})

    def note_lost(self, key, attempt, rank):
        """Stops all members after the worker of one has been silent for a lease."""
        self._stop(key, attempt, rank, MEMBER_LAPSED, ())

    def _stop(self, key, attempt, rank, outcome, ended):
        job = self._journal.ledger.jobs.get(key)
        if self.stopped(key, attempt) or not _unstopped(job, attempt):
            return
        self._attempts[key] = attempt
        fault = MemberEnded(job=key.to_message(), attempt=attempt, rank=rank, outcome=outcome)
        self._peers.broadcast(PATH, MemberFault(ended=fault))
        LOG.info(
            "controller: A gang is stopped after the fault of a member.",
            extra={"job": repr(key), "attempt": attempt, "rank": rank},
        )
        self._stop_members(job, [r for r in job.open_members if r not in ended])

    async def _take_fault(self, sender, message):
        ended = message.ended
        key = JobKey.from_message(ended.job)
        job = self._journal.ledger.jobs.get(key)
        known = self.stopped(key, ended.attempt) or ended.outcome == MEMBER_COMPLETED
        if not known and _unstopped(job, ended.attempt) and self._nursery is not None:
            self._attempts[key] = ended.attempt
            self._nursery.start_soon(self._stop_owned, copy(job))
        return self._peers.answer(sender, message.state)

    async def _stop_owned(self, job):
        await trio.sleep(RECORD_SECONDS)
        present = self._journal.ledger.jobs.get(job.key)
        if _unstopped(present, job.attempt):
            owned = [r for r in present.open_members if self._owns(present.members[r].worker_id)]
            self._stop_members(present, owned)

    def _owns(self, worker_id):
        return self._peers.owner_of(f"worker/{worker_id}") == self._entry_id

    def _stop_members(self, job, ranks):
        # the ledger changes its job while calls to workers are under way
        job = copy(job)
        job.members = list(job.members)
        for rank in ranks if self._nursery is not None else ():
            self._nursery.start_soon(self._stop_member, job, rank)

    def stopped(self, key, attempt):
        """Whether this entry stops the attempt; it then neither renews nor releases it."""
        return self._attempts.get(key) == attempt

    def keys(self):
        """Keys of the jobs that this entry stops."""
        return self._attempts.keys()

    def forget(self, key):
        """Forgets a job that holds no places any more."""
        self._attempts.pop(key, None)

    async def _stop_member(self, job, rank):
        retry = retry_times(self._random)
        try:
            while _unstopped(self._journal.ledger.jobs.get(job.key), job.attempt):
                if await self._try_stop(job, rank):
                    return
                await trio.sleep(next(retry))
        except Exception:
            # a fault with one member must not end the stops of the others
            LOG.exception("controller: A stop failed.", extra={"task": job.task_id(rank)})

    async def _try_stop(self, job, rank):
        """Sends one stop; returns whether the member is known to have ended."""
        worker = self._journal.ledger.workers.get(job.members[rank].worker_id)
        if worker is None:
            return True
        try:
            status = await self._calls.stop(worker, job.task_id(rank), self._settings.stop_seconds)
        except TaskError as error:
            if error.reason != "unknown_task":
                self._metrics.count("retries", f"stop_{error.reason}")
                return False
            # a start of an unreleased member may still arrive; its held lease is short
            if job.released:
                self._reports.add_member(job.key, job.attempt, rank, MEMBER_LAPSED)
            return True
        if status.state not in OUTCOMES:
            return False
        outcome = OUTCOMES[status.state]
        self._reports.add_member(job.key, job.attempt, rank, outcome, status.saved_seconds)
        return True


def _unstopped(job, attempt):
    return job is not None and job.attempt == attempt and job.state in UNSTOPPED_STATES
